//! What a run has recorded, and what is computed from it.

use crate::history_checker::{Absence, ColdStart, DrainNotice, History, MemberLink};
use crate::load::{self, Outcome, ProbeDelay};
use crate::router_log;
use hdrhistogram::Histogram;
use ladderpass_emulator::{ExecutionLog, Scenario};
use ladderpass_fault_injection::engine::AttemptEvent;
use ladderpass_invariants::{Tolerance, Violation};
use ladderpass_routing::{Span, Time};

/// Default of [`RunRecord::warm_member_rpcs_per_second`].
pub(super) const WARM_MEMBER_RPCS_PER_SECOND: f64 = 1000.0;

/// What a run has recorded.
pub struct RunRecord {
    /// What the clients saw.
    pub outcome: Outcome,
    /// Delays of the prober's queries.
    pub(super) probe_delays: Vec<ProbeDelay>,
    /// What the members saw.
    pub execution_log: ExecutionLog,
    /// CPU seconds of the router over the load.
    pub cpu_seconds: f64,
    /// Resident memory of the router at the end of the load, in bytes.
    pub resident_bytes: u64,
    /// Lines that the router has logged.
    pub log: Vec<String>,
    /// Set if the router had ended before it was stopped; within, its exit code, if it has one.
    pub ended: Option<Option<i32>>,
    /// RPCs a second that a cold member can serve once it is warm.
    pub warm_member_rpcs_per_second: f64,
    pub(super) scenario: Scenario,
    pub(super) seed: u64,
    /// Begins and ends of attempts that the fault tool saw.
    pub(super) attempts: Vec<AttemptEvent>,
    /// The start of the fault tool, from which the times of `attempts` count.
    pub(super) tool_started_at: Time,
    pub(super) absences: Vec<Absence>,
    pub(super) drain_notices: Vec<DrainNotice>,
}

/// A delay of the router's event loop.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoopDelay {
    /// When it was, in seconds of the load.
    pub at_s: f64,
    /// How long it was, in milliseconds.
    pub delay_ms: f64,
}

impl RunRecord {
    /// Violations as text, and the first protocol errors that clients saw. `answer_tolerance` is as in [`RunRecord::violations`].
    pub fn violation_texts(&self, answer_tolerance: Span) -> Vec<String> {
        let faults = self.outcome.faults.iter().take(3).map(|fault| format!("rule 1: {fault}"));
        faults.chain(self.violations(answer_tolerance).iter().map(Violation::to_string)).collect()
    }

    /// What the history checker finds, if answers may come `answer_tolerance` after their deadline.
    pub fn violations(&self, answer_tolerance: Span) -> Vec<Violation> {
        let members = self.scenario.member_count();
        let link = |member: usize| (member, MemberLink { router: 0, member: member as u32 });
        let links = (0..members).map(link).collect();
        let cold_starts =
            ColdStart::all(&self.scenario, self.outcome.began, self.warm_member_rpcs_per_second);
        let history = History {
            scenario: &self.scenario,
            links: &links,
            seed: self.seed,
            journal: &self.outcome.journal,
            attempts: &self.attempts,
            tool_started_at: self.tool_started_at,
            execution_log: &self.execution_log,
            absences: &self.absences,
            drain_notices: &self.drain_notices,
            cold_starts: &cold_starts,
            tolerance: Tolerance { answer: answer_tolerance, ..Tolerance::default() },
        };
        history.violations()
    }

    /// Delays of the router's event loop in `from..to`, in seconds of the load; in microseconds.
    pub fn delays(&self, from: f64, to: f64) -> Histogram<u64> {
        let mut delays = load::histogram();
        for probe in
            self.probe_delays.iter().filter(|probe| (from..to).contains(&self.seconds_since_start(probe.due)))
        {
            delays.saturating_record((probe.delay.nanos() / 1000).max(1) as u64);
        }
        delays
    }

    /// A time as seconds from the start of the load.
    fn seconds_since_start(&self, at: Time) -> f64 {
        (at - self.outcome.began).secs()
    }

    /// A quantile of [`RunRecord::delays`], in milliseconds.
    pub fn delay_ms(&self, quantile: f64, from: f64, to: f64) -> f64 {
        self.delays(from, to).value_at_quantile(quantile) as f64 / 1e3
    }

    /// The longest delay of the router's event loop.
    pub fn slowest(&self) -> LoopDelay {
        let slowest = self.probe_delays.iter().max_by_key(|probe| probe.delay);
        slowest.map_or(LoopDelay::default(), |probe| LoopDelay {
            at_s: self.seconds_since_start(probe.due),
            delay_ms: probe.delay.secs() * 1e3,
        })
    }

    /// What became of RPCs that were due in `from..to`, in seconds of the load.
    pub fn counts(&self, from: f64, to: f64) -> load::Counts {
        let mut total = load::Counts::default();
        self.outcome.within(from, to).flat_map(|slice| &slice.counts).for_each(|counts| total.add(counts));
        total
    }

    /// How often the router logged a change of its overload level.
    pub fn level_changes(&self) -> usize {
        self.log.iter().filter(|line| router_log::is_overload_level_change(line)).count()
    }
}
