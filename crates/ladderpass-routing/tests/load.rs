//! The weight of a member's load, failures and silence when a member is selected for an RPC.

mod common;

use common::*;
use ladderpass_routing::*;

#[test]
fn failed_attempts_count_as_load_on_a_member_that_fails_fast() {
    let mut router = router_with_replicas(2, |_| {});
    let mut failed = 0;
    for ms in 1..40 {
        answer_all_health_checks(&mut router, 2, ms);
        let (rpc, decision) = router.accept(at(ms), arrival(0, ms));
        let Some(member) = sent_to(decision) else { continue };
        let outcome = if member == 1 { AttemptOutcome::Failed } else { AttemptOutcome::Ok };
        failed += u32::from(member == 1);
        let second = rpc.on_attempt_ended(&mut router, at(ms), result(member, outcome, 1));
        if let Some(member) = sent_to(second) {
            rpc.on_attempt_ended(&mut router, at(ms), result(member, AttemptOutcome::Ok, 1));
        }
    }
    assert!(failed <= 3, "{failed} of 39 RPCs were sent to the member that fails");
}

#[test]
fn a_slow_member_gets_fewer_rpcs() {
    let mut router = router_with_replicas(2, |_| {});
    let mut got = [0; 3];
    for n in 0..60 {
        let ms = 1 + n * 61;
        answer_all_health_checks(&mut router, 2, ms);
        let (rpc, decision) = router.accept(at(ms), arrival(0, ms));
        let member = sent_to(decision).expect("no attempt is in flight");
        got[member as usize] += 1;
        let latency_ms = if member == 1 { 60 } else { 20 };
        rpc.on_attempt_ended(
            &mut router,
            at(ms + latency_ms),
            result(member, AttemptOutcome::Ok, latency_ms),
        );
    }
    assert!(got[1] * 4 < got[2] * 3, "{got:?}");
}

#[test]
fn a_silent_member_is_not_selected_as_the_least_loaded() {
    let mut router = router_with_replicas(2, |_| {});
    serve_rpcs(&mut router, 0, 1, 40, 20);
    answer_all_health_checks(&mut router, 4, 900);
    let accept = |router: &mut Router| sent_to(router.accept(at(1500), arrival(0, 1500)).1);
    let first = [0, 1].map(|_| router.accept(at(900), arrival(0, 900)));
    let (answered, member) =
        first.iter().find_map(|(rpc, d)| Some((*rpc, sent_to(*d)?))).expect("one of the two RPCs is sent");
    answered.on_attempt_ended(&mut router, at(1500), result(member, AttemptOutcome::Ok, 20));
    assert_eq!(accept(&mut router), Some(member));
    assert_eq!(
        accept(&mut router),
        Some(member),
        "each member has one attempt in flight, and the other member is silent"
    );
}

/// A member with no attempts in flight can't show that its congestion is over, so an attempt is sent to the member
/// again after a second.
#[test]
fn an_idle_member_is_tried_again_about_a_second_after_congestion() {
    let mut router = router_with_replicas(1, |_| {});
    grow_limits(&mut router, 1, 0);
    answer_all_health_checks(&mut router, 4, 4500);
    let slow: Vec<RpcId> = (0..8).map(|_| router.accept(at(4500), arrival(1, 4500)).0).collect();
    for rpc in slow {
        rpc.on_attempt_ended(&mut router, at(5000), result(0, AttemptOutcome::Ok, 500));
    }
    for (ms, sent) in [(5100, false), (6050, true)] {
        answer_all_health_checks(&mut router, 4, ms);
        let (rpc, decision) = router.accept(at(ms), arrival(1, ms));
        assert_eq!(sent_to(decision).is_some(), sent, "at {ms} ms");
        rpc.abandon(&mut router);
        router.tick(at(ms));
    }
}
