//! Outlier ejection: a member that fails several times in a row gets no RPCs until it answers again.
//!
//! A failure is a failed health check, a connection that was not established or broke before a whole query was
//! written, or the report of such a failure by another router. A connection that breaks later is not a failure,
//! because the member may have run the query. Any answer that shows the member to be up readmits it. A member that
//! was failing for long is assumed to have restarted, and begins with a slow start.

use crate::health_check_schedule;
use crate::load;
use crate::state::member::{Member, ObservedBy};
use crate::state::router_state::RouterState;
use crate::time::{Span, Time};
use crate::types::{MemberObservation, MemberUpdate};

/// Number of consecutive failures after which a member is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// If an ejected member is readmitted and its failures began longer ago than this, the member is assumed to
/// have restarted.
const MIN_RESTART_ABSENCE: Span = Span::from_millis(1000);
/// This router publishes that a member is unreachable at most once in this time.
const UNREACHABLE_GOSSIP_INTERVAL: Span = Span::from_millis(1000);

/// Has the member failed so many times in a row that it gets no RPCs?
pub fn is_ejected(member: &Member) -> bool {
    member.consecutive_failures >= FAILURES_TO_EJECT
}

/// Resets the consecutive failures of a member that has shown that it is up.
pub fn record_success(state: &mut RouterState, now: Time, index: usize) {
    let member = state.topology.member_mut(index);
    if is_ejected(member) {
        if now - member.failing_since > MIN_RESTART_ABSENCE {
            member.started_at = Some(now);
        }
        state.output.log_messages.push(format!("#{index} readmitted"));
    }
    let member = state.topology.member_mut(index);
    member.consecutive_failures = 0;
    member.silent_since = now;
}

/// Counts a failure of a member. If this router observed the failure itself, it publishes the failure and checks the
/// member again soon.
pub fn record_failure(state: &mut RouterState, now: Time, index: usize, observed_by: ObservedBy) {
    let member = state.topology.member_mut(index);
    if member.consecutive_failures == 0 {
        member.failing_since = now;
    }
    member.consecutive_failures += 1;
    let (failures, zone, is_ejected) = (member.consecutive_failures, member.zone, is_ejected(member));
    if observed_by == ObservedBy::ThisRouter {
        health_check_schedule::schedule_recheck(state, now, index, failures, is_ejected);
        publish_unreachable(state, now, index);
    }
    if failures == FAILURES_TO_EJECT {
        let message = format!("#{index} ejected after {FAILURES_TO_EJECT} consecutive failures");
        state.output.log_messages.push(message);
    }
    if failures == 1 {
        load::record_zone_failure(state, now, zone);
    }
}

fn publish_unreachable(state: &mut RouterState, now: Time, index: usize) {
    let at = state.latest_time_of_members_clock(now);
    let member = state.topology.member_mut(index);
    if state.deployment.gossip && now - member.unreachable_published_at >= UNREACHABLE_GOSSIP_INTERVAL {
        member.unreachable_published_at = now;
        state.output.gossip.push(MemberUpdate::new(member.id, MemberObservation::Unreachable, at));
    }
}

/// Resets the failures of the members whose next health check would be due. Used only where health checks are not
/// allowed, so that an attempt takes the place of the check.
pub fn expire_failures(state: &mut RouterState, now: Time) {
    let members = state.topology.members.iter_mut().flatten();
    members
        .filter(|member| member.next_health_check_at <= now)
        .for_each(|member| member.consecutive_failures = 0);
}
