//! Eligibility: which members may get an RPC at all, before members are compared with each other.
//!
//! Eligibility depends on the endpoint list, the member's failures, the expected duration of the member's next
//! answer, the RPC's earlier attempts, slow start and the share of reads, and for a primary also on its concurrency
//! limit. The reasons are checked in the order in which they stand in the code, and the log shows the first reason
//! that applies. `selection` checks whether a replica is fresh enough and below its concurrency limit.

use crate::concurrency_limit;
use crate::load::{self, LATENCY_MARGIN};
use crate::outlier_ejection;
use crate::reasons::Ineligible;
use crate::retry;
use crate::slow_start;
use crate::state::router_state::RouterState;
use crate::time::Time;
use crate::types::{EndpointState, RpcId};

/// The share of the primary's concurrency limit that is open to reads which a replica could serve. The rest is
/// reserved for writes, and for reads that only the primary may serve.
const SPILLED_READ_LIMIT_SHARE: f64 = 0.3;

/// Returns why this RPC can't go to this member now, or `None` if it can. The reasons that are checked here
/// apply to replicas and primaries alike.
pub fn reason_against(state: &RouterState, now: Time, index: usize, rpc: RpcId) -> Option<Ineligible> {
    let member = state.topology.member(index);
    let typical = state.method_of(rpc).typical;
    if member.endpoint_state != EndpointState::Active {
        return Some(Ineligible::NotListed);
    }
    if outlier_ejection::is_ejected(member) {
        return Some(Ineligible::Ejected);
    }
    let expected_ratio = load::expected_latency_ratio(state, now, member);
    if now + typical * (expected_ratio * LATENCY_MARGIN) >= state.useful_until(rpc) {
        return Some(Ineligible::TooSlow);
    }
    let rpc_state = &state.rpcs[rpc];
    if rpc_state.tried_members.contains(&index) && now - rpc_state.last_attempt_ended_at < typical {
        return Some(Ineligible::TriedBefore);
    }
    if !slow_start::admits(state, now, index, rpc) {
        return Some(Ineligible::SlowStart);
    }
    None
}

/// Returns why this RPC can't go to its group's primary now, or `None` if it can. After a single failure, the
/// primary gets no RPCs until `outlier_ejection` has reset the count of its failures, because no other member
/// can take over RPCs that wait at the primary.
pub fn reason_against_primary(
    state: &RouterState,
    now: Time,
    index: usize,
    rpc: RpcId,
) -> Option<Ineligible> {
    let reason = reason_against(state, now, index, rpc);
    if reason.is_some() {
        return reason;
    }
    if state.topology.member(index).consecutive_failures > 0 {
        return Some(Ineligible::Ejected);
    }
    let is_spill = !state.method_of(rpc).definition.consistency.primary_only();
    let share_by_method = if is_spill { SPILLED_READ_LIMIT_SHARE } else { 1.0 };
    let share = retry::limit_share(state, rpc) * share_by_method;
    (!concurrency_limit::has_capacity(state, now, index, rpc, share))
        .then_some(Ineligible::AtConcurrencyLimit)
}
