//! The times of health checks of members, and the effects of their results.

mod common;

use common::*;
use ladderpass_routing::*;

#[test]
fn a_read_waits_for_a_health_check_of_one_replica_when_all_reports_are_old() {
    let mut router = router_with_replicas(4, |_| {});
    router.tick(at(4999));
    let (rpc, decision) = router.accept(at(5000), arrival(0, 5000));
    assert_eq!(decision, Decision::Queue);
    let checked = router.tick(at(5000)).health_checks;
    assert_eq!(checked.len(), 1, "one of the four replicas is checked");
    answer_health_check(&mut router, 5001, checked[0].0, 5000, false);
    let decisions = router.tick(at(5001)).decisions;
    assert_eq!(decisions, [(rpc, Decision::Attempt { member: checked[0], timeout: None })]);
}

/// All replicas are at their limit and reject not only RPCs but also health checks. A read must not wait for one
/// replica after the other until its deadline while the primary is idle.
#[test]
fn a_read_spills_when_its_replicas_reject_health_checks() {
    let mut router = router_with_replicas(3, |_| {});
    router.tick(at(4999));
    answer_health_check(&mut router, 4999, 0, 4999, true);
    let (rpc, decision) = router.accept(at(5000), arrival(0, 5000));
    assert_eq!(decision, Decision::Queue);
    for ms in 5000..5100 {
        let output = router.tick(at(ms));
        if let Some(&(decided, decision)) = output.decisions.first() {
            assert_eq!((decided, sent_to(decision)), (rpc, Some(0)), "at {ms} ms");
            return;
        }
        for id in output.health_checks {
            router.on_health_check_ended(
                at(ms + 1),
                id,
                AttemptOutcome::Rejected,
                Span::from_millis(1),
                LoadReport::default(),
            );
        }
    }
    panic!("the read still waits for replicas that reject health checks");
}

#[test]
fn the_health_check_rate_follows_the_rpc_rate() {
    let count_checks = |rpc_every_ms: i64| {
        let mut router = router_with_replicas(4, |d| d.methods[1].late_utility_share = 0.5);
        let mut count = 0;
        for ms in (10..80_000).step_by(10) {
            if ms % rpc_every_ms == 0 {
                let (rpc, decision) = router.accept(at(ms), arrival(1, ms));
                if sent_to(decision).is_some() {
                    rpc.on_attempt_ended(&mut router, at(ms), result(0, AttemptOutcome::Ok, 5));
                }
            }
            let checked = router.tick(at(ms)).health_checks;
            count += checked.len();
            checked.iter().for_each(|id| answer_health_check(&mut router, ms, id.0, ms, id.0 == 0));
        }
        count
    };
    let (busy, idle) = (count_checks(10), count_checks(5000));
    assert!(busy > 200 && idle > 0 && idle < 20, "{busy} health checks when busy, {idle} when idle");
}

/// A first answer to a health check without a load report must not be taken as the answer of a replica that is far
/// behind.
#[test]
fn a_member_that_answers_a_health_check_without_a_report_is_checked_again_soon() {
    let mut router = Router::start(at(0), 7, deployment());
    router.on_endpoint_update(at(0), EndpointUpdate::Cached(&[endpoint(0, true), endpoint(1, false)]));
    let (_, first) = router.accept(at(0), arrival(0, 0));
    assert_eq!((first, router.tick(at(0)).health_checks.len()), (Decision::Queue, 2));
    (0..2).for_each(|m| {
        router.on_health_check_ended(
            at(1),
            MemberId(m),
            AttemptOutcome::Ok,
            Span::ZERO,
            LoadReport::default(),
        )
    });
    assert!(router.tick(at(1)).decisions.is_empty());
    assert_eq!(router.tick(at(210)).health_checks.len(), 2);
    answer_health_check(&mut router, 211, 1, 200, false);
    assert_eq!(router.tick(at(211)).decisions.iter().find_map(|(_, decision)| sent_to(*decision)), Some(1));
}

/// A health check whose connection broke, or whose answer could not be read, does not show that the member is down.
#[test]
fn health_checks_whose_connection_broke_are_repeated_and_eject_no_member() {
    let mut router = router_with_replicas(1, |_| {});
    for n in 0..5 {
        router.on_health_check_ended(
            at(100 + n),
            MemberId(1),
            AttemptOutcome::ConnectionLost,
            Span::ZERO,
            LoadReport::default(),
        );
    }
    assert!(
        router.tick(at(400)).health_checks.contains(&MemberId(1)),
        "the replica is not checked again soon"
    );
    answer_health_check(&mut router, 401, 1, 400, false);
    assert_eq!(sent_to(router.accept(at(402), arrival(0, 402)).1), Some(1));
}

/// A health check is never sent if the router itself has no file descriptor for it. A check that was never sent
/// shows nothing about the member, which is checked again soon.
#[test]
fn health_checks_that_were_never_sent_are_repeated_and_eject_no_member() {
    let mut router = router_with_replicas(1, |_| {});
    for n in 0..5 {
        router.on_health_check_ended(
            at(100 + n),
            MemberId(0),
            AttemptOutcome::NeverSent,
            Span::ZERO,
            LoadReport::default(),
        );
        router.on_health_check_ended(
            at(100 + n),
            MemberId(1),
            AttemptOutcome::NeverSent,
            Span::ZERO,
            LoadReport::default(),
        );
    }
    let messages = router.tick(at(104)).log_messages;
    assert!(!messages.iter().any(|message| message.contains("ejected")), "{messages:?}");
    assert_eq!(sent_to(router.accept(at(105), arrival(1, 105)).1), Some(0), "the primary was ejected");
    assert_eq!(sent_to(router.accept(at(105), arrival(0, 105)).1), Some(1));
    assert!(
        router.tick(at(700)).health_checks.contains(&MemberId(1)),
        "the replica is not checked again soon"
    );
}
