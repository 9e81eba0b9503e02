//! Retries: whether an RPC may be sent again, what share of a concurrency limit client retries may use, and which
//! timeout of a first attempt leaves time for a second attempt.
//!
//! The maximum number of attempts of an RPC is set in the deployment (`max_attempts`). It is checked in
//! `rejection::reason_to_give_up`, which also checks the deadlines.
//!
//! An RPC must not have its effect twice. An idempotent RPC may be sent again at any time. An RPC with an idempotency
//! key may be sent again within the window in which repeats are recognised, and any other RPC only while none of its
//! attempts may have run.

use crate::load::{self, LATENCY_MARGIN, SILENT_AFTER_TYPICAL_LATENCIES};
use crate::reasons::GiveUpReason;
use crate::state::router_state::RouterState;
use crate::state::rpc::RpcState;
use crate::time::{Span, Time};
use crate::types::{AttemptOutcome, AttemptResult, Idempotency, RpcId};

/// After this many error answers to an RPC, the RPC itself is taken to be the cause of the errors.
const ERRORS_TO_FAULT_RPC: usize = 2;
/// The share of a concurrency limit that marked client retries may use, so that they only use idle capacity.
const CLIENT_RETRY_LIMIT_SHARE: f64 = 0.1;
/// The link to another zone counts as degraded above this latency ratio of the zone.
const DEGRADED_ZONE_LATENCY_RATIO: f64 = 2.0;

/// Returns whether an attempt of the RPC can be made now without the risk of a second effect. The time that the
/// attempt takes to reach the member is allowed for.
pub fn may_run(state: &RouterState, now: Time, rpc: RpcId) -> bool {
    let method = state.method_of(rpc);
    match (method.definition.idempotency, state.rpcs[rpc].may_have_run_since) {
        (Idempotency::Idempotent, _) | (_, None) => true,
        (Idempotency::IdempotencyKey { window, .. }, Some(first_sent_at)) => {
            now + method.typical * LATENCY_MARGIN - first_sent_at < window
        }
        (Idempotency::NonIdempotent, Some(_)) => false,
    }
}

/// Returns whether the client itself may retry this RPC, at this router or another one.
pub fn client_may_retry(state: &RouterState, rpc: RpcId) -> bool {
    let never_ran = state.rpcs[rpc].may_have_run_since.is_none();
    match state.method_of(rpc).definition.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::IdempotencyKey { across_groups, .. } => across_groups || never_ran,
        Idempotency::NonIdempotent => never_ran,
    }
}

/// Returns whether this RPC has had so many error answers that the RPC itself is taken to be the cause.
pub fn is_faulty(rpc: &RpcState) -> bool {
    rpc.error_members.len() >= ERRORS_TO_FAULT_RPC
}

/// Returns the reason why the RPC ends with this result of an attempt. Returns `None` if a member is to be selected
/// for the RPC again.
pub fn reason_against_retry(rpc: &RpcState, result: &AttemptResult) -> Option<GiveUpReason> {
    if result.outcome == AttemptOutcome::NeverSent {
        return Some(GiveUpReason::AttemptNotMade);
    }
    if is_faulty(rpc) {
        return Some(GiveUpReason::FaultyRequest);
    }
    result.retry_denied.then_some(GiveUpReason::RetryBudgetExhausted)
}

/// Returns whether the RPC is an idempotent one that the client has marked as a retry. Such RPCs compete for
/// capacity with requests that clients send for the first time, which have more utility.
pub fn is_client_retry(state: &RouterState, rpc: RpcId) -> bool {
    let is_idempotent = state.method_of(rpc).definition.idempotency == Idempotency::Idempotent;
    state.rpcs[rpc].arrival.is_client_retry && is_idempotent
}

/// Returns the share of a member's concurrency limit that this RPC may use, which is less than 1 only for a
/// client retry.
pub fn limit_share(state: &RouterState, rpc: RpcId) -> f64 {
    if is_client_retry(state, rpc) { CLIENT_RETRY_LIMIT_SHARE } else { 1.0 }
}

/// Returns the timeout of a first attempt over a degraded link to another zone. The timeout leaves enough time
/// for a second attempt. `None` means that the attempt may take as long as the client waits.
pub fn first_attempt_timeout(state: &RouterState, now: Time, rpc: RpcId, index: usize) -> Option<Span> {
    let (rpc, method) = (&state.rpcs[rpc], state.method_of(rpc));
    let retry_duration = method.typical * LATENCY_MARGIN;
    let timeout = match method.definition.idempotency {
        Idempotency::Idempotent => rpc.accepted_at + method.definition.soft_deadline - now - retry_duration,
        Idempotency::IdempotencyKey { window, .. } => window - retry_duration * 2.0,
        Idempotency::NonIdempotent => return None,
    };
    let zone = state.topology.member(index).zone;
    let is_degraded = load::zone_latency_ratio(state, now, zone) > DEGRADED_ZONE_LATENCY_RATIO;
    let leaves_time_to_answer = timeout >= method.typical * SILENT_AFTER_TYPICAL_LATENCIES;
    (is_degraded && rpc.attempts == 0 && leaves_time_to_answer).then_some(timeout)
}
