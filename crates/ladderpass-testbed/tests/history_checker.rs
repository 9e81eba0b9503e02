//! Tests of the history checker on small constructed records of clients, the fault tool and members.

use ladderpass_emulator::execution_log::{Arrival, Execution};
use ladderpass_emulator::{ExecutionLog, Scenario};
use ladderpass_fault_injection::engine::AttemptEvent;
use ladderpass_invariants::{Answer, Tolerance};
use ladderpass_routing::{Span, Time};
use ladderpass_testbed::history_checker::{
    Absence, ColdStart, DrainNotice, History, MemberLink, SlowStartCheck, check_slow_start_at_members,
};
use ladderpass_testbed::load::{ConnectionEnd, RpcAnswer, RpcRecord};
use std::collections::HashMap;

fn at(ms: i64) -> Time {
    Time::from_nanos(1_000_000_000_000 + ms * 1_000_000)
}

fn entry(number: u64, method: usize, sent: i64, answered: Option<(i64, Answer)>) -> RpcRecord {
    let made_for = |answer: Answer| (answer == Answer::Ok).then_some(number);
    let answered = answered.map(|(ms, answer)| RpcAnswer { at: at(ms), answer, made_for: made_for(answer) });
    let deadline = at(sent) + Span::from_millis(1000);
    RpcRecord {
        number,
        router: 0,
        method,
        sent: at(sent),
        deadline,
        answered,
        lost: None,
        connection_end: None,
        refused: false,
    }
}

/// Returns the cold start of a member that can serve 100 RPCs per second after its warm-up.
fn cold_start() -> ColdStart {
    ColdStart {
        at: at(0),
        member: 1,
        capacity: 100.0,
        initial_fraction: 0.2,
        warm_up_time: Span::from_millis(10_000),
        overload_window: Span::ZERO,
    }
}

struct RecordedRun {
    scenario: Scenario,
    journal: Vec<RpcRecord>,
    attempts: Vec<AttemptEvent>,
    execution_log: ExecutionLog,
    absences: Vec<Absence>,
    drain_notices: Vec<DrainNotice>,
    cold_starts: Vec<ColdStart>,
    links: HashMap<usize, MemberLink>,
}

impl RecordedRun {
    fn new() -> RecordedRun {
        RecordedRun {
            scenario: Scenario::default(),
            journal: vec![entry(1, 0, 0, Some((10, Answer::Ok))), entry(2, 1, 5, Some((20, Answer::Ok)))],
            attempts: vec![],
            execution_log: ExecutionLog::default(),
            absences: vec![],
            drain_notices: vec![],
            cold_starts: vec![],
            links: (0..4)
                .map(|link| (link, MemberLink { router: link / 2, member: link as u32 % 2 }))
                .collect(),
        }
    }

    fn observe(&mut self, ms: i64, link: usize, number: u64, begins: bool) {
        let at = Time::from_nanos(ms * 1_000_000);
        self.attempts.push(AttemptEvent { at, link, id: format!("1-{number:x}"), begins });
    }

    fn execute(&mut self, ms: i64, member: u32, number: u64) {
        let (at, id) = (at(ms), format!("1-{number:x}").into_boxed_str());
        let arrival = Arrival { at, member, id: id.clone(), position: at, rejected: false };
        self.execution_log.arrivals.push(arrival);
        self.execution_log.executions.push(Execution {
            at,
            member,
            id,
            method: 1,
            writes: true,
            position: at,
        });
    }

    fn violated_rules(&self) -> Vec<u8> {
        self.history().violations().iter().map(|violation| violation.rule).collect()
    }

    fn history(&self) -> History<'_> {
        History {
            scenario: &self.scenario,
            links: &self.links,
            seed: 1,
            journal: &self.journal,
            attempts: &self.attempts,
            tool_started_at: at(0),
            execution_log: &self.execution_log,
            absences: &self.absences,
            drain_notices: &self.drain_notices,
            cold_starts: &self.cold_starts,
            tolerance: Tolerance::default(),
        }
    }
}

