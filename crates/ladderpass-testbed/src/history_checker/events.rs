//! Converts the records of a run into events for the checkers. Also finds writes with a wrong answer, for which there
//! is no checker.

use super::{ColdStart, History, MemberLink};
use crate::load::{ConnectionEnd, RpcAnswer, RpcRecord};
use ladderpass_invariants::{Answer, Event, EventKind, Violation};
use ladderpass_routing::{Span, Time};
use std::collections::BTreeMap;

/// If an RPC is sent to a router within this time after the router's absence, no answer to the RPC is required.
const ABSENCE_RECOVERY_TIME: Span = Span::from_millis(200);
/// Time from the last deadline of an RPC to the end of the history. At the end of the history, every RPC must have been
/// answered.
const END_AFTER_LAST_DEADLINE: Span = Span::from_millis(10_000);
/// Number of the rule on effects of writes. Wrong answers to writes are reported as violations of this rule.
pub(super) const EFFECTS_RULE: u8 = 2;

/// The begin or the end of an attempt, as the fault tool observed it.
pub(super) struct ObservedAttempt {
    pub(super) at: Time,
    pub(super) link: MemberLink,
    pub(super) rpc: u64,
    pub(super) begins: bool,
}

impl ObservedAttempt {
    /// Returns the begin or end as an event for the checkers.
    pub(super) fn event(&self) -> Event {
        let (rpc, member) = (self.rpc, self.link.member);
        let kind = match self.begins {
            true => EventKind::AttemptSent { rpc, member },
            false => EventKind::AttemptEnded { rpc, member },
        };
        Event { at: self.at, kind }
    }
}

