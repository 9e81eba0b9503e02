//! The queue of pending RPCs of a group: those that could not be sent to any member yet, or that wait for the report of
//! a member.
//!
//! Pending RPCs are examined in the order of their utility per second of work, highest first. Among RPCs of equal
//! utility per second the newest is first, because the clients of the older ones may soon give up. An RPC that could
//! not be sent to any member leaves the queue after a share of its client's time, so that the client has time for a
//! retry.

use crate::health_check_schedule;
use crate::state::router_state::RouterState;
use crate::state::rpc::RpcState;
use crate::time::{Span, Time};
use crate::types::{Decision, RpcId};
use std::cmp::Reverse;

/// While RPCs are pending, they are examined again at least once in this time.
const EXAMINE_INTERVAL: Span = Span::from_millis(10);
/// A queue of more than `LONG_QUEUE_RPCS` RPCs is not examined twice within `LONG_QUEUE_MIN_INTERVAL_TICKS` ticks.
const LONG_QUEUE_RPCS: usize = 32;
const LONG_QUEUE_MIN_INTERVAL_TICKS: f64 = 0.1;
/// An RPC without an attempt is given up after this share of the time that its client waits.
const MAX_QUEUED_SHARE_OF_DEADLINE: f64 = 0.49;
/// The least typical answer time, in seconds, by which a utility is divided. It prevents a division by zero.
const MIN_TYPICAL_SECS: f64 = 1e-6;

/// Adds an RPC to its group's queue of pending RPCs.
pub fn enqueue(state: &mut RouterState, rpc: RpcId) -> Decision {
    let queued = &mut state.rpcs[rpc];
    if !std::mem::replace(&mut queued.is_pending, true) {
        state.topology.groups[queued.arrival.group as usize].pending.push(rpc);
    }
    Decision::Queue
}

/// Returns whether an RPC without an attempt has been queued for its longest allowed time, which is a share of
/// the time that the client waits.
pub fn queued_too_long(rpc: &RpcState, now: Time) -> bool {
    let max_queued = (rpc.arrival.deadline - rpc.accepted_at) * MAX_QUEUED_SHARE_OF_DEADLINE;
    rpc.attempts == 0 && now >= rpc.accepted_at + max_queued
}

/// Returns when the pending RPCs of all groups are to be examined again, or `None` if no RPC is pending.
pub fn next_examination_at(state: &RouterState, now: Time) -> Option<Time> {
    let any_pending = state.topology.groups.iter().any(|group| !group.pending.is_empty());
    any_pending.then(|| now + EXAMINE_INTERVAL)
}

/// Takes the pending RPCs of a group out of its queue, in the order in which they are to be examined. Returns `None`
/// when the queue is long and was examined just before, so that a long queue is not sorted again for each answer.
pub fn take_in_order(state: &mut RouterState, now: Time, group: usize) -> Option<Vec<RpcId>> {
    let queue = &mut state.topology.groups[group];
    let min_interval = state.deployment.tick * LONG_QUEUE_MIN_INTERVAL_TICKS;
    if queue.pending.len() > LONG_QUEUE_RPCS && now - queue.pending_examined_at < min_interval {
        return None;
    }
    queue.pending_examined_at = now;
    let mut pending = std::mem::take(&mut queue.pending);
    let primary = queue.primary;
    let primary_is_down = primary.is_none_or(|index| state.topology.member(index).consecutive_failures > 0);
    if primary_is_down && !pending.is_empty() {
        health_check_schedule::request_group_checks(state, now, group);
    }
    pending.retain(|rpc| state.rpcs.get(*rpc).is_some_and(|rpc| rpc.is_pending));
    pending.sort_by_key(|rpc| Reverse(state.rpcs[*rpc].accepted_at));
    pending.sort_by(|a, b| utility_per_sec(state, now, *b).total_cmp(&utility_per_sec(state, now, *a)));
    Some(pending)
}

/// Returns the utility of an answer to an RPC, divided by the typical answer time of its method in seconds.
fn utility_per_sec(state: &RouterState, now: Time, rpc: RpcId) -> f64 {
    let (rpc, method) = (&state.rpcs[rpc], state.method_of(rpc));
    let is_late = now + method.typical >= rpc.accepted_at + method.definition.soft_deadline;
    let utility_share = if is_late { method.definition.late_utility_share } else { 1.0 };
    method.definition.utility * utility_share / method.typical.secs().max(MIN_TYPICAL_SECS)
}
