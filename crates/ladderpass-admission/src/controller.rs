//! The entry points of the shared admission control. The caller records this router's RPCs and passes in the reports of
//! other routers. The controller returns reports to send, thresholds and limits.
//!
//! Each router computes its thresholds for itself, by the same rules from the same reports. A report counts while it is
//! recent and the router that made it is alive, and only up to a multiple of the typical load of a router. A router
//! that receives too few reports keeps its quota of the members' capacity.

use crate::capacity::MemberLimits;
use crate::faulty::Faulty;
use crate::group::{Group, GroupMetrics};
use crate::peer_reports::{PeerReports, WeightedReport};
use crate::report::{GroupReport, MAX_MEMBERS, OfferedRate, REPORT_VERSION, append_report, decode_reports};
use crate::threshold::GroupThreshold;
use ladderpass_retry_budget::{RetryRates, WeightedRates};
use ladderpass_routing::{MemberLoad, PRIORITY_COUNT, Span, Time};
use std::collections::BTreeMap;

/// Length of a step. Thresholds and limits are computed and new reports are made once a step.
const STEP: Span = Span::from_millis(250);
/// The most reports about its own groups that a router puts into a bundle of reports. The rest of the bundle forwards
/// reports of other routers.
const MAX_OWN_REPORTS: usize = 4;
/// Each bundle begins with the report that comes this many reports after the first report of the previous bundle, so
/// that reports that do not fit into one bundle can go into a later one.
const BUNDLE_ROTATION: usize = 3;

/// The shared admission control, as one router computes it.
pub struct AdmissionController {
    own_router: u32,
    sequence: u16,
    groups: BTreeMap<u32, Group>,
    reports: PeerReports,
    next_step_at: Time,
    /// The index of the report with which the next bundle begins, modulo the number of reports.
    rotation: usize,
    faulty: Faulty,
}

impl AdmissionController {
    /// Starts without groups or reports. `own` is the id by which the other routers identify this router.
    pub fn start(now: Time, own: u32, faulty: Faulty) -> AdmissionController {
        AdmissionController {
            own_router: own,
            sequence: 0,
            groups: BTreeMap::new(),
            reports: PeerReports::new(own, faulty),
            next_step_at: now + STEP,
            rotation: 0,
            faulty,
        }
    }

    /// Returns the state of a group. In a new group, the quota of the members' capacity is the same for each live
    /// router.
    fn group_mut(&mut self, group: u32) -> &mut Group {
        let quota = 1.0 / (self.reports.alive_count() as f64 + 1.0);
        self.groups.entry(group).or_insert_with(|| Group::new(quota))
    }

    /// Sets which other routers are alive.
    pub fn set_alive(&mut self, others: impl Iterator<Item = u32>) {
        self.reports.set_alive(others);
    }

    /// Records an RPC that this router was offered, whether it is admitted or not.
    pub fn record_offered(&mut self, group: u32, priority: u32) {
        let priority = priority.min(PRIORITY_COUNT as u32 - 1) as u8;
        *self.group_mut(group).counts.offered.entry(priority).or_default() += 1.0;
    }

    /// Records an RPC of a group that was served.
    pub fn record_served(&mut self, group: u32) {
        self.group_mut(group).counts.served += 1.0;
    }

    /// Records an RPC of a group that was admitted and for which no member had capacity (an unplaced RPC).
    pub fn record_unplaced(&mut self, group: u32) {
        self.group_mut(group).counts.unplaced += 1.0;
    }

    /// Sets the rates of first attempts and retries that this router reports of a group.
    pub fn set_retry_rates(&mut self, group: u32, rates: RetryRates) {
        self.group_mut(group).retry_rates = rates;
    }

    /// The rates of first attempts and retries that the other routers report of a group.
    pub fn peer_retry_rates(&self, now: Time, group: u32) -> impl Iterator<Item = WeightedRates> {
        let reports = self.reports.of_group(now, group);
        reports.map(|WeightedReport { report, weight }| WeightedRates { rates: report.retry_rates, weight })
    }