#[test]
fn a_valid_history_has_no_violation_and_only_an_unplanned_absence_excuses_a_lost_answer() {
    let mut run = RecordedRun::new();
    run.observe(6, 0, 2, true);
    run.execute(8, 0, 2);
    run.observe(10, 0, 2, false);
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
    // An RPC that was sent after the end of its router's absence must be answered.
    run.journal.push(entry(4, 0, 1500, None));
    assert_eq!(run.violated_rules(), [1]);
}

/// An RPC that was sent before its router's shutdown is excused only if it arrived after the router had closed the
/// connection, and was not read: no attempt was made.
#[test]
fn only_an_unread_rpc_that_arrived_after_the_close_is_excused_in_a_shutdown() {
    let lost = |end: ConnectionEnd| RpcRecord {
        lost: Some(at(202)),
        connection_end: Some(end),
        ..entry(3, 0, 200, None)
    };
    let shutdown = Absence { router: 0, from: at(201), to: at(900), planned: true };
    let violated_rules = |end: ConnectionEnd, absence: Absence, has_attempt: bool| {
        let mut run = RecordedRun::new();
        run.execute(6, 0, 2);
        run.journal.push(lost(end));
        run.absences.push(absence);
        if has_attempt {
            run.observe(201, 0, 3, true);
        }
        run.violated_rules()
    };
    assert_eq!(violated_rules(ConnectionEnd::ClosedBeforeArrival, shutdown, false), [0u8; 0]);
    assert_eq!(violated_rules(ConnectionEnd::ClosedBeforeArrival, shutdown, true), [1]);
    for end in [ConnectionEnd::Closed, ConnectionEnd::Reset, ConnectionEnd::ClosedBeforeLaterArrival] {
        assert_eq!(violated_rules(end, shutdown, false), [1], "{end:?}");
    }
    // The router was not shutting down when it closed the connection.
    let later = Absence { from: at(203), ..shutdown };
    assert_eq!(violated_rules(ConnectionEnd::ClosedBeforeArrival, later, false), [1]);
    let of_another_router = Absence { router: 1, ..shutdown };
    assert_eq!(violated_rules(ConnectionEnd::ClosedBeforeArrival, of_another_router, false), [1]);
}

#[test]
fn a_second_attempt_of_a_write_by_another_router_is_a_violation_unless_the_first_was_rejected() {
    let mut run = RecordedRun::new();
    run.observe(6, 0, 2, true);
    run.execute(7, 0, 2);
    run.observe(8, 0, 2, false);
    run.observe(9, 2, 2, true);
    assert_eq!(run.violated_rules(), [2]);
    run.execute(10, 0, 2);
    assert_eq!(run.violated_rules(), [2, 2]);
    let mut run = RecordedRun::new();
    run.observe(6, 0, 2, true);
    let (id, position) = ("1-2".into(), at(7));
    run.execution_log.arrivals.push(Arrival { at: at(7), member: 0, id, position, rejected: true });
    run.observe(8, 0, 2, false);
    run.observe(9, 2, 2, true);
    run.execute(10, 0, 2);
    assert_eq!(run.violated_rules(), [0u8; 0]);
    run.journal[1].answered = Some(RpcAnswer { at: at(20), answer: Answer::Rejected, made_for: None });
    assert_eq!(run.violated_rules(), [2]);
}

#[test]
fn a_drain_applies_to_each_router_from_its_notification_on() {
    let mut run = RecordedRun::new();
    run.execute(1, 0, 2);
    run.drain_notices = vec![DrainNotice { router: 1, member: 1, at: at(100) }];
    run.observe(500, 1, 1, true);
    assert_eq!(run.violated_rules(), [0u8; 0]);
    run.observe(600, 3, 1, true);
    // The RPC now has two attempts in flight at once, one from each router, which violates rule 2.
    assert_eq!(run.violated_rules(), [2, 3]);
}

