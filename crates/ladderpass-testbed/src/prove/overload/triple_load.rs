//! A load that rises to three times the calm load and falls back to it, with overload control and without.

use super::routers::{Routers, WARM_UP_S, uncontrolled_text};
use crate::charts;
use crate::load::Phase;
use crate::prove::Table;
use crate::run::{self, LoopDelay, RunRecord, open_plan};
use ladderpass_emulator::Scenario;
use ladderpass_routing::Span;
use std::io;
use std::path::Path;

// Times are in seconds from the start of the load.

/// When the load rises to three times the calm load.
const RISE_S: f64 = 1.0;
/// When the load falls back to the calm load.
const FALL_S: f64 = 3.5;
/// When the load ends.
const END_S: f64 = 6.0;
const LOAD_FACTOR: f64 = 3.0;
/// Delays of the router's event loop are measured from this time on.
const DELAYS_FROM_S: f64 = 0.5;
/// The router must have recovered by this time, two seconds after the load fell.
const RECOVERED_FROM_S: f64 = 5.5;
/// The router's recovery after the load fell is measured until this time.
const RECOVERED_TO_S: f64 = 5.9;

const MAX_LOOP_DELAY_P999_MS: f64 = 50.0;
const MIN_WRITES_OK: f64 = 0.99;
const MIN_RECOVERED_GOOD: f64 = 0.999;
const MAX_LEVEL_CHANGES_PER_SECOND: f64 = 3.0;
const MAX_LOAD_DELAY: Span = Span::from_millis(20);
/// How long after the deadline of an RPC the answer to the RPC may come.
const ANSWER_TOLERANCE: Span = Span::from_millis(50);

/// The records of the same load on the routers with and without overload control. On the router without overload
/// control, the load ends when it would fall back to the calm load.
pub(super) struct TripleLoad {
    controlled: RunRecord,
    uncontrolled: RunRecord,
}

/// Runs the load on the router with overload control and on the router without.
///
/// # Errors
/// Returns an error if a run can't be started.
pub(super) fn run_triple_load(
    scenario: &Scenario,
    routers: &Routers,
    calm_rate: f64,
    seed: u64,
) -> io::Result<TripleLoad> {
    let phases = [
        Phase { seconds: WARM_UP_S, rate_per_second: calm_rate * 0.5 },
        Phase { seconds: RISE_S - WARM_UP_S, rate_per_second: calm_rate },
        Phase { seconds: FALL_S - RISE_S, rate_per_second: calm_rate * LOAD_FACTOR },
        Phase { seconds: END_S - FALL_S, rate_per_second: calm_rate },
    ];
    let controlled = run::run(scenario, &routers.controlled, &open_plan(seed, &phases), vec![])?;
    let uncontrolled = run::run(scenario, &routers.uncontrolled, &open_plan(seed, &phases[..3]), vec![])?;
    Ok(TripleLoad { controlled, uncontrolled })
}

impl TripleLoad {
    /// Adds all requirements on the controlled router.
    pub(super) fn require_all(&self, table: &mut Table, scenario: &Scenario) {
        self.require_short_delays(table);
        self.require_answers(table, scenario);
        self.require_valid_run(table);
        self.require_recovery(table);
        self.report_utility_and_cpu(table);
    }

    fn require_short_delays(&self, table: &mut Table) {
        let delay_ms = self.controlled.delay_ms(0.999, DELAYS_FROM_S, END_S);
        let uncontrolled_ms = self.uncontrolled.delay_ms(0.999, DELAYS_FROM_S, FALL_S);
        let uncontrolled = uncontrolled_text(format!("{uncontrolled_ms:.1} ms"));
        table.require(
            "3x: 99.9th percentile of loop delay",
            "under 50 ms",
            format!("{delay_ms:.1} ms; {uncontrolled}"),
            delay_ms < MAX_LOOP_DELAY_P999_MS,
        );
        let LoopDelay { at_s, delay_ms } = self.controlled.slowest();
        table.report("3x: slowest round", format!("{delay_ms:.1} ms, {at_s:.2} s after the start"));
    }

