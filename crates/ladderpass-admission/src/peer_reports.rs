//! The reports of other routers, each with a weight that decreases with its age.

use crate::faulty::Faulty;
use crate::report::GroupReport;
use ladderpass_routing::{Span, Time};
use std::collections::{BTreeMap, HashSet};

/// A report has its full weight up to this age. At a greater age the weight decreases linearly.
const FRESH_FOR: Span = Span::from_millis(1500);
/// A report of this age or older has no weight and is dropped.
const STALE_AFTER: Span = Span::from_millis(4000);
/// Maximum number of stored reports, which limits the memory that other routers can make this router use.
const MAX_REPORTS: usize = 4096;

/// A report and its weight, from 0 to 1, which is lower for an older report.
pub(crate) struct WeightedReport<'a> {
    pub report: &'a GroupReport,
    pub weight: f64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReportKey {
    router: u32,
    group: u32,
}

struct StoredReport {
    report: GroupReport,
    /// When the report was made, by this router's clock.
    made_at: Time,
}

/// The latest report of each live router for each group.
pub(crate) struct PeerReports {
    own_router: u32,
    reports: BTreeMap<ReportKey, StoredReport>,
    /// Ids of the other routers that are alive.
    alive: HashSet<u32>,
    /// Enables the deliberate fault [`Faulty::KeepsReportsOfDeadRouters`].
    keeps_reports_of_dead_routers: bool,
}

impl PeerReports {
    pub fn new(own_router: u32, faulty: Faulty) -> PeerReports {
        PeerReports {
            own_router,
            reports: BTreeMap::new(),
            alive: HashSet::new(),
            keeps_reports_of_dead_routers: faulty == Faulty::KeepsReportsOfDeadRouters,
        }
    }

    /// Sets which other routers are alive, and drops the stored reports of all routers that are not alive.
    pub fn set_alive(&mut self, routers: impl Iterator<Item = u32>) {
        self.alive = routers.collect();
        if !self.keeps_reports_of_dead_routers {
            let alive = &self.alive;
            self.reports.retain(|key, _| alive.contains(&key.router));
        }
    }

    /// Number of other routers that are alive.
    pub fn alive_count(&self) -> usize {
        self.alive.len()
    }

    /// Stores a report of a live router, if the report is newer than the one stored for the same router and group.
    pub fn insert(&mut self, now: Time, report: GroupReport) {
        let is_accepted = self.alive.contains(&report.router) || self.keeps_reports_of_dead_routers;
        if report.router == self.own_router || !is_accepted || report.age >= STALE_AFTER {
            return;
        }
        let made_at = now - report.age;
        let key = ReportKey { router: report.router, group: report.group };
        match self.reports.get(&key) {
            // The sequence numbers of a router that has restarted begin at zero again. So a lower sequence number is
            // accepted if the report was made at least `STALE_AFTER` after the stored one.
            Some(stored) if !is_newer(&report, &stored.report) && made_at - stored.made_at < STALE_AFTER => {}
            None if self.reports.len() >= MAX_REPORTS => {}
            _ => {
                self.reports.insert(key, StoredReport { report, made_at });
            }
        }
    }

    pub fn remove_stale(&mut self, now: Time) {
        if !self.keeps_reports_of_dead_routers {
            self.reports.retain(|_, stored| now - stored.made_at < STALE_AFTER);
        }
    }

    /// The reports of a group that have a weight above 0.
    pub fn of_group(&self, now: Time, group: u32) -> impl Iterator<Item = WeightedReport<'_>> {
        let stored = self.reports.values().filter(move |stored| stored.report.group == group);
        let weighted = stored.map(move |stored| WeightedReport {
            report: &stored.report,
            weight: self.weight(now, stored.made_at),
        });
        weighted.filter(|weighted| weighted.weight > 0.0)
    }

    /// The weight, from 0 to 1, of a report that was made at this time.
    fn weight(&self, now: Time, made_at: Time) -> f64 {
        if self.keeps_reports_of_dead_routers {
            return 1.0;
        }
        let age = now - made_at;
        (1.0 - (age - FRESH_FOR).secs() / (STALE_AFTER - FRESH_FOR).secs()).clamp(0.0, 1.0)
    }

    /// Stored reports younger than `FRESH_FOR`, with their current age, to be forwarded to other routers. The sequence
    /// begins with the stored report at index `first`, modulo the number of stored reports, and wraps around.
    pub fn fresh_from(&self, now: Time, first: usize) -> impl Iterator<Item = GroupReport> {
        let stored: Vec<&StoredReport> = self.reports.values().collect();
        (0..stored.len()).filter_map(move |offset| {
            let stored = stored[(first + offset) % stored.len()];
            let age = now - stored.made_at;
            (age < FRESH_FOR).then(|| GroupReport { age, ..stored.report.clone() })
        })
    }
}

/// Whether the sequence number of `report` is later than the sequence number of `stored`, modulo 2^16.
fn is_newer(report: &GroupReport, stored: &GroupReport) -> bool {
    report.sequence.wrapping_sub(stored.sequence) as i16 > 0
}
