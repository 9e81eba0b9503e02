//! The calm load of a router. A few fractions of the highest rate that the router serves are tried, and the calm load is the
//! highest of them that it serves without rejections and with short delays.

use super::routers::{Routers, WARM_UP_S};
use crate::load::Phase;
use crate::prove::Table;
use crate::run::{self, RunRecord, open_plan};
use ladderpass_emulator::Scenario;
use std::io;

/// The fractions of the highest rate that are tried. Three times the first fraction is a little above the highest rate,
/// and three times the last fraction is almost a third above the highest rate.
const FRACTIONS: [f64; 3] = [0.35, 0.39, 0.43];
const LOAD_S: f64 = 0.5;
/// This many of up to three runs at a rate must be calm. One run may fail to be calm, as another process of the machine may
/// disturb it.
const REQUIRED_CALM_RUNS: u64 = 2;
/// The router counts as not calm at a rate once it is not calm in this many runs.
const DISTURBED_RUNS: u64 = 2;
const MIN_GOOD_FRACTION: f64 = 0.999;
const MAX_LOOP_DELAY_P99_MS: f64 = 5.0;

/// Requires that there is a calm load. Returns it, in RPCs a second.
///
/// # Errors
/// Returns an error if a run can't be started.
pub(super) fn require_calm_load(
    table: &mut Table,
    scenario: &Scenario,
    routers: &Routers,
    max_rate: f64,
    seed: u64,
) -> io::Result<Option<f64>> {
    let mut calm_rate = None;
    for fraction in FRACTIONS {
        let rate = max_rate * fraction;
        if !is_calm_at(table, scenario, routers, rate, seed)? {
            break;
        }
        calm_rate = Some(rate);
    }
    let measured = format!("{:.0} RPCs/s, of {max_rate:.0} at most", calm_rate.unwrap_or(0.0));
    table.require("calm load", "found", measured, calm_rate.is_some());
    Ok(calm_rate)
}

/// Returns whether the router is calm at a rate in two of up to three runs. Runs in which the router is not calm are
/// reported.
fn is_calm_at(
    table: &mut Table,
    scenario: &Scenario,
    routers: &Routers,
    rate: f64,
    seed: u64,
) -> io::Result<bool> {
    let phases = [
        Phase { seconds: WARM_UP_S, rate_per_second: rate * 0.5 },
        Phase { seconds: LOAD_S, rate_per_second: rate },
    ];
    let (mut calm, mut disturbed) = (0, 0);
    while calm < REQUIRED_CALM_RUNS {
        let plan = open_plan(seed + calm + disturbed, &phases);
        let record = run::run(scenario, &routers.controlled, &plan, vec![])?;
        if is_calm(&record) {
            calm += 1;
            continue;
        }
        disturbed += 1;
        table.report(format!("  not calm at {rate:.0} RPCs/s"), describe(&record));
        if disturbed == DISTURBED_RUNS {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Returns whether the router answers almost all RPCs ok within their soft deadline and has short loop delays. The idle
/// fraction of its core is no criterion. Under little load, the router handles RPCs one by one, which takes twice the CPU
/// time of batches, so that its core can be almost fully busy at half of the highest rate.
fn is_calm(record: &RunRecord) -> bool {
    let counts = record.counts(WARM_UP_S, WARM_UP_S + LOAD_S);
    counts.good as f64 >= MIN_GOOD_FRACTION * counts.due as f64
        && loop_delay_p99_ms(record) < MAX_LOOP_DELAY_P99_MS
}

fn describe(record: &RunRecord) -> String {
    let counts = record.counts(WARM_UP_S, WARM_UP_S + LOAD_S);
    // The load of the warm-up has half of the rate, so the warm-up counts as half of its time.
    let core_used = record.cpu_seconds / (WARM_UP_S * 0.5 + LOAD_S);
    format!(
        "{} of {} good, loop delay p99 {:.1} ms, CPU {:.0}%",
        counts.good,
        counts.due,
        loop_delay_p99_ms(record),
        core_used * 100.0
    )
}

fn loop_delay_p99_ms(record: &RunRecord) -> f64 {
    record.delay_ms(0.99, WARM_UP_S, WARM_UP_S + LOAD_S)
}
