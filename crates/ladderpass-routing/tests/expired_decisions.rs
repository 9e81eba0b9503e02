//! Attempts that were never sent because their connection was established only after the decision to send them had
//! expired.

mod common;

use common::*;
use ladderpass_routing::*;

const READ: u32 = 0;
const WRITE: u32 = 1;
/// The staleness bound of the reads, in milliseconds. One tick of the bound (5 ms) is reserved for the send.
const BOUND_MS: i64 = 800;

fn router(change: impl Fn(&mut Deployment)) -> Router {
    let mut deployment = deployment();
    change(&mut deployment);
    let mut router = Router::start(at(0), 7, deployment);
    let list: Vec<Endpoint> = (0..3).map(|member| endpoint(member, member == 0)).collect();
    router.on_endpoint_update(at(0), EndpointUpdate::Cached(&list));
    (0..3).for_each(|member| answer_health_check(&mut router, 0, member, 0, member == 0));
    router
}

/// After an expired decision, the RPC has not reached the member. It may therefore be sent to the same member again
/// immediately, and it still has the one attempt that the deployment allows.
#[test]
fn an_expired_decision_counts_neither_as_an_attempt_nor_as_a_failure() {
    let mut router = router(|deployment| deployment.max_attempts = 1);
    let (rpc, mut decision) = router.accept(at(1), arrival(READ, 1));
    for ms in 2..20 {
        let member = sent_to(decision).expect("the read is sent to a replica");
        assert_ne!(member, 0, "{ms} ms: a read spilled although both replicas may serve it");
        decision =
            rpc.on_attempt_ended(&mut router, at(ms), result(member, AttemptOutcome::DecisionExpired, 1));
    }
    let member = sent_to(decision).expect("the read is sent to a replica");
    let last = rpc.on_attempt_ended(&mut router, at(20), result(member, AttemptOutcome::Rejected, 1));
    assert!(matches!(last, Decision::Reject { .. }), "not rejected after its only attempt: {last:?}");
}

/// A read whose connection was established late may be sent as long as the replica is known to be fresh enough.
#[test]
fn a_delayed_read_may_be_sent_only_while_its_replica_is_fresh_enough() {
    let mut router = router(|_| {});
    let (rpc, decision) = router.accept(at(1), arrival(READ, 1));
    let member = MemberId(sent_to(decision).expect("the read is sent to a replica"));
    assert!(router.may_still_attempt(at(BOUND_MS - 5), rpc, member));
    assert!(
        !router.may_still_attempt(at(BOUND_MS - 4), rpc, member),
        "one tick of the bound is reserved for sending the last byte"
    );
    answer_health_check(&mut router, BOUND_MS, member.0, BOUND_MS - 100, false);
    assert!(router.may_still_attempt(at(BOUND_MS), rpc, member), "the replica has reported a newer position");
    router.on_endpoint_update(
        at(BOUND_MS),
        EndpointUpdate::Changes(&[Endpoint { state: EndpointState::Draining, ..endpoint(member.0, false) }]),
    );
    assert!(!router.may_still_attempt(at(BOUND_MS), rpc, member), "the replica is draining");
}

/// A write whose connection was established late may be sent only to the member that is the primary by then. A write
/// may not be sent at all once it has its final answer.
#[test]
fn a_delayed_write_may_be_sent_only_to_the_current_primary() {
    let mut router = router(|_| {});
    let (rpc, decision) = router.accept(at(1), arrival(WRITE, 1));
    assert_eq!(sent_to(decision), Some(0));
    assert!(router.may_still_attempt(at(100), rpc, MemberId(0)));
    assert!(!router.may_still_attempt(at(100), rpc, MemberId(1)));
    answer_health_check(&mut router, 100, 1, 100, true);
    assert!(!router.may_still_attempt(at(101), rpc, MemberId(0)), "another member is the primary now");
    assert!(router.may_still_attempt(at(101), rpc, MemberId(1)));
    rpc.on_attempt_ended(&mut router, at(102), result(0, AttemptOutcome::ConnectionLost, 1));
    assert!(
        !router.may_still_attempt(at(103), rpc, MemberId(1)),
        "the write has failed, since it may have run"
    );
}
