//! The limit on this router's attempts in flight at a member, and the share of reads that a member may get.
//!
//! The limit follows the latency ratio of the member, which is its answer time divided by the typical one. It grows
//! while answers are as quick as without load, and shrinks as they get slower. It is reduced at most once per round
//! trip, because attempts that were sent before the last reduction only show the same congestion again.
//!
//! At a router with too little traffic, the limit does not bind. Therefore all routers that know a member to be
//! overloaded also reduce the share of reads that it may get, and arrive at the same share.

use crate::load::{self, LAST_TWO_SECONDS};
use crate::state::member::ObservedBy;
use crate::state::router_state::RouterState;
use crate::time::Time;
use crate::types::RpcId;

/// The initial limit of all routers together for a member about which nothing is known. The initial limit of each
/// router is an equal part of this number, but at least `MIN_INITIAL_LIMIT` and at most `MAX_INITIAL_LIMIT`.
const INITIAL_LIMIT_ALL_ROUTERS: f64 = 24.0;
const MAX_INITIAL_LIMIT: f64 = 4.0;
const MIN_INITIAL_LIMIT: f64 = 0.5;
/// A member's concurrency limit is never reduced below this number of attempts in flight.
const MIN_LIMIT: f64 = 0.1;
/// A member's concurrency limit is multiplied by this factor after a rejection or a timeout.
const REJECTION_DECREASE_FACTOR: f64 = 0.65;
/// The weight of the current limit in the mean of the current limit and the one that an answer suggests. The mean
/// becomes the new limit.
const LIMIT_SMOOTHING: f64 = 0.75;
/// An answer suggests as the new limit the current limit divided by the latency ratio, plus the square root of the
/// current limit. The square root is reduced to this share of the current limit if it is larger.
const MAX_LIMIT_GROWTH_SHARE: f64 = 0.5;
/// The concurrency limit grows only while it is below this multiple of the attempts in flight at the member,
/// and a reduction for slow answers starts from at most this multiple of them. A limit far above the attempts
/// in flight would need many reductions before it binds.
const MAX_LIMIT_PER_ATTEMPT_IN_FLIGHT: f64 = 2.0;

/// A member is overloaded if its RPCs in flight exceed this multiple of the number that it can process at once.
/// Where one of these two numbers is unknown, the member is overloaded if its latency ratio is above
/// `OVERLOAD_RATIO`.
const OVERLOAD_RATIO: f64 = 3.0;
/// While a member is overloaded, the share of reads that it may get is multiplied by
/// `MIN_READ_SHARE_FACTOR_PER_SECOND` or more each second. Otherwise the share is multiplied by
/// `READ_SHARE_GROWTH_FACTOR_PER_SECOND` each second.
const MIN_READ_SHARE_FACTOR_PER_SECOND: f64 = 0.5;
const READ_SHARE_GROWTH_FACTOR_PER_SECOND: f64 = 1.25;
/// The share of reads that an overloaded member may get is never reduced below this value.
const MIN_READ_SHARE: f64 = 0.05;
/// An update of a member's share of reads takes into account at most this many seconds since the previous update.
const MAX_READ_SHARE_STEP_SECS: f64 = 1.0;

/// The initial limit on one router's attempts in flight at a member about which nothing is known yet.
pub fn initial_limit(router_count: u32) -> f64 {
    let limit = INITIAL_LIMIT_ALL_ROUTERS / f64::from(router_count);
    limit.clamp(MIN_INITIAL_LIMIT, MAX_INITIAL_LIMIT)
}

/// Is there capacity for this RPC within the given share of the member's limit? A limit below one is enforced by
/// pauses between attempts, so that many routers with little traffic don't overload the member together.
pub fn has_capacity(state: &RouterState, now: Time, index: usize, rpc: RpcId, share: f64) -> bool {
    let member = state.topology.member(index);
    let limit = member.concurrency_limit * share;
    let latency_ratio = load::latency_ratio(state, now, member, LAST_TWO_SECONDS);
    let min_pause = state.method_of(rpc).typical * (latency_ratio / limit);
    load::attempts_in_flight(state, now, member) < limit.max(1.0)
        && (limit >= 1.0 || now - member.last_attempt_at >= min_pause)
}

/// Adjusts a member's concurrency limit to the member's latency ratio after an answer to an attempt that was
/// sent at `sent_at`. Answers that other routers received, and reported by gossip, can only reduce the limit.
pub fn follow_latency(
    state: &mut RouterState,
    now: Time,
    index: usize,
    sent_at: Time,
    observed_by: ObservedBy,
) {
    let member = state.topology.member(index);
    let relative_speed = 1.0 / load::latency_ratio(state, now, member, LAST_TWO_SECONDS).max(1.0);
    let in_flight = load::attempts_in_flight(state, now, member) + 1.0;
    let max_binding_limit = in_flight * MAX_LIMIT_PER_ATTEMPT_IN_FLIGHT;
    let member = state.topology.member_mut(index);
    let limit = member.concurrency_limit;
    let target = limit * relative_speed + limit.sqrt().min(limit * MAX_LIMIT_GROWTH_SHARE);
    if target < limit {
        let current = limit.min(max_binding_limit);
        let suggested = target.min(max_binding_limit);
        let reduced = current * LIMIT_SMOOTHING + suggested * (1.0 - LIMIT_SMOOTHING);
        reduce_limit(state, now, index, sent_at, reduced);
    } else if observed_by == ObservedBy::ThisRouter && max_binding_limit > limit {
        member.concurrency_limit = limit * LIMIT_SMOOTHING + target * (1.0 - LIMIT_SMOOTHING);
    }
}

/// Reduces a member's concurrency limit after an attempt that was sent at `sent_at` was rejected or timed out.
pub fn reduce_after_rejection(state: &mut RouterState, now: Time, index: usize, sent_at: Time) {
    let reduced = state.topology.member(index).concurrency_limit * REJECTION_DECREASE_FACTOR;
    reduce_limit(state, now, index, sent_at, reduced);
}

/// Reduces a member's concurrency limit to `limit`, unless the attempt whose result led to this call was sent
/// before the last reduction.
fn reduce_limit(state: &mut RouterState, now: Time, index: usize, sent_at: Time, limit: f64) {
    let member = state.topology.member_mut(index);
    if sent_at >= member.limit_reduced_at {
        member.concurrency_limit = limit.max(MIN_LIMIT);
        member.limit_reduced_at = now;
    }
}

/// Reduces the share of reads that a member may get while the member is overloaded, and raises it again afterwards.
/// All routers that know how many RPCs the member has in flight, or how slowly it answers, arrive at the same share.
pub fn update_read_share(state: &mut RouterState, now: Time, index: usize) {
    let member = state.topology.member(index);
    let overload_ratio = member
        .reported_utilization()
        .unwrap_or_else(|| load::latency_ratio(state, now, member, LAST_TWO_SECONDS));
    let factor_per_second = if overload_ratio > OVERLOAD_RATIO {
        (OVERLOAD_RATIO / overload_ratio).max(MIN_READ_SHARE_FACTOR_PER_SECOND)
    } else {
        READ_SHARE_GROWTH_FACTOR_PER_SECOND
    };
    let member = state.topology.member_mut(index);
    let elapsed_secs = (now - member.read_share_updated_at).secs().min(MAX_READ_SHARE_STEP_SECS);
    let factor = factor_per_second.powf(elapsed_secs);
    member.read_share = (member.read_share * factor).clamp(MIN_READ_SHARE, 1.0);
    member.read_share_updated_at = now;
}
