//! Attempts that were never sent, as their connection came up late: what they leave of an RPC, and when one may still be
//! sent.

mod common;

use common::*;
use ladderpass_routing::*;

const READ: u32 = 0;
const WRITE: u32 = 1;
/// The bound of these reads; a tick is 5 ms.
const BOUND_MS: i64 = 800;

fn router(change: impl Fn(&mut Deployment)) -> Router {
    let mut deployment = deployment();
    change(&mut deployment);
    let mut router = Router::start(at(0), 7, deployment);
    let list: Vec<Endpoint> = (0..3).map(|member| entry(member, member == 0)).collect();
    router.on_endpoint_update(at(0), EndpointUpdate::Cached(&list));
    (0..3).for_each(|member| probe(&mut router, 0, member, 0, member == 0));
    router
}

/// It may go to the same member at once, as it was never there, and with the one attempt that it is allowed.
#[test]
fn what_was_never_sent_is_no_attempt_and_tells_nothing_of_the_member() {
    let mut router = router(|deployment| deployment.max_attempts = 1);
    let (rpc, mut decision) = router.accept(at(1), arrival(READ, 1));
    for ms in 2..20 {
        let member = sent_to(decision).expect("it goes to a replica");
        assert_ne!(member, 0, "{ms}: a read spilled, though both replicas stand");
        decision =
            rpc.on_attempt_ended(&mut router, at(ms), outcome(member, AttemptOutcome::DecisionExpired, 1));
    }
    let member = sent_to(decision).expect("it goes to a replica");
    let last = rpc.on_attempt_ended(&mut router, at(20), outcome(member, AttemptOutcome::Rejected, 1));
    assert!(matches!(last, Decision::Reject { .. }), "that was the one attempt: {last:?}");
}

/// As long as what is known of the replica is new enough for the send.
#[test]
fn a_read_may_still_go_to_its_replica_while_its_data_are_new_enough() {
    let mut router = router(|_| {});
    let (rpc, decision) = router.accept(at(1), arrival(READ, 1));
    let member = MemberId(sent_to(decision).expect("it goes to a replica"));
    assert!(router.may_still_attempt(at(BOUND_MS - 5), rpc, member));
    assert!(
        !router.may_still_attempt(at(BOUND_MS - 4), rpc, member),
        "a tick less, which its last byte may take"
    );
    probe(&mut router, BOUND_MS, member.0, BOUND_MS - 100, false);
    assert!(router.may_still_attempt(at(BOUND_MS), rpc, member), "it has told a newer position");
    router.on_endpoint_update(
        at(BOUND_MS),
        EndpointUpdate::Changes(&[Endpoint { state: EndpointState::Draining, ..entry(member.0, false) }]),
    );
    assert!(!router.may_still_attempt(at(BOUND_MS), rpc, member), "it drains");
}

/// A write goes to the primary alone, whichever that is by then; and one that is over goes nowhere.
#[test]
fn a_write_may_still_go_to_the_primary_alone() {
    let mut router = router(|_| {});
    let (rpc, decision) = router.accept(at(1), arrival(WRITE, 1));
    assert_eq!(sent_to(decision), Some(0));
    assert!(router.may_still_attempt(at(100), rpc, MemberId(0)));
    assert!(!router.may_still_attempt(at(100), rpc, MemberId(1)));
    probe(&mut router, 100, 1, 100, true);
    assert!(!router.may_still_attempt(at(101), rpc, MemberId(0)), "another leads");
    assert!(router.may_still_attempt(at(101), rpc, MemberId(1)));
    rpc.on_attempt_ended(&mut router, at(102), outcome(0, AttemptOutcome::ConnectionLost, 1));
    assert!(!router.may_still_attempt(at(103), rpc, MemberId(1)), "it is over, as it may have run");
}
