//! Each rule broken by a history of a few events, kept by its neighbour; and long random histories that keep all.

use ladderpass_invariants::{Answer, Event, Grace, Violation, What, all, check};
use ladderpass_routing::{Span, Time};
use quickcheck::quickcheck;

fn at(ms: i64) -> Time {
    Time::from_nanos(1_000_000_000_000) + Span::from_millis(ms)
}

fn history(events: &[(i64, What)]) -> Vec<Violation> {
    let events: Vec<Event> = events.iter().map(|&(ms, what)| Event { at: at(ms), what }).collect();
    check(&events, Grace::default())
}

fn rules(events: &[(i64, What)]) -> Vec<u8> {
    history(events).into_iter().map(|violation| violation.rule).collect()
}

fn taken(rpc: u64) -> What {
    What::Taken { rpc, due: at(100), once: true, bound: None }
}

fn ok(rpc: u64) -> What {
    What::Answered { rpc, answer: Answer::Ok, made_for: Some(rpc) }
}

const END: What = What::Left { rpc: 0 };

#[test]
fn one_answer_in_time() {
    assert_eq!(rules(&[(0, taken(1)), (150, ok(1)), (9000, END)]), []);
    assert_eq!(
        rules(&[(0, taken(1)), (151, ok(1)), (9000, END)]),
        [1, 1],
        "no answer in time, then one past it"
    );
    assert_eq!(rules(&[(0, taken(1)), (9000, END)]), [1]);
    assert_eq!(rules(&[(0, taken(1)), (50, What::Left { rpc: 1 }), (9000, END)]), []);
    assert_eq!(rules(&[(0, taken(1)), (10, ok(1)), (11, ok(1))]), [1]);
    assert_eq!(rules(&[(0, taken(1)), (10, ok(1)), (2000, ok(1))]), [1], "also long after");
    assert_eq!(rules(&[(10, ok(7))]), [1]);
    let other = What::Answered { rpc: 1, answer: Answer::Ok, made_for: Some(2) };
    assert_eq!(rules(&[(0, taken(1)), (10, other)]), [1]);
    let broken = history(&[(0, taken(1)), (10, ok(1)), (11, ok(1))]);
    assert_eq!((broken[0].rpc, broken[0].proof.len()), (Some(1), 3));
}

#[test]
fn no_effect_twice_and_one_call_out_at_a_time() {
    let (out, over, ran) = (
        |member| What::CalledOut { rpc: 1, member },
        |member| What::CallOutOver { rpc: 1, member },
        |member| What::Ran { rpc: 1, member },
    );
    assert_eq!(rules(&[(0, taken(1)), (1, out(0)), (2, ran(0)), (3, over(0)), (4, ok(1))]), []);
    assert_eq!(
        rules(&[(0, taken(1)), (1, out(0)), (2, over(0)), (3, out(1)), (4, ok(1))]),
        [2],
        "it may have run"
    );
    assert_eq!(rules(&[(0, taken(1)), (1, out(0)), (2, ran(0)), (3, ran(1)), (4, ok(1))]), [2]);
    let away = What::TurnedAway { rpc: 1, member: 0 };
    assert_eq!(rules(&[(0, taken(1)), (1, out(0)), (2, away), (3, out(1)), (4, ok(1))]), [], "it never ran");
    let read = What::Taken { rpc: 1, due: at(100), once: false, bound: None };
    assert_eq!(rules(&[(0, read), (1, out(0)), (2, over(0)), (3, out(1)), (4, ok(1))]), []);
    assert_eq!(rules(&[(0, read), (1, out(0)), (3, out(1)), (4, ok(1))]), [2], "two at a time");
}

#[test]
fn drains_are_kept() {
    let out = |member| What::CalledOut { rpc: 1, member };
    let drain = What::Draining { member: 2 };
    assert_eq!(rules(&[(0, drain), (1, taken(1)), (40, out(2)), (60, ok(1))]), [], "it was on the way");
    assert_eq!(rules(&[(0, drain), (1, taken(1)), (51, out(2)), (60, ok(1))]), [3]);
    assert_eq!(rules(&[(0, drain), (1, taken(1)), (51, out(1)), (60, ok(1))]), []);
    assert_eq!(
        rules(&[(0, drain), (5, What::Serving { member: 2 }), (6, taken(1)), (70, out(2)), (71, ok(1))]),
        []
    );
}

