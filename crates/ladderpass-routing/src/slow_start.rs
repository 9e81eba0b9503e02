//! Slow start: a member that has started gets a share of the traffic that rises to its full one.
//!
//! The share is `slow_start_capacity` at its start and grows linearly to 1 over `slow_start_duration`. It is enforced
//! by credit: each RPC that this router accepts adds a fraction to the credit of each member in slow start, and each
//! attempt there takes one from it. Credit comes evenly, also for RPCs that were queued. If each router stays within
//! its share, so does their sum.
//!
//! The share of reads that an overloaded member may get (`concurrency_limit`) is enforced here too.

use crate::health_check_schedule::HEALTH_CHECK_WAIT;
use crate::load::{ALL_BUCKETS, RECENT_BUCKET};
use crate::sliding_window::WindowTotals;
use crate::state::member::Member;
use crate::state::router_state::RouterState;
use crate::time::{Span, Time};
use crate::types::{Arrival, Consistency, RpcId};

/// Fair shares that a member in slow start gets at most, where the settings allow a multiple.
const MAX_FAIR_SHARES: f64 = 2.0;
/// Margin for random variation, in square roots of the attempts that all routers send.
const VARIATION_MARGIN_ROOTS: f64 = 3.0;
/// Whole attempts of credit lapse after this, or all routers with nothing to send would spend theirs at once.
const CREDIT_VALID_FOR: Span = HEALTH_CHECK_WAIT;
/// Shifts the random draw of an RPC for each member, so that an RPC which one member may not have does not miss all.
const DRAW_STEP_PER_MEMBER: f64 = 0.618;

/// The share of its capacity that a member in slow start is sure to have, from 0 to 1; none once it has all of it.
pub fn capacity_share(state: &RouterState, now: Time, member: &Member) -> Option<f64> {
    let duration = state.deployment.slow_start_duration.secs();
    let age = (now - member.started_at? - state.clock.ahead).secs().max(0.0);
    let initial = state.deployment.slow_start_capacity;
    (age < duration).then(|| initial + (1.0 - initial) * age / duration)
}

/// Counts an RPC that was accepted, and adds its credit to the members of its group that are in slow start.
pub fn record_accepted(state: &mut RouterState, now: Time, arrival: &Arrival) {
    let consistency = state.methods[arrival.method as usize].definition.consistency;
    let accepted = state.topology.accepted_mut(arrival.group, RECENT_BUCKET);
    let writes = if consistency.primary_only() { 1.0 } else { 0.0 };
    accepted.record(now, writes);
    let accepted = accepted.totals(now, ALL_BUCKETS);
    let group = arrival.group as usize;
    for place in 0..state.topology.groups[group].members.len() {
        let index = state.topology.groups[group].members[place];
        if let Some(share) = capacity_share(state, now, state.topology.member(index)) {
            let credit = credit_per_rpc(state, group, index, share, accepted);
            add_credit(state.topology.member_mut(index), now, credit);
        }
    }
}

/// The credit, in attempts, that one accepted RPC adds to a member with this share of its capacity.
///
/// The load at full capacity is a fair share of the group at its largest, or all writes where the member is the primary
/// and these are more. Its part by `capacity_share` is divided by the RPCs accepted, and reduced by a margin for random
/// variation: the sum over all routers must stay within what the member can do in an overload window. `accepted`: the
/// RPCs of the group in the measured window; the sum counts those for the primary alone.
fn credit_per_rpc(
    state: &RouterState,
    group: usize,
    index: usize,
    capacity_share: f64,
    accepted: WindowTotals,
) -> f64 {
    let WindowTotals { count, sum: writes } = accepted;
    let (group, deployment) = (&state.topology.groups[group], &state.deployment);
    let fair_share = count / group.max_members.max(1) as f64;
    let fair_shares = deployment.overload_multiple.clamp(1.0, MAX_FAIR_SHARES);
    let all_routers_window_secs =
        deployment.overload_window.max(RECENT_BUCKET).secs() * f64::from(state.router_count());
    let full_load = if group.primary == Some(index) { fair_share.max(writes) } else { fair_share };
    let max_attempts = fair_shares * capacity_share * full_load;
    let measured_secs = RECENT_BUCKET.secs() * ALL_BUCKETS as f64;
    let attempts_in_window = max_attempts * all_routers_window_secs / measured_secs;
    let margin = 1.0 + VARIATION_MARGIN_ROOTS / attempts_in_window.sqrt();
    max_attempts / count / margin
}

/// Adds credit. Whole attempts that were not used in time lapse; the fraction stays, so the phase does too.
fn add_credit(member: &mut Member, now: Time, credit: f64) {
    if now - member.slow_start_credit_at > CREDIT_VALID_FOR {
        member.slow_start_credit %= 1.0;
    }
    if member.slow_start_credit < 1.0 {
        member.slow_start_credit_at = now;
    }
    member.slow_start_credit += credit;
}

/// May a member have this RPC? In slow start it needs credit. Reads also have to fall within the member's share of
/// reads, which is less than 1 after an overload, whether or not the member is in slow start.
pub fn admits(state: &RouterState, now: Time, index: usize, rpc: RpcId) -> bool {
    let member = state.topology.member(index);
    let draw = (state.rpcs[rpc].random_draw + index as f64 * DRAW_STEP_PER_MEMBER) % 1.0;
    let is_write = state.method_of(rpc).definition.consistency == Consistency::Write;
    let share = if is_write { 1.0 } else { member.read_share };
    draw < share && (has_credit(now, member) || capacity_share(state, now, member).is_none())
}

fn has_credit(now: Time, member: &Member) -> bool {
    member.slow_start_credit >= 1.0 && now - member.slow_start_credit_at <= CREDIT_VALID_FOR
}
