//! How many RPCs all routers together may have in flight at each member, and this router's quota of it.
//!
//! A member's capacity follows a gradient: it shrinks with the ratio of its latency to the typical one, grows by its
//! square root while it is used, and follows the median of all routers' estimates. The quota is this router's share of
//! the offered load.

use crate::consensus::move_towards_median;
use crate::peer_reports::WeightedReport;
use crate::report::MemberReport;
use crate::totals::FleetTotals;
use ladderpass_routing::{MemberId, MemberLoad};

/// The capacity of a member of which nothing is known, and its bounds: RPCs in flight there, of all routers together.
const INITIAL_CAPACITY: f64 = 2.0;
const MIN_CAPACITY: f64 = 1.0;
const MAX_CAPACITY: f64 = 4096.0;
/// Up to this latency ratio the capacity does not shrink: a member with an empty queue is not full.
const MAX_HEALTHY_LATENCY_RATIO: f64 = 1.3;
/// A failed RPC counts as one whose latency is longer by so many times: a member with a short queue rejects and never
/// answers slowly.
const FAILURE_LATENCY_WEIGHT: f64 = 10.0;
/// A capacity grows while so many times the RPCs in flight fill it: an unused one would be filled at once by a burst.
const USED_MARGIN: f64 = 1.25;
/// Share of the way to the target capacity that one step goes.
const CAPACITY_STEP: f64 = 0.3;
/// Weight of the present load in its moving average.
const SMOOTHING_WEIGHT: f64 = 0.4;
/// Weight of the latency that a router without RPCs in flight observes, in RPCs.
const IDLE_WEIGHT: f64 = 0.05;
/// The quota may grow by this factor in a step, and to this value at once.
const MAX_QUOTA_GROWTH: f64 = 1.3;
const ALWAYS_ALLOWED_QUOTA: f64 = 0.02;
/// The quota is updated only with reports of this share of the other routers, or of so many.
const MIN_REPORTING_SHARE: f64 = 0.5;
const ENOUGH_REPORTING_PEERS: f64 = 8.0;

/// This router's limits, for the routing core.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberLimits {
    /// One of each member that this router observes.
    pub members: Vec<MemberLimit>,
}

/// This router's limit at one member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberLimit {
    /// The member.
    pub member: MemberId,
    /// RPCs that this router may have in flight there.
    pub max_in_flight: f64,
}

/// This router's quota after a step, from 0 to 1: its share of what is offered. Where too few others report, it stays.
pub(crate) fn compute_quota(quota: f64, totals: &FleetTotals) -> f64 {
    let share = if totals.offered > 0.0 {
        (totals.own_offered / totals.offered).min(1.0)
    } else {
        1.0 / (totals.peers + 1.0)
    };
    if totals.reporting_peers < (totals.peers * MIN_REPORTING_SHARE).min(ENOUGH_REPORTING_PEERS) {
        return quota;
    }
    let max_quota = (quota * MAX_QUOTA_GROWTH).max(ALWAYS_ALLOWED_QUOTA);
    (quota + (share - quota) * SMOOTHING_WEIGHT).min(max_quota)
}

/// How many RPCs this router may have in flight at a member of this capacity. The square root leaves capacity for
/// bursts, as in staffing by random arrivals; all routers' limits add up to a little more than the capacity.
pub(crate) fn compute_limit(capacity: f64, quota: f64) -> f64 {
    let share = capacity * quota;
    share + share.sqrt()
}

/// The id by which reports name a member.
pub(crate) fn report_id(load: &MemberLoad) -> u16 {
    load.id_hash as u16
}

/// This router's estimates of a member after a step, from its own load there and the others' reports. `scale`: the
/// factor from the routers that reported to all that are alive.
pub(crate) fn estimate_member(
    known: Option<&MemberReport>,
    load: &MemberLoad,
    reports: &[WeightedReport<'_>],
    scale: f64,
) -> MemberReport {
    let mut own = known.copied().unwrap_or(MemberReport {
        id_hash: report_id(load),
        in_flight: load.in_flight,
        latency_ratio: load.latency_ratio,
        capacity: INITIAL_CAPACITY,
    });
    own.in_flight += (load.in_flight - own.in_flight) * SMOOTHING_WEIGHT;
    let latency_ratio = load.latency_ratio * (1.0 + FAILURE_LATENCY_WEIGHT * load.failure_share);
    own.latency_ratio += (latency_ratio - own.latency_ratio) * SMOOTHING_WEIGHT;
    let observed = observe_member(&own, reports);
    let before = observed.capacity.max(MIN_CAPACITY);
    let gradient = MAX_HEALTHY_LATENCY_RATIO / observed.latency_ratio.max(MAX_HEALTHY_LATENCY_RATIO);
    let target = before * gradient + before.sqrt();
    let is_used = observed.in_flight * scale * USED_MARGIN >= before;
    let may_follow = target < before || is_used;
    let step = if may_follow { (target - before) * CAPACITY_STEP } else { 0.0 };
    own.capacity = (before + step).clamp(MIN_CAPACITY, MAX_CAPACITY);
    own
}

/// What all routers that reported observe at a member: RPCs in flight, the latency ratio weighted by them, and the
/// capacity that they estimate.
fn observe_member(own: &MemberReport, reports: &[WeightedReport<'_>]) -> MemberReport {
    let mut in_flight = own.in_flight;
    let mut weighted_latency = own.latency_ratio * (own.in_flight + IDLE_WEIGHT);
    let mut capacities = vec![own.capacity];
    for WeightedReport { report, weight } in reports {
        let Some(member) = report.members.iter().find(|member| member.id_hash == own.id_hash) else {
            continue;
        };
        in_flight += member.in_flight * weight;
        weighted_latency += member.latency_ratio * (member.in_flight + IDLE_WEIGHT) * weight;
        capacities.push(member.capacity);
    }
    MemberReport {
        id_hash: own.id_hash,
        in_flight,
        latency_ratio: weighted_latency / (in_flight + IDLE_WEIGHT * capacities.len() as f64),
        capacity: move_towards_median(own.capacity, &mut capacities),
    }
}