#[test]
fn cold_members_get_what_they_bear() {
    let (warm_within, overload_for) = (Span::from_millis(10_000), Span::from_millis(500));
    let started = What::Started { member: 1, capacity: 100.0, cold_from: 0.2, warm_within, overload_for };
    let calls = |every: i64, from: i64| {
        let mut events = vec![(0, started)];
        events.extend((0..200).map(|nth| (from + nth * every, What::CalledOut { rpc: 1, member: 1 })));
        rules(&events)
    };
    assert_eq!(calls(50, 0), [], "20 a second at first");
    assert_eq!(calls(10, 0).first(), Some(&4), "100 a second at first");
    assert_eq!(calls(10, 10_600), [], "warm");
}

/// The bound at its edge: 2 roots and 2 beyond what a member bears in the time that the settings name, in any window.
#[test]
fn cold_members_get_two_roots_and_two_more_in_the_settings_time() {
    let (warm_within, overload_for) = (Span::from_millis(10_000), Span::from_millis(3000));
    let started = What::Started { member: 1, capacity: 100.0, cold_from: 0.2, warm_within, overload_for };
    // At 4 s it bears 0.2 + 0.8 x 0.4 of its capacity, over the 3 s before 0.4 on average: 120, with chance 143.9.
    let at_once = |count: usize, ms: i64| {
        let calls = std::iter::repeat_n((ms, What::CalledOut { rpc: 1, member: 1 }), count);
        rules(&[(0, started)].into_iter().chain(calls).collect::<Vec<_>>())
    };
    assert_eq!((at_once(143, 4000), at_once(144, 4000)), (vec![], vec![4]));
    // Right after its start it has the budget of a whole window, of what it bears then: 60, with chance 77.5.
    assert_eq!((at_once(77, 0), at_once(78, 0)), (vec![], vec![4]));
    // What came a whole window ago counts no more, a millisecond less and it does.
    let twice = |later: i64| {
        let call = |ms| (ms, What::CalledOut { rpc: 1, member: 1 });
        let calls = [vec![call(500); 61], vec![call(later); 70]].concat();
        rules(&[vec![(0, started)], calls].concat())
    };
    assert_eq!((twice(3500), twice(3499)), (vec![], vec![4]));
}

#[test]
fn reads_go_to_no_replica_past_their_bound() {
    let read = What::Taken { rpc: 1, due: at(5000), once: false, bound: Some(Span::from_millis(500)) };
    let reached = |ms| What::Reached { member: 1, position: at(ms) };
    let out = What::CalledOut { rpc: 1, member: 1 };
    assert_eq!(rules(&[(0, reached(0)), (1, read), (600, out), (601, ok(1))]), []);
    assert_eq!(rules(&[(0, reached(0)), (1, read), (601, out), (602, ok(1))]), [5]);
    assert_eq!(rules(&[(0, reached(0)), (1, read), (550, reached(500)), (601, out), (602, ok(1))]), []);
    let primary = What::Primary { member: 1, primary: true };
    assert_eq!(rules(&[(0, reached(0)), (0, primary), (1, read), (900, out), (901, ok(1))]), []);
}

quickcheck! {
    /// A history that keeps the rules is told to keep them, however long; and memory does not grow with it.
    fn a_good_history_passes_in_bounded_memory(seeds: Vec<(u8, bool, u8)>) -> bool {
        let mut checkers = all(Grace::default());
        let mut broken = Vec::new();
        let mut now = 0;
        for round in 0..20u64 {
            for (nth, &(gap, once, member)) in (0u64..).zip(&seeds) {
                now += 100 + i64::from(gap);
                let (rpc, member) = (round * 1000 + nth + 1, u32::from(member % 3));
                let due = at(now + 200);
                for (later, what) in [
                    (0, What::Taken { rpc, due, once, bound: None }),
                    (1, What::CalledOut { rpc, member }),
                    (2, What::Ran { rpc, member }),
                    (3, What::CallOutOver { rpc, member }),
                    (4, What::Answered { rpc, answer: Answer::Ok, made_for: Some(rpc) }),
                ] {
                    let event = Event { at: at(now + later), what };
                    checkers.iter_mut().for_each(|checker| checker.see(&event, &mut broken));
                }
                // Twelve seconds of a hundred milliseconds each, and some more, for each checker.
                assert!(checkers.iter().all(|checker| checker.kept() < 150));
            }
        }
        broken.is_empty()
    }
}
