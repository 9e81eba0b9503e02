//! How many RPCs all routers together may have in flight at each member (the member's capacity), and this router's
//! quota of this capacity.
//!
//! A member's capacity follows a gradient. The capacity shrinks with the ratio of the member's latency to the typical
//! latency, grows by its own square root while it is in use, and follows the median of all routers' estimates. The
//! quota is this router's share of the offered load.

use crate::consensus::move_towards_median;
use crate::peer_reports::WeightedReport;
use crate::report::MemberReport;
use crate::totals::FleetTotals;
use ladderpass_routing::{MemberId, MemberLoad};

/// The initial capacity of a member, and the bounds of any capacity, as RPCs in flight of all routers together.
const INITIAL_CAPACITY: f64 = 2.0;
const MIN_CAPACITY: f64 = 1.0;
const MAX_CAPACITY: f64 = 4096.0;
/// A member's capacity does not shrink while the ratio of the member's latency to the typical latency is at most this,
/// since a member whose queue is empty is not full.
const MAX_HEALTHY_LATENCY_RATIO: f64 = 1.3;
/// A member's latency ratio (its latency as a multiple of the typical latency) is multiplied by one plus this factor
/// times the share of the RPCs that failed. Failures count because a member with a short queue rejects RPCs and never
/// answers slowly.
const FAILURE_LATENCY_WEIGHT: f64 = 10.0;
/// A member's capacity grows only while the RPCs in flight, times this factor, are at least the capacity. If an unused
/// capacity grew, a burst could fill the grown capacity at once.
const USED_MARGIN: f64 = 1.25;
/// One step moves a member's capacity by this share of the difference between the capacity and its target, which
/// follows from the latency ratio.
const CAPACITY_STEP: f64 = 0.3;
/// Weight of the latest value in the moving averages of a member's load (RPCs in flight and latency ratio) and of the
/// quota.
const SMOOTHING_WEIGHT: f64 = 0.4;
/// In the average of the routers' latency ratios of a member, a router's ratio is multiplied by its RPCs in
/// flight at the member plus this constant (and by the weight of its report, for another router). Without the
/// constant, routers without RPCs in flight would have no weight.
const IDLE_WEIGHT: f64 = 0.05;
/// This router's quota of the members' capacity grows by at most this factor in a step.
const MAX_QUOTA_GROWTH: f64 = 1.3;
/// A step may raise this router's quota to this value, even if the quota then grows by more than `MAX_QUOTA_GROWTH`.
const ALWAYS_ALLOWED_QUOTA: f64 = 0.02;
/// The quota is updated only while the other routers that report are at least `MIN_REPORTING_SHARE` of all other live
/// routers, or at least `ENOUGH_REPORTING_PEERS`. A reporting router counts by the weight of its report, from 0 to 1.
const MIN_REPORTING_SHARE: f64 = 0.5;
const ENOUGH_REPORTING_PEERS: f64 = 8.0;

/// This router's limits at members, for the routing core.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberLimits {
    /// One limit for each member that this router observes.
    pub members: Vec<MemberLimit>,
}

/// This router's limit at one member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberLimit {
    /// The member that the limit is for.
    pub member: MemberId,
    /// The most RPCs that this router may have in flight at the member.
    pub max_in_flight: f64,
}

/// This router's quota of the members' capacity after a step, from 0 to 1. The quota follows this router's share of the
/// offered load, and stays unchanged while too few other routers report.
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

/// How many RPCs this router may have in flight at a member of this capacity. The limit is the router's share of the
/// capacity plus the square root of this share, a margin for bursts as in the square root staffing rule for random
/// arrivals. All routers' limits add up to a little more than the capacity.
pub(crate) fn compute_limit(capacity: f64, quota: f64) -> f64 {
    let share = capacity * quota;
    share + share.sqrt()
}

/// The id by which reports name a member.
pub(crate) fn report_id(load: &MemberLoad) -> u16 {
    load.id_hash as u16
}

/// This router's estimates of a member after a step, from this router's load at the member and the other routers'
/// reports. `scale` is the number of all live routers divided by the number of routers that reported.
pub(crate) fn estimate_member(
    previous: Option<&MemberReport>,
    load: &MemberLoad,
    reports: &[WeightedReport<'_>],
    scale: f64,
) -> MemberReport {
    let mut own = previous.copied().unwrap_or(MemberReport {
        id_hash: report_id(load),
        in_flight: load.in_flight,
        latency_ratio: load.latency_ratio,
        capacity: INITIAL_CAPACITY,
    });
    own.in_flight += (load.in_flight - own.in_flight) * SMOOTHING_WEIGHT;
    let latency_ratio = load.latency_ratio * (1.0 + FAILURE_LATENCY_WEIGHT * load.failure_share);
    own.latency_ratio += (latency_ratio - own.latency_ratio) * SMOOTHING_WEIGHT;
    let combined = combine_observations(&own, reports);
    let previous_capacity = combined.capacity.max(MIN_CAPACITY);
    let gradient = MAX_HEALTHY_LATENCY_RATIO / combined.latency_ratio.max(MAX_HEALTHY_LATENCY_RATIO);
    let target = previous_capacity * gradient + previous_capacity.sqrt();
    let is_in_use = combined.in_flight * scale * USED_MARGIN >= previous_capacity;
    let is_step_allowed = target < previous_capacity || is_in_use;
    let step = if is_step_allowed { (target - previous_capacity) * CAPACITY_STEP } else { 0.0 };
    own.capacity = (previous_capacity + step).clamp(MIN_CAPACITY, MAX_CAPACITY);
    own
}

/// Combines this router's observations of a member with those that other routers reported. The result sums the RPCs in
/// flight, averages the latency ratios with the RPCs in flight as weights, and moves this router's estimate of the
/// capacity towards the median of all routers' estimates.
fn combine_observations(own: &MemberReport, reports: &[WeightedReport<'_>]) -> MemberReport {
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
