//! Measures of a drill: utility, writes, latency of rejections, metrics in the routers' logs. Times are in seconds of the
//! load.

use super::drills::{DRILL_END_S, READ, WRITE, scenario};
use crate::drill::Drill;
use crate::drill::play::DrillRecord;
use crate::load::{Counts, RpcRecord};
use ladderpass_invariants::Answer;
use std::ops::Range;

/// Text of a log line with metrics of shared admission control.
const ADMISSION_LOG_TARGET: &str = "ladderpass::fleet";
/// Rejections before this time are not measured.
const REJECTIONS_FROM_S: f64 = 2.0;
/// The load of the single router is measured from here on.
const SINGLE_ROUTER_FROM_S: f64 = 1.0;
/// A router with fewer writes does not count for the worst router.
const MIN_WRITES: f64 = 10.0;
/// With fewer writes than this, one failure is more than 5%, and tells nothing: the first one is not counted.
const WRITES_WITHOUT_TOLERANCE: f64 = 20.0;

/// Fraction of the writes that were served within their soft deadline.
pub struct ServedWrites {
    /// Of all writes.
    pub of_all: f64,
    /// Of the writes at the worst router, of those that were answered ok at all.
    pub of_worst_router: f64,
}

/// Utility a second.
pub fn utility(record: &DrillRecord, window: Range<f64>) -> f64 {
    record.outcome.utility_rate(window.start, window.end)
}

/// Utility a second as a fraction of what a single router would have served of the same RPCs: all writes, and reads up to
/// the members' capacity. Writes are random, and have four times a read's utility.
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

/// By method: a count a second.
fn methods_per_second(record: &DrillRecord, window: Range<f64>, count: fn(&Counts) -> u64) -> [f64; 2] {
    let mut sums = [0, 0];
    for slice in record.outcome.within(window.start, window.end) {
        for method in [READ, WRITE] {
            sums[method] += count(&slice.counts[method]);
        }
    }
    sums.map(|sum| sum as f64 / (window.end - window.start))
}

/// How many writes were served.
pub fn served_writes(drill: &Drill, record: &DrillRecord) -> ServedWrites {
    let total = record.outcome.of(WRITE);
    let by_router = (0..drill.routers).filter_map(|router| served_writes_of_router(record, router));
    ServedWrites {
        of_all: total.good as f64 / total.due.max(1) as f64,
        of_worst_router: by_router.fold(1.0, f64::min),
    }
}

/// Fraction of a router's writes that were answered ok; None if it had too few.
fn served_writes_of_router(record: &DrillRecord, router: usize) -> Option<f64> {
    let of_router = |entry: &&RpcRecord| entry.router == router && entry.method == WRITE;
    let writes: Vec<&RpcRecord> = record.outcome.journal.iter().filter(of_router).collect();
    let is_ok = |entry: &&&RpcRecord| entry.answered.is_some_and(|answered| answered.answer == Answer::Ok);
    let (due, ok) = (writes.len() as f64, writes.iter().filter(is_ok).count() as f64);
    let tolerated = if due < WRITES_WITHOUT_TOLERANCE { 1.0 } else { 0.0 };
    (due >= MIN_WRITES).then(|| (ok + tolerated) / due)
}

/// The median latency of a router's rejections, in milliseconds; 0 if there is none.
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

/// All values of a metric that a router logged on shared admission control, in order.
pub fn logged_values(record: &DrillRecord, router: usize, metric: &str) -> Vec<f64> {
    last_logged_values(record, router, metric, usize::MAX)
}

/// Mean of a metric over a router's last `lines` log lines on shared admission control; 0 if there is none.
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

/// The mean; 0 if there is no value.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
