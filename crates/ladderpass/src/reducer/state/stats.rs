//! Counts of this router's work since they were logged last.

use ladderpass_routing::reasons::ExceptionCounts;
use ladderpass_routing::{AttemptOutcome, Span, Time};
use std::fmt::{self, Debug, Formatter};

/// Most examples between two lines of counts.
const MAX_EXAMPLES: usize = 8;

/// What is counted of clients and their RPCs.
#[derive(Clone, Copy, Debug)]
pub(in crate::reducer) enum Count {
    Accepted,
    Rejected,
    /// Answered with the error that it may have had an effect.
    Failed,
    /// Its client left before the answer.
    ClientLeft,
    Cancelled,
    /// A statement with an error of its own.
    ClientError,
    /// Rejected with `Rejection::Crowded`: there are too many clients.
    Crowded,
    /// Rejected with `Rejection::Full` (too many RPCs are in flight), or with `Rejection::SentAhead` (its client has sent
    /// too much ahead).
    Full,
    /// Rejected for the overload of this router, or of all.
    Shed,
    /// A client was closed because it does not read its answers.
    SlowReader,
}

const COUNT_KINDS: usize = Count::SlowReader as usize + 1;

/// Counts since the last line of them.
pub(in crate::reducer) struct Stats {
    counts: [u32; COUNT_KINDS],
    attempts: OutcomeCounts,
    health_checks: OutcomeCounts,
    connects: u32,
    connect_time: Span,
    /// Time that members took for the attempts that ended with `AttemptOutcome::Ok`.
    answer_time: Span,
    logged_at: Time,
    exceptions: ExceptionCounts,
    /// Examples logged since.
    examples: usize,
}

/// Attempts or health checks by outcome.
#[derive(Clone, Copy, Default)]
pub(in crate::reducer) struct OutcomeCounts([u32; AttemptOutcome::COUNT]);

impl OutcomeCounts {
    fn add(&mut self, outcome: AttemptOutcome) {
        if let Some(count) = self.0.get_mut(outcome as usize) {
            *count += 1;
        }
    }

    fn get(&self, outcome: AttemptOutcome) -> u32 {
        self.0.get(outcome as usize).copied().unwrap_or_default()
    }
}

/// Outcomes that did not occur are left out.
impl Debug for OutcomeCounts {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let counted = AttemptOutcome::ALL.iter().map(|&outcome| (outcome, self.get(outcome)));
        formatter.debug_map().entries(counted.filter(|&(_, count)| count > 0)).finish()
    }
}

impl Stats {
    pub(in crate::reducer) fn new(now: Time) -> Stats {
        Stats {
            counts: [0; COUNT_KINDS],
            attempts: OutcomeCounts::default(),
            health_checks: OutcomeCounts::default(),
            connects: 0,
            connect_time: Span::ZERO,
            answer_time: Span::ZERO,
            logged_at: now,
            exceptions: ExceptionCounts::default(),
            examples: 0,
        }
    }

    pub(in crate::reducer) fn count(&mut self, kind: Count) {
        self.counts[kind as usize] += 1;
    }

    pub(in crate::reducer) fn count_attempt(&mut self, outcome: AttemptOutcome) {
        self.attempts.add(outcome);
    }

    /// An attempt was answered well, and took that long at its member.
    pub(in crate::reducer) fn add_answer_time(&mut self, span: Span) {
        self.answer_time += span;
    }

    pub(in crate::reducer) fn count_health_check(&mut self, outcome: AttemptOutcome) {
        self.health_checks.add(outcome);
    }

    pub(in crate::reducer) fn count_connect(&mut self) {
        self.connects += 1;
    }

    pub(in crate::reducer) fn add_connect_time(&mut self, span: Span) {
        self.connect_time += span;
    }

    /// Attempts that were answered well, and the time that they took at members.
    pub(in crate::reducer) fn answered_attempts(&self) -> (u32, Span) {
        (self.attempts.get(AttemptOutcome::Ok), self.answer_time)
    }

    pub(in crate::reducer) fn logged_at(&self) -> Time {
        self.logged_at
    }

    pub(in crate::reducer) fn attempts(&self) -> OutcomeCounts {
        self.attempts
    }

    pub(in crate::reducer) fn health_checks(&self) -> OutcomeCounts {
        self.health_checks
    }

    /// Connections to members that were begun.
    pub(in crate::reducer) fn connects(&self) -> u32 {
        self.connects
    }

    /// The time that connections to members took to be established.
    pub(in crate::reducer) fn connect_time(&self) -> Span {
        self.connect_time
    }

    /// RPCs that were not served by the ordinary path.
    pub(in crate::reducer) fn exceptions(&self) -> &ExceptionCounts {
        &self.exceptions
    }

    pub(in crate::reducer) fn add_exceptions(&mut self, counts: &ExceptionCounts) {
        self.exceptions.merge(counts);
    }

    /// Gives the counts, and starts them again.
    pub(in crate::reducer) fn take(&mut self, now: Time) -> Stats {
        std::mem::replace(self, Stats::new(now))
    }

    pub(in crate::reducer) fn get(&self, kind: Count) -> u32 {
        self.counts[kind as usize]
    }

    /// Is a further example to be logged? It is counted then.
    pub(in crate::reducer) fn try_count_example(&mut self) -> bool {
        let allowed = self.examples < MAX_EXAMPLES;
        self.examples += usize::from(allowed);
        allowed
    }
}
