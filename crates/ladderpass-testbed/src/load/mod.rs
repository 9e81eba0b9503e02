//! Load generator: clients that send RPCs to one or several routers, and the record of what became of each RPC.
//!
//! Arrivals are open (at drawn times, whether or not earlier RPCs are answered) or closed (each connection sends again
//! once it is answered). Latencies count from when an RPC was due, not from when it was sent, so that a stalled router
//! can't hide the RPCs that would have come meanwhile (coordinated omission). The load uses nothing that a router says
//! about itself.

mod answers;
mod connections;
mod event_loop;
mod generator;
mod load_balancer;
mod outcome;
mod plan;
mod prober;
mod sending;

pub use load_balancer::{DownRouters, LoadBalancer};
pub use outcome::{Counts, Outcome, RpcAnswer, RpcRecord, SLICE, Slice, histogram};
pub use plan::{Arrivals, Phase, Plan};
pub use prober::{ProbeDelay, Prober, until_ready};

use generator::LoadGenerator;
use ladderpass_emulator::Scenario;
use std::io;
use std::net::SocketAddr;

/// Runs a plan against one router. `on_progress` gets the seconds since the start about every [`SLICE`].
///
/// # Errors
/// If the poller fails, or a connection can't be opened for another reason than that nobody listens.
pub fn run(
    scenario: &Scenario,
    router: SocketAddr,
    plan: &Plan,
    on_progress: impl FnMut(f64),
) -> io::Result<Outcome> {
    run_with_balancer(scenario, &LoadBalancer::single(router), plan, on_progress)
}

/// Runs a plan against the routers behind a load balancer. `on_progress` gets the seconds since the start about every [`SLICE`].
///
/// # Errors
/// As [`run`].
pub fn run_with_balancer(
    scenario: &Scenario,
    balancer: &LoadBalancer,
    plan: &Plan,
    on_progress: impl FnMut(f64),
) -> io::Result<Outcome> {
    LoadGenerator::new(scenario, balancer, plan)?.run(on_progress)
}
