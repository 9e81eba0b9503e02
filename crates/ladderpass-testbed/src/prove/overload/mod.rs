//! Proof of a router's own overload control: CPU time of RPCs and rejections, and what holds at three and five times the
//! load that the router serves without rejections.

mod calm_load;
mod cost;
mod goodput;
mod triple_load;

use super::Table;
use crate::router::{self, Start};
use ladderpass_emulator::Scenario;
use std::io;
use std::path::Path;

/// Operator's file: overload control with its defaults. Without it a router has none.
const OVERLOAD_CONTROL: &str = "log: {figures: 200ms}\noverload: {}\n";
/// Operator's file: the router rejects all RPCs that it may, so that the cost of rejections can be measured alone.
const REJECT_ALL: &str = "overload:\n  memory: {from: 0.0001, full: 0.0002}\n";
/// Before each load, the router gets half of the calm load for this time, with all connections open.
const WARM_UP_S: f64 = 0.3;

/// The routers that the proof compares.
struct Routers {
    /// With overload control.
    controlled: Start,
    /// Without an operator's file.
    uncontrolled: Start,
    /// With overload control that rejects all RPCs.
    rejecting: Start,
    /// The earlier program, without an operator's file.
    earlier: Option<Start>,
}

impl Routers {
    fn new(binary: &Path, earlier: Option<&Path>) -> Routers {
        Routers {
            controlled: start(binary, Some(OVERLOAD_CONTROL)),
            uncontrolled: start(binary, None),
            rejecting: start(binary, Some(REJECT_ALL)),
            earlier: earlier.map(|earlier| start(earlier, None)),
        }
    }
}

/// A router on the machine's last core: the first one handles most interrupts.
fn start(binary: &Path, operator: Option<&str>) -> Start {
    let last_core = router::cores() - 1;
    Start { operator: operator.map(str::to_owned), cpu: Some(last_core), ..Start::new(binary) }
}

/// Text of a value that was measured without an operator's file, for comparison.
fn uncontrolled_text(value: impl std::fmt::Display) -> String {
    format!("{value} without the file")
}

/// Runs the proof, prints its table, and writes charts to `out`. Returns whether it passes.
///
/// # Errors
/// If the fleet, a router or a load can't be started, or a chart can't be written.
pub fn prove(binary: &Path, earlier: Option<&Path>, seed: u64, out: &Path) -> io::Result<bool> {
    let scenario = Scenario::default();
    let routers = Routers::new(binary, earlier);
    let mut table = Table::new("overload");
    cost::require_cost_of_rpcs(&mut table, &scenario, &routers, seed)?;
    let max_rate = cost::require_cost_of_rejections(&mut table, &scenario, &routers, seed)?;
    let calm_rate = calm_load::require_calm_load(&mut table, &scenario, &routers, max_rate, seed)?;
    let Some(calm_rate) = calm_rate else { return Ok(table.print()) };
    let triple = triple_load::run_triple_load(&scenario, &routers, calm_rate, seed)?;
    triple.require_all(&mut table, &scenario);
    let curves = goodput::measure_goodput(&scenario, &routers, calm_rate, seed)?;
    curves.require_flat(&mut table);
    std::fs::create_dir_all(out)?;
    curves.write_chart(out)?;
    triple.write_charts(out, &scenario)?;
    Ok(table.print())
}
