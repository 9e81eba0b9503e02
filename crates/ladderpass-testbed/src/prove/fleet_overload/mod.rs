//! Proof of shared admission control. Routers with uneven loads of 2.5 times the members' capacity serve almost the utility
//! that a single router with full knowledge would serve, also through kills, a split and clock offsets. Faulty builds must
//! be distinguished from healthy ones. RPCs must cost little more CPU time, and a router's traffic must not grow with the
//! number of routers.

mod cost;
mod drills;
mod faulty_builds;
mod measures;
mod records;

use super::Table;
use super::checks::require_no_violations;
use super::parallel::join;
use super::scenarios::{FLEET_ROUTERS, METRICS_INTERVAL_S, SHARED_ADMISSION, router_names};
use super::traffic::{FLEET_SIZES, TrafficOfSize, measure_traffic, require_flat_traffic};
use crate::charts::{self, Line};
use crate::drill::play::{DrillRecord, Programs};
use drills::{DRILL_END_S, FAILURE_DRILL_END_S, SHORT_DRILL_END_S, SPLIT};
use drills::{clocks_apart, separate_admission, shared_admission};
use faulty_builds::require_faults_shown;
use measures::{ServedWrites, logged_values, served_writes, utility, utility_relative_to_single_router};
use records::{OverloadRecords, play_drills};
use std::io;
use std::ops::Range;
use std::path::Path;

// Periods of the loads, in seconds.

/// The period of overload. The end of the load is left out, because the members then serve the last RPCs without competing
/// ones, and are no longer overloaded.
const OVERLOAD_S: Range<f64> = 0.0..DRILL_END_S - 0.6;
const SPLIT_END_S: f64 = SPLIT.at_s + SPLIT.lasts_s;
/// The part of the split that begins two seconds after the start of the split.
const DURING_SPLIT_S: Range<f64> = SPLIT.at_s + 2.0..SPLIT_END_S;
/// The period that begins two seconds after the end of the split.
const AFTER_SPLIT_S: Range<f64> = SPLIT_END_S + 2.0..FAILURE_DRILL_END_S - 0.5;
const CLOCKS_APART_S: Range<f64> = 2.0..SHORT_DRILL_END_S;

const MIN_UTILITY: f64 = 0.95;
const MIN_UTILITY_DURING_SPLIT: f64 = 0.9;
const MIN_UTILITY_WITH_CLOCKS_APART: f64 = 0.85;
const MIN_SERVED_WRITES: f64 = 0.98;
const MIN_SERVED_WRITES_OF_ROUTER: f64 = 0.95;
const MIN_SERVED_WRITES_WITH_CLOCKS_APART: f64 = 0.95;

/// Runs the proof, prints its table, and writes charts to `out`. Returns whether it passes.
///
/// # Errors
/// Returns an error if a drill can't be played, or a chart can't be written.
pub fn prove(programs: Programs<'_>, seed: u64, out: &Path) -> io::Result<bool> {
    let mut table = Table::new("fleet-overload");
    if !table.require_faulty_build(programs) {
        return Ok(table.print());
    }
    let records = play_drills(programs, seed)?;
    require_utility(&mut table, &records);
    require_served_writes(&mut table, &records);
    require_no_violations(&mut table, "three times what fits", &records.shared);
    require_utility_through_failures(&mut table, &records);
    require_service_with_clocks_apart(&mut table, &records, programs);
    require_faults_shown(&mut table, &records);
    cost::require_low_cost(&mut table, programs, seed)?;
    require_flat_traffic(&mut table, &measure_traffic_of_sizes(programs, seed)?);
    write_charts(&records, out)?;
    Ok(table.print())
}

/// Measures the traffic among all numbers of routers in parallel.
fn measure_traffic_of_sizes(programs: Programs<'_>, seed: u64) -> io::Result<Vec<TrafficOfSize>> {
    std::thread::scope(|scope| {
        let threads = FLEET_SIZES
            .map(|routers| scope.spawn(move || measure_traffic(programs, routers, SHARED_ADMISSION, seed)));
        threads.into_iter().map(join).collect()
    })
}

