//! The schedule of health checks: when each member's next check is due, and how routers share the checks.
//!
//! A router that shares no results checks each member periodically, and checks less often the fewer RPCs it accepts.
//! Routers that exchange gossip share one round of checks. In this round, each router has a time slot for each
//! member. A hash that all routers compute alike gives the order of the slots. A result that arrives by gossip
//! postpones the checks by the other routers. In addition to the round, a check of a member may be requested when an
//! RPC waits for the member's report.

use crate::load::{ALL_BUCKETS, RECENT_BUCKET};
use crate::staleness::position_refresh_interval;
use crate::state::member::Member;
use crate::state::router_state::RouterState;
use crate::time::{Span, Time};
use nanorand::{Rng, WyRand};

/// The shortest time for a round of periodic health checks. A round contains one check of each listed member.
pub const MIN_ROUND: Span = Span::from_millis(1000);
/// The router looks for due checks within this time after it has added a member, which leaves time for the check to
/// reach the member within a round.
const FIRST_CHECK_WITHIN: Span = Span::from_millis(900);
/// The longest time for a round of periodic health checks.
const MAX_ROUND: Span = Span::from_millis(60_000);
/// Between `MIN_ROUND` and `MAX_ROUND`, a round takes as long as is needed to send at most this many checks for each
/// RPC accepted.
const MAX_CHECKS_PER_RPC: f64 = 0.2;
/// The interval between two checks of a member is the round multiplied by a random factor. The factor is at least
/// `MIN_ROUND_JITTER`, and exceeds it by at most `ROUND_JITTER_RANGE`.
const MIN_ROUND_JITTER: f64 = 0.75;
const ROUND_JITTER_RANGE: f64 = 0.5;
/// Duration of one router's time slot in a shared round.
const SLOT_DURATION: Span = Span::from_millis(50);
/// Within this time after a check of a member, the member is not checked again on request.
const MIN_REQUEST_INTERVAL: Span = Span::from_millis(200);
/// A member that has failed, or whose check was not sent, is checked again after this time. The time is doubled for
/// each further consecutive failure.
pub const RECHECK_AFTER: Span = Span::from_millis(500);
/// The time until the next check of a failed member is doubled at most this many times.
const MAX_RECHECK_DOUBLINGS: u32 = 3;
/// A read waits this long for the health check of one replica if no replica has reported recently enough.
pub const HEALTH_CHECK_WAIT: Span = Span::from_millis(60);
/// At a router that has just started, RPCs wait up to this long for the first results of health checks.
const FIRST_RESULTS_WAIT: Span = Span::from_millis(300);
/// An update about a member of a group without a primary may be published again after this time, or after the
/// refresh interval of positions (`position_refresh_interval`) if that interval is shorter.
pub const GOSSIP_INTERVAL_WITHOUT_PRIMARY: Span = Span::from_millis(250);
/// Routers that want a member's report spread their requests for a check over this many times
/// `GOSSIP_INTERVAL_WITHOUT_PRIMARY`.
const REQUEST_SPREAD_INTERVALS: f64 = 4.0;
const NANOS_PER_MS: i64 = 1_000_000;
/// A member's id hash is shifted left by this many bits in the seed that determines which router checks the member
/// first.
const ID_HASH_SHIFT: u32 = 20;

/// Has the router started so recently that the first results of health checks may still be outstanding?
pub fn awaits_first_results(state: &RouterState, now: Time) -> bool {
    now - state.started_at < FIRST_RESULTS_WAIT
}

/// The time until which a read waits for a check that was sent at `sent_at`. A router that has just started also
/// waits for the first results of its replicas. Otherwise its first reads would all go to the primary.
fn wait_deadline(state: &RouterState, member: &Member, sent_at: Time) -> Time {
    let never_reported = member.reported_at == Time::NEVER;
    let first_results_due = if never_reported { state.started_at + FIRST_RESULTS_WAIT } else { Time::NEVER };
    first_results_due.max(sent_at + HEALTH_CHECK_WAIT)
}

/// Is a check of this member in progress or due, so that a read should wait for its result?
pub fn result_is_expected(state: &RouterState, now: Time, member: &Member) -> bool {
    match member.health_check_sent_at {
        Some(sent_at) => now < wait_deadline(state, member, sent_at),
        None => member.next_health_check_at <= now,
    }
}

/// The duration of a round of periodic checks, in which each listed member is checked once.
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
    (round + SLOT_DURATION * slot_of_this_router(state, index)).min(MAX_ROUND)
}

/// The number of this router's time slot for the check of a member, from 0. The number changes with each position
/// of the member that a router publishes.
fn slot_of_this_router(state: &RouterState, index: usize) -> f64 {
    let member = state.topology.member(index);
    // All routers that received the member's last report compute the same seed.
    let position_ms = (member.published_position.nanos() / NANOS_PER_MS) as u64;
    let shared_seed = position_ms ^ (u64::from(member.id_hash) << ID_HASH_SHIFT);
    // The random value is halved so that adding the router's index to it can't overflow.
    let first_router = WyRand::new_seed(shared_seed).generate::<u64>() / 2;
    ((u64::from(state.deployment.router_index) + first_router) % u64::from(state.router_count())) as f64
}

/// The earliest time at which a check of this member may be requested. A report that another router receives
/// arrives by gossip soon, so the routers that want a report make their requests one after another. After a
/// check without a report, no check is requested for `MIN_REQUEST_INTERVAL`, because reads must not wait until
/// they time out for a member that does not report.
pub fn next_request_at(state: &RouterState, index: usize) -> Time {
    let member = state.topology.member(index);
    let by_gossip = if state.deployment.gossip {
        let slot = slot_of_this_router(state, index);
        let intervals = 1.0 + REQUEST_SPREAD_INTERVALS * slot / f64::from(state.router_count());
        GOSSIP_INTERVAL_WITHOUT_PRIMARY * intervals
    } else {
        Span::ZERO
    };
    let no_report = member.last_health_check_at > member.reported_at;
    let no_request_before =
        if no_report { member.last_health_check_at + MIN_REQUEST_INTERVAL } else { Time::NEVER };
    (member.reported_at + by_gossip).max(no_request_before)
}

/// Makes a check of this member due now, or as soon as the member may have anything new to report.
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

/// Schedules the next check of a member that has failed `failures` times in a row. Where routers exchange gossip,
/// an ejected member is checked at most once per round, because the other routers check it too.
pub fn schedule_recheck(state: &mut RouterState, now: Time, index: usize, failures: u32, is_ejected: bool) {
    let backoff = RECHECK_AFTER * f64::from(1 << (failures - 1).min(MAX_RECHECK_DOUBLINGS));
    let shared_round = if state.deployment.gossip { round_duration(state, now) } else { Span::ZERO };
    let wait = if is_ejected { backoff.max(shared_round) } else { backoff };
    set_next_check(state, index, now + wait);
}

/// Makes sure that the router looks for due checks soon after it has added a member, which was never in contact.
pub fn look_for_first_check(state: &mut RouterState, now: Time) {
    state.next_health_check_at = state.next_health_check_at.min(now + FIRST_CHECK_WITHIN);
}

/// Sets when the next check of a member is due, and makes sure that the router looks for due checks by then.
pub fn set_next_check(state: &mut RouterState, index: usize, due: Time) {
    state.topology.member_mut(index).next_health_check_at = due;
    state.next_health_check_at = state.next_health_check_at.min(due);
}
