//! A chart of the RPCs that arrive at a cold member within its overload window, by the member's age.

use crate::charts::{self, Line};
use crate::drill::play::DrillRecord;
use ladderpass_routing::Time;
use std::io;
use std::path::Path;

/// The time between two points of the chart, in seconds.
const STEP_S: f64 = 0.1;
/// As arrivals are random, the limit on the RPCs in a window is the capacity of the window, plus this many square roots
/// of the capacity, plus [`TOLERATED_RPCS`].
const TOLERATED_ROOTS: f64 = 2.0;
/// Number of RPCs by which the limit on the RPCs in a window is raised, in addition to the square roots of [`TOLERATED_ROOTS`].
const TOLERATED_RPCS: f64 = 2.0;

/// Points of the chart by the age of the member, in seconds.
struct ColdMemberWindows {
    /// RPCs that arrived at the member within the overload window that ends at the age of the point.
    rpcs: Vec<(f64, f64)>,
    /// RPCs that may arrive at the member within the overload window that ends at the age of the point.
    limit: Vec<(f64, f64)>,
}

/// Writes the chart of the hardest drill with the current program, its limit, and the same drill with other programs.
///
/// # Errors
/// Returns an error if the chart can't be written.
pub fn write_window_chart(
    out: &Path,
    current: &DrillRecord,
    earlier: Option<&DrillRecord>,
    without_warm_up: &DrillRecord,
) -> io::Result<()> {
    std::fs::create_dir_all(out)?;
    let mut lines: Vec<Line<'_>> = Vec::new();
    if let Some(windows) = windows(current) {
        lines.extend([Line::new("allowed", windows.limit), Line::new("shares paid out", windows.rpcs)]);
    }
    lines.extend(earlier.and_then(windows).map(|windows| Line::new("before", windows.rpcs)));
    lines.extend(windows(without_warm_up).map(|windows| Line::new("ignores-warm-up", windows.rpcs)));
    let title = "RPCs within 3 s at a cold member, by its age";
    charts::lines(&out.join("window.svg"), title, ("seconds", "RPCs"), &lines, false)
}

/// Returns the windows of the first member that started cold, or None if no member did.
fn windows(record: &DrillRecord) -> Option<ColdMemberWindows> {
    let started = record.cold_starts.first()?;
    let arrivals = record.execution_log.arrivals.iter().filter(|arrival| arrival.member == started.member);
    let times: Vec<Time> = arrivals.map(|arrival| arrival.at).collect();
    let (warm_s, window_s) = (started.warm_up_time.secs(), started.overload_window.secs());
    let mut windows = ColdMemberWindows { rpcs: Vec::new(), limit: Vec::new() };
    for step in 0..=(warm_s / STEP_S) as usize {
        let age_s = step as f64 * STEP_S;
        let is_in_window = |&&at: &&Time| (0.0..window_s).contains(&(age_s - (at - started.at).secs()));
        windows.rpcs.push((age_s, times.iter().filter(is_in_window).count() as f64));
        // The member's capacity grows linearly, so that the mean over a window is the capacity at the middle of the
        // window. This does not hold for windows that reach back beyond the member's start.
        let warmth = ((age_s - window_s / 2.0) / warm_s).max(0.0);
        let fraction = started.initial_fraction + (1.0 - started.initial_fraction) * warmth;
        let capacity = started.capacity * window_s * fraction;
        windows.limit.push((age_s, capacity + TOLERATED_ROOTS * capacity.sqrt() + TOLERATED_RPCS));
    }
    Some(windows)
}
