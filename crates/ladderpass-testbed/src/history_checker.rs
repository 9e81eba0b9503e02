//! History checker: the five invariants over one history of all clients, routers and members.
//!
//! Its inputs are what clients were answered, what the fault tool passed on beside each router, and what members saw; it
//! uses nothing that a router says about itself. It turns these records into events for the checkers of
//! `ladderpass-invariants`, and excuses an unanswered RPC only if its router was killed, frozen or cut off.

use crate::load::RpcRecord;
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
pub struct Started {
    /// When it starts.
    pub at: Time,
    /// Number of the member.
    pub member: u32,
    /// RPCs a second that it can serve once it is warm.
    pub capacity: f64,
    /// Fraction of the capacity at its start.
    pub cold_from: f64,
    /// From its start until it has its whole capacity.
    pub warm_within: Span,
    /// The window over which too many RPCs overload it.
    pub overload_for: Span,
}

/// As the routers' settings give the warm-up.
const WARM_WITHIN: Span = Span::from_millis(10_000);
const COLD_CAPACITY_FRACTION: f64 = 0.2;

impl Started {
    /// The members of a fleet that start cold.
    pub fn all(scenario: &Scenario, at: Time, capacity: f64) -> Vec<Started> {
        let overload_for = Span::from_secs_f64(scenario.overload_ms / 1e3);
        let started = |&member: &u32| Started {
            at,
            member,
            capacity,
            cold_from: COLD_CAPACITY_FRACTION,
            warm_within: WARM_WITHIN,
            overload_for,
        };
        scenario.cold.iter().map(started).collect()
    }

    fn event(&self) -> Event {
        let Started { at, member, capacity, cold_from, warm_within, overload_for } = *self;
        Event {
            at,
            kind: EventKind::Started {
                member,
                capacity,
                initial_fraction: cold_from,
                warm_up_time: warm_within,
                overload_window: overload_for,
            },
        }
    }
}

/// Checks rule 4 (cold members) over the attempts that came to members from all routers. Returns the violations, and how
/// far above its capacity the worst window of a member was, in square roots of that capacity ([`Cold::roots`]).
pub fn cold_at_members(started: &[Started], truth: &ExecutionLog) -> (Vec<Violation>, f64) {
    let numbered = (0..).zip(&truth.arrivals);
    let attempts = numbered
        .map(|(rpc, came)| Event { at: came.at, kind: EventKind::AttemptSent { rpc, member: came.member } });
    let mut cold = SlowStart::default();
    let violations =
        check_events_with(started.iter().map(Started::event).chain(attempts).collect(), &mut cold);
    (violations, cold.max_excess())
}

/// The records of a run, as one history.
pub struct History<'a> {
    /// The fleet and its methods.
    pub scenario: &'a Scenario,
    /// By number of a link in the fault tool: the router that uses it, and the member that it leads to.
    pub links: &'a HashMap<usize, (usize, u32)>,
    /// Seed of the load, which is part of its RPCs' ids.
    pub seed: u64,
    /// What clients saw.
    pub journal: &'a [RpcRecord],
    /// What the fault tool passed on; empty without the tool.
    pub passed: &'a [AttemptEvent],
    /// The start of the fault tool, from which the times of `passed` count.
    pub tool_began: Time,
    /// What members saw.
    pub truth: &'a ExecutionLog,
    /// When routers could not answer.
    pub absences: &'a [Absence],
    /// When routers were notified that members drain.
    pub drained: &'a [DrainNotice],
    /// Members that started cold.
    pub started: &'a [Started],
    /// Tolerances of the checkers.
    pub grace: Tolerance,
}

/// How long after an absence a router may still answer late.
const AFTER_ABSENCE: Span = Span::from_millis(200);
/// The history ends this long after the last deadline, so that every RPC has had its time.
const END_AFTER_LAST_DEADLINE: Span = Span::from_millis(10_000);
/// The rule of wrong answers to writes.
const EFFECTS_RULE: u8 = 2;

