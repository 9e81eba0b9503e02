//! The RPCs that may be sent again, and the members that they may be sent to.

mod common;

use common::*;
use ladderpass_routing::*;

#[test]
fn a_rejected_rpc_is_not_sent_to_the_same_member_again_at_once() {
    let mut router = router_with_replicas(1, |_| {});
    let (rpc, decision) = router.accept(at(10), arrival(0, 10));
    assert_eq!(sent_to(decision), Some(1));
    assert_eq!(
        sent_to(rpc.on_attempt_ended(&mut router, at(11), result(1, AttemptOutcome::Rejected, 1))),
        Some(0)
    );
}

#[test]
fn a_marked_client_retry_is_rejected_instead_of_queued() {
    let mut router = router_with_replicas(1, |_| {});
    let ms = 2000;
    answer_health_check(&mut router, ms, 0, ms - 1, true);
    answer_health_check(&mut router, ms, 1, 0, false);
    router.on_endpoint_update(
        at(ms),
        EndpointUpdate::Changes(&[Endpoint { state: EndpointState::Draining, ..endpoint(0, true) }]),
    );
    let mut repeat = arrival(0, ms);
    repeat.is_client_retry = true;
    assert!(matches!(router.accept(at(ms), repeat).1, Decision::Reject { .. }));
    assert_eq!(router.accept(at(ms), arrival(0, ms)).1, Decision::Queue);
}

#[test]
fn a_non_idempotent_write_that_may_have_run_fails_without_a_retry() {
    let mut router = new_router();
    answer_health_check(&mut router, 5, 0, 4, true);
    let (rpc, decision) = router.accept(at(10), arrival(1, 10));
    assert_eq!(sent_to(decision), Some(0));
    assert_eq!(
        rpc.on_attempt_ended(&mut router, at(15), result(0, AttemptOutcome::ConnectionLost, 5)),
        Decision::Fail
    );
}

/// If the retry budget allows no retry, the RPC gets its final answer immediately: a rejection if its client may retry
/// the RPC, else a failure.
#[test]
fn an_rpc_whose_retry_is_denied_gets_its_final_answer_at_once() {
    let checked_router = || {
        let mut router = new_router();
        answer_health_check(&mut router, 5, 0, 4, true);
        answer_health_check(&mut router, 5, 1, 4, false);
        router
    };
    for (method, denied) in [(0, false), (0, true), (1, true)] {
        let mut router = checked_router();
        let (rpc, decision) = router.accept(at(10), arrival(method, 10));
        let member = sent_to(decision).expect("a member has capacity");
        let connection_lost =
            AttemptResult { retry_denied: denied, ..result(member, AttemptOutcome::ConnectionLost, 5) };
        let next = rpc.on_attempt_ended(&mut router, at(15), connection_lost);
        let is_allowed = match (method, denied) {
            (0, false) => matches!(next, Decision::Attempt { .. } | Decision::Queue),
            (0, true) => matches!(next, Decision::Reject { .. }),
            _ => next == Decision::Fail,
        };
        assert!(is_allowed, "method {method}, retry denied: {denied}, decision: {next:?}");
    }
}

/// Guards against further attempts of an RPC that fails on every member, and against counting the errors of such an
/// RPC as failures of the members.
#[test]
fn an_rpc_that_fails_on_two_members_is_rejected_and_counts_against_neither() {
    let mut router = router_with_gossip(|_| ());
    for ms in (10..400).step_by(10) {
        router.on_peer_update(at(ms), peer_update(1, MemberObservation::Replica, ms - 1));
        router.on_peer_update(at(ms), peer_update(2, MemberObservation::Replica, ms - 1));
        let (rpc, first) = router.accept(at(ms), arrival(0, ms));
        let Some(first_member) = sent_to(first) else { panic!("{first:?} at {ms}") };
        let second =
            rpc.on_attempt_ended(&mut router, at(ms + 1), result(first_member, AttemptOutcome::Failed, 1));
        let Some(second_member) = sent_to(second) else { panic!("{second:?} at {ms}") };
        assert_ne!(first_member, second_member);
        let end =
            rpc.on_attempt_ended(&mut router, at(ms + 2), result(second_member, AttemptOutcome::Failed, 1));
        assert!(matches!(end, Decision::Reject { .. }), "{end:?}");
    }
}

/// Guards against an RPC waiting two seconds, until its deadline, for an answer that was lost on a slow and lossy link
/// between zones.
#[test]
fn a_first_attempt_has_a_timeout_only_over_a_degraded_link() {
    let mut deployment = Deployment { gossip: true, ..deployment() };
    deployment.methods[0].soft_deadline = Span::from_millis(1000);
    let mut router = Router::start(at(0), 1, deployment);
    let list: Vec<Endpoint> =
        (0..4).map(|m| Endpoint { zone: u32::from(m > 1), ..endpoint(m, m == 0) }).collect();
    router.on_endpoint_update(at(0), EndpointUpdate::Cached(&list));
    let timeouts = |router: &mut Router, from: i64| -> Vec<(u32, Option<Span>)> {
        (0..60)
            .filter_map(|n| {
                let ms = from + n * 10;
                (1..4).for_each(|m| {
                    router.on_peer_update(at(ms), peer_update(m, MemberObservation::Replica, ms - 1))
                });
                let (rpc, decision) = router.accept(at(ms), arrival(0, ms));
                let Decision::Attempt { member, timeout } = decision else { return None };
                rpc.on_attempt_ended(router, at(ms + 5), result(member.0, AttemptOutcome::Ok, 20));
                Some((member.0, timeout))
            })
            .collect()
    };
    assert!(timeouts(&mut router, 100).iter().all(|(_, timeout)| timeout.is_none()));
    for n in 0..40 {
        let member = MemberId(2 + (n % 2));
        router.on_health_check_ended(
            at(1000 + i64::from(n)),
            member,
            AttemptOutcome::TimedOut,
            Span::ZERO,
            LoadReport::default(),
        );
        let answered = LoadReport { position: Some(at(1000)), is_primary: Some(false), in_flight: None };
        router.on_health_check_ended(
            at(1000 + i64::from(n)),
            member,
            AttemptOutcome::Ok,
            Span::ZERO,
            answered,
        );
    }
    let later = timeouts(&mut router, 1100);
    assert!(later.iter().all(|&(member, timeout)| (member > 1) == timeout.is_some()), "{later:?}");
}
