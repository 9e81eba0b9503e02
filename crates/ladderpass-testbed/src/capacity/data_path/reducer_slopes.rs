//! Slopes that are measured on the router's own code in simulated time: no sockets, no system calls.

use super::simulation::{Counts, MEMBERS_PER_GROUP, Shape, Simulation, thread_cpu_s};
use crate::capacity::slope::Slope;
use ladderpass_routing::{AttemptOutcome, LoadReport, Span};

const IDLE_TICKS: usize = 2000;
const PROBE_PASSES: usize = 20;
/// Long enough that health checks are due after it.
const PROBE_PASS_INTERVAL: Span = Span::from_millis(1000);

pub(super) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Slopes of the router's code alone, in simulated time.
///
/// # Errors
/// If a simulation can't be started.
pub fn reducer_slopes(seed: u64, long: bool) -> Result<Vec<Slope>, String> {
    let repeats = if long { 9 } else { 5 };
    let (mut idle_ticks, mut probe_passes) = (Vec::new(), Vec::new());
    for groups in [39, 78, 156, 313] {
        let shape = Shape { rate: 0.0, clients: 0, ..Shape::of(groups) };
        let members = shape.members() as f64;
        idle_ticks.push((f64::from(groups), idle_tick_cpu_us(&shape, repeats, seed)?));
        probe_passes.push((members, health_check_tick_cpu_us(&shape, repeats, seed)? / members * 1e3));
    }
    let mut with_idle_clients = Vec::new();
    for clients in [500, 1000, 2000, 4000, 5900] {
        let shape = Shape { rate: 0.0, clients, memory_mb: 1024, ..Shape::of(13) };
        with_idle_clients.push((clients as f64, idle_tick_cpu_us(&shape, repeats, seed)?));
    }
    let (groups, warm, span): (&[u32], _, _) = match long {
        true => (&[39, 78, 156, 313], Span::from_millis(20_000), Span::from_millis(60_000)),
        false => (&[26, 52, 104, 208], Span::from_millis(14_000), Span::from_millis(36_000)),
    };
    // Members, statements a second, and the counts.
    let mut points: Vec<(f64, f64, Counts)> = Vec::new();
    for &groups in groups {
        let shape = Shape::of(groups);
        let counts = steady_counts(&shape, warm, span, seed)?;
        // The statements that came, which scatter about the rate.
        points.push((shape.members() as f64, counts.statements / counts.seconds, counts));
    }
    let slope = |name, x, y, points| Slope { name, x, y, points };
    let by_members = |value: fn(&Counts) -> f64| {
        points.iter().map(|(members, _, counts)| (*members, value(counts))).collect::<Vec<_>>()
    };
    let by_rate = |value: fn(&Counts) -> f64| {
        points.iter().map(|(_, rate, counts)| (*rate, value(counts))).collect::<Vec<_>>()
    };
    Ok(vec![
        slope("turn_cpu_groups", "groups", "us of CPU an idle turn", idle_ticks),
        slope("turn_cpu_resting", "resting clients", "us of CPU an idle turn", with_idle_clients),
        slope("probe_pass_cpu", "members", "ns of CPU a member of a pass", probe_passes),
        slope("links", "members", "connections to members", by_members(|counts| counts.member_connections)),
        slope(
            "probes",
            "statements/s",
            "probes a second",
            by_rate(|counts| counts.health_checks / counts.seconds),
        ),
        slope(
            "opened",
            "statements/s",
            "client connections opened a second",
            by_rate(|c| c.clients_reopened / c.seconds),
        ),
        slope(
            "clients_open",
            "statements/s",
            "client connections that are open",
            by_rate(|counts| counts.client_connections),
        ),
        slope("queries", "statements/s", "queries to members a second", by_rate(|c| c.queries / c.seconds)),
        slope(
            "member_bytes",
            "statements/s",
            "KB to members a second",
            by_rate(|c| c.query_bytes / c.seconds / 1e3),
        ),
        slope("turns", "statements/s", "turns a second", by_rate(|counts| counts.ticks / counts.seconds)),
    ])
}

/// Counts over `span`, after a warm-up.
///
/// # Errors
/// If the simulation can't be started.
pub fn steady_counts(shape: &Shape, warm: Span, span: Span, seed: u64) -> Result<Counts, String> {
    let mut simulation = Simulation::new(shape, seed)?;
    simulation.run(warm);
    Ok(simulation.run(span))
}

/// CPU microseconds of a tick with nothing to do, with all clients of the shape connected and idle.
///
/// # Errors
/// If the simulation can't be started.
pub fn idle_tick_cpu_us(shape: &Shape, repeats: usize, seed: u64) -> Result<f64, String> {
    let mut simulation = Simulation::new(shape, seed)?;
    simulation.run(Span::from_millis(1000));
    simulation.open_all_clients();
    Ok(median((0..repeats).map(|_| simulation.idle_tick_cpu_s(IDLE_TICKS) * 1e6).collect()))
}

/// CPU microseconds of a tick in which health checks are due.
///
/// # Errors
/// If the router's settings can't be read.
pub fn health_check_tick_cpu_us(shape: &Shape, repeats: usize, seed: u64) -> Result<f64, String> {
    let (mut router, mut now) = Simulation::routing_core(shape, seed)?;
    let mut passes = |count: usize| {
        let mut cpu = 0.0;
        for _ in 0..count {
            now = now + PROBE_PASS_INTERVAL;
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
    passes(PROBE_PASSES);
    Ok(median((0..repeats).map(|_| passes(PROBE_PASSES)).collect()))
}
