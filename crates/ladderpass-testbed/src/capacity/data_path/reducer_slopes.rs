//! Slopes of the router's own code in simulated time, without sockets and system calls.

use super::simulation::{Counts, MEMBERS_PER_GROUP, Shape, Simulation, thread_cpu_s};
use crate::capacity::slope::Slope;
use ladderpass_routing::{AttemptOutcome, LoadReport, Span};

const IDLE_TICKS: usize = 2000;
const HEALTH_CHECK_TICKS: usize = 20;
/// Simulated time between ticks, which is long enough that health checks are due at each tick.
const HEALTH_CHECK_TICK_INTERVAL: Span = Span::from_millis(1000);

/// Returns the median (the upper one of an even number of values), or NaN if there are no values.
pub(super) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Measures the slopes of the router's own code in simulated time.
///
/// # Errors
/// If a simulation can't be started.
pub fn reducer_slopes(seed: u64, long: bool) -> Result<Vec<Slope>, String> {
    let mut slopes = tick_slopes(if long { 9 } else { 5 }, seed)?;
    let loads = if long { measure_long(seed)? } else { measure_short(seed)? };
    slopes.extend(count_slopes(&loads));
    Ok(slopes)
}

/// Counts of one simulation after its warm-up.
struct SteadyLoad {
    members: f64,
    /// Number of statements that the clients sent. As statements are sent at random, this number differs somewhat from
    /// the rate of the shape.
    statements_per_second: f64,
    counts: Counts,
}

fn measure_long(seed: u64) -> Result<Vec<SteadyLoad>, String> {
    measure_loads(&[39, 78, 156, 313], Span::from_millis(20_000), Span::from_millis(60_000), seed)
}

fn measure_short(seed: u64) -> Result<Vec<SteadyLoad>, String> {
    measure_loads(&[26, 52, 104, 208], Span::from_millis(14_000), Span::from_millis(36_000), seed)
}

fn measure_loads(groups: &[u32], warm_up: Span, span: Span, seed: u64) -> Result<Vec<SteadyLoad>, String> {
    let measure = |&groups: &u32| {
        let shape = Shape::of(groups);
        let counts = steady_counts(&shape, warm_up, span, seed)?;
        let statements_per_second = counts.statements / counts.seconds;
        Ok(SteadyLoad { members: shape.members() as f64, statements_per_second, counts })
    };
    groups.iter().map(measure).collect()
}

/// Measures the CPU time of ticks without load by groups, members and idle clients.
fn tick_slopes(repeats: usize, seed: u64) -> Result<Vec<Slope>, String> {
    let (mut by_groups, mut by_members, mut by_clients) = (Vec::new(), Vec::new(), Vec::new());
    for groups in [39, 78, 156, 313] {
        let shape = Shape { rate: 0.0, clients: 0, ..Shape::of(groups) };
        let members = shape.members() as f64;
        by_groups.push((f64::from(groups), idle_tick_cpu_us(&shape, repeats, seed)?));
        by_members.push((members, health_check_tick_cpu_us(&shape, repeats, seed)? / members * 1e3));
    }
    for clients in [500, 1000, 2000, 4000, 5900] {
        let shape = Shape { rate: 0.0, clients, memory_mb: 1024, ..Shape::of(13) };
        by_clients.push((clients as f64, idle_tick_cpu_us(&shape, repeats, seed)?));
    }
    let slope = |name, x, y, points| Slope { name, x, y, points };
    Ok(vec![
        slope("turn_cpu_groups", "groups", "us of CPU an idle turn", by_groups),
        slope("turn_cpu_resting", "resting clients", "us of CPU an idle turn", by_clients),
        slope("probe_pass_cpu", "members", "ns of CPU a member of a pass", by_members),
    ])
}

/// Slopes of the counts by members and by statements a second.
fn count_slopes(loads: &[SteadyLoad]) -> Vec<Slope> {
    let member_connections =
        loads.iter().map(|load| (load.members, load.counts.member_connections)).collect();
    let by_statements = |name, y, value: fn(&Counts) -> f64| {
        let points = loads.iter().map(|load| (load.statements_per_second, value(&load.counts))).collect();
        Slope { name, x: "statements/s", y, points }
    };
    vec![
        Slope { name: "links", x: "members", y: "connections to members", points: member_connections },
        by_statements("probes", "probes a second", |c| c.health_checks / c.seconds),
        by_statements("opened", "client connections opened a second", |c| c.clients_reopened / c.seconds),
        by_statements("clients_open", "client connections that are open", |c| c.client_connections),
        by_statements("queries", "queries to members a second", |c| c.queries / c.seconds),
        by_statements("member_bytes", "KB to members a second", |c| c.query_bytes / c.seconds / 1e3),
        by_statements("turns", "turns a second", |c| c.ticks / c.seconds),
    ]
}

/// Returns the counts of a simulation over `span`, after a warm-up.
///
/// # Errors
/// If the simulation can't be started.
pub fn steady_counts(shape: &Shape, warm_up: Span, span: Span, seed: u64) -> Result<Counts, String> {
    let mut simulation = Simulation::new(shape, seed)?;
    simulation.run(warm_up);
    Ok(simulation.run(span))
}

/// Measures the CPU microseconds of a tick that has nothing to do, while all clients of the shape are connected and idle.
/// Returns the median of the repeats.
///
/// # Errors
/// If the simulation can't be started.
pub fn idle_tick_cpu_us(shape: &Shape, repeats: usize, seed: u64) -> Result<f64, String> {
    let mut simulation = Simulation::new(shape, seed)?;
    simulation.run(Span::from_millis(1000));
    simulation.open_all_clients();
    Ok(median((0..repeats).map(|_| simulation.idle_tick_cpu_s(IDLE_TICKS) * 1e6).collect()))
}

/// Measures the CPU microseconds of a tick of the routing core in which health checks are due. Returns the median of the
/// repeats.
///
/// # Errors
/// If the router's settings can't be read.
pub fn health_check_tick_cpu_us(shape: &Shape, repeats: usize, seed: u64) -> Result<f64, String> {
    let (mut router, mut now) = Simulation::routing_core(shape, seed)?;
    let mut mean_tick_cpu_us = |count: usize| {
        let mut cpu = 0.0;
        for _ in 0..count {
            now = now + HEALTH_CHECK_TICK_INTERVAL;
            let before = thread_cpu_s();
            let output = router.tick(now);
            cpu += thread_cpu_s() - before;
            for member in output.health_checks {
                let report = LoadReport {
                    position: Some(now),
                    is_primary: Some(member.0 % MEMBERS_PER_GROUP == 0),
                    ..LoadReport::default()
                };
                router.on_health_check_ended(now, member, AttemptOutcome::Ok, Span::from_millis(1), report);
            }
        }
        cpu / count as f64 * 1e6
    };
    mean_tick_cpu_us(HEALTH_CHECK_TICKS);
    Ok(median((0..repeats).map(|_| mean_tick_cpu_us(HEALTH_CHECK_TICKS)).collect()))
}
