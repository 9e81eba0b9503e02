//! Each rule: a short history that breaks it beside one that just keeps it; and long random histories that keep all.

use ladderpass_invariants::{Answer, Event, EventKind, Tolerance, Violation, all_checkers, check_history};
use ladderpass_routing::{Span, Time};
use quickcheck::quickcheck;

fn at(ms: i64) -> Time {
    Time::from_nanos(1_000_000_000_000) + Span::from_millis(ms)
}

fn violations(events: &[(i64, EventKind)]) -> Vec<Violation> {
    let events: Vec<Event> = events.iter().map(|&(ms, what)| Event { at: at(ms), kind: what }).collect();
    check_history(&events, Tolerance::default())
}

fn broken_rules(events: &[(i64, EventKind)]) -> Vec<u8> {
    violations(events).into_iter().map(|violation| violation.rule).collect()
}

fn accepted(rpc: u64) -> EventKind {
    EventKind::Accepted { rpc, deadline: at(100), run_once: true, max_staleness: None }
}

fn answered_ok(rpc: u64) -> EventKind {
    EventKind::Answered { rpc, answer: Answer::Ok, made_for: Some(rpc) }
}

const END: EventKind = EventKind::ClientLeft { rpc: 0 };

#[test]
fn one_answer_in_time() {
    assert_eq!(broken_rules(&[(0, accepted(1)), (150, answered_ok(1)), (9000, END)]), []);
    assert_eq!(
        broken_rules(&[(0, accepted(1)), (151, answered_ok(1)), (9000, END)]),
        [1, 1],
        "no answer in time, then one past it"
    );
    assert_eq!(broken_rules(&[(0, accepted(1)), (9000, END)]), [1]);
    assert_eq!(broken_rules(&[(0, accepted(1)), (50, EventKind::ClientLeft { rpc: 1 }), (9000, END)]), []);
    assert_eq!(broken_rules(&[(0, accepted(1)), (10, answered_ok(1)), (11, answered_ok(1))]), [1]);
    assert_eq!(
        broken_rules(&[(0, accepted(1)), (10, answered_ok(1)), (2000, answered_ok(1))]),
        [1],
        "also long after"
    );
    assert_eq!(broken_rules(&[(10, answered_ok(7))]), [1]);
    let other = EventKind::Answered { rpc: 1, answer: Answer::Ok, made_for: Some(2) };
    assert_eq!(broken_rules(&[(0, accepted(1)), (10, other)]), [1]);
    let broken = violations(&[(0, accepted(1)), (10, answered_ok(1)), (11, answered_ok(1))]);
    assert_eq!((broken[0].rpc, broken[0].proof.len()), (Some(1), 3));
}

#[test]
fn no_effect_twice_and_one_attempt_at_a_time() {
    let (sent, ended, ran) = (
        |member| EventKind::AttemptSent { rpc: 1, member },
        |member| EventKind::AttemptEnded { rpc: 1, member },
        |member| EventKind::Executed { rpc: 1, member },
    );
    assert_eq!(
        broken_rules(&[(0, accepted(1)), (1, sent(0)), (2, ran(0)), (3, ended(0)), (4, answered_ok(1))]),
        []
    );
    assert_eq!(
        broken_rules(&[(0, accepted(1)), (1, sent(0)), (2, ended(0)), (3, sent(1)), (4, answered_ok(1))]),
        [2],
        "it may have run"
    );
    assert_eq!(
        broken_rules(&[(0, accepted(1)), (1, sent(0)), (2, ran(0)), (3, ran(1)), (4, answered_ok(1))]),
        [2]
    );
    let rejected = EventKind::Rejected { rpc: 1, member: 0 };
    assert_eq!(
        broken_rules(&[(0, accepted(1)), (1, sent(0)), (2, rejected), (3, sent(1)), (4, answered_ok(1))]),
        [],
        "it never ran"
    );
    let read = EventKind::Accepted { rpc: 1, deadline: at(100), run_once: false, max_staleness: None };
    assert_eq!(
        broken_rules(&[(0, read), (1, sent(0)), (2, ended(0)), (3, sent(1)), (4, answered_ok(1))]),
        []
    );
    assert_eq!(
        broken_rules(&[(0, read), (1, sent(0)), (3, sent(1)), (4, answered_ok(1))]),
        [2],
        "two at a time"
    );
}

