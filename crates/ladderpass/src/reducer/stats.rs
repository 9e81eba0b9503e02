//! Counts of this router's work, logged every `Limits::stats_interval`, and examples of RPCs that were not served by the
//! ordinary path, each with its reason. The counts start again after each line.

use super::Reducer;
use ladderpass_routing::reasons::{
    Exception, ExceptionCounts, Exceptions, PrimaryState, Reason, UnservedRpc,
};
use ladderpass_routing::{AttemptOutcome, Span, Time};
use std::fmt::{self, Debug, Formatter};

/// Most examples between two lines of counts.
const MAX_EXAMPLES: usize = 8;

const OUTCOMES: [AttemptOutcome; AttemptOutcome::COUNT] = [
    AttemptOutcome::Ok,
    AttemptOutcome::Failed,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Unreachable,
    AttemptOutcome::ConnectionLost,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NeverSent,
    AttemptOutcome::NotServedHere,
    AttemptOutcome::DecisionExpired,
];

/// What is counted of clients and their RPCs.
#[derive(Clone, Copy, Debug)]
pub(super) enum Count {
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

const COUNTS: usize = Count::SlowReader as usize + 1;

/// Counts since the last line of them.
pub(super) struct Stats {
    counts: [u32; COUNTS],
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
struct OutcomeCounts([u32; AttemptOutcome::COUNT]);

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
        let counted = OUTCOMES.iter().map(|&outcome| (outcome, self.get(outcome)));
        formatter.debug_map().entries(counted.filter(|&(_, count)| count > 0)).finish()
    }
}

impl Stats {
    pub(super) fn new(now: Time) -> Stats {
        Stats {
            counts: [0; COUNTS],
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

    pub(super) fn count(&mut self, what: Count) {
        self.counts[what as usize] += 1;
    }

    pub(super) fn count_attempt(&mut self, outcome: AttemptOutcome) {
        self.attempts.add(outcome);
    }

    /// An attempt was answered well, and took that long at its member.
    pub(super) fn add_answer_time(&mut self, span: Span) {
        self.answer_time += span;
    }

    pub(super) fn count_health_check(&mut self, outcome: AttemptOutcome) {
        self.health_checks.add(outcome);
    }

    pub(super) fn count_connect(&mut self) {
        self.connects += 1;
    }

    pub(super) fn add_connect_time(&mut self, span: Span) {
        self.connect_time += span;
    }

    /// Attempts that were answered well, and the time that they took at members.
    pub(super) fn answered_attempts(&self) -> (u32, Span) {
        (self.attempts.get(AttemptOutcome::Ok), self.answer_time)
    }

    pub(super) fn logged_at(&self) -> Time {
        self.logged_at
    }

    fn get(&self, what: Count) -> u32 {
        self.counts[what as usize]
    }

    /// Is a further example to be logged? It is counted then.
    fn try_count_example(&mut self) -> bool {
        let allowed = self.examples < MAX_EXAMPLES;
        self.examples += usize::from(allowed);
        allowed
    }
}

impl Reducer {
    /// Logs the counts and starts them again.
    pub(super) fn log_stats(&mut self, now: Time) {
        if let Some(peers) = &self.peers {
            peers.log_membership();
        }
        let stats = std::mem::replace(&mut self.stats, Stats::new(now));
        let (answers, answer_time) = stats.answered_attempts();
        tracing::info!(
            accepted = stats.get(Count::Accepted),
            rejected = stats.get(Count::Rejected),
            failed = stats.get(Count::Failed),
            client_left = stats.get(Count::ClientLeft),
            cancelled = stats.get(Count::Cancelled),
            client_errors = stats.get(Count::ClientError),
            crowded = stats.get(Count::Crowded),
            full = stats.get(Count::Full),
            shed = stats.get(Count::Shed),
            slow_readers = stats.get(Count::SlowReader),
            attempts = ?stats.attempts,
            health_checks = ?stats.health_checks,
            connects = stats.connects,
            connect_ms = %mean_ms(stats.connect_time, stats.connects),
            answer_ms = %mean_ms(answer_time, answers),
            clients = self.clients.len(),
            awaited = ?self.clients.awaited_counts(),
            member_connections = self.members.connection_count(),
            attempts_in_flight = self.attempts_in_flight().1,
            members = self.member_count(),
            rpcs = self.rpcs.len(),
            buffer_kib = self.connections.buffer_bytes() >> 10,
            given_up = stats.exceptions.given_up.to_string(),
            spilled = stats.exceptions.spilled,
            passed_over = stats.exceptions.passed_over.to_string(),
            "stats"
        );
    }

    /// Counts what did not go by the ordinary path, and logs the first few examples.
    pub(super) fn record_exceptions(&mut self, exceptions: Exceptions) {
        self.stats.exceptions.merge(&exceptions.counts);
        for unserved in &exceptions.examples {
            if !self.stats.try_count_example() {
                return;
            }
            self.log_example(unserved);
        }
    }

    fn log_example(&self, unserved: &UnservedRpc) {
        let method = self.methods.name(unserved.method).unwrap_or("unknown");
        let (group, attempts) = (unserved.group, unserved.attempts);
        let waited_ms = whole_milliseconds(unserved.waited);
        let left_ms = whole_milliseconds(unserved.time_left);
        match &unserved.exception {
            Exception::Spilled(passed_over) => tracing::info!(
                group,
                method,
                passed_over = passed_over.to_string(),
                attempts,
                waited_ms,
                left_ms,
                "read spilled to the primary"
            ),
            Exception::GivenUp { reason, primary } => {
                let (reason, primary) = (reason.text(), primary_text(primary));
                tracing::info!(group, method, reason, primary, attempts, waited_ms, left_ms, "RPC given up");
            }
        }
    }
}

fn primary_text(primary: &PrimaryState) -> &'static str {
    match primary {
        PrimaryState::Unknown => "unknown",
        PrimaryState::Eligible => "eligible",
        PrimaryState::Ineligible(why) => why.text(),
    }
}

fn whole_milliseconds(span: Span) -> i64 {
    span.nanos() / 1_000_000
}

fn mean_ms(total: Span, count: u32) -> String {
    format!("{:.1}", total.secs() * 1e3 / f64::from(count.max(1)))
}
