//! Load generator: clients that send RPCs to one or several routers, and the recorded outcome of each RPC.
//!
//! Arrivals are open (at random times, whether or not earlier RPCs are answered) or closed (each connection sends its
//! next RPC after an answer). Latencies count from when an RPC was due, not from when it was sent. Otherwise a
//! stalled router would hide the RPCs that were due during the stall (coordinated omission). The load uses no data
//! that routers report about themselves.

mod answers;
mod closed_connections;
mod connections;
mod event_loop;
mod generator;
mod load_balancer;
mod outcome;
mod plan;
mod prober;
mod sending;

pub use load_balancer::{DownRouters, LoadBalancer};
pub use outcome::{ConnectionEnd, Counts, Outcome, RpcAnswer, RpcRecord, SLICE, Slice, histogram};
pub use plan::{Arrivals, Phase, Plan};
pub use prober::{ProbeDelay, Prober, until_ready};

use generator::LoadGenerator;
use ladderpass_emulator::Scenario;
use std::io;
use std::net::SocketAddr;

/// Runs a plan against one router. About once per [`SLICE`], calls `on_progress` with the seconds since the start.
///
/// # Errors
/// If the poller fails, or a connection can't be started. A refused connection is not an error.
pub fn run(
    scenario: &Scenario,
    router: SocketAddr,
    plan: &Plan,
    on_progress: impl FnMut(f64),
) -> io::Result<Outcome> {
    run_with_balancer(scenario, &LoadBalancer::single(router), plan, on_progress)
}

/// Runs a plan against the routers behind a load balancer. About once per [`SLICE`], calls `on_progress` with the
/// seconds since the start.
///
/// # Errors
/// In the cases of [`run`].
pub fn run_with_balancer(
    scenario: &Scenario,
    balancer: &LoadBalancer,
    plan: &Plan,
    on_progress: impl FnMut(f64),
) -> io::Result<Outcome> {
    LoadGenerator::new(scenario, balancer, plan)?.run(on_progress)
}
