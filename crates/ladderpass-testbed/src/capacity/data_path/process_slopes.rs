//! Slopes of the memory, descriptors and CPU time of a real router process.

use super::process::{ConnectionUse, RouterTestbed};
use super::reducer_slopes::median;
use super::simulation::MEMBERS_PER_GROUP;
use crate::capacity::slope::Slope;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Time over which the CPU time for idle clients is measured. This time is shorter than the idle timeout, so that the
/// router closes no client connection.
const IDLE_CPU_SPAN: Duration = Duration::from_millis(800);

/// Settings of the measurement.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Whether the long measurement for docs/CAPACITY.md is made, instead of the short measurement for the proof.
    pub long: bool,
    /// Path of the router's binary. Without a path, the memory, descriptors and CPU time of a real router process are
    /// not measured.
    pub router: Option<PathBuf>,
}

/// Measures memory, descriptors and, in the long measurement, CPU time by the number of idle clients.
pub(super) fn idle_client_slopes(seed: u64, settings: &Settings) -> io::Result<Vec<Slope>> {
    let Some(router) = &settings.router else { return Ok(Vec::new()) };
    let (mut memory, mut descriptors, mut cpu) = (Vec::new(), Vec::new(), Vec::new());
    for clients in [500, 1000, 2000, 4000] {
        // With this much memory, the router does not free buffers under memory pressure.
        let testbed = RouterTestbed::start(router, 1, 2048, 20_000, seed)?;
        let streams = testbed.open_idle_clients(clients)?;
        memory.push((clients as f64, testbed.resident_kib()?));
        descriptors.push((clients as f64, testbed.descriptors()?));
        if settings.long {
            let before = testbed.cpu_s()?;
            std::thread::sleep(IDLE_CPU_SPAN);
            cpu.push((clients as f64, (testbed.cpu_s()? - before) / IDLE_CPU_SPAN.as_secs_f64() * 1e3));
        }
        drop(streams);
    }
    let slope = |name, y, points| Slope { name, x: "resting clients", y, points };
    let mut slopes = vec![
        slope("resting_memory", "KiB resident", memory),
        slope("resting_descriptors", "descriptors", descriptors),
    ];
    if !cpu.is_empty() {
        slopes.push(slope("resting_cpu", "ms of CPU a second", cpu));
    }
    Ok(slopes)
}

/// Measures the CPU time of statements on connections that stay open, and on new connections. Runs of the two kinds
/// alternate, so that other load on the machine affects both alike. A point is the median of its runs.
pub(super) fn statement_slopes(seed: u64, settings: &Settings) -> io::Result<Vec<Slope>> {
    let Some(router) = &settings.router else { return Ok(Vec::new()) };
    let (repeats, warm_up, span) = match settings.long {
        true => (5, Duration::from_millis(500), Duration::from_millis(3000)),
        false => (3, Duration::from_millis(50), Duration::from_millis(350)),
    };
    let testbed = RouterTestbed::start(router, 1, 192, 20_000, seed)?;
    let uses = [
        ("statement_cpu_kept", ConnectionUse::RoundRobin(16)),
        ("statement_cpu_anew", ConnectionUse::PerStatement),
    ];
    let mut points = [Vec::new(), Vec::new()];
    for rate in [200.0, 400.0, 800.0] {
        let mut runs = [Vec::new(), Vec::new()];
        for _ in 0..repeats {
            for ((_, connection_use), runs) in uses.iter().zip(&mut runs) {
                let result = testbed.run_load(*connection_use, rate, warm_up, span)?;
                runs.push((result.statements / result.seconds, result.cpu_s / result.seconds * 1e3));
            }
        }
        for (points, runs) in points.iter_mut().zip(runs) {
            let (x, y) = runs.into_iter().unzip();
            points.push((median(x), median(y)));
        }
    }
    let slope = |((name, _), points)| Slope { name, x: "statements/s", y: "ms of CPU a second", points };
    Ok(uses.into_iter().zip(points).map(slope).collect())
}

/// Measures memory by the number of members. The router has connected to each member before the measurement.
pub(super) fn member_slopes(seed: u64, settings: &Settings) -> io::Result<Vec<Slope>> {
    let Some(router) = &settings.router else { return Ok(Vec::new()) };
    let mut points = Vec::new();
    for groups in [26, 52, 104, 208] {
        let testbed = RouterTestbed::start(router, groups, 2048, 20_000, seed)?;
        // Health checks and statements of all groups reach all members.
        let rate = f64::from(groups) * 8.0;
        testbed.run_load(
            ConnectionUse::RoundRobin(16),
            rate.min(800.0),
            Duration::ZERO,
            Duration::from_millis(1500),
        )?;
        points.push((f64::from(groups * MEMBERS_PER_GROUP), testbed.resident_kib()?));
    }
    Ok(vec![Slope { name: "member_memory", x: "members", y: "KiB resident", points }])
}
