//! What the log shows of RPCs that were given up, and of reads that were spilled (sent to the primary because
//! no replica could get them): the counts of each reason, and a few examples. This module makes no decisions.

use crate::eligibility;
use crate::reasons::{Counts, Exception, ExceptionExample, GiveUpReason, Ineligible, PrimaryState};
use crate::state::router_state::RouterState;
use crate::time::Time;
use crate::types::RpcId;

/// Records that an RPC is given up.
pub fn log_given_up(state: &mut RouterState, now: Time, rpc: RpcId, reason: GiveUpReason) {
    state.output.exceptions.counts.given_up.add(reason);
    if state.output.exceptions.accepts_example() {
        let primary = primary_state(state, now, rpc);
        log_example(state, now, rpc, Exception::GivenUp { reason, primary });
    }
}

/// Returns whether the primary is eligible for an RPC that is being given up.
fn primary_state(state: &RouterState, now: Time, rpc: RpcId) -> PrimaryState {
    let group = state.topology.groups.get(state.rpcs[rpc].arrival.group as usize);
    let Some(index) = group.and_then(|group| group.primary) else { return PrimaryState::Unknown };
    let ineligible = eligibility::reason_against_primary(state, now, index, rpc);
    ineligible.map_or(PrimaryState::Eligible, PrimaryState::Ineligible)
}

/// Records that a read goes to the primary. `passed_over` counts the reasons why no replica could get the read.
pub fn log_spill(state: &mut RouterState, now: Time, rpc: RpcId, passed_over: Counts<Ineligible>) {
    let exceptions = &mut state.output.exceptions;
    exceptions.counts.spilled += 1;
    exceptions.counts.passed_over.merge(&passed_over);
    if exceptions.accepts_example() {
        log_example(state, now, rpc, Exception::Spilled(passed_over));
    }
}

fn log_example(state: &mut RouterState, now: Time, rpc: RpcId, exception: Exception) {
    let rpc = &state.rpcs[rpc];
    state.output.exceptions.examples.push(ExceptionExample {
        group: rpc.arrival.group,
        method: rpc.arrival.method,
        attempts: rpc.attempts,
        waited: now - rpc.accepted_at,
        time_left: rpc.arrival.deadline - now,
        exception,
    });
}
