//! What the log tells of this router's work: a line with all counts now and then, and a few examples of RPCs that were not
//! served by the ordinary path, each with the reason.
//!
//! It owns the counts since the log told them last. It must never decide, nor tell more lines than its limit.

use super::*;
use ladderpass_routing::reasons::{Exception, ExceptionCounts, Exceptions, PrimaryState, Reason, Unserved};

/// What the log tells now and then.
#[derive(Default)]
pub(super) struct Stats {
    pub(super) taken: u32,
    pub(super) pushed_back: u32,
    pub(super) aborted: u32,
    pub(super) left: u32,
    pub(super) cancelled: u32,
    /// Statements turned away for a fault of their own, for want of connections, and for the bound of RPCs held.
    pub(super) faults: u32,
    pub(super) crowded: u32,
    pub(super) full: u32,
    /// Refused for the router's own load, and closed as they read nothing.
    pub(super) shed: u32,
    pub(super) slow: u32,
    pub(super) ended: [u32; AttemptOutcome::COUNT],
    pub(super) probes: [u32; AttemptOutcome::COUNT],
    pub(super) connects: u32,
    pub(super) connect_time: Span,
    pub(super) answer_time: Span,
    pub(super) listed_at: Time,
    /// What did not go by the ordinary path, and how many examples of it were told.
    pub(super) exceptions: ExceptionCounts,
    pub(super) examples: usize,
}

/// Examples that the log tells between two lines of counts.
const MOST_EXAMPLES: usize = 8;

impl Reducer {
    pub(super) fn log_stats(&mut self, now: Time) {
        self.log_membership();
        let (answers, answer_time) = self.answered_attempts();
        let tally = std::mem::replace(&mut self.stats, Stats { listed_at: now, ..Stats::default() });
        tracing::info!(
            "taken {}, pushed back {}, aborted {}, left {}, cancelled {}, faulty {}, crowded {}, full {}, shed {}, slow {}; call-outs (ok, failed, overloaded, timed out, unreachable, \
             broken, withdrawn, void, absent, expired) {:?}, probes {:?}; {} connects of {:.1} ms, ok in {:.1} ms; \
             {} clients ({:?} are waited for: to open, to end, to begin), {} links ({} carry an RPC), {} members, {} rpcs, \
             {} KiB; given up: {}; {} reads spilled past replicas: {}",
            tally.taken,
            tally.pushed_back,
            tally.aborted,
            tally.left,
            tally.cancelled,
            tally.faults,
            tally.crowded,
            tally.full,
            tally.shed,
            tally.slow,
            tally.ended,
            tally.probes,
            tally.connects,
            tally.connect_time.secs() * 1e3 / f64::from(tally.connects.max(1)),
            answer_time.secs() * 1e3 / f64::from(answers.max(1)),
            self.clients,
            self.waiting.each_ref().map(BTreeSet::len),
            self.links,
            self.attempts_in_flight().1,
            self.member_count(),
            self.rpcs.len(),
            self.buffer_bytes >> 10,
            tally.exceptions.given_up,
            tally.exceptions.spilled,
            tally.exceptions.passed_over,
        );
    }

    /// Counts what did not go by the ordinary path, and tells the first few of it.
    pub(super) fn record_exceptions(&mut self, told: Exceptions) {
        self.stats.exceptions.join(&told.counts);
        for unserved in &told.examples {
            if self.stats.examples >= MOST_EXAMPLES {
                return;
            }
            self.stats.examples += 1;
            self.log_example(unserved);
        }
    }

    fn log_example(&self, unserved: &Unserved) {
        let method = self.methods.iter().find(|(_, index)| **index == unserved.method);
        let method = method.map_or("unknown", |(name, _)| name.as_str());
        let milliseconds = |span: Span| span.nanos() / 1_000_000;
        tracing::info!(
            "group {}: {method} {}; {} attempts in {} ms, {} ms left",
            unserved.group,
            account(&unserved.what),
            unserved.attempts,
            milliseconds(unserved.waited),
            milliseconds(unserved.left),
        );
    }
}

/// What became of an RPC, in words.
fn account(what: &Exception) -> String {
    match what {
        Exception::Spilled(passed_over) => format!("spilled to the primary past replicas: {passed_over}"),
        Exception::GivenUp { reason, primary } => {
            let primary = match primary {
                PrimaryState::Unknown => "unknown",
                PrimaryState::Eligible => "eligible",
                PrimaryState::Ineligible(why) => why.text(),
            };
            format!("given up: {}; primary: {primary}", reason.text())
        }
    }
}

pub(super) fn count_outcome(counts: &mut [u32; AttemptOutcome::COUNT], ended: AttemptOutcome) {
    if let Some(count) = counts.get_mut(ended as usize) {
        *count += 1;
    }
}
