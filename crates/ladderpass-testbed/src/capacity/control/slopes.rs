//! Slopes of control traffic: runs the simulations, and takes the points of each slope from their results.

use super::costs::{
    AdmissionReports, ListCost, datagram_cpu, death_detection_s, list_cost, measure_admission_reports,
};
use super::parallel::measure_all;
use super::rates::{Rates, SETTLE_TIME, rates, rates_after};
use super::reference_size::{GROUPS, MEMBERS, ROUTERS, reference_shape};
use crate::capacity::simulated_routers::Shape;
use crate::capacity::slope::Slope;
use ladderpass_routing::Span;
use std::io;

/// Settings of the measurement.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Whether the long measurement for docs/CAPACITY.md is made, instead of the short measurement for the proof.
    pub long: bool,
}

/// Number of routers in the simulations that differ in their number of groups.
const FEW_ROUTERS: usize = 16;
/// Time within which [`FEW_ROUTERS`] find each other and check the health of all members.
const FEW_ROUTERS_SETTLE_TIME: Span = Span::from_millis(4000);
/// Number of groups in the simulations that differ in their number of routers.
const FEW_GROUPS: usize = 16;
/// Factor on [`SETTLE_TIME`] for many routers that start at once, which take longer to find each other.
const MANY_ROUTERS_SETTLE_FACTOR: f64 = 2.5;
/// Number of routers whose CPU time is measured.
const OBSERVED_ROUTERS: usize = 4;
/// Seconds over which rates are counted, in the long and in the short measurement. Both are multiples of 0.8 s, the
/// interval of gossip about a member whose reads may be 2 s old.
const LONG_RUN_S: f64 = 8.0;
const SHORT_RUN_S: f64 = 3.2;

/// Points (x, y) of a slope.
type Points = Vec<(f64, f64)>;

/// Results of the simulations.
struct Measurements {
    by_groups: Vec<(usize, Rates)>,
    by_routers: Vec<(usize, Rates)>,
    /// Rates in simulations without statements, by number of routers.
    idle: Vec<(usize, Rates)>,
    admission: Vec<AdmissionPoint>,
    /// Mean seconds until the death of a router is detected, by number of routers.
    deaths: Vec<(usize, f64)>,
    lists: Vec<ListCost>,
}

/// Reports for admission control in one simulation of a given size.
struct AdmissionPoint {
    /// Number of reports that a router has if it has one report from each other router for each group.
    max_reports: f64,
    measured: AdmissionReports,
}

/// Measures all slopes of control traffic. `memory` has the points that [`memory`](super::memory) returns.
///
/// # Errors
/// If a simulation can't be started, or the routers of one don't find each other, or sockets can't be used.
pub fn measure(seed: u64, settings: &Settings, memory: Points) -> io::Result<Vec<Slope>> {
    let measured = run_simulations(seed, settings.long)?;
    let mut slopes = gossip_slopes(&measured);
    slopes.push(Slope {
        name: "datagram_cpu",
        x: "datagrams",
        y: "us of CPU to send and receive them, kernel and all",
        points: datagram_cpu()?,
    });
    slopes.extend(membership_slopes(&measured.idle, memory));
    slopes.extend(admission_slopes(&measured.admission));
    slopes.extend(event_slopes(&measured));
    Ok(slopes)
}

/// Runs all simulations. The simulations that differ in their number of groups take the longest, and run in parallel
/// with all others.
fn run_simulations(seed: u64, long: bool) -> io::Result<Measurements> {
    let seconds = if long { LONG_RUN_S } else { SHORT_RUN_S };
    let groups: &[usize] = if long { &[16, 48, 96, 192, GROUPS] } else { &[16, 64, 160, GROUPS] };
    let measure_groups = |groups| {
        let shape = with_observed_routers(reference_shape(FEW_ROUTERS, groups, seed));
        rates_after(&shape, FEW_ROUTERS_SETTLE_TIME, seconds)
    };
    std::thread::scope(|scope| {
        let by_groups = scope.spawn(|| measure_all(groups, measure_groups));
        let by_routers = measure_all(&[16, 32, 64, 128], |routers| {
            rates(&reference_shape(routers, FEW_GROUPS, seed), seconds)
        })?;
        let idle = measure_idle(seed, seconds)?;
        let admission = measure_admission(seed, long, seconds)?;
        let deaths = measure_deaths(seed, long)?;
        let lists = measure_lists(seed)?;
        let by_groups =
            by_groups.join().unwrap_or_else(|_| Err(io::Error::other("a measurement thread panicked")))?;
        Ok(Measurements { by_groups, by_routers, idle, admission, deaths, lists })
    })
}

fn with_observed_routers(shape: Shape) -> Shape {
    Shape { observed: OBSERVED_ROUTERS, ..shape }
}

fn measure_idle(seed: u64, seconds: f64) -> io::Result<Vec<(usize, Rates)>> {
    measure_all(&[128, 256, ROUTERS], |routers| {
        let shape = with_observed_routers(Shape { rate: 0.0, seed, ..Shape::of(routers, 1) });
        rates_after(&shape, SETTLE_TIME * MANY_ROUTERS_SETTLE_FACTOR, seconds / 2.0)
    })
}

