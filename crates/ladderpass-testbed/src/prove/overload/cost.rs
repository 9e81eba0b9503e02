//! The CPU time of an RPC, served or rejected, under clients that send the next RPC once they have an answer.

use super::routers::Routers;
use crate::load::{Arrivals, Plan};
use crate::prove::Table;
use crate::router::Start;
use crate::run;
use ladderpass_emulator::Scenario;
use ladderpass_routing::Span;
use std::io;

/// The number of comparisons with the earlier program. In each comparison, the earlier and the current program run one
/// after the other.
const COMPARISONS: u64 = 2;
const MAX_COST_RATIO_TO_EARLIER: f64 = 0.65;
const MAX_REJECTED_WHILE_IDLE: f64 = 0.001;
const MAX_REJECTION_COST_RATIO: f64 = 0.4;
const MIN_REJECTED: f64 = 0.99;

const ONE_IN_FLIGHT: ClosedLoad = ClosedLoad { clients: 64, pipeline: 1, seconds: 0.6 };
const ONE_IN_FLIGHT_SHORT: ClosedLoad = ClosedLoad { seconds: 0.3, ..ONE_IN_FLIGHT };
const MANY_CLIENTS: ClosedLoad = ClosedLoad { clients: 1000, pipeline: 1, seconds: 0.6 };
const PIPELINED: ClosedLoad = ClosedLoad { clients: 200, pipeline: 16, seconds: 0.4 };

/// A load of clients that each keep a number of RPCs in flight.
#[derive(Clone, Copy)]
struct ClosedLoad {
    clients: usize,
    /// The number of RPCs that each client has in flight.
    pipeline: usize,
    seconds: f64,
}

/// The result of a run with a closed load.
struct Cost {
    cpu_us_per_rpc: f64,
    /// The fraction of the RPCs that were rejected.
    rejected: f64,
    rpcs_per_second: f64,
}

impl ClosedLoad {
    fn measure(&self, scenario: &Scenario, start: &Start, seed: u64) -> io::Result<Cost> {
        let plan = Plan {
            arrivals: Arrivals::Closed(Span::from_secs_f64(self.seconds)),
            connections: self.clients,
            pipeline: self.pipeline,
            seed,
            ..Plan::default()
        };
        let record = run::run(scenario, start, &plan, vec![])?;
        let total = record.outcome.total();
        let due = total.due.max(1) as f64;
        Ok(Cost {
            cpu_us_per_rpc: record.cpu_seconds * 1e6 / due,
            rejected: total.rejected as f64 / due,
            rpcs_per_second: due / self.seconds,
        })
    }
}

/// Requires that RPCs cost less CPU time than with the earlier program, and that hardly any RPC is rejected while members
/// are idle.
///
/// # Errors
/// Returns an error if a run can't be started.
pub(super) fn require_cost_of_rpcs(
    table: &mut Table,
    scenario: &Scenario,
    routers: &Routers,
    seed: u64,
) -> io::Result<()> {
    match &routers.earlier {
        Some(earlier) => compare_with_earlier(table, scenario, routers, earlier, seed)?,
        None => table.report("CPU an RPC, of the earlier program's", "not measured: no --earlier"),
    }
    let many_clients = MANY_CLIENTS.measure(scenario, &routers.uncontrolled, seed)?;
    table.require(
        "pushed back, 1,000 clients, idle members",
        "under 0.1%",
        format!("{:.2}%", many_clients.rejected * 100.0),
        many_clients.rejected < MAX_REJECTED_WHILE_IDLE,
    );
    Ok(())
}

fn compare_with_earlier(
    table: &mut Table,
    scenario: &Scenario,
    routers: &Routers,
    earlier: &Start,
    seed: u64,
) -> io::Result<()> {
    let (mut current_us, mut earlier_us) = (0.0, 0.0);
    for index in 0..COMPARISONS {
        earlier_us += ONE_IN_FLIGHT.measure(scenario, earlier, seed + index)?.cpu_us_per_rpc;
        current_us += ONE_IN_FLIGHT.measure(scenario, &routers.uncontrolled, seed + index)?.cpu_us_per_rpc;
    }
    let comparisons = COMPARISONS as f64;
    let (current_mean, earlier_mean) = (current_us / comparisons, earlier_us / comparisons);
    let ratio = current_us / earlier_us;
    let measured = format!("{current_mean:.1} us for {earlier_mean:.1} us: {ratio:.2}");
    let holds = current_us < MAX_COST_RATIO_TO_EARLIER * earlier_us;
    table.require("CPU an RPC, of the earlier program's", "under 0.65", measured, holds);
    let many_clients = MANY_CLIENTS.measure(scenario, earlier, seed)?;
    table.report("pushed back, earlier, 1,000 clients", format!("{:.2}%", many_clients.rejected * 100.0));
    Ok(())
}

/// Requires that a rejected RPC costs much less CPU time than a served one. Returns the highest rate that the router serves,
/// in RPCs a second.
///
/// # Errors
/// Returns an error if a run can't be started.
pub(super) fn require_cost_of_rejections(
    table: &mut Table,
    scenario: &Scenario,
    routers: &Routers,
    seed: u64,
) -> io::Result<f64> {
    let served = PIPELINED.measure(scenario, &routers.uncontrolled, seed)?;
    let rejected = PIPELINED.measure(scenario, &routers.rejecting, seed)?;
    let holds = rejected.cpu_us_per_rpc <= MAX_REJECTION_COST_RATIO * served.cpu_us_per_rpc
        && rejected.rejected > MIN_REJECTED;
    let label = "refusing, of serving, clients with 16 out";
    table.require(label, "at most 0.40", compared_cost(&rejected, &served), holds);
    let served_single = ONE_IN_FLIGHT_SHORT.measure(scenario, &routers.uncontrolled, seed)?;
    let rejected_single = ONE_IN_FLIGHT_SHORT.measure(scenario, &routers.rejecting, seed)?;
    table.report("  and clients with a single one out", compared_cost(&rejected_single, &served_single));
    Ok(served.rpcs_per_second)
}

fn compared_cost(rejected: &Cost, served: &Cost) -> String {
    let (rejected_us, served_us) = (rejected.cpu_us_per_rpc, served.cpu_us_per_rpc);
    format!("{rejected_us:.1} us for {served_us:.1} us: {:.2}", rejected_us / served_us)
}
