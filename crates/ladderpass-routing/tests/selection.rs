//! The selection of the member that an RPC is sent to.

mod common;

use common::*;
use ladderpass_routing::*;

#[test]
fn equally_loaded_replicas_get_similar_numbers_of_reads() {
    let mut router = router_with_replicas(4, |_| {});
    let got = serve_rpcs(&mut router, 0, 1, 40, 20);
    assert!(got[0] == 0 && got[1..].iter().all(|n| (7..=13).contains(n)), "{got:?}");
}

#[test]
fn a_read_avoids_stale_replicas_and_spills_to_the_primary_if_all_are_stale() {
    let mut router = new_router();
    answer_health_check(&mut router, 5, 0, 4, true);
    answer_health_check(&mut router, 5, 1, 0, false);
    answer_health_check(&mut router, 5, 2, -2000, false);
    for ms in 10..14 {
        let (rpc, decision) = router.accept(at(ms), arrival(0, ms));
        assert_eq!(sent_to(decision), Some(1));
        rpc.on_attempt_ended(&mut router, at(ms), result(1, AttemptOutcome::Ok, 0));
    }
    answer_health_check(&mut router, 900, 1, 50, false);
    answer_health_check(&mut router, 900, 2, -2000, false);
    assert_eq!(sent_to(router.accept(at(900), arrival(0, 900)).1), Some(0));
}

#[test]
fn spilled_reads_leave_capacity_for_writes_on_the_primary() {
    let ms = 2000;
    let sent = |method: u32| {
        let mut router = router_with_replicas(1, |_| {});
        grow_limits(&mut router, 1, 0);
        answer_health_check(&mut router, ms, 0, ms, true);
        answer_health_check(&mut router, ms, 1, 0, false);
        let destinations = (0..20).map(|_| sent_to(router.accept(at(ms), arrival(method, ms)).1));
        let count = destinations.filter(|member| *member == Some(0)).count();
        let (write, _) = router.accept(at(ms), arrival(1, ms));
        let decisions = router.tick(at(ms)).decisions;
        (count, decisions.iter().find(|(rpc, _)| *rpc == write).and_then(|(_, d)| sent_to(*d)))
    };
    let ((reads, next), (writes, _)) = (sent(0), sent(1));
    assert!(reads >= 1 && reads * 2 < writes, "{reads} reads spilled, {writes} writes were sent");
    assert_eq!(next, Some(0), "a write after the spilled reads was not sent to the primary");
}

#[test]
fn an_rpc_that_could_not_be_answered_in_time_is_rejected_without_an_attempt() {
    let mut router = router_with_replicas(2, |_| {});
    serve_rpcs(&mut router, 0, 1, 60, 20);
    let ms = 2000;
    answer_all_health_checks(&mut router, 4, ms);
    let short = Arrival { deadline: at(ms + 25), ..arrival(0, ms) };
    assert_eq!(router.accept(at(ms), short).1, Decision::Queue);
    let given_up = router.tick(at(ms + 5)).decisions;
    assert!(
        matches!(given_up[0].1, Decision::Reject { retry_after } if retry_after == Span::from_millis(500))
    );
    assert!(sent_to(router.accept(at(ms + 5), arrival(0, ms + 5)).1).is_some());
}

#[test]
fn the_first_reads_of_different_routers_are_spread_over_all_replicas() {
    let mut got = [0; 4];
    for seed in 0..60 {
        let mut router = Router::start(at(0), seed, deployment());
        router.on_endpoint_update(at(0), EndpointUpdate::Cached(&[0, 1, 2, 3].map(|m| endpoint(m, m == 0))));
        answer_all_health_checks(&mut router, 3, 0);
        got[sent_to(router.accept(at(1), arrival(0, 1)).1).expect("the read is sent") as usize] += 1;
    }
    assert!(got[0] == 0 && got[1..].iter().all(|&n| n > 8), "{got:?}");
}
