//! Proof of a router's own overload control. RPCs and rejections must cost little CPU time. The calm load is a load that the
//! router serves without rejections. At three times the calm load, delays must be short and clients must get answers in
//! time. At five times the calm load, goodput must be close to its best.

mod calm_load;
mod cost;
mod goodput;
mod routers;
mod triple_load;

use super::Table;
use ladderpass_emulator::Scenario;
use routers::Routers;
use std::io;
use std::path::Path;

/// Runs the proof, prints its table, and writes charts to `out`. Returns whether it passes.
///
/// # Errors
/// Returns an error if the emulator, a router or a load can't be started, or a chart can't be written.
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
