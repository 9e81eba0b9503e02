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
    let list: Vec<Entry> = (0..3).map(|member| entry(member, member == 0)).collect();
    router.list_news(at(0), ListNews::Remembered(&list));
    (0..3).for_each(|member| probe(&mut router, 0, member, 0, member == 0));
    router
}

/// It may go to the same member at once, as it was never there, and with the one attempt that it is allowed.
#[test]
fn what_was_never_sent_is_no_attempt_and_tells_nothing_of_the_member() {
    let mut router = router(|deployment| deployment.callouts_cap = 1);
    let (rpc, mut decision) = router.take(at(1), arrival(READ, 1));
    for ms in 2..20 {
        let member = sent_to(decision).expect("it goes to a replica");
        assert_ne!(member, 0, "{ms}: a read spilled, though both replicas stand");
        decision = rpc.ended(&mut router, at(ms), outcome(member, Ended::Expired, 1));
    }
    let member = sent_to(decision).expect("it goes to a replica");
    let last = rpc.ended(&mut router, at(20), outcome(member, Ended::Overloaded, 1));
    assert!(matches!(last, Decision::PushBack { .. }), "that was the one attempt: {last:?}");
}

/// As long as what is known of the replica is new enough for the send.
#[test]
fn a_read_may_still_go_to_its_replica_while_its_data_are_new_enough() {
    let mut router = router(|_| {});
    let (rpc, decision) = router.take(at(1), arrival(READ, 1));
    let member = MemberId(sent_to(decision).expect("it goes to a replica"));
    assert!(router.still_holds(at(BOUND_MS - 5), rpc, member));
    assert!(!router.still_holds(at(BOUND_MS - 4), rpc, member), "a tick less, which its last byte may take");
    probe(&mut router, BOUND_MS, member.0, BOUND_MS - 100, false);
    assert!(router.still_holds(at(BOUND_MS), rpc, member), "it has told a newer position");
    router.list_news(
        at(BOUND_MS),
        ListNews::Changes(&[Entry { standing: Standing::Fading, ..entry(member.0, false) }]),
    );
    assert!(!router.still_holds(at(BOUND_MS), rpc, member), "it drains");
}

/// A write goes to the primary alone, whichever that is by then; and one that is over goes nowhere.
#[test]
fn a_write_may_still_go_to_the_primary_alone() {
    let mut router = router(|_| {});
    let (rpc, decision) = router.take(at(1), arrival(WRITE, 1));
    assert_eq!(sent_to(decision), Some(0));
    assert!(router.still_holds(at(100), rpc, MemberId(0)));
    assert!(!router.still_holds(at(100), rpc, MemberId(1)));
    probe(&mut router, 100, 1, 100, true);
    assert!(!router.still_holds(at(101), rpc, MemberId(0)), "another leads");
    assert!(router.still_holds(at(101), rpc, MemberId(1)));
    rpc.ended(&mut router, at(102), outcome(0, Ended::Broken, 1));
    assert!(!router.still_holds(at(103), rpc, MemberId(1)), "it is over, as it may have run");
}
