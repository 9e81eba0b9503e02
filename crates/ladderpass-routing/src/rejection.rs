//! Rejections: which RPCs the router sheds or gives up, and when their clients may retry.
//!
//! RPCs are shed by priority on arrival, before anything else is done for them. An accepted RPC is given up once no
//! further attempt is allowed, or no further attempt could be answered in time.

use crate::exception_log;
use crate::pending;
use crate::reasons::GiveUpReason;
use crate::retry;
use crate::state::router_state::RouterState;
use crate::time::{Span, Time};
use crate::types::{Arrival, Decision, OverloadState, RpcId};
use nanorand::Rng;

/// The number of priorities in a band. A band is a range of priorities for one class of RPCs. The bands are,
/// from the lowest: late answers, connections over their fair share, retries that the client has marked, and
/// all other RPCs.
const PRIORITIES_PER_BAND: f64 = 64.0;
/// Within a band, the priority follows the utility per second of cost. `PRIORITIES_PER_DOUBLING` is the number
/// of priorities for each doubling of that quotient, and `LOWEST_LOG2_UTILITY_PER_SEC` is the binary logarithm
/// of that quotient at the band's lowest priority.
const PRIORITIES_PER_DOUBLING: f64 = 4.0;
const LOWEST_LOG2_UTILITY_PER_SEC: f64 = 8.0;
/// The Retry-After of a shed RPC, as a share of the longest Retry-After: this value without pressure and 1 at full
/// pressure, each times a random factor from `MIN_SHED_JITTER` to 1. The result is 0.1 to 1 of the longest
/// Retry-After.
const SHED_RETRY_AFTER_SHARE: f64 = 0.2;
const MIN_SHED_JITTER: f64 = 0.5;
/// The Retry-After of an RPC that is given up while an answer could still be of use, as a share of the longest
/// Retry-After. The share is multiplied by a random factor from `MIN_GIVE_UP_JITTER` to `MIN_GIVE_UP_JITTER` + 1,
/// so the result is 0.175 to 0.525 of the longest Retry-After.
const GIVE_UP_RETRY_AFTER_SHARE: f64 = 0.35;
const MIN_GIVE_UP_JITTER: f64 = 0.5;
/// An RPC is given up this many ticks before its deadline.
const TICKS_BEFORE_DEADLINE: f64 = 2.0;

/// Returns the priority of an RPC among those that compete for this router's capacity. The priority is lower for an
/// RPC that would be answered late, for a connection over its fair share, for a client retry, and for a low utility
/// relative to the cost.
pub fn priority(state: &RouterState, now: Time, arrival: &Arrival, overload: &OverloadState) -> u32 {
    let method = &state.methods[arrival.method as usize];
    let answered_at = now + overload.queueing_delay + method.typical;
    let is_late = answered_at >= method.useful_until(now, arrival.deadline);
    let band = match (is_late, overload.exceeds_fair_share, arrival.is_client_retry) {
        (true, _, _) => 0.0,
        (_, true, _) => 1.0,
        (_, _, true) => 2.0,
        _ => 3.0,
    };
    let log2_utility_per_sec = (method.definition.utility / overload.cost_secs.max(1e-9)).max(1e-9).log2();
    let within_band = ((log2_utility_per_sec - LOWEST_LOG2_UTILITY_PER_SEC) * PRIORITIES_PER_DOUBLING)
        .clamp(0.0, PRIORITIES_PER_BAND - 1.0)
        .floor();
    (band * PRIORITIES_PER_BAND + within_band) as u32
}

impl OverloadState {
    /// Returns whether an RPC of this priority is shed. Of the RPCs whose priority equals the integer part of
    /// the threshold, only a share is shed: those whose random draw (from 0 to 1) is below the fractional part
    /// of the threshold.
    pub fn sheds(&self, priority: u32, random_draw: f64) -> bool {
        f64::from(priority) + random_draw < self.admission_threshold
    }
}

/// Returns the overload because of which an RPC that has just arrived must be shed: the overload of this
/// router, or else that of all routers together. `None` if the RPC is not shed.
pub fn overload_to_shed_for(
    state: &RouterState,
    now: Time,
    arrival: &Arrival,
    random_draw: f64,
) -> Option<OverloadState> {
    let overloads = [arrival.router_overload, arrival.fleet_overload].into_iter().flatten();
    overloads
        .filter(|overload| overload.admission_threshold > 0.0)
        .find(|overload| overload.sheds(priority(state, now, arrival, overload), random_draw))
}

/// Rejects an RPC that was never sent. The Retry-After is randomized, and grows with the pressure of the
/// overload (`OverloadState::pressure`, from 0 to 1).
pub fn shed(state: &mut RouterState, rpc: RpcId, pressure: f64) -> Decision {
    let share = (SHED_RETRY_AFTER_SHARE + (1.0 - SHED_RETRY_AFTER_SHARE) * pressure)
        * (MIN_SHED_JITTER + (1.0 - MIN_SHED_JITTER) * state.random.generate::<f64>());
    state.rpcs.close(rpc);
    Decision::Reject { retry_after: state.deployment.max_retry_after * share }
}

/// Returns the reason why no further attempt of this RPC is to be made, if there is one.
pub fn reason_to_give_up(state: &RouterState, now: Time, rpc: RpcId) -> Option<GiveUpReason> {
    let accepted = &state.rpcs[rpc];
    if !retry::may_run(state, now, rpc) {
        return Some(GiveUpReason::MayHaveRun);
    }
    if accepted.attempts >= state.deployment.max_attempts {
        return Some(GiveUpReason::NoAttemptLeft);
    }
    // The typical answer time is not counted for an RPC that has just arrived, so that this RPC is given up as too
    // late only once no answer could be of use.
    let has_just_arrived = accepted.attempts == 0 && !accepted.is_pending;
    let answer_duration = if has_just_arrived { Span::ZERO } else { state.method_of(rpc).typical };
    if now + answer_duration >= state.useful_until(rpc) {
        return Some(GiveUpReason::TooLate);
    }
    let deadline_is_near = now + state.deployment.tick * TICKS_BEFORE_DEADLINE >= accepted.arrival.deadline;
    (pending::queued_too_long(accepted, now) || deadline_is_near).then_some(GiveUpReason::OutOfTime)
}

/// Gives up an RPC that will not be served by this router, and returns its final answer.
pub fn give_up(state: &mut RouterState, now: Time, rpc: RpcId, reason: GiveUpReason) -> Decision {
    exception_log::log_given_up(state, now, rpc, reason);
    let client_may_retry = retry::client_may_retry(state, rpc);
    let is_late = now + state.method_of(rpc).typical >= state.useful_until(rpc);
    let is_useless = is_late || retry::is_faulty(&state.rpcs[rpc]);
    let retry_after = if is_useless { state.deployment.max_retry_after } else { retry_after(state) };
    state.rpcs.close(rpc);
    if client_may_retry { Decision::Reject { retry_after } } else { Decision::Fail }
}

/// Returns the randomized delay after which a rejected client may retry while an answer could still be of use.
pub fn retry_after(state: &mut RouterState) -> Span {
    state.deployment.max_retry_after
        * (GIVE_UP_RETRY_AFTER_SHARE * (MIN_GIVE_UP_JITTER + state.random.generate::<f64>()))
}
