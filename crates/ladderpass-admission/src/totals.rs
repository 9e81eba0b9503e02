//! The rates at which all routers together were offered and served RPCs of a group, from this router's rates and the
//! others' reports.
//!
//! A report counts by its weight (from 0 to 1, lower for older reports), and for no more than a multiple of the typical
//! load of a router, so that a false report can't move the totals far. If only some live routers reported recently, the
//! totals are scaled up to the number of all live routers.

use crate::consensus::{median, move_towards_median};
use crate::peer_reports::WeightedReport;
use crate::rates::Rates;
use crate::report::GroupReport;
use std::collections::BTreeMap;

/// A router's reported load counts for no more than this multiple of the typical load of a router.
const MAX_LOAD_MULTIPLE: f64 = 3.0;

/// Rates of all routers, in RPCs a second.
pub(crate) struct FleetTotals {
    /// Offered rates by priority, of this router and the routers that reported. These rates are not scaled up to all
    /// routers.
    pub offered_by_priority: BTreeMap<u8, f64>,
    /// The number of all live routers, divided by the number of routers that reported. This router counts in both.
    pub scale: f64,
    pub offered: f64,
    pub served: f64,
    pub unplaced: f64,
    /// The rate that this router itself was offered.
    pub own_offered: f64,
    /// This router's estimate of the rate that all routers together can admit, moved towards the median of all routers'
    /// estimates.
    pub admitted: f64,
    /// Sum of the weights of the other routers' reports. The weight of a report is from 0 to 1, and lower for an older
    /// report.
    pub reporting_peers: f64,
    /// Number of other routers that are alive, but at least `reporting_peers`.
    pub peers: f64,
    /// Number of other routers' reports whose load was above `MAX_LOAD_MULTIPLE` times the typical load and was reduced
    /// to that limit.
    pub clamped_reports: usize,
}

impl FleetTotals {
    /// Adds up this router's rates and the others' reports. `own_admitted` is this router's estimate of the admitted
    /// rate, and `alive_peers` the number of other routers that are alive.
    pub fn sum(
        own: &Rates,
        own_admitted: f64,
        reports: &[WeightedReport<'_>],
        alive_peers: usize,
    ) -> FleetTotals {
        let own_offered = own.total_offered();
        let max_offered = typical_load(own_offered, reports) * MAX_LOAD_MULTIPLE;
        let mut offered_by_priority = own.offered.clone();
        let (mut served, mut unplaced) = (own.served, own.unplaced);
        let mut clamped_reports = 0;
        let mut admitted = vec![own_admitted];
        for WeightedReport { report, weight } in reports {
            let reported = total_offered(report);
            let clamp_factor = if reported > max_offered { max_offered / reported } else { 1.0 };
            clamped_reports += usize::from(clamp_factor < 1.0);
            for offered in &report.offered {
                let rate = offered_by_priority.entry(offered.priority).or_default();
                *rate += offered.per_second * weight * clamp_factor;
            }
            served += report.served.min(reported * clamp_factor) * weight;
            unplaced += report.unplaced.min(reported * clamp_factor) * weight;
            admitted.push(report.admitted);
        }
        let reporting_peers = reports.iter().map(|weighted| weighted.weight).sum::<f64>();
        let peers = (alive_peers as f64).max(reporting_peers);
        let scale = if reporting_peers > 0.0 { (peers + 1.0) / (reporting_peers + 1.0) } else { 1.0 };
        FleetTotals {
            offered: offered_by_priority.values().sum::<f64>() * scale,
            offered_by_priority,
            scale,
            served: served * scale,
            unplaced: unplaced * scale,
            own_offered,
            admitted: move_towards_median(own_admitted, &mut admitted),
            reporting_peers,
            peers,
            clamped_reports,
        }
    }
}

/// Returns the median of the routers' offered loads, or this router's own load if that is higher, since this router's
/// own load is certainly true.
fn typical_load(own_offered: f64, reports: &[WeightedReport<'_>]) -> f64 {
    let reported = reports.iter().map(|weighted| total_offered(weighted.report));
    let mut loads: Vec<f64> = reported.chain([own_offered]).collect();
    median(&mut loads).max(own_offered)
}

fn total_offered(report: &GroupReport) -> f64 {
    report.offered.iter().map(|offered| offered.per_second).sum::<f64>()
}
