//! The record of a run, and values that are computed from it.

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

/// What the clients, the prober, the members, the router and the fault tool did or observed in one run.
pub struct RunRecord {
    /// What the clients observed.
    pub outcome: Outcome,
    /// Delays of the router's answers to the prober, which sends empty queries during the load.
    pub(super) probe_delays: Vec<ProbeDelay>,
    /// What the members observed.
    pub execution_log: ExecutionLog,
    /// CPU time that the router used during the load, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory of the router at the end of the load, in bytes.
    pub resident_bytes: u64,
    /// Lines that the router has logged.
    pub log: Vec<String>,
    /// `None` if the router ran until the testbed killed it. If the router had ended before, `Some(Some(code))` after an exit
    /// with this exit code, and `Some(None)` after a signal.
    pub ended: Option<Option<i32>>,
    /// RPCs per second that a cold member can serve after its slow start.
    pub warm_member_rpcs_per_second: f64,
    pub(super) scenario: Scenario,
    pub(super) seed: u64,
    /// Begins and ends of attempts that the fault tool observed. The list is empty in a run without the tool.
    pub(super) attempts: Vec<AttemptEvent>,
    /// Start of the fault tool, from which the times of `attempts` are counted.
    pub(super) tool_started_at: Time,
    pub(super) absences: Vec<Absence>,
    pub(super) drain_notices: Vec<DrainNotice>,
}

/// A delay of the router's event loop, measured as the delay of the answer to a query of the prober.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoopDelay {
    /// When the delayed query was due, in seconds after the start of the load.
    pub at_s: f64,
    /// Length of the delay in milliseconds.
    pub delay_ms: f64,
}

impl RunRecord {
    /// Returns the first three protocol errors that clients observed, followed by all violations that the history checker
    /// finds, as text. `answer_tolerance` is as in [`RunRecord::violations`].
    pub fn violation_texts(&self, answer_tolerance: Span) -> Vec<String> {
        let faults = self.outcome.faults.iter().take(3).map(|fault| format!("rule 1: {fault}"));
        faults.chain(self.violations(answer_tolerance).iter().map(Violation::to_string)).collect()
    }

    /// Returns the violations that the history checker finds, if answers may arrive up to `answer_tolerance` after their
    /// deadline.
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

    /// Returns the delays of the router's event loop in microseconds, for queries of the prober that were due in `from..to`, in
    /// seconds after the start of the load.
    pub fn delays(&self, from: f64, to: f64) -> Histogram<u64> {
        let mut delays = load::histogram();
        for probe in
            self.probe_delays.iter().filter(|probe| (from..to).contains(&self.seconds_since_start(probe.due)))
        {
            delays.saturating_record((probe.delay.nanos() / 1000).max(1) as u64);
        }
        delays
    }

    /// Converts a time to seconds after the start of the load.
    fn seconds_since_start(&self, at: Time) -> f64 {
        (at - self.outcome.began).secs()
    }

    /// Returns a quantile of the [`RunRecord::delays`] in `from..to`, in milliseconds.
    pub fn delay_ms(&self, quantile: f64, from: f64, to: f64) -> f64 {
        self.delays(from, to).value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the longest delay of the router's event loop, or a delay of zero if the prober measured none.
    pub fn slowest(&self) -> LoopDelay {
        let slowest = self.probe_delays.iter().max_by_key(|probe| probe.delay);
        slowest.map_or(LoopDelay::default(), |probe| LoopDelay {
            at_s: self.seconds_since_start(probe.due),
            delay_ms: probe.delay.secs() * 1e3,
        })
    }

    /// Returns the counts of RPCs by outcome, over the time slices that start in `from..to`, in seconds after the start of the
    /// load.
    pub fn counts(&self, from: f64, to: f64) -> load::Counts {
        let mut total = load::Counts::default();
        self.outcome.within(from, to).flat_map(|slice| &slice.counts).for_each(|counts| total.add(counts));
        total
    }

    /// Returns how often the router logged a change of its overload level.
    pub fn level_changes(&self) -> usize {
        self.log.iter().filter(|line| router_log::is_overload_level_change(line)).count()
    }
}
