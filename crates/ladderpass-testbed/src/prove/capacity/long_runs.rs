//! The longer runs behind docs/CAPACITY.md, as tables and charts: slopes of control traffic, a comparison of simulated
//! routers with real processes, and events at the scale of a deployment.

use crate::capacity::events::{self, EventOutcome};
use crate::capacity::slope::Slope;
use crate::capacity::traffic::Traffic;
use crate::capacity::{control, simulated_routers};
use crate::charts::{self, Line};
use crate::drill::Drill;
use crate::drill::play::{Programs, play};
use crate::load::Phase;
use crate::prove::parallel::join;
use crate::prove::traffic::traffic_of_drill;
use std::fmt::Write as _;
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The names of the slopes that get a chart.
const CHARTED_SLOPES: [&str; 4] = ["words_datagrams", "words_by_routers", "control_cpu", "death_known"];
/// The numbers of routers and groups for which simulated routers are compared with processes.
const COMPARED_ROUTERS: usize = 16;
const COMPARED_GROUPS: [u32; 3] = [2, 8, 32];
const COMPARISON_S: f64 = 8.0;
const CLIENTS_PER_ROUTER: usize = 10;
const RPCS_PER_SECOND_PER_ROUTER: f64 = 25.0;
/// The number of groups in the simulations of events.
const EVENT_GROUPS: usize = 8;
/// How many events are simulated at the same time.
const EVENT_THREADS: usize = 3;

/// The file of all tables. The file is written again after each part, so that an interrupted run leaves the parts that
/// it finished.
struct Report<'a> {
    out: &'a Path,
    text: String,
}

impl Report<'_> {
    /// Prints a part of the report and adds it to the file.
    fn add(&mut self, part: &str) -> io::Result<()> {
        println!("{part}");
        self.text.push_str(part);
        std::fs::write(self.out.join("control.md"), &self.text)
    }
}

/// The mean traffic of a router in a simulation and among real processes.
struct ComparedTraffic {
    simulated: Traffic,
    real: Traffic,
}

/// Makes the longer runs, and writes their tables and charts to the folder `out`.
///
/// # Errors
/// Returns an error if a simulation or a drill fails, if a router of a drill fails, or if a file can't be written.
pub fn make_long_runs(programs: Programs<'_>, seed: u64, out: &Path) -> io::Result<()> {
    std::fs::create_dir_all(out)?;
    let mut report = Report { out, text: format!("# Runs of `make capacity SEED={seed}`\n") };
    let control = control::measure(seed, &control::Settings { long: true }, control::memory(seed)?)?;
    for slope in control.iter().filter(|slope| CHARTED_SLOPES.contains(&slope.name)) {
        write_slope_chart(slope, out)?;
    }
    report.add(&slopes_table(&control))?;
    report.add(&comparison_table(programs, seed)?)?;
    report.add(&events_table(&simulate_events(seed)?))
}

fn slopes_table(slopes: &[Slope]) -> String {
    let mut table = String::from(
        "\n## Slopes of control\n\n\
         | slope | y | x | points | each | base | error of the fit |\n\
         |---|---|---|---|---|---|---|\n",
    );
    for slope in slopes {
        let points: Vec<String> = slope.points.iter().map(|(x, y)| format!("{x:.5}: {y:.3}")).collect();
        let fit = slope.fit();
        let (points, error) = (points.join(", "), fit.error * 100.0);
        // Writing to a string can't fail.
        let _ = writeln!(
            table,
            "| {} | {} | {} | {points} | {:.5} | {:.4} | {error:.1}% |",
            slope.name, slope.y, slope.x, fit.slope, fit.base
        );
    }
    table.push_str("\n| figure at the size | value |\n|---|---|\n");
    for (name, figure) in control::figures(slopes) {
        let _ = writeln!(table, "| {name} | {figure:.4} |");
    }
    table
}

fn write_slope_chart(slope: &Slope, out: &Path) -> io::Result<()> {
    let fit = slope.fit();
    let fitted = slope.points.iter().map(|&(x, _)| (x, fit.at(x))).collect();
    let lines = [Line::new("measured", slope.points.clone()), Line::new("fit", fitted)];
    let path = out.join(format!("{}.svg", slope.name));
    charts::lines(&path, slope.name, (slope.x, slope.y), &lines, false)
}