#[test]
fn draining_members_get_no_new_attempt() {
    let sent = |member| EventKind::AttemptSent { rpc: 1, member };
    let drain = EventKind::Draining { member: 2 };
    assert_eq!(
        broken_rules(&[(0, drain), (1, accepted(1)), (40, sent(2)), (60, answered_ok(1))]),
        [],
        "the update may still be on its way"
    );
    assert_eq!(broken_rules(&[(0, drain), (1, accepted(1)), (51, sent(2)), (60, answered_ok(1))]), [3]);
    assert_eq!(broken_rules(&[(0, drain), (1, accepted(1)), (51, sent(1)), (60, answered_ok(1))]), []);
    assert_eq!(
        broken_rules(&[
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
fn members_in_slow_start_get_no_more_than_they_can_serve() {
    let (warm_within, overload_for) = (Span::from_millis(10_000), Span::from_millis(500));
    let started = EventKind::Started {
        member: 1,
        capacity: 100.0,
        initial_fraction: 0.2,
        warm_up_time: warm_within,
        overload_window: overload_for,
    };
    let attempts = |every: i64, from: i64| {
        let mut events = vec![(0, started)];
        events.extend((0..200).map(|nth| (from + nth * every, EventKind::AttemptSent { rpc: 1, member: 1 })));
        broken_rules(&events)
    };
    assert_eq!(attempts(50, 0), [], "20 a second at first");
    assert_eq!(attempts(10, 0).first(), Some(&4), "100 a second at first");
    assert_eq!(attempts(10, 10_600), [], "warm");
}

/// The limit at its edge: two square roots and two RPCs beyond what the member can serve, in any overload window.
#[test]
fn the_margin_is_two_roots_and_two_rpcs_in_any_overload_window() {
    let (warm_within, overload_for) = (Span::from_millis(10_000), Span::from_millis(3000));
    let started = EventKind::Started {
        member: 1,
        capacity: 100.0,
        initial_fraction: 0.2,
        warm_up_time: warm_within,
        overload_window: overload_for,
    };
    // At 4 s it serves 0.2 + 0.8 x 0.4 of its capacity, over the 3 s before 0.4 on average: 120 RPCs, with the margin 143.9.
    let at_once = |count: usize, ms: i64| {
        let attempts = std::iter::repeat_n((ms, EventKind::AttemptSent { rpc: 1, member: 1 }), count);
        broken_rules(&[(0, started)].into_iter().chain(attempts).collect::<Vec<_>>())
    };
    assert_eq!((at_once(143, 4000), at_once(144, 4000)), (vec![], vec![4]));
    // Right after its start it has the budget of a whole window at its initial capacity: 60, with the margin 77.5.
    assert_eq!((at_once(77, 0), at_once(78, 0)), (vec![], vec![4]));
    // An attempt of a whole window ago no longer counts; a millisecond less and it does.
    let twice = |later: i64| {
        let attempt = |ms| (ms, EventKind::AttemptSent { rpc: 1, member: 1 });
        let attempts = [vec![attempt(500); 61], vec![attempt(later); 70]].concat();
        broken_rules(&[vec![(0, started)], attempts].concat())
    };
    assert_eq!((twice(3500), twice(3499)), (vec![], vec![4]));
}

#[test]
fn reads_go_to_no_replica_past_their_maximum_staleness() {
    let read = EventKind::Accepted {
        rpc: 1,
        deadline: at(5000),
        run_once: false,
        max_staleness: Some(Span::from_millis(500)),
    };
    let reached = |ms| EventKind::PositionReached { member: 1, position: at(ms) };
    let sent = EventKind::AttemptSent { rpc: 1, member: 1 };
    assert_eq!(broken_rules(&[(0, reached(0)), (1, read), (600, sent), (601, answered_ok(1))]), []);
    assert_eq!(broken_rules(&[(0, reached(0)), (1, read), (601, sent), (602, answered_ok(1))]), [5]);
    assert_eq!(
        broken_rules(&[(0, reached(0)), (1, read), (550, reached(500)), (601, sent), (602, answered_ok(1))]),
        []
    );
    let primary = EventKind::Primary { member: 1, primary: true };
    assert_eq!(
        broken_rules(&[(0, reached(0)), (0, primary), (1, read), (900, sent), (901, answered_ok(1))]),
        []
    );
}

quickcheck! {
    /// A history that keeps the rules passes however long it is, and memory does not grow with it.
    fn a_valid_history_passes_in_bounded_memory(seeds: Vec<(u8, bool, u8)>) -> bool {
        let mut checkers = all_checkers(Tolerance::default());
        let mut broken = Vec::new();
        let mut now = 0;
        for round in 0..20u64 {
            for (nth, &(gap, once, member)) in (0u64..).zip(&seeds) {
                now += 100 + i64::from(gap);
                let (rpc, member) = (round * 1000 + nth + 1, u32::from(member % 3));
                let due = at(now + 200);
                for (later, what) in [
                    (0, EventKind::Accepted { rpc, deadline: due, run_once: once, max_staleness: None }),
                    (1, EventKind::AttemptSent { rpc, member }),
                    (2, EventKind::Executed { rpc, member }),
                    (3, EventKind::AttemptEnded { rpc, member }),
                    (4, EventKind::Answered { rpc, answer: Answer::Ok, made_for: Some(rpc) }),
                ] {
                    let event = Event { at: at(now + later), kind: what };
                    checkers.iter_mut().for_each(|checker| checker.observe(&event, &mut broken));
                }
                // An RPC every 100 ms, each tracked for about twelve seconds, and some margin.
                assert!(checkers.iter().all(|checker| checker.tracked() < 150));
            }
        }
        broken.is_empty()
    }
}
