//! The history checker, on small made-up records of clients, the fault tool and members.

use ladderpass_emulator::execution_log::{Arrival, Execution};
use ladderpass_emulator::{ExecutionLog, Scenario};
use ladderpass_fault_injection::engine::AttemptEvent;
use ladderpass_invariants::{Answer, Tolerance};
use ladderpass_routing::{Span, Time};
use ladderpass_testbed::history_checker::{Absence, DrainNotice, History, Started, cold_at_members};
use ladderpass_testbed::load::RpcRecord;
use std::collections::HashMap;

fn at(ms: i64) -> Time {
    Time::from_nanos(1_000_000_000_000 + ms * 1_000_000)
}

fn entry(number: u64, method: usize, sent: i64, answered: Option<(i64, Answer)>) -> RpcRecord {
    let answered = answered.map(|(ms, answer)| (at(ms), answer, (answer == Answer::Ok).then_some(number)));
    let deadline = at(sent) + Span::from_millis(1000);
    RpcRecord { number, router: 0, method, sent: at(sent), deadline, answered, lost: None, refused: false }
}

struct RecordedRun {
    scenario: Scenario,
    journal: Vec<RpcRecord>,
    passed: Vec<AttemptEvent>,
    truth: ExecutionLog,
    absences: Vec<Absence>,
    drained: Vec<DrainNotice>,
    started: Vec<Started>,
    links: HashMap<usize, (usize, u32)>,
}

impl RecordedRun {
    fn new() -> RecordedRun {
        RecordedRun {
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

    fn violated_rules(&self) -> Vec<u8> {
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
fn a_valid_history_has_no_violation_and_a_lost_answer_is_excused_only_by_an_absence() {
    let mut run = RecordedRun::new();
    run.pass(6, 0, 2, true);
    run.ran(8, 0, 2);
    run.pass(10, 0, 2, false);
    assert_eq!(run.violated_rules(), [0u8; 0]);
    run.journal.push(RpcRecord { lost: Some(at(300)), ..entry(3, 0, 200, None) });
    assert_eq!(run.violated_rules(), [1]);
    run.absences.push(Absence { router: 1, from: at(290), to: at(900), planned: false });
    assert_eq!(run.violated_rules(), [1]);
    let shutdown = Absence { router: 0, from: at(290), to: at(900), planned: true };
    run.absences.push(shutdown);
    assert_eq!(run.violated_rules(), [1], "a router that shuts down must answer what it has accepted");
    run.absences.push(Absence { planned: false, ..shutdown });
    assert_eq!(run.violated_rules(), [0u8; 0]);
    // An RPC sent after the router was back must be answered.
    run.journal.push(entry(4, 0, 1500, None));
    assert_eq!(run.violated_rules(), [1]);
}

#[test]
fn a_write_run_twice_by_two_routers_is_found_and_a_rejected_attempt_has_no_effect() {
    let mut run = RecordedRun::new();
    run.pass(6, 0, 2, true);
    run.ran(7, 0, 2);
    run.pass(8, 0, 2, false);
    run.pass(9, 2, 2, true);
    assert_eq!(run.violated_rules(), [2]);
    run.ran(10, 0, 2);
    assert_eq!(run.violated_rules(), [2, 2]);
    let mut run = RecordedRun::new();
    run.pass(6, 0, 2, true);
    let (id, position) = ("1-2".into(), at(7));
    run.truth.arrivals.push(Arrival { at: at(7), member: 0, id, position, rejected: true });
    run.pass(8, 0, 2, false);
    run.pass(9, 2, 2, true);
    run.ran(10, 0, 2);
    assert_eq!(run.violated_rules(), [0u8; 0]);
    run.journal[1].answered = Some((at(20), Answer::Rejected, None));
    assert_eq!(run.violated_rules(), [2]);
}

#[test]
fn a_drain_counts_from_when_each_router_was_notified() {
    let mut run = RecordedRun::new();
    run.ran(1, 0, 2);
    run.drained = vec![DrainNotice { router: 1, member: 1, at: at(100) }];
    run.pass(500, 1, 1, true);
    assert_eq!(run.violated_rules(), [0u8; 0]);
    run.pass(600, 3, 1, true);
    // The same RPC has two attempts at once, which violates rule 2.
    assert_eq!(run.violated_rules(), [2, 3]);
}

#[test]
fn a_cold_member_is_overloaded_by_two_routers_that_each_keep_its_ramp() {
    let mut run = RecordedRun::new();
    run.ran(1, 0, 2);
    let (warm_within, overload_for) = (Span::from_millis(10_000), Span::from_millis(500));
    let (at_start, capacity, cold_from) = (at(0), 100.0, 0.2);
    run.started = vec![Started { at: at_start, member: 1, capacity, cold_from, warm_within, overload_for }];
    // 19 are allowed; both send 36, each sends 18.
    for n in 0..36 {
        let number = 100 + n as u64;
        run.journal.push(entry(number, 0, n * 10, Some((n * 10 + 5, Answer::Ok))));
        run.pass(n * 10, if n % 2 == 0 { 1 } else { 3 }, number, true);
        run.pass(n * 10 + 5, if n % 2 == 0 { 1 } else { 3 }, number, false);
    }
    assert_eq!(run.violated_rules(), [4]);
    let history = run.history();
    assert!(history.cold_by(0).is_empty() && history.cold_by(1).is_empty());
}

#[test]
fn a_stale_read_is_found_by_the_position_of_the_member() {
    let mut run = RecordedRun::new();
    run.ran(1, 0, 2);
    let came = |ms: i64, old: i64| Arrival {
        at: at(ms),
        member: 1,
        id: "1-1".into(),
        position: at(ms - old),
        rejected: false,
    };
    run.truth.arrivals.push(came(5, 1900));
    assert_eq!(run.violated_rules(), [0u8; 0]);
    run.truth.arrivals.push(came(6, 2500));
    // The best position that the member was known to have counts.
    assert_eq!(run.violated_rules(), [0u8; 0]);
    run.truth.arrivals = vec![came(6, 2500)];
    run.truth.executions.clear();
    run.journal.truncate(1);
    assert_eq!(run.violated_rules(), [5]);
}

/// From the members' records alone, whichever router sent the attempt.
#[test]
fn attempts_at_a_cold_member_are_counted_over_all_routers() {
    let (warm_within, overload_for) = (Span::from_millis(10_000), Span::from_millis(3000));
    let started =
        Started { at: at(0), member: 1, capacity: 100.0, cold_from: 0.2, warm_within, overload_for };
    let came = |count: usize| {
        let id = |nth: usize| format!("1-{nth:x}").into_boxed_str();
        let came =
            |nth| Arrival { at: at(0), member: 1, id: id(nth), position: at(0), rejected: nth % 2 == 0 };
        ExecutionLog { arrivals: (0..count).map(came).collect(), ..ExecutionLog::default() }
    };
    // Its capacity is 60 in the window that ends at its start, and 77.5 with the tolerance for chance.
    let (broken, roots) = cold_at_members(&[started], &came(77));
    assert!(broken.is_empty() && (1.9..2.0).contains(&roots), "{roots}");
    assert_eq!(cold_at_members(&[started], &came(78)).0.len(), 1);
    assert_eq!(cold_at_members(&[started], &came(0)).1, f64::NEG_INFINITY);
}
