//! What all routers together were offered and served for a group, from this router's rates and the others' reports.
//!
//! A report counts by its weight, and no more than a multiple of the typical load, so that a false one can't move the
//! totals far. Where only some live routers reported recently, they stand for all.

use crate::consensus::{median, move_towards_median};
use crate::peer_reports::WeightedReport;
use crate::rates::Rates;
use crate::report::GroupReport;
use std::collections::BTreeMap;

/// A report counts for no more than so many times the median load.
const MAX_LOAD_MULTIPLE: f64 = 3.0;

/// Rates of all routers, a second.
pub(crate) struct FleetTotals {
    /// By priority, of the routers that reported: `scale` makes it the rate of all.
    pub offered_by_priority: BTreeMap<u8, f64>,
    pub scale: f64,
    pub offered: f64,
    pub served: f64,
    pub unplaced: f64,
    /// What this router itself was offered.
    pub own_offered: f64,
    /// This router's estimate of what all can admit, moved towards that of the others.
    pub admitted: f64,
    /// Sum of the weights of the reports.
    pub reporting_peers: f64,
    /// Number of other routers, no less than that sum.
    pub peers: f64,
    /// Reports that were cut to the limit.
    pub clamped_reports: usize,
}

impl FleetTotals {
    /// Adds up this router's rates and the others' reports. `own_admitted`: this router's estimate of the admitted
    /// rate; `alive_peers`: how many other routers are alive.
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

/// The median load of a router, or this router's own where that is higher: it is known to be true.
fn typical_load(own_offered: f64, reports: &[WeightedReport<'_>]) -> f64 {
    let reported = reports.iter().map(|weighted| total_offered(weighted.report));
    let mut loads: Vec<f64> = reported.chain([own_offered]).collect();
    median(&mut loads).max(own_offered)
}

fn total_offered(report: &GroupReport) -> f64 {
    report.offered.iter().map(|offered| offered.per_second).sum::<f64>()
}
