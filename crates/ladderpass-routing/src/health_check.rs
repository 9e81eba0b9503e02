//! Health checks: sending those that are due, and recording their results.
//!
//! A check shows that a member is up. Where the deployment has load reports, the check also shows the member's role,
//! its position and how many RPCs it has in flight. `health_check_schedule` decides when checks are due.

use crate::concurrency_limit;
use crate::gossip;
use crate::health_check_schedule::{self, MIN_ROUND, RECHECK_AFTER};
use crate::outlier_ejection;
use crate::position::{self, Source};
use crate::state::member::ObservedBy;
use crate::state::router_state::RouterState;
use crate::time::{Span, Time};
use crate::types::{AttemptOutcome, EndpointState, LoadReport, MemberId, MemberObservation, Role};

/// A health check that has no result after this time counts as failed.
const HEALTH_CHECK_TIMEOUT: Span = Span::from_millis(1500);

/// Sends the health checks that are due, and counts a failure for each check that has timed out.
pub fn send_due_checks(state: &mut RouterState, now: Time) {
    state.next_health_check_at = now + MIN_ROUND;
    for index in 0..state.topology.members.len() {
        let is_listed = state.topology.members[index]
            .as_ref()
            .is_some_and(|member| member.endpoint_state != EndpointState::Removed);
        if is_listed {
            check_member(state, now, index);
        }
    }
}

/// Counts a failure if a check of this member has timed out, and sends a check if one is due.
fn check_member(state: &mut RouterState, now: Time, index: usize) {
    let member = state.topology.member_mut(index);
    if member.health_check_sent_at.is_some_and(|sent_at| now - sent_at > HEALTH_CHECK_TIMEOUT) {
        member.health_check_sent_at = None;
        outlier_ejection::record_failure(state, now, index, ObservedBy::ThisRouter);
    }
    let interval = health_check_schedule::check_interval(state, now, index);
    let shares_health_checks = state.deployment.shares_health_checks();
    let member = state.topology.member_mut(index);
    // The round of periodic checks may have become shorter since this check was scheduled. Without shared checks, a
    // member that was never in contact is checked at once. With shared checks, the first check of such a member
    // keeps its time slot.
    let last_contact_at = member.last_health_check_at.max(member.reported_at);
    if last_contact_at != Time::NEVER || !shares_health_checks {
        member.next_health_check_at = member.next_health_check_at.min(last_contact_at + interval);
    }
    if member.health_check_sent_at.is_none() && member.next_health_check_at <= now {
        member.health_check_sent_at = Some(now);
        member.last_health_check_at = now;
        member.next_health_check_at = now + interval;
        state.output.health_checks.push(member.id);
    }
    let next_event_at = match member.health_check_sent_at {
        Some(sent_at) => sent_at + HEALTH_CHECK_TIMEOUT,
        None => member.next_health_check_at,
    };
    state.next_health_check_at = state.next_health_check_at.min(next_event_at);
}

/// Records the result of a health check.
pub fn on_ended(
    state: &mut RouterState,
    now: Time,
    id: MemberId,
    outcome: AttemptOutcome,
    latency: Span,
    report: LoadReport,
) {
    let index = id.0 as usize;
    if !state.topology.contains(id) {
        return;
    }
    state.topology.member_mut(index).health_check_sent_at = None;
    let has_report = report != LoadReport::default();
    match outcome {
        AttemptOutcome::Ok if has_report => {
            outlier_ejection::record_success(state, now, index);
            record_report(state, now, index, latency, report);
        }
        // The member is up, but it has nothing to report yet, or rejects the check because it is at its limit
        // or draining.
        AttemptOutcome::Ok | AttemptOutcome::Rejected => {
            outlier_ejection::record_success(state, now, index);
        }
        // The connection broke, or the answer could not be read. A broken check is not counted as a failure, because
        // something at the member's address did answer.
        AttemptOutcome::ConnectionLost => health_check_schedule::request_check(state, now, index),
        // This router had no file descriptor for the check, which shows nothing about the member.
        AttemptOutcome::NeverSent => {
            health_check_schedule::set_next_check(state, index, now + RECHECK_AFTER);
        }
        AttemptOutcome::Failed
        | AttemptOutcome::TimedOut
        | AttemptOutcome::Unreachable
        | AttemptOutcome::Cancelled
        | AttemptOutcome::NotServedHere
        | AttemptOutcome::DecisionExpired => {
            outlier_ejection::record_failure(state, now, index, ObservedBy::ThisRouter);
        }
    }
}

fn record_report(state: &mut RouterState, now: Time, index: usize, latency: Span, report: LoadReport) {
    let group = state.topology.member(index).group;
    state.topology.groups[group].has_answered = true;
    if let Some(position) = report.position {
        record_position(state, now, index, position, now - latency, &report);
    }
    let member_time = state.time_of_members_clock(now);
    let member = state.topology.member_mut(index);
    member.reported_at = now;
    let at = report.position.unwrap_or(member_time - latency).min(member_time);
    match report.is_primary {
        Some(true) => gossip::record_role_and_publish(state, now, index, Role::Primary, at),
        // Positions never decrease. A position from before the time at which the member was last seen as primary
        // comes from an old report, and shows no new role.
        Some(false) if report.position.is_none_or(|at| at >= member.primary_seen_at) => {
            gossip::record_role_and_publish(state, now, index, Role::Replica, at);
        }
        _ => {}
    }
}

fn record_position(
    state: &mut RouterState,
    now: Time,
    index: usize,
    position: Time,
    sent_at: Time,
    report: &LoadReport,
) {
    let age = state.latest_time_of_members_clock(now) - position;
    let member = state.topology.member_mut(index);
    member.reported_position_age = Some(age);
    member.reported_in_flight = report.in_flight;
    if state.deployment.gossip {
        concurrency_limit::update_read_share(state, now, index);
    }
    // Reports may be delayed. The primary's own position is always current, so the age of the position that it
    // reports shows the delay.
    let primary = state.topology.group_of(index).primary;
    let report_delay =
        primary.map(|index| state.topology.member(index).reported_position_age.unwrap_or(Span::ZERO));
    state.topology.member_mut(index).lag = report_delay.map(|delay| (age - delay).max(Span::ZERO));
    position::record_position(state, now, index, position, Source::LoadReport { sent_at });
    let observation =
        if report.is_primary == Some(true) { MemberObservation::Primary } else { MemberObservation::Replica };
    gossip::publish(state, now, index, observation, position, 0.0);
}
