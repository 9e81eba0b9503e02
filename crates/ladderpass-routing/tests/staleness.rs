//! The data that reads must see, and the members that may serve them.

mod common;

use common::*;
use ladderpass_routing::*;

#[test]
fn a_replica_whose_lag_nears_the_staleness_bound_gets_fewer_reads() {
    let sent = |lag: i64| {
        let mut router = router_with_replicas(1, |_| {});
        grow_limits(&mut router, 0, 0);
        answer_health_check(&mut router, 3000, 0, 3000, true);
        answer_health_check(&mut router, 3000, 1, 3000 - lag, false);
        let destinations = (0..20).map(|_| sent_to(router.accept(at(3000), arrival(0, 3000)).1));
        destinations.filter(|member| *member == Some(1)).count()
    };
    assert!(
        sent(700) >= 1 && sent(700) < sent(0),
        "{} reads sent near the bound, {} without lag",
        sent(700),
        sent(0)
    );
}

/// Guards against reads of data that is within the staleness bound when the attempt is decided, and older than the
/// bound when the last byte of the query is sent.
#[test]
fn one_tick_of_the_staleness_bound_is_reserved_for_the_send() {
    for (ms, expected) in [(790, true), (798, false)] {
        let mut router = router_with_replicas(1, |_| ());
        let (_, decision) = router.accept(at(ms), arrival(0, ms));
        assert_eq!(sent_to(decision) == Some(1), expected, "at {ms} ms");
    }
}

/// A write whose answer is late or lost may have committed, so later reads of its session must see it.
#[test]
fn a_session_read_sees_a_write_whose_answer_is_late_or_lost() {
    for outcome in [
        AttemptOutcome::Ok,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Rejected,
    ] {
        let mut router = router_with_replicas(2, |d| {
            d.session_write_age_carried = false;
            d.methods.push(method(Consistency::Session, Idempotency::Idempotent));
        });
        let session_arrival = |session, method, ms| Arrival { session: Some(session), ..arrival(method, ms) };
        // Replicas report positions that are 40 ms old.
        let report_positions = |router: &mut Router, ms: i64| {
            router.tick(at(ms));
            answer_health_check(router, ms, 0, ms, true);
            [1, 2].into_iter().for_each(|member| answer_health_check(router, ms, member, ms - 40, false));
        };
        report_positions(&mut router, 1000);
        let (write, decision) = router.accept(at(1000), session_arrival(5, 1, 1000));
        assert_eq!(sent_to(decision), Some(0));
        let read = |router: &mut Router, ms, session| {
            let (rpc, decision) = router.accept(at(ms), session_arrival(session, 4, ms));
            rpc.abandon(router);
            router.tick(at(ms));
            matches!(sent_to(decision), Some(1 | 2))
        };
        report_positions(&mut router, 1050);
        assert!(
            read(&mut router, 1050, 5),
            "{outcome:?}: the write was sent too recently for its answer to be known"
        );
        assert!(
            !read(&mut router, 1130, 5),
            "{outcome:?}: the write may have committed at 1030 ms, and the replicas are at 1010 ms"
        );
        assert!(read(&mut router, 1130, 6), "{outcome:?}: a read of another session need not see the write");
        // The result of the write carries no commit position, as when the answer broke off before its end.
        write.on_attempt_ended(&mut router, at(1140), result(0, outcome, 140));
        write.abandon(&mut router);
        report_positions(&mut router, 1150);
        assert_eq!(
            read(&mut router, 1150, 5),
            outcome == AttemptOutcome::Rejected,
            "{outcome:?}: unless it was rejected, the write may have committed by 1140 ms"
        );
        report_positions(&mut router, 2000);
        assert!(read(&mut router, 2000, 5), "{outcome:?}: the replicas have reached 1960 ms");
    }
}

/// Has a read sent to member 1 and answered 10 ms later, with this position.
fn answer_read(router: &mut Router, ms: i64, position_ms: i64) {
    let (rpc, decision) = router.accept(at(ms), arrival(0, ms));
    assert_eq!(sent_to(decision), Some(1));
    let answered = AttemptResult {
        role: Some(Role::Replica),
        position: Some(at(position_ms)),
        ..result(1, AttemptOutcome::Ok, 10)
    };
    rpc.on_attempt_ended(router, at(ms + 10), answered);
}

fn position_of_replica(router: &Router) -> Time {
    router.known_position(MemberId(1)).expect("a listed member").position
}

/// Guards against stale reads: a position that was never reached, told once by a lagging replica, stayed recorded until
/// its time had passed, although the replica's next answers told earlier positions.
#[test]
fn a_position_is_corrected_once_the_answers_to_later_queries_contradict_it() {
    for by_health_check in [false, true] {
        let mut router = router_with_replicas(1, |_| {});
        answer_health_check(&mut router, 9_990, 0, 9_990, true);
        answer_health_check(&mut router, 10_000, 1, 10_300, false);
        for ms in [10_010, 10_030] {
            assert_eq!(position_of_replica(&router), at(10_300), "by a health check: {by_health_check}");
            if by_health_check {
                answer_health_check(&mut router, ms + 10, 1, ms - 5_000, false);
            } else {
                answer_read(&mut router, ms, ms - 5_000);
            }
        }
        assert_eq!(position_of_replica(&router), at(5_030), "by a health check: {by_health_check}");
        let (_, decision) = router.accept(at(10_050), arrival(0, 10_050));
        assert_ne!(sent_to(decision), Some(1), "by a health check: {by_health_check}");
    }
}

/// Guards against a sound replica that gets no reads: one answer with a position far back, among answers with positions
/// that advance, is corrupt itself.
#[test]
fn a_replica_stays_in_use_after_single_positions_that_are_too_early() {
    let mut router = router_with_replicas(1, |_| {});
    answer_health_check(&mut router, 10_000, 0, 10_000, true);
    answer_health_check(&mut router, 10_000, 1, 9_990, false);
    for ms in (10_010..11_000).step_by(40) {
        answer_read(&mut router, ms, ms - 600_000);
        answer_read(&mut router, ms + 20, ms);
        assert_eq!(position_of_replica(&router), at(ms));
    }
}

/// A report that is older than the recorded position, because it was sent earlier or waited at the member, says nothing
/// against that position.
#[test]
fn a_late_report_does_not_lower_a_proven_position() {
    let mut router = router_with_replicas(1, |_| {});
    answer_health_check(&mut router, 10_000, 0, 10_000, true);
    answer_health_check(&mut router, 10_000, 1, 9_900, false);
    let (rpc, decision) = router.accept(at(10_010), arrival(0, 10_010));
    assert_eq!(sent_to(decision), Some(1));
    answer_health_check(&mut router, 10_100, 1, 10_050, false);
    let late = AttemptResult { position: Some(at(9_910)), ..result(1, AttemptOutcome::Ok, 110) };
    rpc.on_attempt_ended(&mut router, at(10_120), late);
    // The load report was made 150 ms before it was sent.
    answer_health_check(&mut router, 10_200, 1, 10_045, false);
    let known = router.known_position(MemberId(1)).expect("a listed member");
    assert_eq!(known.position, at(10_050));
}