    /// Number of other routers that are alive.
    pub fn alive_peers(&self) -> usize {
        self.reports.alive_count()
    }

    /// The admission threshold of a group. An unknown group has no threshold, and all RPCs of such a group are
    /// admitted.
    pub fn threshold(&self, group: u32) -> GroupThreshold {
        if self.faulty == Faulty::IgnoresThreshold {
            return GroupThreshold::default();
        }
        self.groups.get(&group).map_or(GroupThreshold::default(), |group| group.admission.group_threshold())
    }

    /// When [`AdmissionController::tick`] is due next.
    pub fn wake_at(&self) -> Time {
        self.next_step_at
    }

    /// Stores the reports of a bundle that was received.
    pub fn on_reports(&mut self, now: Time, bytes: &[u8]) {
        for report in decode_reports(bytes) {
            self.reports.insert(now, report);
        }
    }

    /// Encodes a bundle to send: reports of this router first, then reports of other routers, as many as fit into
    /// `max_bytes`.
    pub fn encode_reports(&mut self, now: Time, max_bytes: usize) -> Vec<u8> {
        let mut bytes = vec![REPORT_VERSION];
        let groups: Vec<u32> = self.groups.keys().copied().collect();
        for offset in 0..groups.len().min(MAX_OWN_REPORTS) {
            let group = groups[(self.rotation + offset) % groups.len()];
            append_report(&self.own_report(group), &mut bytes, max_bytes);
        }
        for report in self.reports.fresh_from(now, self.rotation) {
            if !append_report(&report, &mut bytes, max_bytes) {
                break;
            }
        }
        self.rotation = self.rotation.wrapping_add(BUNDLE_ROTATION);
        bytes
    }

    fn own_report(&self, id: u32) -> GroupReport {
        let Some(group) = self.groups.get(&id) else { return GroupReport::default() };
        let factor = if self.faulty == Faulty::ReportsTenfold { 10.0 } else { 1.0 };
        let offered = group.rates.offered.iter().rev();
        let offered = offered.map(|(&priority, &rate)| OfferedRate { priority, per_second: rate * factor });
        // If the group has more members than fit into a report, successive reports list different members in turn.
        let count = group.members.len();
        let first = if count > MAX_MEMBERS { usize::from(self.sequence) * MAX_MEMBERS % count } else { 0 };
        let members = group.members.values().cycle().skip(first).take(count.min(MAX_MEMBERS));
        GroupReport {
            router: self.own_router,
            sequence: self.sequence,
            age: Span::ZERO,
            group: id,
            offered: offered.collect(),
            served: group.rates.served,
            unplaced: group.rates.unplaced,
            admitted: group.admission.admitted,
            retry_rates: group.retry_rates,
            members: members.copied().collect(),
        }
    }

    /// If a step is due, recomputes the thresholds and returns this router's limits at the members. `loads` is what
    /// this router observes at its members.
    pub fn tick(&mut self, now: Time, loads: &[MemberLoad]) -> Option<MemberLimits> {
        if now < self.next_step_at {
            return None;
        }
        let step_secs = (now - self.next_step_at + STEP).secs();
        self.next_step_at = now + STEP;
        self.sequence = self.sequence.wrapping_add(1);
        self.reports.remove_stale(now);
        let mut limits = MemberLimits::default();
        for (&id, group) in &mut self.groups {
            group.end_step(step_secs);
            let reports: Vec<WeightedReport<'_>> = self.reports.of_group(now, id).collect();
            group.update(id, &reports, self.reports.alive_count(), loads, &mut limits);
        }
        Some(limits)
    }

    /// The metrics of each group for the log, as of the last step.
    pub fn metrics(&self) -> impl Iterator<Item = GroupMetrics> {
        self.groups.values().map(|group| group.metrics)
    }
}
