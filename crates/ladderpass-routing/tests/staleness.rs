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
