//! The limit on this router's attempts in flight at a member, and the share of reads that a member may get.
//!
//! The limit follows the latency ratio of the member. It grows while answers are as quick as without load, and
//! shrinks as they get slower. It is reduced at most once per round trip, because attempts that were sent before the
//! last reduction only show the same congestion again.
//!
//! At a router with too little traffic, the limit does not bind. Therefore all routers that know a member to be
//! overloaded also reduce the share of reads that it may get, and arrive at the same share.

use crate::load::{self, LAST_TWO_SECONDS};
use crate::state::member::ObservedBy;
use crate::state::router_state::RouterState;
use crate::time::Time;
use crate::types::RpcId;

/// The initial limit of all routers together for a member about which nothing is known. Each router takes an equal
/// part of it, within the two bounds that follow.
const INITIAL_LIMIT_ALL_ROUTERS: f64 = 24.0;
const MAX_INITIAL_LIMIT: f64 = 4.0;
const MIN_INITIAL_LIMIT: f64 = 0.5;
/// The limit is never reduced below this.
const MIN_LIMIT: f64 = 0.1;
/// The limit is multiplied by this after a rejection or a timeout.
const REJECTION_DECREASE_FACTOR: f64 = 0.65;
/// Weight of the current limit when it is averaged with the limit that an answer suggests.
const LIMIT_SMOOTHING: f64 = 0.75;
/// An answer suggests the current limit divided by the latency ratio, plus the square root of the current limit. That
/// square root counts as at most this share of the current limit.
const MAX_LIMIT_GROWTH_SHARE: f64 = 0.5;
/// The limit grows only while it is below this multiple of the attempts in flight, and a reduction for slow answers
/// starts from at most that multiple. A limit far above the attempts in flight would need many reductions before it
/// binds.
const MAX_LIMIT_PER_ATTEMPT_IN_FLIGHT: f64 = 2.0;

/// A member is overloaded if its RPCs in flight exceed this multiple of what it works on at once. Where these are
/// unknown, it is overloaded above this latency ratio.
const OVERLOAD_RATIO: f64 = 3.0;
/// While a member is overloaded, its share of reads is multiplied by at least the first factor each second. Otherwise
/// the share is multiplied by the second factor each second.
const MIN_READ_SHARE_FACTOR_PER_SECOND: f64 = 0.5;
const READ_SHARE_GROWTH_FACTOR_PER_SECOND: f64 = 1.25;
/// The share of reads of an overloaded member is never reduced below this.
const MIN_READ_SHARE: f64 = 0.05;
/// An update of the share covers at most this much of the time since the update before, in seconds.
const MAX_READ_SHARE_STEP_SECS: f64 = 1.0;

/// The limit for a member about which nothing is known yet.
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

/// Adjusts the limit to the latency ratio after an answer to an attempt that was sent at `sent_at`. Answers to other
/// routers can only reduce the limit.
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

/// Reduces the limit after an attempt that was sent at `sent_at` was rejected or timed out.
pub fn reduce_after_rejection(state: &mut RouterState, now: Time, index: usize, sent_at: Time) {
    let reduced = state.topology.member(index).concurrency_limit * REJECTION_DECREASE_FACTOR;
    reduce_limit(state, now, index, sent_at, reduced);
}

/// Reduces the limit, unless the attempt was sent before the last reduction.
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
