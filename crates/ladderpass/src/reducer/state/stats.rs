//! Counts of this router's work since the counts were last logged.

use ladderpass_routing::reasons::ExceptionCounts;
use ladderpass_routing::{AttemptOutcome, Span, Time};
use std::fmt::{self, Debug, Formatter};

/// Maximum number of RPCs (given up, or sent to the primary for lack of an eligible replica) that are logged as
/// examples between two log lines with counts.
const MAX_EXAMPLES: usize = 8;

/// The kinds of events of clients and their RPCs that are counted.
#[derive(Clone, Copy, Debug)]
pub(in crate::reducer) enum Count {
    Accepted,
    Rejected,
    /// The RPC was answered with an error that says that the RPC may have had an effect.
    Failed,
    /// The client left before its RPC was answered.
    ClientLeft,
    Cancelled,
    /// The client made an error in a statement or another message.
    ClientError,
    /// A statement was rejected with `Rejection::Crowded`, because there are too many clients.
    Crowded,
    /// A statement was rejected with `Rejection::Full`, because too many RPCs are in flight, or with
    /// `Rejection::SentAhead`, because its client has sent too much ahead.
    Full,
    /// An RPC was rejected at arrival. With an `overload` section in the operator's file, all rejections at arrival are
    /// counted here, whatever their reason. Without that section, only rejections by shared admission control are
    /// counted.
    Shed,
    /// A client was closed because it does not read its answers.
    SlowReader,
}

const COUNT_KINDS: usize = Count::SlowReader as usize + 1;

/// Counts of events and total times since the counts were last logged.
pub(in crate::reducer) struct Stats {
    counts: [u32; COUNT_KINDS],
    attempts: OutcomeCounts,
    health_checks: OutcomeCounts,
    connects: u32,
    /// The number of connections to members that were established.
    established_connects: u32,
    connect_time: Span,
    /// Total time that members took for the attempts that ended with `AttemptOutcome::Ok`.
    answer_time: Span,
    logged_at: Time,
    exceptions: ExceptionCounts,
    /// Number of RPCs (given up, or sent to the primary for lack of an eligible replica) that were logged as examples
    /// since the counts were last logged.
    examples: usize,
}

/// The number of attempts or of health checks that ended with each outcome.
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

/// Prints the number of each outcome that occurred, and leaves out the others.
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
            established_connects: 0,
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

    /// Adds the time that a member took for an attempt that ended with `AttemptOutcome::Ok`.
    pub(in crate::reducer) fn add_answer_time(&mut self, span: Span) {
        self.answer_time += span;
    }

    pub(in crate::reducer) fn count_health_check(&mut self, outcome: AttemptOutcome) {
        self.health_checks.add(outcome);
    }

    pub(in crate::reducer) fn count_connect(&mut self) {
        self.connects += 1;
    }

    /// Counts a connection to a member that was established, and adds the time that this took.
    pub(in crate::reducer) fn add_established_connect(&mut self, span: Span) {
        self.established_connects += 1;
        self.connect_time += span;
    }

    /// Returns the number of attempts that ended with `AttemptOutcome::Ok`, and the total time that members took for
    /// them.
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

    /// Returns the number of connections to members that the router began to open.
    pub(in crate::reducer) fn connects(&self) -> u32 {
        self.connects
    }

    /// Returns the number of connections to members that were established, and the total time that this took.
    pub(in crate::reducer) fn established_connects(&self) -> (u32, Span) {
        (self.established_connects, self.connect_time)
    }

    /// Returns the counts of RPCs that were given up, and of reads that were sent to a primary because no replica was
    /// eligible for them.
    pub(in crate::reducer) fn exceptions(&self) -> &ExceptionCounts {
        &self.exceptions
    }

    pub(in crate::reducer) fn add_exceptions(&mut self, counts: &ExceptionCounts) {
        self.exceptions.merge(counts);
    }

    /// Returns the counts since the last call, and resets them.
    pub(in crate::reducer) fn take(&mut self, now: Time) -> Stats {
        std::mem::replace(self, Stats::new(now))
    }

    pub(in crate::reducer) fn get(&self, kind: Count) -> u32 {
        self.counts[kind as usize]
    }

    /// Returns whether one more RPC may be logged as an example (at most `MAX_EXAMPLES` may), and counts the RPC if so.
    pub(in crate::reducer) fn try_count_example(&mut self) -> bool {
        let allowed = self.examples < MAX_EXAMPLES;
        self.examples += usize::from(allowed);
        allowed
    }
}
