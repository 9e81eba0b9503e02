//! History checker: the five invariants over one history of all clients, routers and members.
//!
//! Its inputs are what clients were answered, what the fault tool passed on beside each router, and what members saw; it
//! uses nothing that a router says about itself. It turns these records into events for the checkers of
//! `ladderpass-invariants`, and excuses an unanswered RPC only if its router was killed, frozen or cut off.

use crate::load::{RpcAnswer, RpcRecord};
use ladderpass_emulator::{ExecutionLog, Scenario};
use ladderpass_fault_injection::engine::AttemptEvent;
use ladderpass_invariants::{
    Answer, Checker, Drains, Effects, Event, EventKind, OneAnswer, SlowStart, Staleness, Tolerance, Violation,
};
use ladderpass_routing::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A time in which a router can't answer: from a kill to its next start, while it is frozen, or while its clients are cut
/// off from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Absence {
    /// Index of the router.
    pub router: usize,
    /// Its first moment.
    pub from: Time,
    /// Its last moment.
    pub to: Time,
    /// A graceful shutdown: RPCs sent before it must be answered all the same.
    pub planned: bool,
}

/// A router was notified that a member drains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DrainNotice {
    /// Index of the router.
    pub router: usize,
    /// Number of the member.
    pub member: u32,
    /// When the router was notified.
    pub at: Time,
}

/// A member that starts cold, and what it can serve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// When it starts.
    pub at: Time,
    /// Number of the member.
    pub member: u32,
    /// RPCs a second that it can serve once it is warm.
    pub capacity: f64,
    /// Fraction of the capacity at its start.
    pub initial_fraction: f64,
    /// From its start until it has its whole capacity.
    pub warm_up_time: Span,
    /// The window over which too many RPCs overload it.
    pub overload_window: Span,
}

/// As the routers' settings give the warm-up.
const WARM_UP_TIME: Span = Span::from_millis(10_000);
const INITIAL_CAPACITY_FRACTION: f64 = 0.2;

impl ColdStart {
    /// The members of a fleet that start cold at `at`, each with a `capacity` in RPCs a second.
    pub fn all(scenario: &Scenario, at: Time, capacity: f64) -> Vec<ColdStart> {
        let overload_window = Span::from_secs_f64(scenario.overload_ms / 1e3);
        let cold_start = |&member: &u32| ColdStart {
            at,
            member,
            capacity,
            initial_fraction: INITIAL_CAPACITY_FRACTION,
            warm_up_time: WARM_UP_TIME,
            overload_window,
        };
        scenario.cold.iter().map(cold_start).collect()
    }

    fn event(&self) -> Event {
        let ColdStart { at, member, capacity, initial_fraction, warm_up_time, overload_window } = *self;
        let kind = EventKind::Started { member, capacity, initial_fraction, warm_up_time, overload_window };
        Event { at, kind }
    }
}

/// What rule 4 (cold members) finds over the attempts of all routers.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStartCheck {
    /// Windows in which a member got too many attempts.
    pub violations: Vec<Violation>,
    /// How far above its capacity the worst window of a member was, in square roots of that capacity
    /// ([`SlowStart::max_excess`]).
    pub max_excess: f64,
}

/// Checks rule 4 (cold members) over the attempts that came to members, whichever router sent them.
pub fn check_slow_start_at_members(cold_starts: &[ColdStart], truth: &ExecutionLog) -> SlowStartCheck {
    let numbered = (0..).zip(&truth.arrivals);
    let attempts = numbered.map(|(rpc, arrival)| Event {
        at: arrival.at,
        kind: EventKind::AttemptSent { rpc, member: arrival.member },
    });
    let events = cold_starts.iter().map(ColdStart::event).chain(attempts).collect();
    let mut checker = SlowStart::default();
    let violations = check_events_with(events, &mut checker);
    SlowStartCheck { violations, max_excess: checker.max_excess() }
}

/// The use of a link of the fault tool: one router's connections to one member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberLink {
    /// Index of the router.
    pub router: usize,
    /// Number of the member.
    pub member: u32,
}

/// The records of a run, as one history.
pub struct History<'a> {
    /// The fleet and its methods.
    pub scenario: &'a Scenario,
    /// By number of a link in the fault tool: the router that uses it, and the member that it leads to.
    pub links: &'a HashMap<usize, MemberLink>,
    /// Seed of the load, which is part of its RPCs' ids.
    pub seed: u64,
    /// What clients saw.
    pub journal: &'a [RpcRecord],
    /// Begins and ends of attempts that the fault tool saw; empty without the tool.
    pub attempts: &'a [AttemptEvent],
    /// The start of the fault tool, from which the times of `attempts` count.
    pub tool_started_at: Time,
    /// What members saw.
    pub truth: &'a ExecutionLog,
    /// When routers could not answer.
    pub absences: &'a [Absence],
    /// When routers were notified that members drain.
    pub drain_notices: &'a [DrainNotice],
    /// Members that started cold.
    pub cold_starts: &'a [ColdStart],
    /// Tolerances of the checkers.
    pub tolerance: Tolerance,
}

