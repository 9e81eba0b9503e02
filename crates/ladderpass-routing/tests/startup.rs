//! The first RPCs of a router that has just started, while not all members have answered their first health check.
//!
//! The primary's first answer shows nothing about the replicas. The first reads therefore also wait for the replicas'
//! first answers, for as long as a new router waits for any first answer (300 ms after its start). Otherwise all first
//! reads would go to the primary.

mod common;

use common::*;
use ladderpass_routing::*;

const READ: u32 = 0;

/// Starts a router with three members, of which only the primary has answered a health check, 5 ms after the
/// start.
fn router_with_answer_of_primary_only() -> Router {
    let mut router = Router::start(at(0), 7, deployment());
    let list: Vec<Endpoint> = (0..3).map(|member| endpoint(member, member == 0)).collect();
    router.on_endpoint_update(at(0), EndpointUpdate::Cached(&list));
    router.tick(at(0));
    answer_health_check(&mut router, 5, 0, 5, true);
    router
}

/// Returns the decisions on pending RPCs between two times in milliseconds: the time of each decision, and the
/// member that the RPC is sent to, if any.
fn decisions_between(router: &mut Router, from: i64, to: i64) -> Vec<(i64, Option<u32>)> {
    let mut decided = Vec::new();
    for ms in (from..=to).step_by(5) {
        let decisions = router.tick(at(ms)).decisions;
        decided.extend(decisions.into_iter().map(|(_, decision)| (ms, sent_to(decision))));
    }
    decided
}

#[test]
fn a_first_read_waits_for_the_first_health_check_of_a_replica() {
    let mut router = router_with_answer_of_primary_only();
    let (_, decision) = router.accept(at(10), arrival(READ, 10));
    assert_eq!(decision, Decision::Queue);
    assert_eq!(
        decisions_between(&mut router, 15, 150),
        Vec::new(),
        "no replica has answered a health check yet"
    );
    answer_health_check(&mut router, 152, 2, 152, false);
    assert_eq!(decisions_between(&mut router, 155, 155), [(155, Some(2))]);
}

/// A read waits for silent replicas no longer than a new router waits for any first answer: 300 ms after its start.
#[test]
fn a_first_read_spills_after_the_wait_of_a_new_router() {
    let mut router = router_with_answer_of_primary_only();
    let (_, decision) = router.accept(at(10), arrival(READ, 10));
    assert_eq!(decision, Decision::Queue);
    assert_eq!(decisions_between(&mut router, 15, 295), Vec::new());
    assert_eq!(decisions_between(&mut router, 300, 310), [(300, Some(0))]);
}

/// Once the router has been running for some time, a read waits for a health check of each of the two replicas in
/// turn, 60 ms for each replica.
#[test]
fn a_later_read_spills_after_waiting_for_a_health_check_of_each_replica() {
    let mut router = router_with_answer_of_primary_only();
    for member in 1..3 {
        answer_health_check(&mut router, 6, member, 6, false);
    }
    router.tick(at(7));
    // 3 s after the start, the replicas' reports are too old, and no health check is answered.
    let (_, decision) = router.accept(at(3000), arrival(READ, 3000));
    assert_eq!(decision, Decision::Queue);
    let decided = decisions_between(&mut router, 3005, 3200);
    assert_eq!(decided.first().map(|&(_, member)| member), Some(Some(0)), "{decided:?}");
    assert!(decided[0].0 <= 3000 + 2 * 60 + 10, "{decided:?}");
}

#[test]
fn a_new_router_queues_rpcs_until_a_member_answers_a_health_check() {
    let mut router = new_router();
    let (_, decision) = router.accept(at(1), arrival(0, 1));
    assert_eq!(decision, Decision::Queue);
    answer_health_check(&mut router, 5, 1, 0, false);
    assert_eq!(sent_to(router.tick(at(5)).decisions[0].1), Some(1));
}
