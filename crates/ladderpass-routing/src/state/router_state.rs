//! The whole state of one router. The mechanisms are functions over this state, which makes no decisions itself.

use super::group::Topology;
use super::latency::MethodLatency;
use super::rpc::RpcTable;
use super::session::SessionWrites;
use crate::reference_clock::ClockDifference;
use crate::sliding_window::SlidingWindow;
use crate::time::{Span, Time};
use crate::types::{Deployment, RpcId, TickOutput};
use nanorand::WyRand;

/// Changes of the endpoint list that a router may be missing because no watch is open.
#[derive(Clone, Copy, Debug)]
pub struct MissedChanges {
    /// The time by which the router must know the changes.
    pub notified_by: Time,
    /// Whether the watch may have ended because discovery is down.
    pub discovery_may_be_down: bool,
}

/// The state of one router.
pub struct RouterState {
    pub deployment: Deployment,
    pub started_at: Time,
    /// The smallest staleness bound of any method, or 30 s if no method has a bound.
    pub min_staleness_bound: Span,
    /// How far the clock of `now` may differ from the members' clock, by which positions are given.
    pub clock: ClockDifference,
    pub random: WyRand,
    pub methods: Vec<MethodLatency>,
    pub topology: Topology,
    pub rpcs: RpcTable,
    pub session_writes: SessionWrites,
    /// The RPCs that have arrived for all groups, including those that were shed.
    pub accepted: SlidingWindow,
    /// The time at which the router next looks for health checks that are due or have timed out.
    pub next_health_check_at: Time,
    pub next_endpoint_poll_at: Option<Time>,
    pub endpoint_poll_failures: u32,
    /// When the poll of the endpoint list that has no answer yet was made.
    pub endpoint_polled_at: Option<Time>,
    /// The changes of the endpoint list that the router may be missing, or `None` while a watch is open.
    pub missed_changes: Option<MissedChanges>,
    /// The output of the next tick.
    pub output: TickOutput,
}

impl RouterState {
    /// Returns the latest time that the members' clock may show now.
    pub fn latest_time_of_members_clock(&self, now: Time) -> Time {
        now + self.clock.behind
    }

    /// Returns the time that the members' clock shows now, as far as several positions confirm the difference. Times at
    /// which members show their roles are given by this time, so that one corrupt position does not move them.
    pub fn time_of_members_clock(&self, now: Time) -> Time {
        now + self.clock.confirmed_behind
    }

    pub fn method_of(&self, rpc: RpcId) -> &MethodLatency {
        &self.methods[self.rpcs[rpc].arrival.method as usize]
    }

    /// Returns the time until which an answer to this RPC has any utility.
    pub fn useful_until(&self, rpc: RpcId) -> Time {
        let state = &self.rpcs[rpc];
        self.method_of(rpc).useful_until(state.accepted_at, state.arrival.deadline)
    }

    /// Returns the number of routers, which is at least one.
    pub fn router_count(&self) -> u32 {
        self.deployment.router_count.max(1)
    }
}
