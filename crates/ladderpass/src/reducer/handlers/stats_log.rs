//! Logs the counts of the router's work every `Limits::stats_interval`. Also logs examples of RPCs that were given up
//! and of reads that were sent to the primary because no replica was eligible (spilled), each with the reason.

use crate::reducer::Reducer;
use crate::reducer::log_target;
use crate::reducer::state::stats::Count;
use ladderpass_routing::reasons::{Exception, ExceptionExample, Exceptions, PrimaryState, Reason};
use ladderpass_routing::{Span, Time};

impl Reducer {
    /// Logs the counts since the last call, and resets them. Also logs the state of the membership.
    pub(in crate::reducer) fn log_stats(&mut self, now: Time) {
        if let Some(peers) = &self.peers {
            peers.log_membership();
        }
        let stats = self.stats.take(now);
        let (answers, answer_time) = stats.answered_attempts();
        let (established_connects, connect_time) = stats.established_connects();
        tracing::info!(
            target: log_target::STATS,
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
            attempts = ?stats.attempts(),
            health_checks = ?stats.health_checks(),
            connects = stats.connects(),
            connect_ms = %mean_ms(connect_time, established_connects),
            answer_ms = %mean_ms(answer_time, answers),
            clients = self.clients.len(),
            awaited = ?self.clients.awaited_counts(),
            member_connections = self.members.connection_count(),
            attempts_in_flight = self.attempts_in_flight().connections,
            members = self.member_count(),
            rpcs = self.rpcs.len(),
            buffer_kib = self.connections.buffer_bytes() >> 10,
            given_up = stats.exceptions().given_up.to_string(),
            spilled = stats.exceptions().spilled,
            passed_over = stats.exceptions().passed_over.to_string(),
            "stats"
        );
    }

    /// Counts the RPCs that were given up, and the reads that were sent to the primary because no replica was eligible.
    /// Logs the first few of them as examples.
    pub(in crate::reducer) fn record_exceptions(&mut self, exceptions: Exceptions) {
        self.stats.add_exceptions(&exceptions.counts);
        for example in &exceptions.examples {
            if !self.stats.try_count_example() {
                return;
            }
            self.log_example(example);
        }
    }

    fn log_example(&self, example: &ExceptionExample) {
        let method = self.methods.name(example.method).unwrap_or("unknown");
        let (group, attempts) = (example.group, example.attempts);
        let waited_ms = whole_milliseconds(example.waited);
        let left_ms = whole_milliseconds(example.time_left);
        match &example.exception {
            Exception::Spilled(passed_over) => tracing::info!(
                target: log_target::STATS,
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
                tracing::info!(
                    target: log_target::STATS,
                    group,
                    method,
                    reason,
                    primary,
                    attempts,
                    waited_ms,
                    left_ms,
                    "RPC given up"
                );
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
