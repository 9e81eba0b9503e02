//! The state of one group, and the step that updates it.

use crate::capacity::{MemberLimit, MemberLimits, compute_limit, compute_quota, estimate_member, report_id};
use crate::peer_reports::WeightedReport;
use crate::rates::Rates;
use crate::report::MemberReport;
use crate::threshold::AdmissionThreshold;
use crate::totals::FleetTotals;
use ladderpass_retry_budget::RetryRates;
use ladderpass_routing::MemberLoad;
use std::collections::BTreeMap;

/// The metrics of a group for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupMetrics {
    /// The id of the group.
    pub group: u32,
    /// The threshold: the priority below which all routers reject RPCs. The fractional part is the rejected share of
    /// the RPCs that have the threshold's own priority.
    pub threshold: f64,
    /// RPCs a second that all routers were offered.
    pub offered: f64,
    /// RPCs a second that all routers admit together.
    pub admitted: f64,
    /// RPCs a second that all routers served.
    pub served: f64,
    /// RPCs a second, of all routers, that were admitted and for which no member had capacity (unplaced RPCs).
    pub unplaced: f64,
    /// Number of reports of other routers that count. A report counts while its weight, which decreases with its age,
    /// is above 0.
    pub reports: usize,
    /// Number of other routers' reports whose load was above the limit of a reported load (a multiple of the typical
    /// load) and was reduced to that limit.
    pub clamped_reports: usize,
    /// RPCs that all routers together may have in flight at all members.
    pub capacity: f64,
    /// This router's share of the members' capacity, from 0 to 1.
    pub quota: f64,
}

/// The state of a group at this router.
#[derive(Clone, Debug)]
pub(crate) struct Group {
    /// This router's counts of RPCs since the last step of 250 ms.
    pub counts: Rates,
    pub rates: Rates,
    pub admission: AdmissionThreshold,
    /// This router's observations of each member and estimates of the member's capacity, by the member's id in reports.
    pub members: BTreeMap<u16, MemberReport>,
    /// This router's share of the members' capacity, from 0 to 1.
    quota: f64,
    /// This router's rates of first attempts and retries, as its retry budget counts them. This router's reports
    /// include these rates.
    pub retry_rates: RetryRates,
    pub metrics: GroupMetrics,
}

impl Group {
    pub fn new(quota: f64) -> Group {
        Group {
            counts: Rates::default(),
            rates: Rates::default(),
            admission: AdmissionThreshold::default(),
            members: BTreeMap::new(),
            quota,
            retry_rates: RetryRates::default(),
            metrics: GroupMetrics::default(),
        }
    }

    /// Updates the rates of this router with the counts of a step of this length, and resets the counts.
    pub fn end_step(&mut self, secs: f64) {
        let counts = std::mem::take(&mut self.counts);
        self.rates.update(&counts, secs);
    }

    /// Updates the threshold, the capacities and the quota, and appends this router's limits at the group's members.
    pub fn update(
        &mut self,
        id: u32,
        reports: &[WeightedReport<'_>],
        alive_peers: usize,
        loads: &[MemberLoad],
        limits: &mut MemberLimits,
    ) {
        let totals = FleetTotals::sum(&self.rates, self.admission.admitted, reports, alive_peers);
        self.admission.update(&totals);
        self.quota = compute_quota(self.quota, &totals);
        let mut total_capacity = 0.0;
        let mut members = BTreeMap::new();
        for load in loads.iter().filter(|load| load.group == id) {
            let previous = self.members.get(&report_id(load));
            let member = estimate_member(previous, load, reports, totals.scale);
            total_capacity += member.capacity;
            let max_in_flight = compute_limit(member.capacity, self.quota);
            limits.members.push(MemberLimit { member: load.member, max_in_flight });
            members.insert(member.id_hash, member);
        }
        self.members = members;
        self.metrics = GroupMetrics {
            group: id,
            threshold: self.admission.threshold,
            offered: totals.offered,
            admitted: self.admission.admitted,
            served: totals.served,
            unplaced: totals.unplaced,
            reports: reports.len(),
            clamped_reports: totals.clamped_reports,
            capacity: total_capacity,
            quota: self.quota,
        };
    }
}
