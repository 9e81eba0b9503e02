//! Requirements that distinguish routers with faulty shared admission control from healthy ones.

use super::drills::{IGNORES_THRESHOLD, KEEPS_REPORTS_OF_DEAD, REPORTS_TENFOLD};
use super::measures::{mean, mean_logged, median_rejection_ms};
use super::records::OverloadRecords;
use crate::drill::play::DrillRecord;
use crate::prove::Table;
use crate::prove::scenarios::FLEET_ROUTERS;

/// A router with the fault rejects only when it is overloaded itself. Its rejections must take more than this many times as
/// long as those of healthy routers, so that the fault shows.
const MIN_REJECTION_LATENCY_RATIO: f64 = 10.0;
/// When the rejections of a faulty router are compared with those of healthy routers, the latter count as taking at least this
/// many milliseconds.
const MIN_HEALTHY_REJECTION_MS: f64 = 5.0;
/// The number of reports that a router clamped (lowered to their upper bound) is averaged over this many of the router's last
/// log lines with metrics.
const CLAMPED_REPORT_LINES: usize = 8;
/// The number of reports of other routers that a router has is averaged over this many of the router's last log lines with
/// metrics.
const REPORT_LINES: usize = 6;
/// If one router reports too much, the others must clamp (lower to the upper bound) at least this many reports on average, and
/// more than [`MIN_CLAMPED_REPORTS_RATIO`] times as many as if all routers are healthy.
const MIN_CLAMPED_REPORTS: f64 = 0.8;
const MIN_CLAMPED_REPORTS_RATIO: f64 = 1.5;
/// Bounds on the number of reports that a router has when five of the eight other routers are alive. A router that keeps the
/// reports of dead routers has more than [`MIN_REPORTS_WITH_DEAD`], and a healthy router has fewer than
/// [`MAX_REPORTS_WITHOUT_DEAD`].
const MIN_REPORTS_WITH_DEAD: f64 = 7.5;
const MAX_REPORTS_WITHOUT_DEAD: f64 = 5.5;

/// Requires that each fault shows in the measurements.
pub(super) fn require_faults_shown(table: &mut Table, records: &OverloadRecords) {
    require_late_rejections(table, records);
    require_clamped_reports(table, records);
    require_reports_of_dead(table, records);
}

/// Requires that a router that ignores the common admission threshold rejects much later than healthy routers.
fn require_late_rejections(table: &mut Table, records: &OverloadRecords) {
    let healthy_routers = 1..FLEET_ROUTERS;
    let healthy_ms =
        healthy_routers.map(|router| median_rejection_ms(&records.shared, router)).fold(0.0, f64::max);
    let faulty_ms = median_rejection_ms(&records.ignores_threshold, 0);
    table.require(
        format!("  {IGNORES_THRESHOLD}"),
        "told apart",
        format!("refuses after {faulty_ms:.0} ms, healthy ones at once ({healthy_ms:.0} ms)"),
        faulty_ms > MIN_REJECTION_LATENCY_RATIO * healthy_ms.max(MIN_HEALTHY_REJECTION_MS),
    );
}

/// Requires that healthy routers clamp (lower to the upper bound) the reports of a router that reports more than its load.
fn require_clamped_reports(table: &mut Table, records: &OverloadRecords) {
    let clamped = |record: &DrillRecord| {
        let of_router = |router| mean_logged(record, router, "clamped_reports", CLAMPED_REPORT_LINES);
        mean(&(1..FLEET_ROUTERS).map(of_router).collect::<Vec<_>>())
    };
    let (faulty, healthy) = (clamped(&records.reports_tenfold), clamped(&records.shared));
    table.require(
        format!("  {REPORTS_TENFOLD}"),
        "told apart",
        format!("words cut to the bound {faulty:.2}, among honest ones {healthy:.2}"),
        faulty >= MIN_CLAMPED_REPORTS && faulty > MIN_CLAMPED_REPORTS_RATIO * healthy,
    );
}

/// Requires that routers with the fault keep more reports than there are other routers alive, and that healthy ones don't.
fn require_reports_of_dead(table: &mut Table, records: &OverloadRecords) {
    let reports = |record: &DrillRecord| mean_logged(record, 0, "reports", REPORT_LINES);
    let (faulty, healthy) = (reports(&records.keeps_reports_of_dead), reports(&records.failures));
    table.require(
        format!("  {KEEPS_REPORTS_OF_DEAD}"),
        "told apart",
        format!("{faulty:.1} words of others with 5 alive, healthy {healthy:.1}"),
        faulty > MIN_REPORTS_WITH_DEAD && healthy < MAX_REPORTS_WITHOUT_DEAD,
    );
}
