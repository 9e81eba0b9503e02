//! Outlier ejection: members that fail several times in a row get nothing until they answer again.
//!
//! A failure is a health check that failed, a connection that was not established or broke before a whole query was
//! written, or the report of one by another router. A connection that broke later is none: the member may have run the
//! query. Any answer that shows the member to be up readmits it. One that was away for long is taken to have started anew, and begins with
//! a slow start.

use crate::health_check_schedule;
use crate::load;
use crate::state::member::{Member, ObservedBy};
use crate::state::router_state::RouterState;
use crate::time::{Span, Time};
use crate::types::{MemberObservation, MemberUpdate};

/// Consecutive failures after which a member is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// A member that is readmitted after a longer absence has started anew.
const RESTARTED_AFTER_ABSENCE: Span = Span::from_millis(1000);
/// That a member is unreachable is published at most this often.
const UNREACHABLE_GOSSIP_INTERVAL: Span = Span::from_millis(1000);

/// Does a member get nothing, since it has failed too many times in a row?
pub fn is_ejected(member: &Member) -> bool {
    member.consecutive_failures >= FAILURES_TO_EJECT
}

/// Ends the failures of a member that has shown to be up.
pub fn record_success(state: &mut RouterState, now: Time, index: usize) {
    let member = state.topology.member_mut(index);
    if is_ejected(member) {
        if now - member.failing_since > RESTARTED_AFTER_ABSENCE {
            member.started_at = Some(now);
        }
        state.output.log_messages.push(format!("#{index} readmitted"));
    }
    let member = state.topology.member_mut(index);
    member.consecutive_failures = 0;
    member.silent_since = now;
}

/// Counts a failure. One that this router saw itself is published, and the member is checked again soon.
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

/// Ends the failures of members whose next check would be due. For routers without health checks: an attempt takes
/// the place of the check.
pub fn expire_failures(state: &mut RouterState, now: Time) {
    let members = state.topology.members.iter_mut().flatten();
    members
        .filter(|member| member.next_health_check_at <= now)
        .for_each(|member| member.consecutive_failures = 0);
}