fn require_utility(table: &mut Table, records: &OverloadRecords) {
    let best = utility(&records.single, OVERLOAD_S).max(1e-9);
    let shared = utility(&records.shared, OVERLOAD_S) / best;
    let separate = utility(&records.separate, OVERLOAD_S) / best;
    let compared = format!("{shared:.3}; each alone {separate:.3}");
    table.require("utility, of the router that sees all", "at least 0.95", compared, shared >= MIN_UTILITY);
}

fn require_served_writes(table: &mut Table, records: &OverloadRecords) {
    let shared = served_writes(&shared_admission(), &records.shared);
    let separate = served_writes(&separate_admission(), &records.separate);
    table.require(
        "writes served well",
        "at least 0.98",
        format!("{:.3}; each alone {:.3}", shared.of_all, separate.of_all),
        shared.of_all >= MIN_SERVED_WRITES,
    );
    table.require(
        "  at the worst router",
        "at least 0.95",
        format!("{:.3}; each alone {:.3}", shared.of_worst_router, separate.of_worst_router),
        shared.of_worst_router >= MIN_SERVED_WRITES_OF_ROUTER,
    );
}

fn require_utility_through_failures(table: &mut Table, records: &OverloadRecords) {
    let OverloadRecords { single, failures, .. } = records;
    require_no_violations(table, "a third killed, a split", failures);
    let after = utility_relative_to_single_router(failures, single, AFTER_SPLIT_S);
    let holds = after >= MIN_UTILITY;
    table.require("utility 2 s after the last fault", "at least 0.95", format!("{after:.3}"), holds);
    let during = utility_relative_to_single_router(failures, single, DURING_SPLIT_S);
    let holds = during >= MIN_UTILITY_DURING_SPLIT;
    table.require("  in the split, from its 2nd second on", "at least 0.9", format!("{during:.3}"), holds);
}

fn require_service_with_clocks_apart(table: &mut Table, records: &OverloadRecords, programs: Programs<'_>) {
    let record = &records.clocks_apart;
    require_no_violations(table, "clocks 200 ms apart, one without words", record);
    let ServedWrites { of_all: writes, .. } = served_writes(&clocks_apart(programs), record);
    let utility = utility_relative_to_single_router(record, &records.single, CLOCKS_APART_S);
    let holds = utility >= MIN_UTILITY_WITH_CLOCKS_APART && writes >= MIN_SERVED_WRITES_WITH_CLOCKS_APART;
    let served = format!("utility {utility:.3}, writes {writes:.3}");
    table.require("  served", "at least 0.85 and 0.95", served, holds);
}

fn write_charts(records: &OverloadRecords, out: &Path) -> io::Result<()> {
    std::fs::create_dir_all(out)?;
    let per_second = ("seconds", "a second");
    let compared: Vec<Line<'_>> = vec![
        Line::new("one sees all", records.single.utility()),
        Line::new("as one", records.shared.utility()),
        Line::new("each alone", records.separate.utility()),
    ];
    charts::lines(&out.join("utility.svg"), "Utility", per_second, &compared, false)?;
    let failures: Vec<Line<'_>> =
        vec![Line::new("a third killed at 3 s, split from 5 to 11 s", records.failures.utility())];
    charts::lines(&out.join("harmed.svg"), "Utility", per_second, &failures, false)?;
    let names = router_names(0..FLEET_ROUTERS);
    let thresholds: Vec<Line<'_>> = names
        .iter()
        .enumerate()
        .map(|(router, name)| Line::new(name, admission_thresholds(&records.shared, router)))
        .collect();
    let axes = ("seconds of its log", "rank");
    charts::lines(&out.join("floors.svg"), "Floor of each router", axes, &thresholds, false)
}

/// Returns a router's admission threshold over the seconds of its log.
fn admission_thresholds(record: &DrillRecord, router: usize) -> Vec<(f64, f64)> {
    let values = logged_values(record, router, "threshold").into_iter().enumerate();
    values.map(|(index, threshold)| (index as f64 * METRICS_INTERVAL_S, threshold)).collect()
}
