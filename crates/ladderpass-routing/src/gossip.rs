//! Gossip: updates about members that routers send to each other.
//!
//! A router publishes what a member has reported to it (the role, the position, the RPCs in flight) and the member's
//! latency ratio, at most as often as positions need to be refreshed, or more often while the group has no primary.
//! Other routers use an update as if the member had reported to them. Updates that show a failure or recovery of the
//! member are an exception: the failure or recovery counts only if the sender is in the same zone, because routers
//! of one zone share the links to the member.

use crate::concurrency_limit;
use crate::health_check_schedule::GOSSIP_INTERVAL_WITHOUT_PRIMARY;
use crate::load;
use crate::outlier_ejection;
use crate::position::{self, Source};
use crate::primary;
use crate::staleness::position_refresh_interval;
use crate::state::member::{Member, ObservedBy};
use crate::state::router_state::RouterState;
use crate::time::{Span, Time};
use crate::types::{MemberObservation, MemberUpdate, Role};

/// A report that a member is unreachable counts only while it is younger than this.
const UNREACHABLE_VALID_FOR: Span = Span::from_millis(1000);

/// Publishes what a member has reported to this router, unless an update about the member was published or received
/// recently. `at` is the member's position, or the time at which the member showed its role. `latency_ratio` is 0
/// where it is unknown.
pub fn publish(
    state: &mut RouterState,
    now: Time,
    index: usize,
    observation: MemberObservation,
    at: Time,
    latency_ratio: f64,
) {
    let has_primary = state.topology.group_of(index).primary.is_some();
    let max_interval = if has_primary { Span::MAX } else { GOSSIP_INTERVAL_WITHOUT_PRIMARY };
    let interval = position_refresh_interval(state).min(max_interval);
    let member = state.topology.member_mut(index);
    if state.deployment.gossip && now - member.published_at >= interval {
        member.published_position = member.published_position.max(at);
        member.published_at = now;
        state.output.gossip.push(MemberUpdate {
            latency_ratio,
            in_flight: member.reported_in_flight,
            ..MemberUpdate::new(member.id, observation, at)
        });
    }
}

/// Records the role that a member has shown to this router at the time `at`. A new primary is published at once.
pub fn record_role_and_publish(state: &mut RouterState, now: Time, index: usize, role: Role, at: Time) {
    let before = state.topology.group_of(index).primary;
    primary::record_role(state, index, role, at);
    let after = state.topology.group_of(index).primary;
    if role == Role::Primary && after == Some(index) && before != after {
        state.topology.member_mut(index).published_at = Time::NEVER;
        publish(state, now, index, MemberObservation::Primary, at, 0.0);
    }
}

/// Applies an update from another router. An update about a member that no list has named is ignored, and so is an
/// update whose time is ahead of the members' clock, because the time of a correct report can't be ahead.
pub fn on_peer_update(state: &mut RouterState, now: Time, update: &MemberUpdate) {
    if !state.topology.contains(update.member) || update.at > state.latest_time_of_members_clock(now) {
        return;
    }
    let role = match update.observation {
        MemberObservation::Replica => Role::Replica,
        MemberObservation::Primary => Role::Primary,
        MemberObservation::Unreachable => return record_unreachable(state, now, update),
    };
    let index = update.member.0 as usize;
    record_report(state.topology.member_mut(index), now, update, role);
    concurrency_limit::update_read_share(state, now, index);
    if update.latency_ratio > 0.0 {
        // The update does not contain when the attempt was sent, so its send time is estimated. A concurrency
        // limit that was reduced since that time stays as it is.
        let sent_at = now - load::min_typical_latency(state) * update.latency_ratio;
        concurrency_limit::follow_latency(state, now, index, sent_at, ObservedBy::Peer);
    }
    position::record_position(state, now, index, update.at, Source::Gossip);
    if update.same_zone && state.topology.member(index).consecutive_failures > 0 {
        outlier_ejection::record_success(state, now, index);
    }
    let group = state.topology.member(index).group;
    state.topology.groups[group].has_answered = true;
    primary::record_role(state, index, role, update.at);
}

/// Records that another router could not reach the member. If the other router is in the same zone, the update
/// counts as one failure of the member, provided that the report is recent and this router has received nothing
/// from the member since.
fn record_unreachable(state: &mut RouterState, now: Time, update: &MemberUpdate) {
    let age = state.latest_time_of_members_clock(now) - update.at;
    let index = update.member.0 as usize;
    let member = state.topology.member_mut(index);
    // Another router has already published that the member is unreachable, so this router need not publish it
    // again soon.
    member.unreachable_published_at = now;
    if update.same_zone && age < UNREACHABLE_VALID_FOR && member.silent_since < update.at {
        outlier_ejection::record_failure(state, now, index, ObservedBy::Peer);
    }
}

/// Records the load and the lag of a member from an update that another router has sent.
fn record_report(member: &mut Member, now: Time, update: &MemberUpdate, role: Role) {
    member.published_position = member.published_position.max(update.at);
    member.published_at = now;
    member.reported_at = now;
    member.reported_in_flight = update.in_flight.or(member.reported_in_flight);
    if update.latency_ratio > 0.0 {
        member.latency_ratios.record(now, update.latency_ratio);
    }
    if role == Role::Replica && update.at > member.position {
        member.lag = Some(now - update.at);
    }
}
