//! The goodput of a router by offered load, with overload control and without.

use super::routers::{Routers, WARM_UP_S, uncontrolled_text};
use crate::charts::{self, Line};
use crate::load::Phase;
use crate::prove::Table;
use crate::router::Start;
use crate::run::{self, open_plan};
use ladderpass_emulator::Scenario;
use std::io;
use std::path::Path;

/// The multiples of the calm load at which goodput is measured with overload control.
const LOAD_FACTORS: [f64; 5] = [0.5, 1.0, 2.0, 3.0, 5.0];
/// The multiples of the calm load at which goodput is measured without overload control.
const UNCONTROLLED_LOAD_FACTORS: [f64; 3] = [0.5, 1.0, 5.0];
/// How long a load lasts before goodput is measured, in seconds.
const SETTLE_S: f64 = 0.2;
/// How long goodput is measured, in seconds.
const MEASURED_S: f64 = 0.5;
const MIN_GOODPUT_RATIO_TO_BEST: f64 = 0.9;

/// The utility a second by multiples of the calm load, with overload control and without.
pub(super) struct GoodputCurves {
    controlled: Vec<(f64, f64)>,
    uncontrolled: Vec<(f64, f64)>,
}

/// Measures the goodput curves with and without overload control.
///
/// # Errors
/// Returns an error if a run can't be started.
pub(super) fn measure_goodput(
    scenario: &Scenario,
    routers: &Routers,
    calm_rate: f64,
    seed: u64,
) -> io::Result<GoodputCurves> {
    let curve = |start: &Start, factors: &[f64]| -> io::Result<Vec<(f64, f64)>> {
        let point = |&factor: &f64| Ok((factor, goodput(scenario, start, calm_rate, factor, seed)?));
        factors.iter().map(point).collect()
    };
    Ok(GoodputCurves {
        controlled: curve(&routers.controlled, &LOAD_FACTORS)?,
        uncontrolled: curve(&routers.uncontrolled, &UNCONTROLLED_LOAD_FACTORS)?,
    })
}

/// Measures the utility a second at a multiple of the calm load.
fn goodput(scenario: &Scenario, start: &Start, calm_rate: f64, factor: f64, seed: u64) -> io::Result<f64> {
    let rate = calm_rate * factor;
    let phases = [
        Phase { seconds: WARM_UP_S, rate_per_second: calm_rate * 0.5 },
        Phase { seconds: SETTLE_S, rate_per_second: rate },
        Phase { seconds: MEASURED_S, rate_per_second: rate },
    ];
    let record = run::run(scenario, start, &open_plan(seed, &phases), vec![])?;
    let from_s = WARM_UP_S + SETTLE_S;
    Ok(record.outcome.utility_rate(from_s, from_s + MEASURED_S))
}

impl GoodputCurves {
    /// Requires that the goodput under the highest load is close to the best goodput of any load.
    pub(super) fn require_flat(&self, table: &mut Table) {
        let controlled = last_relative_to_best(&self.controlled);
        let uncontrolled = uncontrolled_text(format!("{:.2}", last_relative_to_best(&self.uncontrolled)));
        table.require(
            "5x: goodput, of its best at any load",
            "at least 0.90",
            format!("{controlled:.2}; {uncontrolled}"),
            controlled >= MIN_GOODPUT_RATIO_TO_BEST,
        );
    }

    /// Writes the chart of the goodput curves with and without overload control.
    ///
    /// # Errors
    /// Returns an error if it can't be written.
    pub(super) fn write_chart(&self, out: &Path) -> io::Result<()> {
        let curves = [
            Line::new("watching itself", self.controlled.clone()),
            Line::new("without the file", self.uncontrolled.clone()),
        ];
        charts::goodput(&out.join("goodput.svg"), &curves)
    }
}

/// Returns the last value of a curve as a fraction of the curve's greatest value.
fn last_relative_to_best(curve: &[(f64, f64)]) -> f64 {
    let best = curve.iter().map(|(_, goodput)| *goodput).fold(0.0, f64::max);
    curve.last().map_or(0.0, |(_, last)| last / best.max(1e-9))
}
