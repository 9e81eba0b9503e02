//! One router at the reference size, simulated and as a real process, as a table.

use super::process::{Bed, Seen, Way, is_open};
use super::reducer_slopes::steady;
use super::reference_size::{CLIENTS, STATEMENTS};
use super::simulation::{Counts, Shape, Simulation};
use crate::router_log;
use ladderpass_routing::Span;
use std::io;
use std::path::Path;
use std::time::Duration;

/// How often a router logs its stats, in seconds.
const STATS_INTERVAL_S: f64 = 10.0;

/// Measures one router at the reference size: its code in simulated time, with the idle timeout of today and with one that
/// keeps all clients; and a real process, if there is a binary.
///
/// # Errors
/// If a simulation or the process can't be started.
pub fn size(seed: u64, router: Option<&Path>) -> Result<String, String> {
    let (warm, span) = (Span::from_millis(15_000), Span::from_millis(40_000));
    let at_once = Shape { answer: Span::from_nanos(1), routers: 1, ..Shape::of(313) };
    let keeps_clients = Shape { client_idle: Some(Span::from_millis(600_000)), ..at_once.clone() };
    let pure = steady(&at_once, warm, span, seed)?;
    let mut kept = Simulation::new(&keeps_clients, seed)?;
    kept.open_all();
    kept.run(warm);
    let kept = kept.run(span);
    let real = router.map(|router| at_size(seed, router)).transpose().map_err(|error| error.to_string())?;
    let mut text = String::from("| at the size, one router | pure | pure, clients kept | real |\n");
    text += "|---|---|---|---|\n";
    let mut row = |name: &str, value: fn(&Counts) -> f64, real: Option<f64>| {
        let real = real.map_or("not seen".to_owned(), |real| format!("{real:.1}"));
        text += &format!("| {name} | {:.1} | {:.1} | {real} |\n", value(&pure), value(&kept));
    };
    let measured = |value: fn(&AtSize) -> f64| real.as_ref().map(value);
    row("statements/s", |c| c.statements / c.secs, measured(|r| r.seen.asked / r.seen.secs));
    row("opened anew a second", |c| c.opened / c.secs, measured(|r| r.seen.opened / r.seen.secs));
    row("client connections open", |c| c.clients, measured(|r| r.clients));
    row("connections to members", |c| c.links, measured(|r| r.links));
    row("connections to members made a second", |c| c.connects / c.secs, measured(|r| r.connects));
    row("probes a second", |c| c.probes / c.secs, measured(|r| r.probes));
    row("turns a second", |c| c.turns / c.secs, None);
    row(
        "ms of CPU a second",
        |c| (c.cpu_turns + c.cpu_else) / c.secs * 1e3,
        measured(|r| r.seen.cpu / r.seen.secs * 1e3),
    );
    row("of these in turns", |c| c.cpu_turns / c.secs * 1e3, None);
    row(
        "mean wait, ms",
        |c| c.waited / c.served.max(1.0) * 1e3,
        measured(|r| r.seen.waited / r.seen.asked * 1e3),
    );
    row("refused or failed", |c| c.refused, measured(|r| r.seen.failed));
    if let Some(real) = real {
        text += &format!(
            "\nReal: {:.0} KiB resident; {:.0} descriptors once the clients had gone.\n",
            real.resident, real.descriptors
        );
    }
    if let Some(router) = router {
        let IdleClients { open, resident, descriptors } =
            idle_clients(seed, router).map_err(|error| error.to_string())?;
        text += &format!(
            "\n5,900 at rest with 192 MB and 24,000 sockets told: {open} open, {resident:.0} KiB resident, \
             {descriptors:.0} descriptors.\n"
        );
    }
    Ok(text)
}

/// A real router with all clients of the reference size idle.
struct IdleClients {
    open: usize,
    resident: f64,
    descriptors: f64,
}

/// With the usual memory, and enough sockets that no connection is evicted.
fn idle_clients(seed: u64, router: &Path) -> io::Result<IdleClients> {
    let bed = Bed::start(router, 1, 192, 24_000, seed)?;
    let streams = bed.rest(CLIENTS as usize)?;
    let open = streams.iter().filter(|stream| is_open(stream)).count();
    Ok(IdleClients { open, resident: bed.resident()?, descriptors: bed.descriptors()? })
}

/// A real router at the reference size.
struct AtSize {
    seen: Seen,
    clients: f64,
    links: f64,
    connects: f64,
    probes: f64,
    resident: f64,
    descriptors: f64,
}

/// Runs a real router before 939 emulated members, with 5,900 clients that send statements at random.
fn at_size(seed: u64, router: &Path) -> io::Result<AtSize> {
    let bed = Bed::start(router, 313, 192, 20_000, seed)?;
    let (warm, span) = (Duration::from_millis(24_000), Duration::from_millis(22_000));
    let seen = bed.ask(Way::ByChance(CLIENTS as usize), STATEMENTS, warm, span)?;
    // The router's own stats, each of ten seconds; the last two lie within the time.
    let log = bed.log();
    let stats: Vec<&String> = log.iter().filter(|line| router_log::is_stats(line)).rev().take(2).collect();
    let mean = |value: &dyn Fn(&str) -> Option<f64>| {
        stats.iter().filter_map(|line| value(line)).sum::<f64>() / stats.len().max(1) as f64
    };
    let number = |name: &str| mean(&|line| router_log::number(line, name));
    let health_checks = mean(&|line| router_log::sum_by_outcome(line, "health_checks"));
    Ok(AtSize {
        seen,
        clients: number("clients"),
        links: number("member_connections"),
        connects: number("connects") / STATS_INTERVAL_S,
        probes: health_checks / STATS_INTERVAL_S,
        resident: bed.resident()?,
        descriptors: bed.descriptors()?,
    })
}
