//! The choice of the member that a router takes for the primary of its group.

mod common;

use common::*;
use ladderpass_routing::reference_clock::ClockDifference;
use ladderpass_routing::*;

#[test]
fn a_role_shown_by_a_member_outweighs_the_endpoint_list() {
    let mut router = router_with_replicas(2, |_| {});
    let write_sent_to = |router: &mut Router, ms: i64| {
        let (rpc, decision) = router.accept(at(ms), arrival(1, ms));
        rpc.on_attempt_ended(router, at(ms), result(sent_to(decision)?, AttemptOutcome::Ok, 5));
        sent_to(decision)
    };
    answer_health_check(&mut router, 100, 2, 100, true);
    router.on_endpoint_update(
        at(200),
        EndpointUpdate::Complete(&[endpoint(0, true), endpoint(1, false), endpoint(2, false)]),
    );
    assert_eq!(write_sent_to(&mut router, 200), Some(2));
    // A report that member 2 is a replica changes nothing if the report is from before the member was seen as the
    // primary. A newer report that another member is the primary makes that member the primary.
    answer_health_check(&mut router, 210, 2, 50, false);
    assert_eq!(write_sent_to(&mut router, 210), Some(2));
    answer_health_check(&mut router, 220, 1, 215, true);
    assert_eq!(write_sent_to(&mut router, 220), Some(1));
}

#[test]
fn a_write_that_a_former_primary_does_not_serve_waits_for_the_new_primary() {
    let mut router = new_router();
    answer_health_check(&mut router, 5, 0, 4, true);
    let (rpc, _) = router.accept(at(10), arrival(1, 10));
    let not_served = AttemptResult {
        role: Some(Role::Replica),
        position: Some(at(9)),
        ..result(0, AttemptOutcome::NotServedHere, 1)
    };
    assert_eq!(rpc.on_attempt_ended(&mut router, at(11), not_served), Decision::Queue);
    answer_health_check(&mut router, 20, 2, 18, true);
    assert_eq!(sent_to(router.tick(at(20)).decisions[0].1), Some(2));
}

/// Guards against a new primary that gets no writes: while one corrupt position seemed to show that the clock is behind,
/// replicas were recorded as seen in the future, and were not taken for a primary until that time had come.
#[test]
fn an_unconfirmed_clock_difference_does_not_move_the_time_at_which_a_role_is_seen() {
    let mut router = router_with_replicas(2, |_| {});
    answer_health_check(&mut router, 100, 0, 100, true);
    router.set_clock_difference(ClockDifference { behind: Span::from_millis(600_000), ..Default::default() });
    for member in [1, 2] {
        answer_health_check(&mut router, 110, member, 105, false);
        let (rpc, _) = router.accept(at(120), arrival(0, 120));
        let answered = AttemptResult { role: Some(Role::Replica), ..result(member, AttemptOutcome::Ok, 5) };
        rpc.on_attempt_ended(&mut router, at(125), answered);
    }
    router.set_clock_difference(ClockDifference::default());
    answer_health_check(&mut router, 200, 2, 200, true);
    let (_, decision) = router.accept(at(210), arrival(1, 210));
    assert_eq!(sent_to(decision), Some(2));
}
