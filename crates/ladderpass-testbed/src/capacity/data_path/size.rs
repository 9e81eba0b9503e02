//! A table that compares one router at the reference size in a simulation and as a real process.

use super::process::{ConnectionUse, LoadResult, RouterTestbed, is_open};
use super::reducer_slopes::steady_counts;
use super::reference_size::{CLIENTS, STATEMENTS};
use super::simulation::{Counts, Shape, Simulation};
use crate::router_log;
use ladderpass_routing::Span;
use std::io;
use std::path::Path;
use std::time::Duration;

/// How often a router logs its stats, in seconds.
const STATS_INTERVAL_S: f64 = 10.0;
/// Number of groups at the reference size.
const GROUPS: u32 = 313;
/// Simulated time before the measurement.
const WARM_UP: Span = Span::from_millis(15_000);
/// Simulated time of the measurement.
const SPAN: Span = Span::from_millis(40_000);
/// An idle timeout that is longer than any simulation here.
const LONG_IDLE_TIMEOUT: Span = Span::from_millis(600_000);

/// Measures one router at the reference size, and returns the results as text. The router's own code is measured in
/// simulated time, once with its default idle timeout and once with an idle timeout so long that no client connection
/// is closed. A real process is measured too if the path of the router's binary is given.
///
/// # Errors
/// If a simulation or the process can't be started.
pub fn size(seed: u64, router: Option<&Path>) -> Result<String, String> {
    let shape = Shape { answer_time: Span::from_nanos(1), routers: 1, ..Shape::of(GROUPS) };
    let simulated = steady_counts(&shape, WARM_UP, SPAN, seed)?;
    let with_long_idle_timeout = counts_with_long_idle_timeout(&shape, seed)?;
    let real = router
        .map(|router| measure_at_reference_size(seed, router))
        .transpose()
        .map_err(|error| error.to_string())?;
    let mut text = comparison_table(&simulated, &with_long_idle_timeout, real.as_ref());
    if let Some(real) = real {
        text += &format!(
            "\nReal: {:.0} KiB resident; {:.0} descriptors once the clients had gone.\n",
            real.resident_kib, real.descriptors
        );
    }
    if let Some(router) = router {
        let IdleClients { open, resident_kib, descriptors } =
            measure_idle_clients(seed, router).map_err(|error| error.to_string())?;
        text += &format!(
            "\n5,900 at rest with 192 MB and 24,000 sockets told: {open} open, {resident_kib:.0} KiB resident, \
             {descriptors:.0} descriptors.\n"
        );
    }
    Ok(text)
}

/// Returns the counts of a simulation in which all clients are connected from the start, and the router closes no
/// client connection.
fn counts_with_long_idle_timeout(shape: &Shape, seed: u64) -> Result<Counts, String> {
    let shape = Shape { client_idle_timeout: Some(LONG_IDLE_TIMEOUT), ..shape.clone() };
    let mut simulation = Simulation::new(&shape, seed)?;
    simulation.open_all_clients();
    simulation.run(WARM_UP);
    Ok(simulation.run(SPAN))
}