fn measure_admission(seed: u64, long: bool, seconds: f64) -> io::Result<Vec<AdmissionPoint>> {
    let routers_and_groups: &[(usize, usize)] = if long {
        &[(16, 16), (32, 16), (32, 32), (64, 32), (64, 64)]
    } else {
        &[(16, 16), (32, 16), (32, 32)]
    };
    let indexes: Vec<usize> = (0..routers_and_groups.len()).collect();
    let measured = measure_all(&indexes, |index| {
        let (routers, groups) = routers_and_groups[index];
        measure_admission_reports(routers, groups, seed, seconds)
    })?;
    let point = |(index, measured): (usize, AdmissionReports)| {
        let (routers, groups) = routers_and_groups[index];
        AdmissionPoint { max_reports: ((routers - 1) * groups) as f64, measured }
    };
    Ok(measured.into_iter().map(point).collect())
}

fn measure_deaths(seed: u64, long: bool) -> io::Result<Vec<(usize, f64)>> {
    let routers: &[usize] = if long { &[16, 64, 128, 256, 460] } else { &[16, 64, 256] };
    measure_all(routers, |routers| death_detection_s(routers, seed))
}

fn measure_lists(seed: u64) -> io::Result<Vec<ListCost>> {
    [94, 235, 470, MEMBERS].into_iter().map(|members| list_cost(members, seed)).collect()
}

/// Slopes of gossip by groups and by routers, of health checks, and of the ticks that gossip causes.
fn gossip_slopes(measured: &Measurements) -> Vec<Slope> {
    let by_groups = |value: fn(&Rates) -> f64| points_of(&measured.by_groups, value);
    let by_routers = |value: fn(&Rates) -> f64| -> Points {
        measured.by_routers.iter().map(|(routers, rates)| (1.0 / *routers as f64, value(rates))).collect()
    };
    let received_cpu = |r: &Rates| micros_each(r.gossip_cores, r.received_datagrams - r.membership_datagrams);
    let slope = |name, x, y, points| Slope { name, x, y, points };
    vec![
        slope("words_datagrams", "groups", "datagrams a router a second", by_groups(|r| r.gossip_datagrams)),
        slope("words_bytes", "groups", "bytes a router a second", by_groups(|r| r.gossip_bytes)),
        slope(
            "words_by_routers",
            "1/routers",
            "datagrams a router a second for each of 16 groups",
            by_routers(|r| r.gossip_datagrams / FEW_GROUPS as f64),
        ),
        slope(
            "probes_by_routers",
            "1/routers",
            "probes a member a second, of all routers",
            by_routers(|r| r.health_checks),
        ),
        slope("word_cpu", "groups", "us of CPU a word heard", by_groups(received_cpu)),
        slope("quiet_turns", "groups", "turns without data a second", by_groups(|r| r.idle_ticks)),
        slope(
            "turn_cpu",
            "groups",
            "us of CPU a turn without data",
            by_groups(|r| micros_each(r.idle_tick_cores, r.idle_ticks)),
        ),
    ]
}

fn membership_slopes(idle: &[(usize, Rates)], memory: Points) -> Vec<Slope> {
    let slope = |name, y, points| Slope { name, x: "routers", y, points };
    vec![
        slope(
            "membership_datagrams",
            "datagrams a router a second",
            points_of(idle, |r| r.membership_datagrams),
        ),
        slope("membership_bytes", "bytes a router a second", points_of(idle, |r| r.membership_bytes)),
        slope(
            "membership_cpu",
            "us of CPU a datagram",
            points_of(idle, |r| micros_each(r.membership_cores, r.membership_datagrams)),
        ),
        slope("membership_memory", "KiB resident a router", memory),
    ]
}

fn admission_slopes(measured: &[AdmissionPoint]) -> Vec<Slope> {
    let points = |value: fn(&AdmissionReports) -> f64| -> Points {
        measured.iter().map(|point| (1.0 / point.max_reports, value(&point.measured))).collect()
    };
    let slope = |name, y, points| Slope { name, x: "1/words of all", y, points };
    vec![
        slope(
            "admission_bytes",
            "bytes a router a second, membership's too",
            points(|measured| measured.bytes_per_second),
        ),
        slope("admission_words", "words that count at a router", points(|measured| measured.reports)),
    ]
}

/// Slopes of the detection of router deaths and of complete endpoint lists.
fn event_slopes(measured: &Measurements) -> Vec<Slope> {
    let deaths = measured.deaths.iter().map(|(routers, detected_s)| ((*routers as f64).log2(), *detected_s));
    let lists = |value: fn(&ListCost) -> f64| -> Points {
        measured.lists.iter().map(|list| (list.members, value(list))).collect()
    };
    let slope = |name, x, y, points| Slope { name, x, y, points };
    vec![
        slope(
            "death_known",
            "log2 of routers",
            "s until all know of a router's death",
            deaths.collect::<Points>(),
        ),
        slope("list_bytes", "members", "bytes of a whole list", lists(|list| list.bytes)),
        slope("list_cpu", "members", "ms of CPU to read a whole list", lists(|list| list.cpu_ms)),
    ]
}

fn points_of(measured: &[(usize, Rates)], value: fn(&Rates) -> f64) -> Points {
    measured.iter().map(|(x, rates)| (*x as f64, value(rates))).collect()
}

/// Returns the CPU microseconds of one event, from the fraction of a core and the events a second.
fn micros_each(cores: f64, events_per_second: f64) -> f64 {
    cores / events_per_second.max(1e-9) * 1e6
}
