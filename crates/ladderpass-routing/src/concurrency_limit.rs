//! The limit on this router's attempts in flight at a member, and the share of reads that it may get.
//!
//! The limit follows the typical answer time over the present one: it grows while answers are as quick as without
//! load, and shrinks as they get slower. It is reduced at most once a round trip, since attempts sent before the last
//! reduction only show the same congestion again. Routers with too little traffic for a limit to bind take the same
//! share of their reads from a member that all of them know to be overloaded.

use crate::load::{self, LAST_TWO_SECONDS};
use crate::state::member::ObservedBy;
use crate::state::router_state::RouterState;
use crate::time::Time;
use crate::types::RpcId;

/// Attempts in flight of all routers together at a member of which nothing is known, and the bounds for one router.
const INITIAL_LIMIT_ALL_ROUTERS: f64 = 24.0;
const MAX_INITIAL_LIMIT: f64 = 4.0;
const MIN_INITIAL_LIMIT: f64 = 0.5;
const MIN_LIMIT: f64 = 0.1;
/// The limit after a rejection or a timeout, as a share of the one before.
const LIMIT_SHARE_AFTER_REJECTION: f64 = 0.65;
/// Weight of the present limit against the one that an answer suggests.
const LIMIT_SMOOTHING: f64 = 0.75;
/// An answer suggests the limit that the latency ratio allows and the limit's square root more, at most this share of
/// it.
const MAX_LIMIT_GROWTH_SHARE: f64 = 0.5;
/// A limit is reduced from no more than this multiple of the attempts in flight, as one far above them would take long
/// to bind, and grows only while it is below that multiple.
const MAX_LIMIT_PER_ATTEMPT_IN_FLIGHT: f64 = 2.0;

/// A member is overloaded above this multiple of what it works on at once, or above this latency ratio.
const OVERLOAD_RATIO: f64 = 3.0;
/// Factors for the share of reads after each second: the least while a member is overloaded, and the one after that.
const MIN_READ_SHARE_FACTOR_PER_SECOND: f64 = 0.5;
const READ_SHARE_GROWTH_FACTOR_PER_SECOND: f64 = 1.25;
const MIN_READ_SHARE: f64 = 0.05;
/// Updates of the share that are further apart count as this far, in seconds.
const MAX_READ_SHARE_STEP_SECS: f64 = 1.0;

/// The limit for a member of which nothing is known.
pub fn initial_limit(router_count: u32) -> f64 {
    let limit = INITIAL_LIMIT_ALL_ROUTERS / f64::from(router_count);
    limit.clamp(MIN_INITIAL_LIMIT, MAX_INITIAL_LIMIT)
}

/// Is there capacity for this RPC within this share of the member's limit? A limit below one is enforced by pauses
/// between attempts, so that many routers with little traffic don't overload the member together.
pub fn has_capacity(state: &RouterState, now: Time, index: usize, rpc: RpcId, share: f64) -> bool {
    let member = state.topology.member(index);
    let limit = member.concurrency_limit * share;
    let latency_ratio = load::latency_ratio(state, now, member, LAST_TWO_SECONDS);
    let min_pause = state.method_of(rpc).typical * (latency_ratio / limit);
    load::attempts_in_flight(state, now, member) < limit.max(1.0)
        && (limit >= 1.0 || now - member.last_attempt_at >= min_pause)
}

/// Lets the limit follow the latency ratio after an answer to an attempt sent then. Answers to other routers only
/// reduce it.
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
    let max_bindable_limit = in_flight * MAX_LIMIT_PER_ATTEMPT_IN_FLIGHT;
    let member = state.topology.member_mut(index);
    let limit = member.concurrency_limit;
    let target = limit * relative_speed + limit.sqrt().min(limit * MAX_LIMIT_GROWTH_SHARE);
    if target < limit {
        let present = limit.min(max_bindable_limit);
        let suggested = target.min(max_bindable_limit);
        let reduced = present * LIMIT_SMOOTHING + suggested * (1.0 - LIMIT_SMOOTHING);
        reduce_limit(state, now, index, sent_at, reduced);
    } else if observed_by == ObservedBy::ThisRouter && max_bindable_limit > limit {
        member.concurrency_limit = limit * LIMIT_SMOOTHING + target * (1.0 - LIMIT_SMOOTHING);
    }
}

/// Reduces the limit after an attempt sent then was rejected or timed out.
pub fn reduce_after_rejection(state: &mut RouterState, now: Time, index: usize, sent_at: Time) {
    let reduced = state.topology.member(index).concurrency_limit * LIMIT_SHARE_AFTER_REJECTION;
    reduce_limit(state, now, index, sent_at, reduced);
}

fn reduce_limit(state: &mut RouterState, now: Time, index: usize, sent_at: Time, limit: f64) {
    let member = state.topology.member_mut(index);
    if sent_at >= member.limit_reduced_at {
        member.concurrency_limit = limit.max(MIN_LIMIT);
        member.limit_reduced_at = now;
    }
}

/// Reduces the share of reads that an overloaded member may get, and raises it again once the member is not overloaded.
/// All routers that know how many RPCs the member has in flight, or how slowly it answers, come to the same share.
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
