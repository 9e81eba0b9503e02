//! The five rules over the joint history of all clients, routers and members: what clients were told, what passed at the
//! fault tool beside each router, and what members saw.
//!
//! It owns how these accounts become events for the checkers, and what a client can't be owed: an answer of a router
//! that was killed or stalled. It must never judge by a router's own words, nor excuse a router that runs.

use crate::load::Entry;
use ladderpass_emulator::{ExecutionLog, Scenario};
use ladderpass_fault_injection::engine::AttemptEvent;
use ladderpass_invariants::{
    Answer, Checker, Drains, Effects, Event, EventKind, OneAnswer, SlowStart, Staleness, Tolerance, Violation,
};
use ladderpass_routing::{Span, Time};
use std::collections::{BTreeMap, HashMap};

/// A time in which a router can't answer: from a kill to its next start, while it is frozen, or while its clients are cut
/// off from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Absence {
    pub router: usize,
    pub from: Time,
    pub to: Time,
    /// It was told to end: what it had taken by then is owed all the same.
    pub planned: bool,
}

/// A router was told that a member wants nothing new.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Drained {
    pub router: usize,
    pub member: u32,
    pub at: Time,
}

/// A member that starts cold, and what it bears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Started {
    pub at: Time,
    pub member: u32,
    pub capacity: f64,
    pub cold_from: f64,
    pub warm_within: Span,
    pub overload_for: Span,
}

impl Started {
    /// The members of a fleet that start cold, as routers are told of warming up.
    pub fn all(scenario: &Scenario, at: Time, capacity: f64) -> Vec<Started> {
        let warm_within = Span::from_millis(10_000);
        let overload_for = Span::from_secs_f64(scenario.overload_ms / 1e3);
        let started =
            |&member: &u32| Started { at, member, capacity, cold_from: 0.2, warm_within, overload_for };
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

/// Rule 4 by what came to the members that started cold, from whichever router; and how many roots of what one bore lay
/// at most between what it got and that, beyond the few that are put down to chance.
pub fn cold_at_members(started: &[Started], truth: &ExecutionLog) -> (Vec<Violation>, f64) {
    let came = (0..).zip(&truth.arrivals);
    let came = came
        .map(|(rpc, came)| Event { at: came.at, kind: EventKind::AttemptSent { rpc, member: came.member } });
    let mut cold = SlowStart::default();
    let broken = run_by(started.iter().map(Started::event).chain(came).collect(), &mut cold);
    (broken, cold.max_excess())
}

pub struct History<'a> {
    pub scenario: &'a Scenario,
    /// By router: the links that it calls members by, as the tool numbers them.
    pub links: &'a HashMap<usize, (usize, u32)>,
    pub seed: u64,
    pub journal: &'a [Entry],
    pub passed: &'a [AttemptEvent],
    /// The tool's start, from which `passed` counts.
    pub tool_began: Time,
    pub truth: &'a ExecutionLog,
    pub absences: &'a [Absence],
    pub drained: &'a [Drained],
    pub started: &'a [Started],
    pub grace: Tolerance,
}

/// After a router is back its clients may hear late answers of before.
const BACK: Span = Span::from_millis(200);

impl History<'_> {
    fn number(&self, id: &str) -> Option<u64> {
        let (seed, number) = id.split_once('-')?;
        (u64::from_str_radix(seed, 16) == Ok(self.seed)).then_some(())?;
        u64::from_str_radix(number, 16).ok()
    }

    /// All five rules. Events of one time stand in the order in which they are caused.
    pub fn broken(&self) -> Vec<Violation> {
        let mut broken = Vec::new();
        broken.extend(run(self.of_clients(), OneAnswer::new(self.grace)));
        broken.extend(run(self.of_effects(), Effects::default()));
        let routers: std::collections::BTreeSet<usize> =
            self.drained.iter().map(|drained| drained.router).collect();
        for router in routers {
            broken.extend(run(self.of_drains(router), Drains::new(self.grace)));
        }
        broken.extend(run(self.of_cold(None), SlowStart::default()));
        broken.extend(run(self.of_reads(), Staleness::new(self.grace)));
        broken.extend(self.lies());
        broken
    }

    /// Rule 4 over what a single router alone has sent.
    pub fn cold_by(&self, router: usize) -> Vec<Violation> {
        run(self.of_cold(Some(router)), SlowStart::default())
    }

    fn taken(&self, entry: &Entry) -> Event {
        let method = self.scenario.methods.get(entry.method);
        let bound = method.and_then(|method| method.max_age_ms).map(|ms| Span::from_secs_f64(ms / 1e3));
        let once = method.is_some_and(|method| method.writes);
        let what = EventKind::Accepted {
            rpc: entry.number,
            deadline: entry.until,
            run_once: once,
            max_staleness: bound,
        };
        Event { at: entry.sent, kind: what }
    }

    /// Could its router not answer at some time while its client waited?
    fn is_excused(&self, entry: &Entry) -> bool {
        let ends = entry.answered.map(|(at, ..)| at).or(entry.lost).unwrap_or(Time::from_nanos(i64::MAX));
        let until = ends.min(entry.until + self.grace.answer);
        let meets = |absence: &&Absence| {
            let after = !absence.planned || entry.sent >= absence.from;
            absence.router == entry.router
                && absence.from <= until
                && entry.sent <= absence.to + BACK
                && after
        };
        self.absences.iter().find(meets).is_some()
    }