/// An attempt's begin or end, as the fault tool saw it.
struct Passage {
    at: Time,
    router: usize,
    member: u32,
    rpc: u64,
    begins: bool,
}

impl Passage {
    fn event(&self) -> Event {
        let (rpc, member) = (self.rpc, self.member);
        let what = if self.begins {
            EventKind::AttemptSent { rpc, member }
        } else {
            EventKind::AttemptEnded { rpc, member }
        };
        Event { at: self.at, kind: what }
    }
}

impl History<'_> {
    /// All violations of the five rules.
    pub fn broken(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        violations.extend(check_events(self.answer_events(), OneAnswer::new(self.grace)));
        violations.extend(check_events(self.effect_events(), Effects::default()));
        let drained_routers: BTreeSet<usize> = self.drained.iter().map(|drained| drained.router).collect();
        for router in drained_routers {
            violations.extend(check_events(self.drain_events(router), Drains::new(self.grace)));
        }
        violations.extend(check_events(self.cold_events(None), SlowStart::default()));
        violations.extend(check_events(self.read_events(), Staleness::new(self.grace)));
        violations.extend(self.wrong_write_answers());
        violations
    }

    /// Violations of rule 4 by the attempts of one router alone.
    pub fn cold_by(&self, router: usize) -> Vec<Violation> {
        check_events(self.cold_events(Some(router)), SlowStart::default())
    }

    /// The number of an RPC of this load, by its id `SEED-NUMBER`, in hex.
    fn rpc_number(&self, id: &str) -> Option<u64> {
        let (seed, number) = id.split_once('-')?;
        (u64::from_str_radix(seed, 16) == Ok(self.seed)).then_some(())?;
        u64::from_str_radix(number, 16).ok()
    }

    fn sent_event(&self, entry: &RpcRecord) -> Event {
        let method = self.scenario.methods.get(entry.method);
        let max_staleness =
            method.and_then(|method| method.max_age_ms).map(|ms| Span::from_secs_f64(ms / 1e3));
        let once = method.is_some_and(|method| method.writes);
        let what = EventKind::Accepted {
            rpc: entry.number,
            deadline: entry.deadline,
            run_once: once,
            max_staleness,
        };
        Event { at: entry.sent, kind: what }
    }

    /// Was its router absent at some time while its client waited?
    fn is_excused(&self, entry: &RpcRecord) -> bool {
        let ended = entry.answered.map(|(at, ..)| at).or(entry.lost).unwrap_or(Time::from_nanos(i64::MAX));
        let waited_until = ended.min(entry.deadline + self.grace.answer);
        let excuses = |absence: &&Absence| {
            let applies = !absence.planned || entry.sent >= absence.from;
            absence.router == entry.router
                && absence.from <= waited_until
                && entry.sent <= absence.to + AFTER_ABSENCE
                && applies
        };
        self.absences.iter().find(excuses).is_some()
    }

    /// Rule 1: what each client sent, and how it was answered.
    fn answer_events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        for entry in self.journal {
            let rpc = entry.number;
            events.push(self.sent_event(entry));
            let is_in_time = |at: Time| at <= entry.deadline + self.grace.answer;
            let is_excused = self.is_excused(entry);
            match entry.answered {
                Some((at, answer, made_for)) if is_in_time(at) || !is_excused => {
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

    fn passages(&self) -> impl Iterator<Item = Passage> {
        self.passed.iter().filter_map(|passed| {
            let &(router, member) = self.links.get(&passed.link)?;
            let at = self.tool_began + (passed.at - Time::from_nanos(0));
            Some(Passage { at, router, member, rpc: self.rpc_number(&passed.id)?, begins: passed.begins })
        })
    }

    /// Rule 2: attempts, and which of them members rejected or ran.
    fn effect_events(&self) -> Vec<Event> {
        let mut events: Vec<Event> = self.journal.iter().map(|entry| self.sent_event(entry)).collect();
        if self.passed.is_empty() {
            // Without the fault tool only the arrival at a member is known, and not the end of the attempt.
            for came in self.truth.arrivals.iter().filter(|came| !came.rejected) {
                let Some(rpc) = self.rpc_number(&came.id) else { continue };
                let (at, member) = (came.at, came.member);
                events.push(Event { at, kind: EventKind::AttemptSent { rpc, member } });
                events.push(Event { at, kind: EventKind::AttemptEnded { rpc, member } });
            }
        }
        events.extend(self.passages().map(|passage| passage.event()));
        for came in self.truth.arrivals.iter().filter(|came| came.rejected) {
            let Some(rpc) = self.rpc_number(&came.id) else { continue };
            events.push(Event { at: came.at, kind: EventKind::Rejected { rpc, member: came.member } });
        }
        for ran in &self.truth.executions {
            let Some(rpc) = self.rpc_number(&ran.id) else { continue };
            events.push(Event { at: ran.at, kind: EventKind::Executed { rpc, member: ran.member } });
        }
        events
    }

    /// Rule 3: when a router was notified of drains, and its attempts.
    fn drain_events(&self, router: usize) -> Vec<Event> {
        let notified = self.drained.iter().filter(|drained| drained.router == router);
        let notified = notified
            .map(|drained| Event { at: drained.at, kind: EventKind::Draining { member: drained.member } });
        let attempts = self.passages().filter(|passage| passage.router == router && passage.begins);
        notified.chain(attempts.map(|passage| passage.event())).collect()
    }

    /// Rule 4: starts of cold members, and the attempts of one router or of all.
    fn cold_events(&self, router: Option<usize>) -> Vec<Event> {
        let started = self.started.iter().map(Started::event);
        let attempts = self
            .passages()
            .filter(|passage| passage.begins && router.is_none_or(|router| router == passage.router));
        started.chain(attempts.map(|passage| passage.event())).collect()
    }

    /// Rule 5: reads, and the position of the member when each arrived there.
    fn read_events(&self) -> Vec<Event> {
        let mut events: Vec<Event> = self.journal.iter().map(|entry| self.sent_event(entry)).collect();
        for came in self.truth.arrivals.iter().filter(|came| !came.rejected) {
            let Some(rpc) = self.rpc_number(&came.id) else { continue };
            let (at, member, position) = (came.at, came.member, came.position);
            events.push(Event { at, kind: EventKind::PositionReached { member, position } });
            events.push(Event { at, kind: EventKind::AttemptSent { rpc, member } });
        }
        events
    }

    /// Writes with a wrong answer: ok though it never ran, or rejected though it ran.
    fn wrong_write_answers(&self) -> Vec<Violation> {
        let ran: BTreeMap<u64, u32> = self
            .truth
            .executions
            .iter()
            .filter_map(|ran| Some((self.rpc_number(&ran.id)?, ran.member)))
            .collect();
        let mut violations = Vec::new();
        for entry in self.journal {
            let is_write = self.scenario.methods.get(entry.method).is_some_and(|method| method.writes);
            let Some((at, answer, made_for)) = entry.answered.filter(|_| is_write) else { continue };
            let (rpc, member) = (Some(entry.number), ran.get(&entry.number).copied());
            let text = match (answer, member) {
                (Answer::Ok, None) => "is answered ok and never ran",
                (Answer::Rejected, Some(_)) => "is pushed back and ran",
                _ => continue,
            };
            let text = format!("write {:x} {text}", entry.number);
            let what = EventKind::Answered { rpc: entry.number, answer, made_for };
            violations.push(Violation {
                rule: EFFECTS_RULE,
                rpc,
                member,
                text,
                proof: vec![Event { at, kind: what }],
            });
        }
        violations
    }
}

/// Order of events at the same time: causes before their effects.
fn causal_order(what: &EventKind) -> u8 {
    match what {
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
