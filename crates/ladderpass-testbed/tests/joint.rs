//! The joint history: what becomes of the accounts of clients, the fault tool and members, by small made-up ones.

use ladderpass_emulator::execution_log::{Arrival, Execution};
use ladderpass_emulator::{ExecutionLog, Scenario};
use ladderpass_fault_injection::engine::AttemptEvent;
use ladderpass_invariants::{Answer, Tolerance};
use ladderpass_routing::{Span, Time};
use ladderpass_testbed::joint::{Absence, Drained, History, Started, cold_at_members};
use ladderpass_testbed::load::Entry;
use std::collections::HashMap;

fn at(ms: i64) -> Time {
    Time::from_nanos(1_000_000_000_000 + ms * 1_000_000)
}

fn entry(number: u64, method: usize, sent: i64, answered: Option<(i64, Answer)>) -> Entry {
    let answered = answered.map(|(ms, answer)| (at(ms), answer, (answer == Answer::Ok).then_some(number)));
    let until = at(sent) + Span::from_millis(1000);
    Entry { number, router: 0, method, sent: at(sent), until, answered, lost: None, refused: false }
}

struct World {
    scenario: Scenario,
    journal: Vec<Entry>,
    passed: Vec<AttemptEvent>,
    truth: ExecutionLog,
    absences: Vec<Absence>,
    drained: Vec<Drained>,
    started: Vec<Started>,
    links: HashMap<usize, (usize, u32)>,
}

impl World {
    fn new() -> World {
        World {
            scenario: Scenario::default(),
            journal: vec![entry(1, 0, 0, Some((10, Answer::Ok))), entry(2, 1, 5, Some((20, Answer::Ok)))],
            passed: vec![],
            truth: ExecutionLog::default(),
            absences: vec![],
            drained: vec![],
            started: vec![],
            links: (0..4).map(|link| (link, (link / 2, link as u32 % 2))).collect(),
        }
    }

    fn pass(&mut self, ms: i64, link: usize, number: u64, begins: bool) {
        let at = Time::from_nanos(ms * 1_000_000);
        self.passed.push(AttemptEvent { at, link, id: format!("1-{number:x}"), begins });
    }

    fn ran(&mut self, ms: i64, member: u32, number: u64) {
        let (at, id) = (at(ms), format!("1-{number:x}").into_boxed_str());
        let came = Arrival { at, member, id: id.clone(), position: at, rejected: false };
        self.truth.arrivals.push(came);
        self.truth.executions.push(Execution { at, member, id, method: 1, writes: true, position: at });
    }

    fn rules(&self) -> Vec<u8> {
        self.history().broken().iter().map(|violation| violation.rule).collect()
    }

    fn history(&self) -> History<'_> {
        History {
            scenario: &self.scenario,
            links: &self.links,
            seed: 1,
            journal: &self.journal,
            passed: &self.passed,
            tool_began: at(0),
            truth: &self.truth,
            absences: &self.absences,
            drained: &self.drained,
            started: &self.started,
            grace: Tolerance::default(),
        }
    }
}

#[test]
fn a_good_history_breaks_nothing_and_a_lost_answer_is_excused_of_a_killed_router_alone() {
    let mut world = World::new();
    world.pass(6, 0, 2, true);
    world.ran(8, 0, 2);
    world.pass(10, 0, 2, false);
    assert_eq!(world.rules(), [0u8; 0]);
    world.journal.push(Entry { lost: Some(at(300)), ..entry(3, 0, 200, None) });
    assert_eq!(world.rules(), [1]);
    world.absences.push(Absence { router: 1, from: at(290), to: at(900), planned: false });
    assert_eq!(world.rules(), [1]);
    let ended = Absence { router: 0, from: at(290), to: at(900), planned: true };
    world.absences.push(ended);
    assert_eq!(world.rules(), [1], "told to end, it answers what it has taken");
    world.absences.push(Absence { planned: false, ..ended });
    assert_eq!(world.rules(), [0u8; 0]);
    // One that was sent when it was back is owed its answer.
    world.journal.push(entry(4, 0, 1500, None));
    assert_eq!(world.rules(), [1]);
}