impl History<'_> {
    /// Returns the number of an RPC from its id, which is `SEED-NUMBER` in hex. Returns `None` for RPCs of another
    /// load.
    pub(super) fn rpc_number(&self, id: &str) -> Option<u64> {
        let (seed, number) = id.split_once('-')?;
        (u64::from_str_radix(seed, 16) == Ok(self.seed)).then_some(())?;
        u64::from_str_radix(number, 16).ok()
    }

    /// Returns the event of a client sending an RPC, with the RPC's deadline and the limits on its execution.
    fn accepted_event(&self, entry: &RpcRecord) -> Event {
        let method = self.scenario.methods.get(entry.method);
        let max_staleness =
            method.and_then(|method| method.max_age_ms).map(|ms| Span::from_secs_f64(ms / 1e3));
        let run_once = method.is_some_and(|method| method.writes);
        let kind =
            EventKind::Accepted { rpc: entry.number, deadline: entry.deadline, run_once, max_staleness };
        Event { at: entry.sent, kind }
    }

    /// Returns whether the RPC's router was absent while the client waited. A graceful shutdown excuses only RPCs that
    /// were sent after the shutdown began.
    fn is_excused(&self, entry: &RpcRecord) -> bool {
        let answered_at = entry.answered.map(|answered| answered.at);
        let ended_at = answered_at.or(entry.lost).unwrap_or(Time::from_nanos(i64::MAX));
        let waited_until = ended_at.min(entry.deadline + self.tolerance.answer);
        self.absences.iter().any(|absence| {
            let applies = !absence.planned || entry.sent >= absence.from;
            absence.router == entry.router
                && absence.from <= waited_until
                && entry.sent <= absence.to + ABSENCE_RECOVERY_TIME
                && applies
        })
    }

    /// Returns whether the RPC crossed the close of its connection by a router that was shutting down. Between two RPCs a
    /// router may close a connection; an RPC that it has not read is sent once more by its client. An RPC of which an
    /// attempt was made was read.
    fn has_crossed_close(&self, entry: &RpcRecord) -> bool {
        let is_shutting_down = |at: Time| {
            self.absences.iter().any(|absence| {
                absence.planned && absence.router == entry.router && absence.from <= at && at <= absence.to
            })
        };
        entry.lost.is_some_and(is_shutting_down)
            && entry.connection_end == Some(ConnectionEnd::ClosedBeforeArrival)
            && !self.observed_attempts().any(|attempt| attempt.rpc == entry.number)
            && !self
                .execution_log
                .arrivals
                .iter()
                .any(|arrival| self.rpc_number(&arrival.id) == Some(entry.number))
    }

    /// Returns the events for rule 1: what each client sent, and how it was answered.
    pub(super) fn answer_events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        for entry in self.journal {
            let rpc = entry.number;
            events.push(self.accepted_event(entry));
            let is_in_time = |at: Time| at <= entry.deadline + self.tolerance.answer;
            let is_excused = self.is_excused(entry) || self.has_crossed_close(entry);
            match entry.answered {
                Some(RpcAnswer { at, answer, made_for }) if is_in_time(at) || !is_excused => {
                    events.push(Event { at, kind: EventKind::Answered { rpc, answer, made_for } });
                }
                _ if is_excused => events.push(Event { at: entry.sent, kind: EventKind::ClientLeft { rpc } }),
                _ => {}
            }
        }
        // An event after the last deadline makes the checker report all unanswered RPCs. The number in this event
        // belongs to no RPC.
        let last_deadline = self.journal.iter().map(|entry| entry.deadline).max().unwrap_or_default();
        let at = last_deadline + END_AFTER_LAST_DEADLINE;
        events.push(Event { at, kind: EventKind::ClientLeft { rpc: u64::MAX } });
        events
    }

    /// Returns the begins and ends of attempts that the fault tool observed on links to members.
    pub(super) fn observed_attempts(&self) -> impl Iterator<Item = ObservedAttempt> {
        self.attempts.iter().filter_map(|attempt| {
            let link = *self.links.get(&attempt.link)?;
            let at = self.tool_started_at + (attempt.at - Time::from_nanos(0));
            Some(ObservedAttempt { at, link, rpc: self.rpc_number(&attempt.id)?, begins: attempt.begins })
        })
    }

    /// Returns the events for rule 2: attempts, and which of them members rejected or ran.
    pub(super) fn effect_events(&self) -> Vec<Event> {
        let mut events: Vec<Event> = self.journal.iter().map(|entry| self.accepted_event(entry)).collect();
        let arrivals = &self.execution_log.arrivals;
        if self.attempts.is_empty() {
            // Without the fault tool, only an attempt's arrival at a member is known. The arrival counts as the
            // attempt's end too.
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
        for execution in &self.execution_log.executions {
            let Some(rpc) = self.rpc_number(&execution.id) else { continue };
            let kind = EventKind::Executed { rpc, member: execution.member };
            events.push(Event { at: execution.at, kind });
        }
        events
    }

    /// Returns the events for rule 3: when a router was notified of drains, and its attempts.
    pub(super) fn drain_events(&self, router: usize) -> Vec<Event> {
        let notices = self.drain_notices.iter().filter(|notice| notice.router == router);
        let notified = notices
            .map(|notice| Event { at: notice.at, kind: EventKind::Draining { member: notice.member } });
        let begun =
            self.observed_attempts().filter(|attempt| attempt.link.router == router && attempt.begins);
        notified.chain(begun.map(|attempt| attempt.event())).collect()
    }

    /// Returns the events for rule 4: starts of cold members, and the attempts of one router, or of all routers if
    /// `router` is `None`.
    pub(super) fn slow_start_events(&self, router: Option<usize>) -> Vec<Event> {
        let cold_starts = self.cold_starts.iter().map(ColdStart::event);
        let is_from_router =
            |attempt: &ObservedAttempt| router.is_none_or(|router| router == attempt.link.router);
        let begun = self.observed_attempts().filter(|attempt| attempt.begins && is_from_router(attempt));
        cold_starts.chain(begun.map(|attempt| attempt.event())).collect()
    }

    /// Returns the events for rule 5: RPCs, and the position of the member when each attempt arrived there.
    pub(super) fn read_events(&self) -> Vec<Event> {
        let mut events: Vec<Event> = self.journal.iter().map(|entry| self.accepted_event(entry)).collect();
        for arrival in self.execution_log.arrivals.iter().filter(|arrival| !arrival.rejected) {
            let Some(rpc) = self.rpc_number(&arrival.id) else { continue };
            let (at, member, position) = (arrival.at, arrival.member, arrival.position);
            events.push(Event { at, kind: EventKind::PositionReached { member, position } });
            events.push(Event { at, kind: EventKind::AttemptSent { rpc, member } });
        }
        events
    }

    /// Returns the writes with a wrong answer: writes that were answered ok but never ran, and writes that were
    /// rejected but ran.
    pub(super) fn wrong_write_answers(&self) -> Vec<Violation> {
        let executions = self.execution_log.executions.iter();
        let executing_member: BTreeMap<u64, u32> = executions
            .filter_map(|execution| Some((self.rpc_number(&execution.id)?, execution.member)))
            .collect();
        let mut violations = Vec::new();
        for entry in self.journal {
            let is_write = self.scenario.methods.get(entry.method).is_some_and(|method| method.writes);
            let Some(answered) = entry.answered.filter(|_| is_write) else { continue };
            let (rpc, member) = (entry.number, executing_member.get(&entry.number).copied());
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
