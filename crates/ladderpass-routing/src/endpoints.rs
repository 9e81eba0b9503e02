//! Updates of the endpoint list, and the schedule of its polls.
//!
//! The endpoint list is up to some seconds late. It decides which members exist and which are draining, but it never
//! overrides what a member itself has shown.

use crate::concurrency_limit;
use crate::health_check_schedule;
use crate::load::RECENT_BUCKET;
use crate::primary;
use crate::staleness::position_refresh_interval;
use crate::state::member::Member;
use crate::state::router_state::{MissedChanges, RouterState};
use crate::time::{Span, Time};
use crate::types::{Endpoint, EndpointState, EndpointUpdate, PrimaryInList};
use nanorand::Rng;

/// A member that was removed from the list this long ago, and has nothing in flight, is retired. The index of a
/// retired member may be given to another member.
const RETIRE_REMOVED_AFTER: Span = Span::from_millis(30_000);
/// The endpoint list is at most this late. After a member has shown itself to be a replica, a list that names
/// this member as the primary is ignored for this long.
const MAX_LIST_DELAY: Span = Span::from_millis(10_000);
/// After a failed poll of the endpoint list, the router waits for this time, doubled for each consecutive failure
/// including the first, before it polls again.
const POLL_BACKOFF_BASE: Span = Span::from_millis(500);
/// `POLL_BACKOFF_BASE` is doubled at most this many times.
const MAX_POLL_BACKOFF_DOUBLINGS: u32 = 3;
/// The wait after a failed poll, before jitter is applied, is at most this share of the poll interval.
const MAX_POLL_BACKOFF_SHARE_OF_INTERVAL: f64 = 0.33;
/// The wait after a failed poll is multiplied by a random factor from this value to this value plus 1.
const MIN_POLL_BACKOFF_JITTER: f64 = 0.5;
/// A poll of the endpoint list that has not ended is repeated after this time, multiplied by a random factor from
/// `MIN_POLL_TIMEOUT_SHARE` to 1.
const POLL_TIMEOUT: Span = Span::from_millis(3500);
const MIN_POLL_TIMEOUT_SHARE: f64 = 0.95;
/// The router must know a change of the endpoint list this long after it was made and discovery could be reached.
const MAX_NOTIFICATION_DELAY: Span = Span::from_millis(6000);
/// Polls follow each other without a backoff once the router must know of missed changes within this time. Discovery is
/// one service for all routers and turns polls away that have waited too long, so the last part of the time is kept for
/// several polls.
const URGENT_WITHIN: Span = Span::from_millis(3000);
/// Before that part, the pause after a poll that a crowded discovery turned away is at most this share of the time until
/// the router must know.
const MAX_PAUSE_SHARE_OF_REMAINING: f64 = 0.25;
/// How long after that time polls still follow each other without a backoff.
const URGENT_AFTERWARDS: Span = Span::from_millis(500);
/// A poll that fails after this time had waited for its turn: discovery is reachable, but has many polls to answer. One
/// that fails sooner may have failed because discovery is down.
const MIN_WAIT_AT_CROWDED_DISCOVERY: Span = Span::from_millis(500);
/// The time from one urgent poll to the next is at least this, multiplied by a random factor from 1 to 2, so that a
/// discovery that turns polls away at once is not overloaded.
const MIN_URGENT_POLL_INTERVAL: Span = Span::from_millis(500);
/// An urgent poll follows a failure after a random pause of up to this time, as many routers may fail at once.
const URGENT_POLL_SPREAD: Span = Span::from_millis(100);
/// Width of a bucket in which the work sent to a member is counted, as a share of `Deployment::overload_window`
/// (or of `RECENT_BUCKET` if that is longer). The eight buckets together cover the whole of it.
const WORK_BUCKET_SHARE_OF_OVERLOAD_WINDOW: f64 = 0.125;