    fn require_answers(&self, table: &mut Table, scenario: &Scenario) {
        let write = scenario.methods.iter().position(|method| method.writes).unwrap_or(0);
        let ok = ok_fraction(&self.controlled, write);
        let uncontrolled_ok = ok_fraction(&self.uncontrolled, write);
        let uncontrolled = uncontrolled_text(format!("{:.2}%", uncontrolled_ok * 100.0));
        table.require(
            "3x: writes answered ok",
            "above 99%",
            format!("{:.2}%; {uncontrolled}", ok * 100.0),
            ok > MIN_WRITES_OK,
        );
        let unanswered = not_answered_in_time(&self.controlled);
        let uncontrolled = uncontrolled_text(not_answered_in_time(&self.uncontrolled));
        table.require(
            "3x: clients without an answer in their time",
            "none",
            format!("{unanswered}; {uncontrolled}"),
            unanswered == 0,
        );
    }

    /// Requires that no rule is broken, and that the load generator was not late.
    fn require_valid_run(&self, table: &mut Table) {
        let broken = self.controlled.violation_texts(ANSWER_TOLERANCE);
        let measured = if broken.is_empty() {
            format!("none in {} call-outs", self.controlled.execution_log.executions.len())
        } else {
            broken.join("; ")
        };
        table.require("3x: rules broken", "none", measured, broken.is_empty());
        let load_delay = self.controlled.outcome.max_send_delay;
        table.require(
            "3x: the load kept up",
            "under 20 ms late",
            format!("{:.1} ms", load_delay.secs() * 1e3),
            load_delay < MAX_LOAD_DELAY,
        );
    }

    fn require_recovery(&self, table: &mut Table) {
        let changes = self.controlled.level_changes() as f64 / END_S;
        table.require(
            "3x: changes of level a second",
            "under 3",
            format!("{changes:.2}"),
            changes < MAX_LEVEL_CHANGES_PER_SECOND,
        );
        let recovered = self.controlled.counts(RECOVERED_FROM_S, RECOVERED_TO_S);
        let (due, good) = (recovered.due, recovered.good);
        table.require(
            "back at 1x: good after 2 s",
            "above 99.9%",
            format!("{good} of {due}"),
            due > 0 && good as f64 >= MIN_RECOVERED_GOOD * due as f64,
        );
    }

    fn report_utility_and_cpu(&self, table: &mut Table) {
        let thousands = |record: &RunRecord| record.outcome.utility_rate(RISE_S, FALL_S) / 1e3;
        let uncontrolled = uncontrolled_text(format!("{:.0}k", thousands(&self.uncontrolled)));
        let utility = thousands(&self.controlled);
        table.report("3x: utility a second", format!("{utility:.0}k; {uncontrolled}"));
        let total = self.controlled.outcome.total();
        let rejected = total.rejected as f64 * 100.0 / total.due.max(1) as f64;
        table.report("3x: pushed back", format!("{rejected:.1}% of {}", total.due));
        let uncontrolled = uncontrolled_text(format!("{:.2}", self.uncontrolled.cpu_seconds / FALL_S));
        let cores = self.controlled.cpu_seconds / END_S;
        table.report("3x: CPU of the router", format!("{cores:.2} of a core; {uncontrolled}"));
    }

    /// Writes a chart of the loop delays of both runs, and one of the controlled run over time.
    ///
    /// # Errors
    /// Returns an error if a chart can't be written.
    pub(super) fn write_charts(&self, out: &Path, scenario: &Scenario) -> io::Result<()> {
        let controlled = self.controlled.delays(RISE_S, FALL_S);
        let uncontrolled = self.uncontrolled.delays(RISE_S, FALL_S);
        let lines = [("watching itself", &controlled), ("without the file", &uncontrolled)];
        charts::delays(&out.join("delay.svg"), &lines)?;
        charts::over_time(&out.join("over-time.svg"), scenario, &self.controlled)
    }
}

/// Returns the fraction of a method's RPCs that were answered ok.
fn ok_fraction(record: &RunRecord, method: usize) -> f64 {
    let counts = record.outcome.of(method);
    counts.ok as f64 / counts.due.max(1) as f64
}

/// Returns the number of RPCs that were not answered before their deadline, or were never sent.
fn not_answered_in_time(record: &RunRecord) -> u64 {
    let total = record.outcome.total();
    total.late + total.unanswered + total.unsent
}
