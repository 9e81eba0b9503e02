//! The concurrency limit of a member follows the member's answer times.

mod common;

use common::*;
use ladderpass_routing::*;

#[test]
fn the_limit_shrinks_under_congestion_and_grows_again_afterwards() {
    let mut router = router_with_replicas(1, |d| d.methods[1].late_utility_share = 0.5);
    serve_rpcs(&mut router, 1, 1, 40, 20);
    let burst = |router: &mut Router, ms: i64| {
        answer_all_health_checks(router, 4, ms);
        let mut sent = Vec::new();
        for _ in 0..40 {
            let (rpc, decision) = router.accept(at(ms), arrival(1, ms));
            sent.extend(sent_to(decision).map(|_| rpc));
        }
        sent
    };
    let before = burst(&mut router, 1000);
    let count = before.len();
    assert!(count < 40, "the limit did not hold back any RPC of a burst");
    for rpc in before {
        rpc.on_attempt_ended(&mut router, at(1900), result(0, AttemptOutcome::TimedOut, 900));
    }
    router.tick(at(4999));
    let after = burst(&mut router, 4001);
    assert!(after.len() < count, "a burst of {} is sent after congestion, {count} before it", after.len());
    for rpc in after {
        rpc.on_attempt_ended(&mut router, at(4020), result(0, AttemptOutcome::Ok, 19));
    }
    serve_rpcs(&mut router, 1, 7000, 60, 20);
    assert!(burst(&mut router, 9000).len() >= 2, "the limit did not grow again after congestion");
}

#[test]
fn lost_attempts_do_not_count_against_the_limit() {
    let mut router = router_with_replicas(1, |d| d.methods[1].late_utility_share = 0.5);
    grow_limits(&mut router, 1, 0);
    answer_all_health_checks(&mut router, 4, 1000);
    let lost: Vec<RpcId> = (0..3).map(|_| router.accept(at(1000), arrival(1, 1000)).0).collect();
    serve_rpcs(&mut router, 1, 1001, 1, 20);
    assert!(count_sent_of_burst(&mut router, 1, 2500) >= 3, "lost attempts count against the limit");
    for rpc in lost {
        assert_eq!(
            rpc.on_attempt_ended(&mut router, at(2990), result(0, AttemptOutcome::TimedOut, 1990)),
            Decision::Fail
        );
    }
}

#[test]
fn rejections_reduce_the_limit() {
    let sent_after = |rejections: usize| {
        let mut router = router_with_replicas(1, |d| d.methods[1].late_utility_share = 0.5);
        serve_rpcs(&mut router, 1, 1, 40, 20);
        for _ in 0..rejections {
            answer_all_health_checks(&mut router, 4, 1000);
            let (rpc, _) = router.accept(at(1000), arrival(1, 1000));
            rpc.on_attempt_ended(&mut router, at(1000), result(0, AttemptOutcome::Rejected, 1));
            rpc.abandon(&mut router);
            router.tick(at(1000));
        }
        count_sent_of_burst(&mut router, 1, 5000)
    };
    assert!(
        sent_after(3) < sent_after(0),
        "{} sent after rejections, {} without",
        sent_after(3),
        sent_after(0)
    );
}

#[test]
fn congestion_reduces_the_limit_of_a_lightly_loaded_member() {
    let mut router = router_with_replicas(1, |d| d.methods[1].late_utility_share = 0.5);
    serve_rpcs(&mut router, 1, 1, 40, 20);
    serve_rpcs(&mut router, 1, 6000, 4, 150);
    let sent = count_sent_of_burst(&mut router, 1, 6700);
    assert!(sent <= 2, "{sent} RPCs sent at once under congestion");
}

/// A member that stalled answers all of its attempts late and at the same time. All these answers together
/// count as one sign of congestion, and the congestion ends once the member answers as quickly as before the
/// stall.
#[test]
fn a_stall_does_not_count_as_lasting_congestion() {
    let mut router = router_with_replicas(1, |d| d.methods[1].late_utility_share = 0.5);
    grow_limits(&mut router, 1, 0);
    serve_rpcs(&mut router, 1, 4000, 10, 20);
    answer_all_health_checks(&mut router, 4, 4500);
    let stalled: Vec<RpcId> = (0..8).map(|_| router.accept(at(4500), arrival(1, 4500)).0).collect();
    for rpc in stalled {
        rpc.on_attempt_ended(&mut router, at(5000), result(0, AttemptOutcome::Ok, 500));
    }
    router.tick(at(5000));
    answer_all_health_checks(&mut router, 4, 5010);
    // RPCs arrive one at a time and are answered as quickly as before the stall, so each is sent immediately.
    let at_once = (0..40).filter(|round| {
        let ms = 5010 + round * 25;
        answer_all_health_checks(&mut router, 4, ms);
        let (rpc, decision) = router.accept(at(ms), arrival(1, ms));
        if sent_to(decision).is_some() {
            rpc.on_attempt_ended(&mut router, at(ms + 20), result(0, AttemptOutcome::Ok, 20));
        } else {
            rpc.abandon(&mut router);
        }
        router.tick(at(ms + 20));
        sent_to(decision).is_some()
    });
    let at_once = at_once.count();
    assert!(at_once >= 38, "{at_once} of 40 RPCs were sent immediately");
}

/// A timeout shows no congestion if the client gave up before the answer was overdue. An answer is overdue after
/// three typical answer times.
#[test]
fn timeouts_before_an_answer_is_overdue_do_not_reduce_the_limit() {
    let sent_after = |latency_ms: i64| {
        let mut router = router_with_replicas(1, |d| d.methods[1].late_utility_share = 0.5);
        grow_limits(&mut router, 1, 0);
        for n in 0..6 {
            let ms = 1000 + n * 100;
            answer_all_health_checks(&mut router, 4, ms);
            let (rpc, _) = router.accept(at(ms), arrival(1, ms));
            rpc.on_attempt_ended(
                &mut router,
                at(ms + latency_ms),
                result(0, AttemptOutcome::TimedOut, latency_ms),
            );
            router.tick(at(ms + latency_ms));
        }
        count_sent_of_burst(&mut router, 1, 1700)
    };
    assert!(
        sent_after(50) > sent_after(90),
        "{} sent after early timeouts, {} after timeouts of overdue answers",
        sent_after(50),
        sent_after(90)
    );
}
