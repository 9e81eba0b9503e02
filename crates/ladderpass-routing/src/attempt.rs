//! Attempts: what is recorded when an attempt starts, and what the result of the attempt shows about the member.
//!
//! Whether a retry or the final answer of the RPC follows is decided in `retry`, `rejection` and `selection`.

use crate::concurrency_limit;
use crate::gossip;
use crate::load::{self, SILENT_AFTER_TYPICAL_LATENCIES};
use crate::outlier_ejection;
use crate::position::{self, Source};
use crate::retry;
use crate::state::member::{ObservedBy, OpenAttempt};
use crate::state::router_state::RouterState;
use crate::time::Time;
use crate::types::{
    Arrival, AttemptOutcome, AttemptResult, Consistency, Decision, MemberObservation, Role, RpcId,
};

/// Starts an attempt of an RPC at a member.
pub fn start(state: &mut RouterState, now: Time, rpc: RpcId, index: usize) -> Decision {
    let timeout = retry::first_attempt_timeout(state, now, rpc, index);
    let arrival = state.rpcs[rpc].arrival;
    let method = &state.methods[arrival.method as usize];
    state.rpcs[rpc].record_attempt_started(now);
    let member = state.topology.member_mut(index);
    member.record_attempt_started(now, arrival.method, method.typical);
    state.session_writes.record_sent(method.writing_session(arrival.session), now);
    Decision::Attempt { member: member.id, timeout }
}

/// Records what the result of an attempt shows about the member.
pub fn record_result(
    state: &mut RouterState,
    now: Time,
    index: usize,
    result: &AttemptResult,
    arrival: &Arrival,
    sent_at: Time,
) {
    let attempt = OpenAttempt { sent_at, method: arrival.method };
    let method = &state.methods[arrival.method as usize];
    let member = state.topology.member(index);
    // An answer is overdue only after three typical answer times. An attempt that timed out earlier was cut short by
    // its client, and says nothing about the member. An attempt that was lost in the network says nothing either.
    let ended_early = result.latency < method.typical * SILENT_AFTER_TYPICAL_LATENCIES;
    let was_lost = load::is_lost(state, now, member, attempt);
    let is_evidence = result.outcome != AttemptOutcome::TimedOut || !(ended_early || was_lost);
    // A member that reports its role is up, whatever its answer is.
    if result.role.is_some() || matches!(result.outcome, AttemptOutcome::Ok | AttemptOutcome::NotServedHere) {
        outlier_ejection::record_success(state, now, index);
    }
    let is_ok = result.outcome == AttemptOutcome::Ok;
    state.topology.member_mut(index).record_attempt_ended(attempt, is_ok);
    record_outcome(state, now, index, result.outcome, sent_at, is_evidence);
    let mut latency_ratio = 0.0;
    if matches!(result.outcome, AttemptOutcome::Ok | AttemptOutcome::TimedOut) && is_evidence {
        latency_ratio = load::record_answer(state, now, index, attempt, result.latency);
        concurrency_limit::follow_latency(state, now, index, sent_at, ObservedBy::ThisRouter);
    }
    record_session_write(state, now, result, arrival, sent_at);
    record_position(state, now, index, result, arrival, sent_at, latency_ratio);
    record_role(state, now, index, result);
}

/// Records what the outcome of an attempt shows about the member, apart from the answer time, position and role.
/// `is_evidence` is false if the attempt's timeout says nothing about the member.
fn record_outcome(
    state: &mut RouterState,
    now: Time,
    index: usize,
    outcome: AttemptOutcome,
    sent_at: Time,
    is_evidence: bool,
) {
    let member = state.topology.member_mut(index);
    match outcome {
        AttemptOutcome::Ok | AttemptOutcome::NotServedHere => {
            let group = member.group;
            state.topology.groups[group].has_answered = true;
        }
        AttemptOutcome::Rejected | AttemptOutcome::TimedOut => {
            member.recent_failures.record(now, 1.0);
            if is_evidence {
                concurrency_limit::reduce_after_rejection(state, now, index, sent_at);
            }
        }
        AttemptOutcome::ConnectionLost => member.recent_failures.record(now, 1.0),
        AttemptOutcome::Unreachable => {
            member.recent_failures.record(now, 1.0);
            outlier_ejection::record_failure(state, now, index, ObservedBy::ThisRouter);
        }
        AttemptOutcome::Failed
        | AttemptOutcome::Cancelled
        | AttemptOutcome::NeverSent
        | AttemptOutcome::DecisionExpired => {}
    }
}

/// Returns whether the position of this result is the commit of a write, rather than a position of the member.
fn is_commit(state: &RouterState, result: &AttemptResult, arrival: &Arrival) -> bool {
    let consistency = state.methods[arrival.method as usize].definition.consistency;
    result.outcome == AttemptOutcome::Ok && consistency == Consistency::Write
}

/// Records the end of a session's write. Later reads of the session must see a write that may have run. If the
/// result reports no commit position, the write is assumed to have committed by now, with a margin of one tick.
fn record_session_write(
    state: &mut RouterState,
    now: Time,
    result: &AttemptResult,
    arrival: &Arrival,
    sent_at: Time,
) {
    let reported = result.position.filter(|_| is_commit(state, result, arrival));
    let commit = reported.unwrap_or(state.latest_time_of_members_clock(now) + state.deployment.tick);
    let session = state.methods[arrival.method as usize].writing_session(arrival.session);
    let may_have_run = !result.outcome.never_ran();
    state.session_writes.record_ended(session, sent_at, may_have_run.then_some(commit));
}

fn record_position(
    state: &mut RouterState,
    now: Time,
    index: usize,
    result: &AttemptResult,
    arrival: &Arrival,
    sent_at: Time,
    latency_ratio: f64,
) {
    let Some(position) = result.position.filter(|_| !is_commit(state, result, arrival)) else { return };
    state.topology.member_mut(index).lag = Some(state.latest_time_of_members_clock(now) - position);
    position::record_position(state, now, index, position, Source::Answer { sent_at });
    if result.role == Some(Role::Replica) {
        gossip::publish(state, now, index, MemberObservation::Replica, position, latency_ratio);
    }
}

fn record_role(state: &mut RouterState, now: Time, index: usize, result: &AttemptResult) {
    let Some(role) = result.role else { return };
    let member_time = state.time_of_members_clock(now);
    let at = match role {
        Role::Primary => result.position.unwrap_or(member_time - result.latency).min(member_time),
        Role::Replica => member_time,
    };
    gossip::record_role_and_publish(state, now, index, role, at);
}