/// Requests a poll of the endpoint list if a poll is due.
pub fn poll_if_due(state: &mut RouterState, now: Time) {
    if state.next_endpoint_poll_at.is_some_and(|due| due <= now) {
        state.output.poll_endpoints = true;
        state.endpoint_polled_at = Some(now);
        let random_share = (1.0 - MIN_POLL_TIMEOUT_SHARE) * state.random.generate::<f64>();
        let timeout_share = MIN_POLL_TIMEOUT_SHARE + random_share;
        state.next_endpoint_poll_at = Some(now + POLL_TIMEOUT * timeout_share);
    }
}

/// Applies an update of the endpoint list, or handles the failure of a poll.
pub fn on_update(state: &mut RouterState, now: Time, update: EndpointUpdate) {
    let (entries, is_complete) = match update {
        EndpointUpdate::Failed { poll_immediately, notified_by } => {
            return on_poll_failed(state, now, poll_immediately, notified_by);
        }
        EndpointUpdate::Cached(entries) | EndpointUpdate::Complete(entries) => (entries, true),
        EndpointUpdate::Changes(entries) | EndpointUpdate::ChangesDuringMove(entries) => (entries, false),
    };
    if !matches!(update, EndpointUpdate::Cached(_) | EndpointUpdate::ChangesDuringMove(_)) {
        state.next_endpoint_poll_at = None;
        state.endpoint_poll_failures = 0;
        (state.endpoint_polled_at, state.missed_changes) = (None, None);
    }
    for entry in entries {
        apply_entry(state, now, entry);
    }
    if is_complete && !state.deployment.removal_is_advisory {
        remove_missing(state, now, entries);
    }
    for group in 0..state.topology.groups.len() {
        state.topology.update_max_members(group);
        primary::update_primary(state, group);
    }
    let retired = state.topology.remove_retired(now - RETIRE_REMOVED_AFTER);
    state.output.retired_members.extend(retired);
}

/// Schedules the next poll of the endpoint list: immediately if only the watch on changes has ended, soon if the router
/// must soon know what it has missed, and otherwise after a backoff.
fn on_poll_failed(state: &mut RouterState, now: Time, poll_immediately: bool, notified_by: Option<Time>) {
    state.endpoint_poll_failures += u32::from(!poll_immediately);
    let waited = state.endpoint_polled_at.take().map_or(Span::ZERO, |polled_at| now - polled_at);
    let missed = record_missed_changes(state, now, notified_by);
    let Some(interval) = state.deployment.endpoint_poll_interval else { return };
    let pause = if poll_immediately {
        Span::ZERO
    } else {
        let backoff = poll_backoff(state, interval);
        urgent_pause(state, missed, now, waited).map_or(backoff, |pause| pause.min(backoff))
    };
    let retry_at = now + pause;
    let next_poll_at = state.next_endpoint_poll_at.map_or(retry_at, |next| next.min(retry_at));
    state.next_endpoint_poll_at = Some(next_poll_at);
}

/// Records that changes may be missed from now on, if that is not known yet, and by when the router must know them.
fn record_missed_changes(state: &mut RouterState, now: Time, notified_by: Option<Time>) -> MissedChanges {
    let before = state
        .missed_changes
        .unwrap_or(MissedChanges { notified_by: now + MAX_NOTIFICATION_DELAY, discovery_may_be_down: true });
    let missed = match notified_by {
        Some(at) => {
            // A time that has passed is no reason any more to poll soon, unlike one that a move has just set.
            let notified_by = if before.notified_by < now { at } else { at.min(before.notified_by) };
            MissedChanges { notified_by, discovery_may_be_down: false }
        }
        None => before,
    };
    state.missed_changes = Some(missed);
    missed
}