    fn of_clients(&self) -> Vec<Event> {
        let mut events = Vec::new();
        for entry in self.journal {
            let rpc = entry.number;
            events.push(self.taken(entry));
            let in_time = |at: Time| at <= entry.until + self.grace.answer;
            let excused = self.is_excused(entry);
            match entry.answered {
                Some((at, answer, made_for)) if in_time(at) || !excused => {
                    events.push(Event { at, kind: EventKind::Answered { rpc, answer, made_for } });
                }
                _ if excused => events.push(Event { at: entry.sent, kind: EventKind::ClientLeft { rpc } }),
                _ => {}
            }
        }
        // All have had their time.
        let end = self.journal.iter().map(|entry| entry.until).max().unwrap_or_default();
        events.push(Event {
            at: end + Span::from_millis(10_000),
            kind: EventKind::ClientLeft { rpc: u64::MAX },
        });
        events
    }

    fn passings(&self) -> impl Iterator<Item = (Time, usize, u32, u64, bool)> {
        self.passed.iter().filter_map(|passed| {
            let &(router, member) = self.links.get(&passed.link)?;
            let at = self.tool_began + (passed.at - Time::from_nanos(0));
            Some((at, router, member, self.number(&passed.id)?, passed.begins))
        })
    }

    fn of_effects(&self) -> Vec<Event> {
        let mut events: Vec<Event> = self.journal.iter().map(|entry| self.taken(entry)).collect();
        if self.passed.is_empty() {
            // Without the tool a call-out shows where it came to a member, and not when it was over for its router.
            for came in self.truth.arrivals.iter().filter(|came| !came.rejected) {
                let Some(rpc) = self.number(&came.id) else { continue };
                let (at, member) = (came.at, came.member);
                events.push(Event { at, kind: EventKind::AttemptSent { rpc, member } });
                events.push(Event { at, kind: EventKind::AttemptEnded { rpc, member } });
            }
        }
        for (at, _, member, rpc, begins) in self.passings() {
            let what = if begins {
                EventKind::AttemptSent { rpc, member }
            } else {
                EventKind::AttemptEnded { rpc, member }
            };
            events.push(Event { at, kind: what });
        }
        for came in self.truth.arrivals.iter().filter(|came| came.rejected) {
            let Some(rpc) = self.number(&came.id) else { continue };
            events.push(Event { at: came.at, kind: EventKind::Rejected { rpc, member: came.member } });
        }
        for ran in &self.truth.executions {
            let Some(rpc) = self.number(&ran.id) else { continue };
            events.push(Event { at: ran.at, kind: EventKind::Executed { rpc, member: ran.member } });
        }
        events
    }

    fn of_drains(&self, router: usize) -> Vec<Event> {
        let told = self.drained.iter().filter(|drained| drained.router == router);
        let told = told
            .map(|drained| Event { at: drained.at, kind: EventKind::Draining { member: drained.member } });
        let own = self.passings().filter(|&(_, by, .., begins)| by == router && begins);
        let own =
            own.map(|(at, _, member, rpc, _)| Event { at, kind: EventKind::AttemptSent { rpc, member } });
        told.chain(own).collect()
    }

    fn of_cold(&self, router: Option<usize>) -> Vec<Event> {
        let started = self.started.iter().map(Started::event);
        let sent =
            self.passings().filter(|&(_, by, .., begins)| begins && router.is_none_or(|one| one == by));
        let sent =
            sent.map(|(at, _, member, rpc, _)| Event { at, kind: EventKind::AttemptSent { rpc, member } });
        started.chain(sent).collect()
    }

    /// A read counts as sent when it came to the member, whose data is looked at in that moment.
    fn of_reads(&self) -> Vec<Event> {
        let mut events: Vec<Event> = self.journal.iter().map(|entry| self.taken(entry)).collect();
        for came in self.truth.arrivals.iter().filter(|came| !came.rejected) {
            let Some(rpc) = self.number(&came.id) else { continue };
            let (at, member, position) = (came.at, came.member, came.position);
            events.push(Event { at, kind: EventKind::PositionReached { member, position } });
            events.push(Event { at, kind: EventKind::AttemptSent { rpc, member } });
        }
        events
    }

    /// Writes whose answer does not hold: ok though it never ran, pushed back though it did.
    fn lies(&self) -> Vec<Violation> {
        let ran: BTreeMap<u64, u32> = self
            .truth
            .executions
            .iter()
            .filter_map(|ran| Some((self.number(&ran.id)?, ran.member)))
            .collect();
        let mut broken = Vec::new();
        for entry in self.journal {
            let writes = self.scenario.methods.get(entry.method).is_some_and(|method| method.writes);
            let Some((at, answer, made_for)) = entry.answered.filter(|_| writes) else { continue };
            let (rpc, member) = (Some(entry.number), ran.get(&entry.number).copied());
            let text = match (answer, member) {
                (Answer::Ok, None) => "is answered ok and never ran",
                (Answer::Rejected, Some(_)) => "is pushed back and ran",
                _ => continue,
            };
            let text = format!("write {:x} {text}", entry.number);
            let what = EventKind::Answered { rpc: entry.number, answer, made_for };
            broken.push(Violation { rule: 2, rpc, member, text, proof: vec![Event { at, kind: what }] });
        }
        broken
    }
}

/// What is caused first stands first, where two have one time.
fn order(what: &EventKind) -> u8 {
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

fn run(events: Vec<Event>, mut checker: impl Checker) -> Vec<Violation> {
    run_by(events, &mut checker)
}

fn run_by(mut events: Vec<Event>, checker: &mut impl Checker) -> Vec<Violation> {
    events.sort_by_key(|event| (event.at, order(&event.kind)));
    let mut broken = Vec::new();
    events.iter().for_each(|event| checker.observe(event, &mut broken));
    checker.end(events.last().map_or(Time::default(), |event| event.at), &mut broken);
    broken
}