fn comparison_table(programs: Programs<'_>, seed: u64) -> io::Result<String> {
    let mut table = String::from(
        "\n## Hollow routers beside processes\n\n\
         | routers | groups | processes, datagrams/s a router, bytes/s | hollow | off |\n\
         |---|---|---|---|---|\n",
    );
    for groups in COMPARED_GROUPS {
        let ComparedTraffic { simulated, real } = compare_traffic(programs, COMPARED_ROUTERS, groups, seed)?;
        let difference = (simulated.datagrams_per_second / real.datagrams_per_second - 1.0) * 100.0;
        let _ = writeln!(
            table,
            "| {COMPARED_ROUTERS} | {groups} | {:.1}, {:.0} | {:.1}, {:.0} | {difference:+.1}% |",
            real.datagrams_per_second,
            real.bytes_per_second,
            simulated.datagrams_per_second,
            simulated.bytes_per_second
        );
    }
    Ok(table)
}

/// Measures the traffic of a router among others, once in a simulation and once with processes.
fn compare_traffic(
    programs: Programs<'_>,
    routers: usize,
    groups: u32,
    seed: u64,
) -> io::Result<ComparedTraffic> {
    let mut drill = Drill {
        routers,
        connection_skew: 1.0,
        roaming: 0.0,
        clients: CLIENTS_PER_ROUTER * routers,
        phases: vec![Phase {
            seconds: COMPARISON_S,
            rate_per_second: RPCS_PER_SECOND_PER_ROUTER * routers as f64,
        }],
        ..Drill::default()
    };
    drill.scenario.groups = groups;
    let record = play(&drill, programs, seed)?;
    if !record.router_failures.is_empty() {
        return Err(io::Error::other(record.router_failures.join("; ")));
    }
    let shape = simulated_routers::Shape { seed, ..simulated_routers::Shape::of(routers, groups as usize) };
    let rates = control::rates(&shape, COMPARISON_S)?;
    let simulated = Traffic {
        datagrams_per_second: rates.gossip_datagrams + rates.membership_datagrams,
        bytes_per_second: rates.gossip_bytes + rates.membership_bytes,
    };
    Ok(ComparedTraffic { simulated, real: traffic_of_drill(&drill, &record) })
}

/// Simulates all events, [`EVENT_THREADS`] at a time.
fn simulate_events(seed: u64) -> io::Result<Vec<EventOutcome>> {
    let next = AtomicUsize::new(0);
    let simulate_next = || -> io::Result<Vec<EventOutcome>> {
        let mut outcomes = Vec::new();
        while let Some(name) = events::NAMES.get(next.fetch_add(1, Ordering::Relaxed)) {
            outcomes.push(events::simulate_event(name, control::ROUTERS, EVENT_GROUPS, seed)?);
        }
        Ok(outcomes)
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..EVENT_THREADS).map(|_| scope.spawn(simulate_next)).collect();
        let outcomes = threads.into_iter().map(join).collect::<io::Result<Vec<_>>>()?;
        Ok(outcomes.into_iter().flatten().collect())
    })
}

fn events_table(outcomes: &[EventOutcome]) -> String {
    let mut table = String::from(
        "\n## Events, 460 routers and 8 groups, times in s since each began\n\n\
         | event | moments | before, datagrams/s a router, bytes/s | at the most | refused | \
         discovery, MB |\n|---|---|---|---|---|---|\n",
    );
    for outcome in outcomes {
        let moments: Vec<String> =
            outcome.moments.iter().map(|moment| format!("{} {:.2}", moment.label, moment.value)).collect();
        let _ = writeln!(
            table,
            "| {} | {} | {:.1}, {:.0} | {:.1}, {:.0} | {:.2}% | {:.2} |",
            outcome.name,
            moments.join("; "),
            outcome.traffic_before.datagrams_per_second,
            outcome.traffic_before.bytes_per_second,
            outcome.peak_traffic.datagrams_per_second,
            outcome.peak_traffic.bytes_per_second,
            outcome.failed_fraction * 100.0,
            outcome.discovery_bytes as f64 / 1e6
        );
    }
    table
}
