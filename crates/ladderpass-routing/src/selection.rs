//! Selection of the member to which an RPC is sent.
//!
//! 1. An RPC that may not be sent again, or could not be answered in time, is given up (`rejection`).
//! 2. A router that has just started waits for the first answers of the group, because its endpoint list may be
//!    old.
//! 3. Of the replicas that are eligible, fresh enough and below their concurrency limit, the least loaded is selected.
//!    Among equally loaded replicas, the one that was sent the least work is selected.
//! 4. A read for which no replica is known to be fresh enough waits for a health check of the replica that would be
//!    selected next.
//! 5. An RPC that no replica can get, or that only the primary may serve, goes to the primary if the primary is
//!    eligible. A read that goes to the primary although replicas may serve it is said to spill.
//! 6. Any other RPC is queued (`pending`). A marked client retry of an idempotent method is given up instead, unless a
//!    health check may still prove a replica to be fresh enough for it.

use crate::attempt;
use crate::concurrency_limit;
use crate::eligibility;
use crate::exception_log;
use crate::health_check_schedule;
use crate::load::{self, ALL_BUCKETS, OWN_ZONE};
use crate::pending;
use crate::reasons::{Counts, GiveUpReason, Ineligible};
use crate::rejection;
use crate::retry;
use crate::slow_start;
use crate::staleness;
use crate::state::router_state::RouterState;
use crate::time::Time;
use crate::types::{Consistency, Decision, RpcId};
use nanorand::{Rng, WyRand};

/// The weight of work that was sent to a member of another zone, relative to work that was sent to a member of the
/// router's own zone.
const OTHER_ZONE_WEIGHT: f64 = 2.0;

/// The order in which replicas are selected: by load, then by the work that was sent to the replica, in seconds at its
/// present speed. The replica with the lowest rank is selected.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Rank {
    load: f64,
    work_sent_secs: f64,
    index: usize,
}

/// The result of a search among the replicas of a group.
struct ReplicaSearch {
    selected: Option<Rank>,
    /// The lowest rank among the replicas that may be fresh enough for the read, but have not proven to be.
    best_unproven: Option<Rank>,
    /// Whether a replica that is not known to be fresh enough has a health check in progress or due, which may
    /// prove that the replica is.
    expects_report: bool,
    /// How many replicas were passed over, by reason.
    passed_over: Counts<Ineligible>,
}

/// Decides whether an RPC is now sent to a member, queued or given up.
pub fn select(state: &mut RouterState, now: Time, rpc: RpcId) -> Decision {
    if let Some(reason) = rejection::reason_to_give_up(state, now, rpc) {
        return rejection::give_up(state, now, rpc, reason);
    }
    let group = state.rpcs[rpc].arrival.group as usize;
    if awaits_first_answers(state, now, group) {
        health_check_schedule::request_group_checks(state, now, group);
        return pending::enqueue(state, rpc);
    }
    let mut random = state.random.clone();
    let replicas = search_replicas(state, now, rpc, &mut random);
    state.random = random;
    if let Some(Rank { index, .. }) = replicas.selected {
        return attempt::start(state, now, rpc, index);
    }
    let waits_for_report = waits_for_report(state, &replicas);
    if !waits_for_report && let Some(primary) = eligible_primary(state, now, rpc) {
        if !state.method_of(rpc).definition.consistency.primary_only() {
            exception_log::log_spill(state, now, rpc, replicas.passed_over);
        }
        return attempt::start(state, now, rpc, primary);
    }
    if let Some(Rank { index, .. }) = replicas.best_unproven.filter(|_| !replicas.expects_report) {
        health_check_schedule::request_check(state, now, index);
    }
    if retry::is_client_retry(state, rpc) && !waits_for_report {
        return rejection::give_up(state, now, rpc, GiveUpReason::NoIdleCapacity);
    }
    pending::enqueue(state, rpc)
}

/// Decides again on the pending RPCs of a group.
pub fn select_for_pending(state: &mut RouterState, now: Time, group: usize) {
    let Some(pending) = pending::take_in_order(state, now, group) else { return };
    let mut still_pending = Vec::new();
    for rpc in pending {
        match select(state, now, rpc) {
            Decision::Queue => still_pending.push(rpc),
            decision => state.output.decisions.push((rpc, decision)),
        }
    }
    state.topology.groups[group].pending = still_pending;
}