fn comparison_table(
    simulated: &Counts,
    with_long_idle_timeout: &Counts,
    real: Option<&ReferenceSizeResult>,
) -> String {
    let mut text = String::from("| at the size, one router | pure | pure, clients kept | real |\n");
    text += "|---|---|---|---|\n";
    let mut row =
        |name: &str, value: fn(&Counts) -> f64, real_value: Option<fn(&ReferenceSizeResult) -> f64>| {
            let real = real.zip(real_value).map(|(real, value)| format!("{:.1}", value(real)));
            let real = real.unwrap_or("not seen".to_owned());
            text += &format!(
                "| {name} | {:.1} | {:.1} | {real} |\n",
                value(simulated),
                value(with_long_idle_timeout)
            );
        };
    row("statements/s", |c| c.statements / c.seconds, Some(|r| r.load.statements / r.load.seconds));
    row(
        "opened anew a second",
        |c| c.clients_reopened / c.seconds,
        Some(|r| r.load.connections_opened / r.load.seconds),
    );
    row("client connections open", |c| c.client_connections, Some(|r| r.clients));
    row("connections to members", |c| c.member_connections, Some(|r| r.member_connections));
    row(
        "connections to members made a second",
        |c| c.member_connections_opened / c.seconds,
        Some(|r| r.member_connections_opened_per_second),
    );
    row("probes a second", |c| c.health_checks / c.seconds, Some(|r| r.health_checks_per_second));
    row("turns a second", |c| c.ticks / c.seconds, None);
    row(
        "ms of CPU a second",
        |c| (c.tick_cpu_s + c.other_cpu_s) / c.seconds * 1e3,
        Some(|r| r.load.cpu_s / r.load.seconds * 1e3),
    );
    row("of these in turns", |c| c.tick_cpu_s / c.seconds * 1e3, None);
    row(
        "mean wait, ms",
        |c| c.total_latency_s / c.served.max(1.0) * 1e3,
        Some(|r| r.load.total_latency_s / r.load.statements * 1e3),
    );
    row("refused or failed", |c| c.failed, Some(|r| r.load.failed));
    text
}

/// Measurements of a real router with all clients of the reference size connected and idle.
struct IdleClients {
    /// Number of clients whose connections are still open.
    open: usize,
    resident_kib: f64,
    descriptors: f64,
}

/// Measures idle clients. The router has the usual 192 MB of memory, and enough sockets that it evicts no connection.
fn measure_idle_clients(seed: u64, router: &Path) -> io::Result<IdleClients> {
    let testbed = RouterTestbed::start(router, 1, 192, 24_000, seed)?;
    let streams = testbed.open_idle_clients(CLIENTS as usize)?;
    let open = streams.iter().filter(|stream| is_open(stream)).count();
    Ok(IdleClients { open, resident_kib: testbed.resident_kib()?, descriptors: testbed.descriptors()? })
}

/// Measurements of a real router at the reference size.
struct ReferenceSizeResult {
    load: LoadResult,
    /// Mean number of open connections of clients.
    clients: f64,
    /// Mean number of open connections to members.
    member_connections: f64,
    member_connections_opened_per_second: f64,
    health_checks_per_second: f64,
    resident_kib: f64,
    descriptors: f64,
}

/// Runs a real router in front of 939 emulated members, with 5,900 clients that send statements at random.
fn measure_at_reference_size(seed: u64, router: &Path) -> io::Result<ReferenceSizeResult> {
    let testbed = RouterTestbed::start(router, GROUPS, 192, 20_000, seed)?;
    let (warm_up, span) = (Duration::from_millis(24_000), Duration::from_millis(22_000));
    let load = testbed.run_load(ConnectionUse::Random(CLIENTS as usize), STATEMENTS, warm_up, span)?;
    // The router logs its stats every ten seconds. The last two of these intervals lie within the measured time.
    let log = testbed.log();
    let stats: Vec<&String> = log.iter().filter(|line| router_log::is_stats(line)).rev().take(2).collect();
    let mean = |value: &dyn Fn(&str) -> Option<f64>| {
        stats.iter().filter_map(|line| value(line)).sum::<f64>() / stats.len().max(1) as f64
    };
    let number = |name: &str| mean(&|line| router_log::number(line, name));
    let health_checks = mean(&|line| router_log::sum_by_outcome(line, "health_checks"));
    Ok(ReferenceSizeResult {
        load,
        clients: number("clients"),
        member_connections: number("member_connections"),
        member_connections_opened_per_second: number("connects") / STATS_INTERVAL_S,
        health_checks_per_second: health_checks / STATS_INTERVAL_S,
        resident_kib: testbed.resident_kib()?,
        descriptors: testbed.descriptors()?,
    })
}
