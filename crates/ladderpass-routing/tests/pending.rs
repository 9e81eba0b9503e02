//! Pending RPCs, which wait until a member may serve them.

mod common;

use common::*;
use ladderpass_routing::*;

/// Guards against a router that keeps an RPC, while no member can serve the RPC, until the client has no time
/// left for a retry at another router.
#[test]
fn an_rpc_without_an_eligible_member_is_rejected_by_half_of_its_deadline() {
    let mut router = router_with_replicas(2, |_| ());
    for member in 0..=2 {
        (0..3).for_each(|_| {
            router.on_health_check_ended(
                at(10),
                MemberId(member),
                AttemptOutcome::TimedOut,
                Span::ZERO,
                LoadReport::default(),
            );
        });
    }
    let mut write = arrival(1, 20);
    write.deadline = at(420);
    let (rpc, first) = router.accept(at(20), write);
    assert_eq!(first, Decision::Queue);
    assert!(router.tick(at(100)).decisions.is_empty());
    let decided = router.tick(at(220)).decisions;
    assert!(
        matches!(decided[..], [(decided_rpc, Decision::Reject { .. })] if decided_rpc == rpc),
        "{decided:?}"
    );
}

/// If more RPCs are pending than the members have capacity for, the newest is sent first, since the client of
/// the newest RPC will wait longer than the others.
#[test]
fn the_newest_pending_rpc_is_sent_first() {
    let mut router = router_with_replicas(1, |d| d.methods[1].late_utility_share = 0.5);
    answer_all_health_checks(&mut router, 4, 1000);
    let accepted: Vec<_> = (0..30).map(|n| router.accept(at(1000 + n), arrival(1, 1000 + n))).collect();
    let (sent, pending): (Vec<_>, Vec<_>) = accepted.into_iter().partition(|(_, d)| sent_to(*d).is_some());
    assert!(!sent.is_empty() && pending.len() > 1, "{} of 30 RPCs are pending", pending.len());
    sent[0].0.on_attempt_ended(&mut router, at(1040), result(0, AttemptOutcome::Ok, 20));
    let next = router.tick(at(1040)).decisions;
    assert_eq!(next.first().map(|(rpc, _)| *rpc), pending.last().map(|(rpc, _)| *rpc));
}