/// How long after an absence a router may still answer late.
const AFTER_ABSENCE: Span = Span::from_millis(200);
/// The history ends this long after the last deadline, so that every RPC has had its time.
const END_AFTER_LAST_DEADLINE: Span = Span::from_millis(10_000);
/// The rule of wrong answers to writes.
const EFFECTS_RULE: u8 = 2;

/// An attempt's begin or end, as the fault tool saw it.
struct ObservedAttempt {
    at: Time,
    link: MemberLink,
    rpc: u64,
    begins: bool,
}

impl ObservedAttempt {
    fn event(&self) -> Event {
        let (rpc, member) = (self.rpc, self.link.member);
        let kind = match self.begins {
            true => EventKind::AttemptSent { rpc, member },
            false => EventKind::AttemptEnded { rpc, member },
        };
        Event { at: self.at, kind }
    }
}

impl History<'_> {
    /// All violations of the five rules.
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        violations.extend(check_events(self.answer_events(), OneAnswer::new(self.tolerance)));
        violations.extend(check_events(self.effect_events(), Effects::default()));
        let notified_routers: BTreeSet<usize> =
            self.drain_notices.iter().map(|notice| notice.router).collect();
        for router in notified_routers {
            violations.extend(check_events(self.drain_events(router), Drains::new(self.tolerance)));
        }
        violations.extend(check_events(self.slow_start_events(None), SlowStart::default()));
        violations.extend(check_events(self.read_events(), Staleness::new(self.tolerance)));
        violations.extend(self.wrong_write_answers());
        violations
    }

    /// Violations of rule 4 (cold members) by the attempts of one router alone.
    pub fn slow_start_violations_of(&self, router: usize) -> Vec<Violation> {
        check_events(self.slow_start_events(Some(router)), SlowStart::default())
    }

    /// The number of an RPC of this load, by its id `SEED-NUMBER`, in hex.
    fn rpc_number(&self, id: &str) -> Option<u64> {
        let (seed, number) = id.split_once('-')?;
        (u64::from_str_radix(seed, 16) == Ok(self.seed)).then_some(())?;
        u64::from_str_radix(number, 16).ok()
    }

    /// When a client sent an RPC, and what may become of it.
    fn accepted_event(&self, entry: &RpcRecord) -> Event {
        let method = self.scenario.methods.get(entry.method);
        let max_staleness =
            method.and_then(|method| method.max_age_ms).map(|ms| Span::from_secs_f64(ms / 1e3));
        let run_once = method.is_some_and(|method| method.writes);
        let kind =
            EventKind::Accepted { rpc: entry.number, deadline: entry.deadline, run_once, max_staleness };
        Event { at: entry.sent, kind }
    }

    /// Was its router absent at some time while its client waited?
    fn is_excused(&self, entry: &RpcRecord) -> bool {
        let answered_at = entry.answered.map(|answered| answered.at);
        let ended_at = answered_at.or(entry.lost).unwrap_or(Time::from_nanos(i64::MAX));
        let waited_until = ended_at.min(entry.deadline + self.tolerance.answer);
        self.absences.iter().any(|absence| {
            let applies = !absence.planned || entry.sent >= absence.from;
            absence.router == entry.router
                && absence.from <= waited_until
                && entry.sent <= absence.to + AFTER_ABSENCE
                && applies
        })
    }

    /// Rule 1: what each client sent, and how it was answered.
    fn answer_events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        for entry in self.journal {
            let rpc = entry.number;
            events.push(self.accepted_event(entry));
            let is_in_time = |at: Time| at <= entry.deadline + self.tolerance.answer;
            let is_excused = self.is_excused(entry);
            match entry.answered {
                Some(RpcAnswer { at, answer, made_for }) if is_in_time(at) || !is_excused => {
                    events.push(Event { at, kind: EventKind::Answered { rpc, answer, made_for } });
                }
                _ if is_excused => events.push(Event { at: entry.sent, kind: EventKind::ClientLeft { rpc } }),
                _ => {}
            }
        }
        let last_deadline = self.journal.iter().map(|entry| entry.deadline).max().unwrap_or_default();
        let at = last_deadline + END_AFTER_LAST_DEADLINE;
        events.push(Event { at, kind: EventKind::ClientLeft { rpc: u64::MAX } });
        events
    }

    fn observed_attempts(&self) -> impl Iterator<Item = ObservedAttempt> {
        self.attempts.iter().filter_map(|attempt| {
            let link = *self.links.get(&attempt.link)?;
            let at = self.tool_started_at + (attempt.at - Time::from_nanos(0));
            Some(ObservedAttempt { at, link, rpc: self.rpc_number(&attempt.id)?, begins: attempt.begins })
        })
    }

    /// Rule 2: attempts, and which of them members rejected or ran.
    fn effect_events(&self) -> Vec<Event> {
        let mut events: Vec<Event> = self.journal.iter().map(|entry| self.accepted_event(entry)).collect();
        let arrivals = &self.truth.arrivals;
        if self.attempts.is_empty() {
            // Without the fault tool only the arrival at a member is known, and not the end of the attempt.
            for arrival in arrivals.iter().filter(|arrival| !arrival.rejected) {
                let Some(rpc) = self.rpc_number(&arrival.id) else { continue };
                let (at, member) = (arrival.at, arrival.member);
                events.push(Event { at, kind: EventKind::AttemptSent { rpc, member } });
                events.push(Event { at, kind: EventKind::AttemptEnded { rpc, member } });
            }
        }
        events.extend(self.observed_attempts().map(|attempt| attempt.event()));
        for arrival in arrivals.iter().filter(|arrival| arrival.rejected) {
            let Some(rpc) = self.rpc_number(&arrival.id) else { continue };
            events.push(Event { at: arrival.at, kind: EventKind::Rejected { rpc, member: arrival.member } });
        }
        for execution in &self.truth.executions {
            let Some(rpc) = self.rpc_number(&execution.id) else { continue };
            let kind = EventKind::Executed { rpc, member: execution.member };
            events.push(Event { at: execution.at, kind });
        }
        events
    }

    /// Rule 3: when a router was notified of drains, and its attempts.
    fn drain_events(&self, router: usize) -> Vec<Event> {
        let notices = self.drain_notices.iter().filter(|notice| notice.router == router);
        let notified = notices
            .map(|notice| Event { at: notice.at, kind: EventKind::Draining { member: notice.member } });
        let begun =
            self.observed_attempts().filter(|attempt| attempt.link.router == router && attempt.begins);
        notified.chain(begun.map(|attempt| attempt.event())).collect()
    }

    /// Rule 4: starts of cold members, and the attempts of one router or of all.
    fn slow_start_events(&self, router: Option<usize>) -> Vec<Event> {
        let cold_starts = self.cold_starts.iter().map(ColdStart::event);
        let is_from_router =
            |attempt: &ObservedAttempt| router.is_none_or(|router| router == attempt.link.router);
        let begun = self.observed_attempts().filter(|attempt| attempt.begins && is_from_router(attempt));
        cold_starts.chain(begun.map(|attempt| attempt.event())).collect()
    }

    /// Rule 5: reads, and the position of the member when each arrived there.
    fn read_events(&self) -> Vec<Event> {
        let mut events: Vec<Event> = self.journal.iter().map(|entry| self.accepted_event(entry)).collect();
        for arrival in self.truth.arrivals.iter().filter(|arrival| !arrival.rejected) {
            let Some(rpc) = self.rpc_number(&arrival.id) else { continue };
            let (at, member, position) = (arrival.at, arrival.member, arrival.position);
            events.push(Event { at, kind: EventKind::PositionReached { member, position } });
            events.push(Event { at, kind: EventKind::AttemptSent { rpc, member } });
        }
        events
    }

    /// Writes with a wrong answer: ok though it never ran, or rejected though it ran.
    fn wrong_write_answers(&self) -> Vec<Violation> {
        let executions = self.truth.executions.iter();
        let ran_at: BTreeMap<u64, u32> = executions
            .filter_map(|execution| Some((self.rpc_number(&execution.id)?, execution.member)))
            .collect();
        let mut violations = Vec::new();
        for entry in self.journal {
            let is_write = self.scenario.methods.get(entry.method).is_some_and(|method| method.writes);
            let Some(answered) = entry.answered.filter(|_| is_write) else { continue };
            let (rpc, member) = (entry.number, ran_at.get(&entry.number).copied());
            let problem = match (answered.answer, member) {
                (Answer::Ok, None) => "is answered ok and never ran",
                (Answer::Rejected, Some(_)) => "is pushed back and ran",
                _ => continue,
            };
            let RpcAnswer { at, answer, made_for } = answered;
            violations.push(Violation {
                rule: EFFECTS_RULE,
                rpc: Some(rpc),
                member,
                text: format!("write {rpc:x} {problem}"),
                proof: vec![Event { at, kind: EventKind::Answered { rpc, answer, made_for } }],
            });
        }
        violations
    }
}

/// Order of events at the same time: causes before their effects.
fn causal_order(kind: &EventKind) -> u8 {
    match kind {
        EventKind::Started { .. }
        | EventKind::Draining { .. }
        | EventKind::Serving { .. }
        | EventKind::Primary { .. } => 0,
        EventKind::Accepted { .. } => 1,
        EventKind::PositionReached { .. } => 2,
        EventKind::AttemptSent { .. } => 3,
        EventKind::Executed { .. } => 4,
        EventKind::Rejected { .. } => 5,
        EventKind::AttemptEnded { .. } => 6,
        EventKind::Answered { .. } => 7,
        EventKind::ClientLeft { .. } => 8,
    }
}

fn check_events(events: Vec<Event>, mut checker: impl Checker) -> Vec<Violation> {
    check_events_with(events, &mut checker)
}

fn check_events_with(mut events: Vec<Event>, checker: &mut impl Checker) -> Vec<Violation> {
    events.sort_by_key(|event| (event.at, causal_order(&event.kind)));
    let mut violations = Vec::new();
    events.iter().for_each(|event| checker.observe(event, &mut violations));
    checker.end(events.last().map_or(Time::default(), |event| event.at), &mut violations);
    violations
}