#[test]
fn a_cold_member_is_overloaded_by_two_routers_that_each_respect_its_slow_start() {
    let mut run = RecordedRun::new();
    run.execute(1, 0, 2);
    let cold_start = ColdStart { overload_window: Span::from_millis(500), ..cold_start() };
    run.cold_starts = vec![cold_start];
    // The cold member may get at most 19 attempts. Each of the two routers sends 18 of the 36 attempts.
    for n in 0..36 {
        let number = 100 + n as u64;
        run.journal.push(entry(number, 0, n * 10, Some((n * 10 + 5, Answer::Ok))));
        run.observe(n * 10, if n % 2 == 0 { 1 } else { 3 }, number, true);
        run.observe(n * 10 + 5, if n % 2 == 0 { 1 } else { 3 }, number, false);
    }
    assert_eq!(run.violated_rules(), [4]);
    let history = run.history();
    assert!(history.slow_start_violations_of(0).is_empty() && history.slow_start_violations_of(1).is_empty());
}

#[test]
fn a_read_is_stale_if_the_best_known_position_of_its_member_is_too_old() {
    let mut run = RecordedRun::new();
    run.execute(1, 0, 2);
    let arrival = |ms: i64, old: i64| Arrival {
        at: at(ms),
        member: 1,
        id: "1-1".into(),
        position: at(ms - old),
        rejected: false,
    };
    run.execution_log.arrivals.push(arrival(5, 1900));
    assert_eq!(run.violated_rules(), [0u8; 0]);
    run.execution_log.arrivals.push(arrival(6, 2500));
    // The second arrival alone would be stale, but the checker uses the best position that the member was known to have, which
    // is that of the first arrival.
    assert_eq!(run.violated_rules(), [0u8; 0]);
    run.execution_log.arrivals = vec![arrival(6, 2500)];
    run.execution_log.executions.clear();
    run.journal.truncate(1);
    assert_eq!(run.violated_rules(), [5]);
}

/// `check_slow_start_at_members` uses only the members' records, so it counts the attempts of all routers together.
#[test]
fn attempts_at_a_cold_member_are_counted_over_all_routers() {
    let cold_start = ColdStart { overload_window: Span::from_millis(3000), ..cold_start() };
    let arrivals = |count: usize| {
        let id = |nth: usize| format!("1-{nth:x}").into_boxed_str();
        let arrival =
            |nth| Arrival { at: at(0), member: 1, id: id(nth), position: at(0), rejected: nth % 2 == 0 };
        ExecutionLog { arrivals: (0..count).map(arrival).collect(), ..ExecutionLog::default() }
    };
    // In the window that ends at the member's start, the member's capacity is 60 attempts. With the tolerance for random
    // variation, 77.5 are allowed.
    let check = |count| check_slow_start_at_members(&[cold_start], &arrivals(count));
    let SlowStartCheck { violations, max_excess } = check(77);
    assert!(violations.is_empty() && (1.9..2.0).contains(&max_excess), "{max_excess}");
    assert_eq!(check(78).violations.len(), 1);
    assert_eq!(check(0).max_excess, f64::NEG_INFINITY);
}

/// The records of the load, the fault tool and the members are sorted together, so their clocks must agree.
#[test]
fn an_attempt_older_than_its_rpc_or_younger_than_its_arrival_is_a_violation() {
    let sent_at = RecordedRun::new().journal[1].sent;
    let sent_ms = (sent_at - at(0)).nanos() / 1_000_000;
    for (attempt_ms, arrival_ms, is_violation) in [(1, 2, false), (-1, 2, true), (3, 2, true), (2, 2, false)]
    {
        let mut run = RecordedRun::new();
        run.observe(sent_ms + attempt_ms, 0, 2, true);
        run.execute(sent_ms + arrival_ms, 0, 2);
        run.observe(sent_ms + 4, 0, 2, false);
        assert_eq!(!run.violated_rules().is_empty(), is_violation, "{attempt_ms} {arrival_ms}");
    }
}
