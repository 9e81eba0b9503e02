//! All that one router knows. The mechanisms are functions over this state; nothing here decides.

use super::group::Topology;
use super::latency::MethodLatency;
use super::rpc::RpcTable;
use super::session::SessionWrites;
use crate::reference_clock::ClockDifference;
use crate::sliding_window::SlidingWindow;
use crate::time::{Span, Time};
use crate::types::{Deployment, RpcId, TickOutput};
use nanorand::WyRand;

/// The state of one router.
pub struct RouterState {
    pub deployment: Deployment,
    pub started_at: Time,
    /// The least staleness bound of any method.
    pub min_staleness_bound: Span,
    /// How far the clock of `now` may differ from the one that positions are read from.
    pub clock: ClockDifference,
    pub random: WyRand,
    pub methods: Vec<MethodLatency>,
    pub topology: Topology,
    pub rpcs: RpcTable,
    pub session_writes: SessionWrites,
    /// RPCs accepted, of all groups.
    pub accepted: SlidingWindow,
    /// When the health checks that are due are to be looked for.
    pub next_health_check_at: Time,
    pub next_endpoint_poll_at: Option<Time>,
    pub endpoint_poll_failures: u32,
    /// What the next tick returns.
    pub output: TickOutput,
}

impl RouterState {
    /// What the members' clock shows now, at the latest.
    pub fn latest_time_of_members_clock(&self, now: Time) -> Time {
        now + self.clock.behind
    }

    pub fn method_of(&self, rpc: RpcId) -> &MethodLatency {
        &self.methods[self.rpcs[rpc].arrival.method as usize]
    }

    /// Until when an answer to this RPC has any utility.
    pub fn useful_until(&self, rpc: RpcId) -> Time {
        let state = &self.rpcs[rpc];
        self.method_of(rpc).useful_until(state.accepted_at, state.arrival.deadline)
    }

    /// How many routers there are; one at least.
    pub fn router_count(&self) -> u32 {
        self.deployment.router_count.max(1)
    }
}
