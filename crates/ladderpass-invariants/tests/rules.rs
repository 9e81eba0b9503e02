//! Tests of each rule with short histories that violate it, next to histories that barely comply with it, and a test of
//! all rules with long random histories that comply with them.

use ladderpass_invariants::{Answer, Event, EventKind, Tolerance, Violation, all_checkers, check_history};
use ladderpass_routing::{Span, Time};
use quickcheck::quickcheck;

fn at(ms: i64) -> Time {
    Time::from_nanos(1_000_000_000_000) + Span::from_millis(ms)
}

fn violations(events: &[(i64, EventKind)]) -> Vec<Violation> {
    let events: Vec<Event> = events.iter().map(|&(ms, kind)| Event { at: at(ms), kind }).collect();
    check_history(&events, Tolerance::default())
}

fn violated_rules(events: &[(i64, EventKind)]) -> Vec<u8> {
    violations(events).into_iter().map(|violation| violation.rule).collect()
}

fn accepted(rpc: u64) -> EventKind {
    EventKind::Accepted { rpc, deadline: at(100), run_once: true, max_staleness: None }
}

fn answered_ok(rpc: u64) -> EventKind {
    EventKind::Answered { rpc, answer: Answer::Ok, made_for: Some(rpc) }
}

const END_OF_HISTORY: EventKind = EventKind::ClientLeft { rpc: 0 };

#[test]
fn missing_late_repeated_and_foreign_answers_are_violations() {
    assert_eq!(violated_rules(&[(0, accepted(1)), (150, answered_ok(1)), (9000, END_OF_HISTORY)]), []);
    assert_eq!(
        violated_rules(&[(0, accepted(1)), (151, answered_ok(1)), (9000, END_OF_HISTORY)]),
        [1, 1],
        "the deadline passes without an answer, and a late answer follows"
    );
    assert_eq!(violated_rules(&[(0, accepted(1)), (9000, END_OF_HISTORY)]), [1]);
    assert_eq!(
        violated_rules(&[(0, accepted(1)), (50, EventKind::ClientLeft { rpc: 1 }), (9000, END_OF_HISTORY)]),
        []
    );
    assert_eq!(violated_rules(&[(0, accepted(1)), (10, answered_ok(1)), (11, answered_ok(1))]), [1]);
    assert_eq!(
        violated_rules(&[(0, accepted(1)), (10, answered_ok(1)), (2000, answered_ok(1))]),
        [1],
        "a second answer long after the deadline is detected too"
    );
    assert_eq!(violated_rules(&[(10, answered_ok(7))]), [1]);
    let other = EventKind::Answered { rpc: 1, answer: Answer::Ok, made_for: Some(2) };
    assert_eq!(violated_rules(&[(0, accepted(1)), (10, other)]), [1]);
    let answered_twice = violations(&[(0, accepted(1)), (10, answered_ok(1)), (11, answered_ok(1))]);
    assert_eq!((answered_twice[0].rpc, answered_twice[0].proof.len()), (Some(1), 3));
}

#[test]
fn repeated_effects_and_concurrent_attempts_are_violations() {
    let (sent, ended, ran) = (
        |member| EventKind::AttemptSent { rpc: 1, member },
        |member| EventKind::AttemptEnded { rpc: 1, member },
        |member| EventKind::Executed { rpc: 1, member },
    );
    assert_eq!(
        violated_rules(&[(0, accepted(1)), (1, sent(0)), (2, ran(0)), (3, ended(0)), (4, answered_ok(1))]),
        []
    );
    assert_eq!(
        violated_rules(&[(0, accepted(1)), (1, sent(0)), (2, ended(0)), (3, sent(1)), (4, answered_ok(1))]),
        [2],
        "the first attempt may have run"
    );
    assert_eq!(
        violated_rules(&[(0, accepted(1)), (1, sent(0)), (2, ran(0)), (3, ran(1)), (4, answered_ok(1))]),
        [2]
    );
    let rejected = EventKind::Rejected { rpc: 1, member: 0 };
    assert_eq!(
        violated_rules(&[(0, accepted(1)), (1, sent(0)), (2, rejected), (3, sent(1)), (4, answered_ok(1))]),
        [],
        "a rejected attempt never ran"
    );
    let read = EventKind::Accepted { rpc: 1, deadline: at(100), run_once: false, max_staleness: None };
    assert_eq!(
        violated_rules(&[(0, read), (1, sent(0)), (2, ended(0)), (3, sent(1)), (4, answered_ok(1))]),
        []
    );
    assert_eq!(
        violated_rules(&[(0, read), (1, sent(0)), (3, sent(1)), (4, answered_ok(1))]),
        [2],
        "two attempts are in flight"
    );
}

#[test]
fn attempt_to_a_draining_member_is_a_violation_after_the_update_tolerance() {
    let sent = |member| EventKind::AttemptSent { rpc: 1, member };
    let drain = EventKind::Draining { member: 2 };
    assert_eq!(
        violated_rules(&[(0, drain), (1, accepted(1)), (40, sent(2)), (60, answered_ok(1))]),
        [],
        "the endpoint update may not have arrived yet"
    );
    assert_eq!(violated_rules(&[(0, drain), (1, accepted(1)), (51, sent(2)), (60, answered_ok(1))]), [3]);
    assert_eq!(violated_rules(&[(0, drain), (1, accepted(1)), (51, sent(1)), (60, answered_ok(1))]), []);
    assert_eq!(
        violated_rules(&[
            (0, drain),
            (5, EventKind::Serving { member: 2 }),
            (6, accepted(1)),
            (70, sent(2)),
            (71, answered_ok(1))
        ]),
        []
    );
}

