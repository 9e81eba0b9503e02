//! When each member's next health check is due, and how routers share them.
//!
//! A router that shares no results checks each member periodically, more seldom the fewer RPCs it accepts. Routers
//! that exchange gossip share one round: each has a turn for a member, ordered by a hash that all of them know, and a
//! result that arrives by gossip puts the others' checks off. Apart from the round, a check of a member may be
//! requested when an RPC waits for its report.

use crate::load::{ALL_BUCKETS, RECENT_BUCKET};
use crate::staleness::position_refresh_interval;
use crate::state::member::Member;
use crate::state::router_state::RouterState;
use crate::time::{Span, Time};
use nanorand::{Rng, WyRand};

/// The shortest and the longest time for a round of periodic checks, one of each listed member.
pub const MIN_ROUND: Span = Span::from_millis(1000);
const MAX_ROUND: Span = Span::from_millis(60_000);
/// Between these, a round is as long as it takes to send no more checks than this for each RPC accepted.
const MAX_CHECKS_PER_RPC: f64 = 0.2;
/// The interval between two checks of a member is the round times a random factor: the first, and up to the second
/// more.
const MIN_ROUND_JITTER: f64 = 0.75;
const ROUND_JITTER_RANGE: f64 = 0.5;
/// Length of one router's turn in a shared round.
const TURN_LENGTH: Span = Span::from_millis(50);
/// A member is not checked again on request within this.
const MIN_REQUEST_INTERVAL: Span = Span::from_millis(200);
/// A member whose check failed, or was not sent, is checked again after this. The time is doubled for each further
/// failure, by at most so many doublings.
pub const RECHECK_AFTER: Span = Span::from_millis(500);
const MAX_RECHECK_DOUBLINGS: u32 = 3;
/// A read whose replicas have no recent report waits this long for the check of the next one.
pub const HEALTH_CHECK_WAIT: Span = Span::from_millis(60);
/// How long RPCs are pending for the first results at a router that has just started.
const FIRST_RESULTS_WAIT: Span = Span::from_millis(300);
/// Interval of gossip about a member of a group without a primary.
pub const GOSSIP_INTERVAL_WITHOUT_PRIMARY: Span = Span::from_millis(250);
/// Routers that want a report spread their requests over so many times `GOSSIP_INTERVAL_WITHOUT_PRIMARY`.
const REQUEST_SPREAD_INTERVALS: f64 = 4.0;
const NANOS_PER_MS: i64 = 1_000_000;
/// Where a member's id hash stands among the bits that choose the first router to check it.
const ID_HASH_SHIFT: u32 = 20;

/// Is the router so young that first results are still to come?
pub fn awaits_first_results(state: &RouterState, now: Time) -> bool {
    now - state.started_at < FIRST_RESULTS_WAIT
}

/// Until when a read waits for a check that was sent at `sent_at`. A router that has just started waits for the first
/// results of its replicas too, or its first reads would all go to the primary.
fn wait_deadline(state: &RouterState, member: &Member, sent_at: Time) -> Time {
    let never_reported = member.reported_at == Time::NEVER;
    let first_results_due = if never_reported { state.started_at + FIRST_RESULTS_WAIT } else { Time::NEVER };
    first_results_due.max(sent_at + HEALTH_CHECK_WAIT)
}

/// Is a check of this member in progress, or due, that a read should wait for?
pub fn result_is_expected(state: &RouterState, now: Time, member: &Member) -> bool {
    match member.health_check_sent_at {
        Some(sent_at) => now < wait_deadline(state, member, sent_at),
        None => member.next_health_check_at <= now,
    }
}

/// How long a round of periodic checks takes.
fn round_duration(state: &RouterState, now: Time) -> Span {
    let measured_secs = RECENT_BUCKET.secs() * ALL_BUCKETS as f64;
    let checks_per_sec = state.accepted.totals(now, ALL_BUCKETS).count / measured_secs * MAX_CHECKS_PER_RPC;
    let round = Span::from_secs_f64(state.topology.listed_count() as f64 / checks_per_sec.max(1e-3));
    round.max(MIN_ROUND).min(MAX_ROUND)
}