#[test]
fn an_effect_twice_by_two_routers_is_found_and_one_turned_away_is_none() {
    let mut world = World::new();
    world.pass(6, 0, 2, true);
    world.ran(7, 0, 2);
    world.pass(8, 0, 2, false);
    world.pass(9, 2, 2, true);
    assert_eq!(world.rules(), [2]);
    world.ran(10, 0, 2);
    assert_eq!(world.rules(), [2, 2]);
    let mut world = World::new();
    world.pass(6, 0, 2, true);
    let (id, position) = ("1-2".into(), at(7));
    world.truth.arrivals.push(Arrival { at: at(7), member: 0, id, position, rejected: true });
    world.pass(8, 0, 2, false);
    world.pass(9, 2, 2, true);
    world.ran(10, 0, 2);
    assert_eq!(world.rules(), [0u8; 0]);
    world.journal[1].answered = Some((at(20), Answer::Rejected, None));
    assert_eq!(world.rules(), [2]);
}

#[test]
fn a_drain_counts_from_when_each_router_was_told() {
    let mut world = World::new();
    world.ran(1, 0, 2);
    world.drained = vec![Drained { router: 1, member: 1, at: at(100) }];
    world.pass(500, 1, 1, true);
    assert_eq!(world.rules(), [0u8; 0]);
    world.pass(600, 3, 1, true);
    // The same RPC goes out twice at once there, which is of another rule.
    assert_eq!(world.rules(), [2, 3]);
}

#[test]
fn a_cold_member_is_pushed_over_by_the_sum_though_each_alone_keeps_its_ramp() {
    let mut world = World::new();
    world.ran(1, 0, 2);
    let (warm_within, overload_for) = (Span::from_millis(10_000), Span::from_millis(500));
    let (at_start, capacity, cold_from) = (at(0), 100.0, 0.2);
    world.started = vec![Started { at: at_start, member: 1, capacity, cold_from, warm_within, overload_for }];
    // 19 are allowed: 36 by both, 18 by each.
    for n in 0..36 {
        let number = 100 + n as u64;
        world.journal.push(entry(number, 0, n * 10, Some((n * 10 + 5, Answer::Ok))));
        world.pass(n * 10, if n % 2 == 0 { 1 } else { 3 }, number, true);
        world.pass(n * 10 + 5, if n % 2 == 0 { 1 } else { 3 }, number, false);
    }
    assert_eq!(world.rules(), [4]);
    let history = world.history();
    assert!(history.cold_by(0).is_empty() && history.cold_by(1).is_empty());
}

#[test]
fn a_stale_read_is_found_by_what_the_member_had() {
    let mut world = World::new();
    world.ran(1, 0, 2);
    let came = |ms: i64, old: i64| Arrival {
        at: at(ms),
        member: 1,
        id: "1-1".into(),
        position: at(ms - old),
        rejected: false,
    };
    world.truth.arrivals.push(came(5, 1900));
    assert_eq!(world.rules(), [0u8; 0]);
    world.truth.arrivals.push(came(6, 2500));
    // The best that it was known to have reached counts.
    assert_eq!(world.rules(), [0u8; 0]);
    world.truth.arrivals = vec![came(6, 2500)];
    world.truth.executions.clear();
    world.journal.truncate(1);
    assert_eq!(world.rules(), [5]);
}

/// By the members alone, whoever sent it; and how near it came.
#[test]
fn what_came_to_a_cold_member_is_counted_over_all_routers() {
    let (warm_within, overload_for) = (Span::from_millis(10_000), Span::from_millis(3000));
    let started =
        Started { at: at(0), member: 1, capacity: 100.0, cold_from: 0.2, warm_within, overload_for };
    let came = |count: usize| {
        let id = |nth: usize| format!("1-{nth:x}").into_boxed_str();
        let came =
            |nth| Arrival { at: at(0), member: 1, id: id(nth), position: at(0), rejected: nth % 2 == 0 };
        ExecutionLog { arrivals: (0..count).map(came).collect(), ..ExecutionLog::default() }
    };
    // It bears 60 in the window that ends at its start, and 77.5 with what is put down to chance.
    let (broken, roots) = cold_at_members(&[started], &came(77));
    assert!(broken.is_empty() && (1.9..2.0).contains(&roots), "{roots}");
    assert_eq!(cold_at_members(&[started], &came(78)).0.len(), 1);
    assert_eq!(cold_at_members(&[started], &came(0)).1, f64::NEG_INFINITY);
}