/// The pause after a failed poll, which is longer after each further failure.
fn poll_backoff(state: &mut RouterState, interval: Span) -> Span {
    let doublings = state.endpoint_poll_failures.min(MAX_POLL_BACKOFF_DOUBLINGS);
    let backoff = POLL_BACKOFF_BASE * f64::from(1 << doublings);
    let jitter = MIN_POLL_BACKOFF_JITTER + state.random.generate::<f64>();
    backoff.min(interval * MAX_POLL_BACKOFF_SHARE_OF_INTERVAL) * jitter
}

/// The longest pause before the next poll of a router that must soon know what it has missed, after a poll that has
/// `waited` for its answer. Returns `None` if a backoff may take any time.
fn urgent_pause(state: &mut RouterState, missed: MissedChanges, now: Time, waited: Span) -> Option<Span> {
    let is_crowded = waited >= MIN_WAIT_AT_CROWDED_DISCOVERY;
    let remaining = missed.notified_by - now;
    let is_over = remaining < Span::ZERO - URGENT_AFTERWARDS;
    if is_over || missed.discovery_may_be_down && !is_crowded {
        return None;
    }
    if remaining > URGENT_WITHIN {
        return Some(remaining * (MAX_PAUSE_SHARE_OF_REMAINING * state.random.generate::<f64>()));
    }
    let spread = URGENT_POLL_SPREAD * state.random.generate::<f64>();
    let min_interval = MIN_URGENT_POLL_INTERVAL * (1.0 + state.random.generate::<f64>());
    Some(spread.max(min_interval - waited))
}

/// Sets the members that a complete list does not name to the state `Removed`.
fn remove_missing(state: &mut RouterState, now: Time, entries: &[Endpoint]) {
    let is_missing = |member: &&mut Member| !entries.iter().any(|entry| entry.member == member.id);
    let members = state.topology.members.iter_mut().flatten();
    members.filter(is_missing).for_each(|member| member.set_endpoint_state(now, EndpointState::Removed));
}

fn apply_entry(state: &mut RouterState, now: Time, entry: &Endpoint) {
    if !state.topology.contains(entry.member) {
        add_member(state, now, entry);
    }
    let removal_is_ignored = state.deployment.removal_is_advisory && entry.state == EndpointState::Removed;
    let list_names_primary = match state.deployment.primary_in_list {
        PrimaryInList::Delayed => true,
        PrimaryInList::AtStart => now == state.started_at,
        PrimaryInList::Absent => false,
    };
    let member_time = state.time_of_members_clock(now);
    let member = state.topology.member_mut(entry.member.0 as usize);
    member.machine_kind = entry.machine_kind;
    member.zone = entry.zone;
    member.id_hash = entry.id_hash;
    member.concurrency = entry.concurrency;
    if !removal_is_ignored {
        member.set_endpoint_state(now, entry.state);
    }
    member.started_at = member.started_at.max(entry.started_at);
    let seen_as_replica = member_time - member.replica_seen_at < MAX_LIST_DELAY;
    member.listed_as_primary = entry.primary && list_names_primary && !seen_as_replica;
}

fn add_member(state: &mut RouterState, now: Time, entry: &Endpoint) {
    let index = entry.member.0 as usize;
    let work_bucket =
        state.deployment.overload_window.max(RECENT_BUCKET) * WORK_BUCKET_SHARE_OF_OVERLOAD_WINDOW;
    let limit = concurrency_limit::initial_limit(state.router_count());
    let mut member = Member::new(entry.member, entry.group as usize, limit, RECENT_BUCKET, work_bucket);
    member.id_hash = entry.id_hash;
    // The slow-start credit starts with a random fraction of an attempt, so that the routers don't all send their
    // first attempt at once.
    member.slow_start_credit = state.random.generate();
    state.topology.insert(member);
    let check_interval = health_check_schedule::check_interval(state, now, index);
    let first_check = check_interval - position_refresh_interval(state);
    health_check_schedule::set_next_check(state, index, now + first_check.max(Span::ZERO));
    health_check_schedule::look_for_first_check(state, now);
}
