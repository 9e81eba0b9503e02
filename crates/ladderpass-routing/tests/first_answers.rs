//! The first reads of a fresh router, while not all members have answered their first probe.
//!
//! What happened: beside 16 busy processes and a bench `reads_go_to_replicas_and_writes_to_the_primary` still failed in 2 of 89
//! and 5 of 93 runs: the first read went to the primary. Why: a fresh router holds RPCs for the first answers, for 0.3 s at
//! most, but took the first answer of any member for all; the primary's tells nothing of the replicas, and from then on a
//! read waited no longer than for any other probe, 60 ms. What showed it, in each of the five runs: "read spilled to the primary
//! past replicas: 2 stale; 0 attempts in 51 ms" (to 68 ms), right after the start.

mod common;

use common::*;
use ladderpass_routing::*;

const READ: u32 = 0;

/// A router whose primary alone has answered, 5 ms after the start.
fn fresh() -> Router {
    let mut router = Router::start(at(0), 7, deployment());
    let list: Vec<Endpoint> = (0..3).map(|member| entry(member, member == 0)).collect();
    router.on_endpoint_update(at(0), EndpointUpdate::Cached(&list));
    router.tick(at(0));
    probe(&mut router, 5, 0, 5, true);
    router
}

/// What is decided about held RPCs up to a time.
fn decided_by(router: &mut Router, from: i64, to: i64) -> Vec<(i64, Option<u32>)> {
    let mut decided = Vec::new();
    for ms in (from..=to).step_by(5) {
        let decisions = router.tick(at(ms)).decisions;
        decided.extend(decisions.into_iter().map(|(_, decision)| (ms, sent_to(decision))));
    }
    decided
}

#[test]
fn a_first_read_waits_for_the_first_answer_of_a_replica() {
    let mut router = fresh();
    let (_, decision) = router.accept(at(10), arrival(READ, 10));
    assert_eq!(decision, Decision::Queue);
    assert_eq!(decided_by(&mut router, 15, 150), Vec::new(), "no replica has answered yet");
    probe(&mut router, 152, 2, 152, false);
    assert_eq!(decided_by(&mut router, 155, 155), [(155, Some(2))]);
}

/// Replicas that say nothing are waited for no longer than a fresh router waits for anybody.
#[test]
fn a_first_read_spills_once_a_fresh_router_has_waited() {
    let mut router = fresh();
    let (_, decision) = router.accept(at(10), arrival(READ, 10));
    assert_eq!(decision, Decision::Queue);
    assert_eq!(decided_by(&mut router, 15, 295), Vec::new());
    assert_eq!(decided_by(&mut router, 300, 310), [(300, Some(0))]);
}

/// Later each of the two is waited for as long as any, 60 ms, one after the other.
#[test]
fn a_later_read_waits_for_a_probe_of_each_alone() {
    let mut router = fresh();
    for member in 1..3 {
        probe(&mut router, 6, member, 6, false);
    }
    router.tick(at(7));
    // What they told is too old by then, and nobody answers.
    let (_, decision) = router.accept(at(3000), arrival(READ, 3000));
    assert_eq!(decision, Decision::Queue);
    let decided = decided_by(&mut router, 3005, 3200);
    assert_eq!(decided.first().map(|&(_, member)| member), Some(Some(0)), "{decided:?}");
    assert!(decided[0].0 <= 3000 + 2 * 60 + 10, "{decided:?}");
}