#[test]
fn attempts_beyond_the_capacity_of_a_member_in_slow_start_are_a_violation() {
    let (warm_up_time, overload_window) = (Span::from_millis(10_000), Span::from_millis(500));
    let started = EventKind::Started {
        member: 1,
        capacity: 100.0,
        initial_fraction: 0.2,
        warm_up_time,
        overload_window,
    };
    let attempts = |interval_ms: i64, start_ms: i64| {
        let mut events = vec![(0, started)];
        events.extend(
            (0..200).map(|nth| (start_ms + nth * interval_ms, EventKind::AttemptSent { rpc: 1, member: 1 })),
        );
        violated_rules(&events)
    };
    assert_eq!(attempts(50, 0), [], "20 RPCs per second right after the start");
    assert_eq!(attempts(10, 0).first(), Some(&4), "100 RPCs per second right after the start");
    assert_eq!(attempts(10, 10_600), [], "the slow start has ended");
}

/// Checks the exact limit of rule 4: two square roots and two RPCs above the number that the member can serve in
/// any overload window.
#[test]
fn slow_start_limit_is_two_square_roots_and_two_rpcs_above_the_capacity_of_a_window() {
    let (warm_up_time, overload_window) = (Span::from_millis(10_000), Span::from_millis(3000));
    let started = EventKind::Started {
        member: 1,
        capacity: 100.0,
        initial_fraction: 0.2,
        warm_up_time,
        overload_window,
    };
    // At 4 s after its start, the member has 0.2 + 0.8 x 0.4 of its capacity, and on average 0.4 over the preceding
    // 3 s: it can serve 120 RPCs, and the limit with the margin is 143.9.
    let burst = |count: usize, ms: i64| {
        let attempts = std::iter::repeat_n((ms, EventKind::AttemptSent { rpc: 1, member: 1 }), count);
        violated_rules(&[(0, started)].into_iter().chain(attempts).collect::<Vec<_>>())
    };
    assert_eq!((burst(143, 4000), burst(144, 4000)), (vec![], vec![4]));
    // Right after its start the member has the budget of a whole window at its initial capacity: it can serve 60 RPCs,
    // and the limit with the margin is 77.5.
    assert_eq!((burst(77, 0), burst(78, 0)), (vec![], vec![4]));
    // An attempt exactly one overload window (3 s) before the last attempt no longer counts, but an attempt
    // 2.999 s before the last attempt still counts.
    let bursts = |second_ms: i64| {
        let attempt = |ms| (ms, EventKind::AttemptSent { rpc: 1, member: 1 });
        let attempts = [vec![attempt(500); 61], vec![attempt(second_ms); 70]].concat();
        violated_rules(&[vec![(0, started)], attempts].concat())
    };
    assert_eq!((bursts(3500), bursts(3499)), (vec![], vec![4]));
}

#[test]
fn read_at_a_replica_beyond_its_maximum_staleness_is_a_violation() {
    let read = EventKind::Accepted {
        rpc: 1,
        deadline: at(5000),
        run_once: false,
        max_staleness: Some(Span::from_millis(500)),
    };
    let reached = |ms| EventKind::PositionReached { member: 1, position: at(ms) };
    let sent = EventKind::AttemptSent { rpc: 1, member: 1 };
    assert_eq!(violated_rules(&[(0, reached(0)), (1, read), (600, sent), (601, answered_ok(1))]), []);
    assert_eq!(violated_rules(&[(0, reached(0)), (1, read), (601, sent), (602, answered_ok(1))]), [5]);
    assert_eq!(
        violated_rules(&[
            (0, reached(0)),
            (1, read),
            (550, reached(500)),
            (601, sent),
            (602, answered_ok(1))
        ]),
        []
    );
    let primary = EventKind::Primary { member: 1, primary: true };
    assert_eq!(
        violated_rules(&[(0, reached(0)), (0, primary), (1, read), (900, sent), (901, answered_ok(1))]),
        []
    );
}

quickcheck! {
    /// A history that complies with the rules has no violations, and the number of RPCs, members and attempts that a
    /// checker tracks does not grow with the length of the history.
    fn long_valid_history_has_no_violation_and_bounded_memory(seeds: Vec<(u8, bool, u8)>) -> bool {
        let mut checkers = all_checkers(Tolerance::default());
        let mut violations = Vec::new();
        let mut now = 0;
        for round in 0..20u64 {
            for (nth, &(gap, run_once, member)) in (0u64..).zip(&seeds) {
                now += 100 + i64::from(gap);
                let (rpc, member) = (round * 1000 + nth + 1, u32::from(member % 3));
                let deadline = at(now + 200);
                for (offset_ms, kind) in [
                    (0, EventKind::Accepted { rpc, deadline, run_once, max_staleness: None }),
                    (1, EventKind::AttemptSent { rpc, member }),
                    (2, EventKind::Executed { rpc, member }),
                    (3, EventKind::AttemptEnded { rpc, member }),
                    (4, EventKind::Answered { rpc, answer: Answer::Ok, made_for: Some(rpc) }),
                ] {
                    let event = Event { at: at(now + offset_ms), kind };
                    checkers.iter_mut().for_each(|checker| checker.observe(&event, &mut violations));
                }
                // RPCs begin at intervals of at least 100 ms, and each is tracked for 10.2 s: until its deadline
                // after 200 ms, and for 10 s more. A checker therefore tracks about 102 RPCs at most, and the limit
                // of 150 leaves a margin.
                assert!(checkers.iter().all(|checker| checker.tracked() < 150));
            }
        }
        violations.is_empty()
    }
}
