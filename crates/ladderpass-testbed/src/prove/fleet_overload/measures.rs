//! Measures of a drill: utility, served writes, latency of rejections, and metrics in the routers' logs. Times are in
//! seconds of the load.

use super::drills::{DRILL_END_S, READ, WRITE, scenario};
use crate::drill::Drill;
use crate::drill::play::DrillRecord;
use crate::load::{Counts, RpcRecord};
use ladderpass_invariants::Answer;
use std::ops::Range;

/// The log target of lines with metrics of shared admission control.
const ADMISSION_LOG_TARGET: &str = "ladderpass::fleet";
/// Only rejections of RPCs that were sent after this time are measured.
const REJECTIONS_FROM_S: f64 = 2.0;
/// In the drill in which one router gets almost all RPCs, the served rate is measured from this time on.
const SINGLE_ROUTER_FROM_S: f64 = 1.0;
/// A router with fewer writes than this is left out when the router with the lowest fraction of served writes is
/// determined.
const MIN_WRITES: f64 = 10.0;
/// If a router got fewer writes than this, a single failed write is more than 5% of the writes and not significant, so that one
/// failure is tolerated.
const WRITES_WITHOUT_TOLERANCE: f64 = 20.0;

/// Fractions of writes that were served.
pub struct ServedWrites {
    /// The fraction of all writes that were answered ok within their soft deadline.
    pub of_all: f64,
    /// The lowest fraction, over the routers, of a router's writes that were answered ok, whether or not within their soft
    /// deadline.
    pub of_worst_router: f64,
}

/// Returns the utility a second.
pub fn utility(record: &DrillRecord, window: Range<f64>) -> f64 {
    record.outcome.utility_rate(window.start, window.end)
}

/// Returns the utility a second as a fraction of the utility that a single router would have served of the same RPCs, which
/// is all writes, and reads up to the members' capacity. The number of writes is taken from the record, as it is random and
/// a write has four times the utility of a read.
pub fn utility_relative_to_single_router(
    record: &DrillRecord,
    single: &DrillRecord,
    window: Range<f64>,
) -> f64 {
    let served = methods_per_second(single, SINGLE_ROUTER_FROM_S..DRILL_END_S, |counts| counts.good);
    let capacity: f64 = served.iter().sum();
    let writes = methods_per_second(record, window.clone(), |counts| counts.due)[WRITE];
    let methods = scenario().methods;
    let best = writes * methods[WRITE].utility + (capacity - writes) * methods[READ].utility;
    utility(record, window) / best
}

/// Returns a count a second for each method.
fn methods_per_second(record: &DrillRecord, window: Range<f64>, count: fn(&Counts) -> u64) -> [f64; 2] {
    let mut sums = [0, 0];
    for slice in record.outcome.within(window.start, window.end) {
        for method in [READ, WRITE] {
            sums[method] += count(&slice.counts[method]);
        }
    }
    sums.map(|sum| sum as f64 / (window.end - window.start))
}

/// Returns which fractions of the writes were served.
pub fn served_writes(drill: &Drill, record: &DrillRecord) -> ServedWrites {
    let total = record.outcome.of(WRITE);
    let by_router = (0..drill.routers).filter_map(|router| served_writes_of_router(record, router));
    ServedWrites {
        of_all: total.good as f64 / total.due.max(1) as f64,
        of_worst_router: by_router.fold(1.0, f64::min),
    }
}

/// Returns the fraction of a router's writes that were answered ok, or None if the router had fewer than [`MIN_WRITES`]. If
/// it had fewer than [`WRITES_WITHOUT_TOLERANCE`], one failure counts as ok.
fn served_writes_of_router(record: &DrillRecord, router: usize) -> Option<f64> {
    let of_router = |entry: &&RpcRecord| entry.router == router && entry.method == WRITE;
    let writes: Vec<&RpcRecord> = record.outcome.journal.iter().filter(of_router).collect();
    let is_ok = |entry: &&&RpcRecord| entry.answered.is_some_and(|answered| answered.answer == Answer::Ok);
    let (due, ok) = (writes.len() as f64, writes.iter().filter(is_ok).count() as f64);
    let tolerated = if due < WRITES_WITHOUT_TOLERANCE { 1.0 } else { 0.0 };
    (due >= MIN_WRITES).then(|| (ok + tolerated) / due)
}

/// Returns the median latency of a router's rejections in milliseconds, or 0 if there is none.
pub fn median_rejection_ms(record: &DrillRecord, router: usize) -> f64 {
    let is_measured = |entry: &&RpcRecord| {
        entry.router == router && (entry.sent - record.outcome.began).secs() > REJECTIONS_FROM_S
    };
    let latency_ms = |entry: &RpcRecord| {
        let rejected = entry.answered.filter(|answered| answered.answer == Answer::Rejected)?;
        Some((rejected.at - entry.sent).secs() * 1e3)
    };
    let entries = record.outcome.journal.iter().filter(is_measured);
    let mut latencies: Vec<f64> = entries.filter_map(latency_ms).collect();
    latencies.sort_by(f64::total_cmp);
    latencies.get(latencies.len() / 2).copied().unwrap_or(0.0)
}

/// Returns all values of a metric of shared admission control that a router logged, in order.
pub fn logged_values(record: &DrillRecord, router: usize, metric: &str) -> Vec<f64> {
    last_logged_values(record, router, metric, usize::MAX)
}

/// Returns the mean of a metric over a router's last `lines` log lines on shared admission control, or 0 if there is none.
pub fn mean_logged(record: &DrillRecord, router: usize, metric: &str, lines: usize) -> f64 {
    mean(&last_logged_values(record, router, metric, lines))
}

fn last_logged_values(record: &DrillRecord, router: usize, metric: &str, lines: usize) -> Vec<f64> {
    let log: Vec<&String> =
        record.logs[router].iter().filter(|line| line.contains(ADMISSION_LOG_TARGET)).collect();
    let field = format!(" {metric}=");
    let value = |line: &&String| {
        let (_, value) = line.split_once(&field)?;
        value.split_whitespace().next()?.parse().ok()
    };
    log[log.len().saturating_sub(lines)..].iter().filter_map(value).collect()
}

/// Returns the mean of the values, or 0 if there is none.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