/// The time between two periodic checks of a member by this router.
pub fn check_interval(state: &mut RouterState, now: Time, index: usize) -> Span {
    if !state.deployment.shares_health_checks() {
        let jitter = MIN_ROUND_JITTER + ROUND_JITTER_RANGE * state.random.generate::<f64>();
        return round_duration(state, now) * jitter;
    }
    let round = MIN_ROUND.max(position_refresh_interval(state));
    (round + TURN_LENGTH * turn_of_this_router(state, index)).min(MAX_ROUND)
}

/// The turn of this router to check a member, from 0. It changes with each report that is passed on.
fn turn_of_this_router(state: &RouterState, index: usize) -> f64 {
    let member = state.topology.member(index);
    // All routers that received the member's last report agree on this number.
    let position_ms = (member.published_position.nanos() / NANOS_PER_MS) as u64;
    let agreed = position_ms ^ (u64::from(member.id_hash) << ID_HASH_SHIFT);
    // Halved so that the sum with the router's index can't overflow.
    let first_router = WyRand::new_seed(agreed).generate::<u64>() / 2;
    ((u64::from(state.deployment.router_index) + first_router) % u64::from(state.router_count())) as f64
}

/// From when on a check of this member may be requested. A report that another router receives comes by gossip
/// soon, so those that want one request it by turns. A member that answered its last check without a report has none
/// for a while: reads must not wait for it until they time out.
pub fn next_request_at(state: &RouterState, index: usize) -> Time {
    let member = state.topology.member(index);
    let by_gossip = if state.deployment.gossip {
        let turn = turn_of_this_router(state, index);
        let intervals = 1.0 + REQUEST_SPREAD_INTERVALS * turn / f64::from(state.router_count());
        GOSSIP_INTERVAL_WITHOUT_PRIMARY * intervals
    } else {
        Span::ZERO
    };
    let no_report = member.last_health_check_at > member.reported_at;
    let no_request_before =
        if no_report { member.last_health_check_at + MIN_REQUEST_INTERVAL } else { Time::NEVER };
    (member.reported_at + by_gossip).max(no_request_before)
}

/// Makes a check of this member due, though not more often than it can report anything new.
pub fn request_check(state: &mut RouterState, now: Time, index: usize) {
    let member = state.topology.member(index);
    let earliest = next_request_at(state, index).max(member.last_health_check_at + MIN_REQUEST_INTERVAL);
    let member = state.topology.member_mut(index);
    if member.health_check_sent_at.is_none() {
        let due = member.next_health_check_at.min(now.max(earliest));
        set_next_check(state, index, due);
    }
}

/// Requests a check of each member of a group.
pub fn request_group_checks(state: &mut RouterState, now: Time, group: usize) {
    let members = state.topology.groups[group].members.clone();
    for index in members {
        request_check(state, now, index);
    }
}

/// Schedules the next check of a member that failed so many times in a row. Where routers exchange gossip, an ejected
/// member is checked once a round at most: the other routers check it too.
pub fn schedule_recheck(state: &mut RouterState, now: Time, index: usize, failures: u32, is_ejected: bool) {
    let backoff = RECHECK_AFTER * f64::from(1 << (failures - 1).min(MAX_RECHECK_DOUBLINGS));
    let shared_round = if state.deployment.gossip { round_duration(state, now) } else { Span::ZERO };
    let wait = if is_ejected { backoff.max(shared_round) } else { backoff };
    set_next_check(state, index, now + wait);
}

/// Sets when the next check of a member is due, and sees to it that the schedule is looked at by then.
pub fn set_next_check(state: &mut RouterState, index: usize, due: Time) {
    state.topology.member_mut(index).next_health_check_at = due;
    state.next_health_check_at = state.next_health_check_at.min(due);
}
