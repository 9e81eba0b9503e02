//! Slow start: a member that has just started gets a share of the traffic that rises to its full share.
//!
//! The share of its capacity that such a member has is `Deployment::slow_start_capacity` at its start and grows
//! linearly to 1 over `Deployment::slow_start_duration`. The share of traffic is enforced by credit. Each RPC
//! that this router accepts adds a fraction of an attempt to the credit of each member of its group that is in
//! slow start, and each attempt at a member subtracts one from the member's credit. RPCs add their credit when
//! they are accepted, even if they are queued then, so the credit grows evenly. If each router stays within its
//! part of the share, so does the sum of all routers.
//!
//! The share of reads that an overloaded member may get (`concurrency_limit`) is also enforced here.

use crate::health_check_schedule::HEALTH_CHECK_WAIT;
use crate::load::{ALL_BUCKETS, RECENT_BUCKET};
use crate::sliding_window::WindowTotals;
use crate::state::member::Member;
use crate::state::router_state::RouterState;
use crate::time::{Span, Time};
use crate::types::{Arrival, Consistency, RpcId};

/// A member in slow start gets at most this many fair shares, even if `Deployment::overload_multiple` allows
/// more.
const MAX_FAIR_SHARES: f64 = 2.0;
/// Safety margin for random variation, in standard deviations. The standard deviation is taken to be the square root
/// of the number of attempts that all routers send in an overload window.
const VARIATION_MARGIN_STD_DEVS: f64 = 3.0;
/// Whole attempts of slow-start credit expire after this time. Otherwise all routers that had nothing to send
/// could use their credit at the same time.
const CREDIT_VALID_FOR: Span = HEALTH_CHECK_WAIT;
/// The random draw of an RPC (from 0 to 1) is shifted by this value times the index of a member, so that an RPC
/// which falls outside the share of reads of one member does not fall outside the shares of all members.
const DRAW_STEP_PER_MEMBER: f64 = 0.618;

/// The share of its full capacity that a member in slow start has at least, from 0 to 1, or `None` once it has
/// its full capacity.
pub fn capacity_share(state: &RouterState, now: Time, member: &Member) -> Option<f64> {
    let duration = state.deployment.slow_start_duration.secs();
    let age = (now - member.started_at? - state.clock.ahead).secs().max(0.0);
    let initial = state.deployment.slow_start_capacity;
    (age < duration).then(|| initial + (1.0 - initial) * age / duration)
}

/// Counts an accepted RPC, and adds its credit to the members of its group that are in slow start.
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
/// The load at full capacity is a fair share of the group at its largest, or all writes if the member is the primary
/// and the writes are more. This load is multiplied by `capacity_share` and by the multiple of a fair share that the
/// settings allow. It is divided by the number of accepted RPCs and reduced by a margin for random variation, because
/// the sum over all routers must stay within what the member can do in an overload window. `accepted.count` is the
/// number of the group's RPCs in the measured window, and `accepted.sum` is the number of those that only the primary
/// may serve.
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
    let margin = 1.0 + VARIATION_MARGIN_STD_DEVS / attempts_in_window.sqrt();
    max_attempts / count / margin
}

/// Adds slow-start credit to a member. Whole attempts of credit that were not used in time expire. The fraction is
/// kept, because it differs from router to router and so keeps the routers from sending their attempts at the same
/// time.
fn add_credit(member: &mut Member, now: Time, credit: f64) {
    if now - member.slow_start_credit_at > CREDIT_VALID_FOR {
        member.slow_start_credit %= 1.0;
    }
    if member.slow_start_credit < 1.0 {
        member.slow_start_credit_at = now;
    }
    member.slow_start_credit += credit;
}

/// May a member get this RPC? A member in slow start needs credit for it. A read also has to fall within the
/// member's share of reads, which is less than 1 after an overload, whether or not the member is in slow start.
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