/// Returns whether the RPCs of a group wait because this router has just started, and no member of the group is
/// known to have answered any router.
fn awaits_first_answers(state: &RouterState, now: Time, group: usize) -> bool {
    !state.topology.groups[group].has_answered
        && state.deployment.health_checks_report_position
        && health_check_schedule::awaits_first_results(state, now)
}

/// Returns whether a read for which no replica was selected waits for a report that could prove one to be fresh enough.
fn waits_for_report(state: &RouterState, replicas: &ReplicaSearch) -> bool {
    let report_may_arrive = replicas.expects_report || replicas.best_unproven.is_some();
    state.deployment.health_checks_report_position && report_may_arrive
}

/// Returns the primary of an RPC's group, if the RPC may go there now.
fn eligible_primary(state: &RouterState, now: Time, rpc: RpcId) -> Option<usize> {
    let primary = state.topology.groups[state.rpcs[rpc].arrival.group as usize].primary?;
    eligibility::reason_against_primary(state, now, primary, rpc).is_none().then_some(primary)
}

/// Compares the replicas of an RPC's group. A random number is drawn for each eligible replica.
fn search_replicas(state: &RouterState, now: Time, rpc: RpcId, random: &mut WyRand) -> ReplicaSearch {
    let mut search = ReplicaSearch {
        selected: None,
        best_unproven: None,
        expects_report: false,
        passed_over: Counts::default(),
    };
    let consistency = state.method_of(rpc).definition.consistency;
    if consistency.primary_only() {
        return search;
    }
    let required = staleness::required_position(state, now, rpc);
    let limit_share = retry::limit_share(state, rpc);
    let group = &state.topology.groups[state.rpcs[rpc].arrival.group as usize];
    for &index in group.members.iter().filter(|&&index| Some(index) != group.primary) {
        let member = state.topology.member(index);
        if let Some(reason) = eligibility::reason_against(state, now, index, rpc) {
            search.passed_over.add(reason);
            continue;
        }
        let rank = rank(state, now, rpc, index, random);
        if !staleness::is_fresh_enough(member, consistency, required) {
            search.passed_over.add(Ineligible::Stale);
            search.expects_report |= health_check_schedule::result_is_expected(state, now, member);
            // Reads of any data rely on the last reported lag, however old it is, so no check is made for them.
            if consistency != Consistency::Any {
                consider_for_check(state, now, &mut search, rank, required);
            }
            continue;
        }
        if search.selected.is_some_and(|best| rank >= best) {
            continue;
        }
        let share = limit_share * staleness::limit_share_by_lag(state, now, member, required);
        if concurrency_limit::has_capacity(state, now, index, rpc, share) {
            search.selected = Some(rank);
        } else {
            search.passed_over.add(Ineligible::AtConcurrencyLimit);
        }
    }
    search
}

/// Stores the rank of a replica that has not proven to be fresh enough in `best_unproven`, if a health check could
/// prove the replica to be fresh enough and the rank is the lowest so far.
fn consider_for_check(
    state: &RouterState,
    now: Time,
    search: &mut ReplicaSearch,
    rank: Rank,
    required: Time,
) {
    let is_first = search.best_unproven.is_none_or(|best| rank < best);
    if is_first && can_be_checked(state, now, rank.index, required) {
        search.best_unproven = Some(rank);
    }
}

/// Returns whether a health check of this replica, requested now, could prove it to be fresh enough.
fn can_be_checked(state: &RouterState, now: Time, index: usize, required: Time) -> bool {
    let member = state.topology.member(index);
    member.health_check_sent_at.is_none()
        && staleness::may_have_caught_up(now, member, required)
        && health_check_schedule::next_request_at(state, index) <= now
}

/// Returns the rank of a replica. The rank includes a random amount of work, on average that of one RPC, so that
/// routers which send little do not all begin with the same member.
fn rank(state: &RouterState, now: Time, rpc: RpcId, index: usize, random: &mut WyRand) -> Rank {
    let member = state.topology.member(index);
    let random_work_secs = -(1.0 - random.generate::<f64>()).ln() * state.method_of(rpc).typical.secs();
    let work_sent_secs = member.work_sent.totals(now, ALL_BUCKETS).sum
        / slow_start::capacity_share(state, now, member).unwrap_or(1.0);
    let zone_weight = if member.zone == OWN_ZONE { 1.0 } else { OTHER_ZONE_WEIGHT };
    let weight = load::latency_ratio(state, now, member, ALL_BUCKETS) * zone_weight;
    Rank {
        load: load::member_load(state, now, member),
        work_sent_secs: (work_sent_secs + random_work_secs) * weight,
        index,
    }
}
