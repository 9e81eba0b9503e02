//! Slopes of a router's data path: clients that rest, statements, connections to members, and turns of its
//! loop.
//!
//! It owns what is measured, and over which range. Counts come from the router's own code in simulated time
//! (`world`), CPU of a statement and memory from a real process (`process`). It must never be needed by a
//! router that serves.

pub mod process;
pub mod world;

use super::slope::Slope;
use ladderpass_routing::{AttemptOutcome, LoadReport, Span};
use process::{Bed, Seen, Way};
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;
use world::{Counts, OF_GROUP, Shape, World};

/// How much is measured: the short form is for the proof, the long one for the page.
#[derive(Clone, Debug)]
pub struct Settings {
    pub long: bool,
    /// The router's binary; without one the slopes of real processes are left out.
    pub router: Option<PathBuf>,
}

/// The size, a router's part of it.
pub const GROUPS: f64 = 313.0;
pub const MEMBERS: f64 = 940.0;
pub const ROUTERS: f64 = 460.0;
pub const CLIENTS: f64 = 5900.0;
pub const STATEMENTS: f64 = 520.0;

/// All slopes; one whose process could not be played is left out, and told on standard error.
pub fn measure(seed: u64, settings: &Settings) -> Vec<Slope> {
    let mut slopes = pure(seed, settings.long).unwrap_or_else(|fault| {
        eprintln!("data path, pure: {fault}");
        Vec::new()
    });
    for part in [resting, statements, listed] {
        match part(seed, settings) {
            Ok(further) => slopes.extend(further),
            Err(fault) => eprintln!("data path, processes: {fault}"),
        }
    }
    slopes
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// From the router's code alone.
pub fn pure(seed: u64, long: bool) -> Result<Vec<Slope>, String> {
    let repeats = if long { 9 } else { 5 };
    let (mut turns, mut passes) = (Vec::new(), Vec::new());
    for groups in [39, 78, 156, 313] {
        let shape = Shape { rate: 0.0, clients: 0, ..Shape::of(groups) };
        let members = shape.members() as f64;
        turns.push((f64::from(groups), idle_turn(&shape, repeats, seed)?));
        passes.push((members, probe_pass(&shape, repeats, seed)? / members * 1e3));
    }
    let mut rests = Vec::new();
    for clients in [500, 1000, 2000, 4000, 5900] {
        let shape = Shape { rate: 0.0, clients, memory_mb: 1024, ..Shape::of(13) };
        rests.push((clients as f64, idle_turn(&shape, repeats, seed)?));
    }
    let (groups, warm, span): (&[u32], _, _) = match long {
        true => (&[39, 78, 156, 313], Span::from_millis(20_000), Span::from_millis(60_000)),
        false => (&[26, 52, 104, 208], Span::from_millis(14_000), Span::from_millis(36_000)),
    };
    let mut seen: Vec<(f64, f64, Counts)> = Vec::new();
    for &groups in groups {
        let shape = Shape::of(groups);
        let counts = steady(&shape, warm, span, seed)?;
        // By those that came, which scatter about the rate.
        seen.push((shape.members() as f64, counts.statements / counts.secs, counts));
    }
    let of = |name, x, y, points| Slope { name, x, y, points };
    let by_members = |value: fn(&Counts) -> f64| {
        seen.iter().map(|(members, _, counts)| (*members, value(counts))).collect::<Vec<_>>()
    };
    let by_rate = |value: fn(&Counts) -> f64| {
        seen.iter().map(|(_, rate, counts)| (*rate, value(counts))).collect::<Vec<_>>()
    };
    Ok(vec![
        of("turn_cpu_groups", "groups", "us of CPU an idle turn", turns),
        of("turn_cpu_resting", "resting clients", "us of CPU an idle turn", rests),
        of("probe_pass_cpu", "members", "ns of CPU a member of a pass", passes),
        of("links", "members", "connections to members", by_members(|counts| counts.links)),
        of("probes", "statements/s", "probes a second", by_rate(|counts| counts.probes / counts.secs)),
        of("opened", "statements/s", "client connections opened a second", by_rate(|c| c.opened / c.secs)),
        of(
            "clients_open",
            "statements/s",
            "client connections that are open",
            by_rate(|counts| counts.clients),
        ),
        of("queries", "statements/s", "queries to members a second", by_rate(|c| c.queries / c.secs)),
        of("member_bytes", "statements/s", "KB to members a second", by_rate(|c| c.bytes / c.secs / 1e3)),
        of("turns", "statements/s", "turns a second", by_rate(|counts| counts.turns / counts.secs)),
    ])
}

/// What is counted once it has run for a while.
pub fn steady(shape: &Shape, warm: Span, span: Span, seed: u64) -> Result<Counts, String> {
    let mut world = World::new(shape, seed)?;
    world.run(warm);
    Ok(world.run(span))
}

/// Microseconds of CPU of a turn with nothing to do, the clients of the shape at rest.
pub fn idle_turn(shape: &Shape, repeats: usize, seed: u64) -> Result<f64, String> {
    let mut world = World::new(shape, seed)?;
    world.run(Span::from_millis(1000));
    world.open_all();
    Ok(median((0..repeats).map(|_| world.idle_turn(2000) * 1e6).collect()))
}

/// Microseconds of CPU of a pass in which a probe is due, the rest of the turn with it.
pub fn probe_pass(shape: &Shape, repeats: usize, seed: u64) -> Result<f64, String> {
    let (mut router, mut now) = World::core(shape, seed)?;
    let mut passes = |count: usize| {
        let mut cpu = 0.0;
        for _ in 0..count {
            // A pass is due after this in any case.
            now = now + Span::from_millis(1000);
            let before = world::cpu();
            let upkeep = router.tick(now);
            cpu += world::cpu() - before;
            for member in upkeep.health_checks {
                let report = LoadReport {
                    position: Some(now),
                    is_primary: Some(member.0 % OF_GROUP == 0),
                    ..LoadReport::default()
                };
                router.on_health_check_ended(now, member, AttemptOutcome::Ok, Span::from_millis(1), report);
            }
        }
        cpu / count as f64 * 1e6
    };
    passes(20);
    Ok(median((0..repeats).map(|_| passes(20)).collect()))
}

/// Memory, and descriptors, of clients that rest.
fn resting(seed: u64, settings: &Settings) -> io::Result<Vec<Slope>> {
    let Some(router) = &settings.router else { return Ok(Vec::new()) };
    let (mut memory, mut descriptors, mut cpu) = (Vec::new(), Vec::new(), Vec::new());
    for clients in [500, 1000, 2000, 4000] {
        // So much that no ring is given back for want of it.
        let bed = Bed::start(router, 1, 2048, 20_000, seed)?;
        let streams = bed.rest(clients)?;
        memory.push((clients as f64, bed.resident()?));
        descriptors.push((clients as f64, bed.descriptors()?));
        if settings.long {
            // None is closed yet: they may rest for longer.
            let before = bed.cpu()?;
            std::thread::sleep(Duration::from_millis(800));
            cpu.push((clients as f64, (bed.cpu()? - before) / 0.8 * 1e3));
        }
        drop(streams);
    }
    let of = |name, y, points| Slope { name, x: "resting clients", y, points };
    let mut slopes = vec![
        of("resting_memory", "KiB resident", memory),
        of("resting_descriptors", "descriptors", descriptors),
    ];
    slopes
        .extend(Some(of("resting_cpu", "ms of CPU a second", cpu)).filter(|slope| !slope.points.is_empty()));
    Ok(slopes)
}

/// CPU of statements on connections that stay, and on new ones. The two take turns, so that what else the
/// machine does weighs on both alike; a point is the median of its runs.
fn statements(seed: u64, settings: &Settings) -> io::Result<Vec<Slope>> {
    let Some(router) = &settings.router else { return Ok(Vec::new()) };
    let (repeats, warm, span) = match settings.long {
        true => (5, Duration::from_millis(500), Duration::from_millis(3000)),
        false => (3, Duration::from_millis(50), Duration::from_millis(350)),
    };
    let bed = Bed::start(router, 1, 192, 20_000, seed)?;
    let ways = [("statement_cpu_kept", Way::Kept(16)), ("statement_cpu_anew", Way::Anew)];
    let mut points = [Vec::new(), Vec::new()];
    for rate in [200.0, 400.0, 800.0] {
        let mut runs = [Vec::new(), Vec::new()];
        for _ in 0..repeats {
            for ((_, way), runs) in ways.iter().zip(&mut runs) {
                let seen = bed.ask(*way, rate, warm, span)?;
                runs.push((seen.asked / seen.secs, seen.cpu / seen.secs * 1e3));
            }
        }
        for (points, runs) in points.iter_mut().zip(runs) {
            let (x, y) = runs.into_iter().unzip();
            points.push((median(x), median(y)));
        }
    }
    let slope = |((name, _), points)| Slope { name, x: "statements/s", y: "ms of CPU a second", points };
    Ok(ways.into_iter().zip(points).map(slope).collect())
}

/// Memory of a router before so many members, each of which it has been connected to.
fn listed(seed: u64, settings: &Settings) -> io::Result<Vec<Slope>> {
    let Some(router) = &settings.router else { return Ok(Vec::new()) };
    let mut points = Vec::new();
    for groups in [26, 52, 104, 208] {
        let bed = Bed::start(router, groups, 2048, 20_000, seed)?;
        // Probes, and statements that go round all groups, reach all members.
        let rate = f64::from(groups) * 8.0;
        bed.ask(Way::Kept(16), rate.min(800.0), Duration::ZERO, Duration::from_millis(1500))?;
        points.push((f64::from(groups * OF_GROUP), bed.resident()?));
    }
    Ok(vec![Slope { name: "member_memory", x: "members", y: "KiB resident", points }])
}

/// What the slopes don't show, as tables: what bends. Of the router's code alone.
pub fn tables(seed: u64) -> Result<String, String> {
    let (warm, span) = (Span::from_millis(15_000), Span::from_millis(40_000));
    let base = Shape::of(78);
    let mut text =
        String::from("| rest until closed, s | opened anew, of statements | open of 5,900 | refused |\n");
    text += "|---|---|---|---|\n";
    for idle in [2.1, 5.0, 10.0, 30.0, 60.0] {
        let shape = Shape { client_idle: Some(Span::from_secs_f64(idle)), ..base.clone() };
        let counts = steady(&shape, Span::from_secs_f64(idle.max(15.0)), span, seed)?;
        let (opened, open) =
            (counts.opened / counts.statements, counts.clients / base.clients as f64 * CLIENTS);
        text += &format!("| {idle} | {:.1}% | {open:.0} | {:.0} |\n", opened * 100.0, counts.refused);
    }
    text += "\n| answer time, ms | connections a pair | most of a pair | made a second at 940 | refused |\n";
    text += "|---|---|---|---|---|\n";
    for ms in [1, 5, 20, 50, 200, 400] {
        let counts = steady(&Shape { answer: Span::from_millis(ms), ..base.clone() }, warm, span, seed)?;
        let (pairs, anew) = (base.members() as f64, counts.connects / counts.secs);
        text += &format!(
            "| {ms} | {:.3} | {} | {:.2} | {:.2}% |\n",
            counts.links / pairs,
            counts.most_links,
            anew / pairs * MEMBERS,
            counts.refused / (counts.served + counts.refused).max(1.0) * 100.0
        );
    }
    text +=
        "\n| statements a pair and s | data no older than, s | reads at the primary | probes a statement ";
    text += "| mean wait, ms | connections a pair | refused |\n|---|---|---|---|---|---|---|\n";
    for (rate, bound) in
        [(0.05, 2.0), (0.14, 2.0), (0.553, 0.8), (0.553, 2.0), (0.553, 5.0), (2.2, 2.0), (8.8, 2.0)]
    {
        let shape = Shape { rate: rate * base.members() as f64, bound_ms: bound * 1e3, ..base.clone() };
        let counts = steady(&shape, warm, span, seed)?;
        let answered = (counts.served + counts.refused).max(1.0);
        text += &format!(
            "| {rate} | {bound} | {:.1}% | {:.2} | {:.2} | {:.3} | {:.2}% |\n",
            counts.reads_at_primary / counts.reads * 100.0,
            counts.probes / counts.statements,
            counts.waited / answered * 1e3,
            counts.links / base.members() as f64,
            counts.refused / answered * 100.0,
        );
    }
    text +=
        "\n| members full for this router | statements refused | reads at the primary | connects/s at 940 ";
    text += "| mean wait, ms |\n|---|---|---|---|---|\n";
    for full in [0.0, 0.1, 0.36, 0.79] {
        let counts = steady(&Shape { full, ..base.clone() }, warm, span, seed)?;
        let answered = (counts.served + counts.refused).max(1.0);
        text += &format!(
            "| {:.0}% | {:.1}% | {:.1}% | {:.1} | {:.2} |\n",
            full * 100.0,
            counts.refused / answered * 100.0,
            counts.reads_at_primary / counts.reads * 100.0,
            counts.connects / counts.secs / base.members() as f64 * MEMBERS,
            counts.waited / answered * 1e3,
        );
    }
    text +=
        "\n| second after the start, at the size | connects | probes | statements served | mean wait, ms |\n";
    text += "|---|---|---|---|---|\n";
    let mut world = World::new(&Shape::of(313), seed)?;
    for second in 1..=10 {
        let counts = world.run(Span::from_millis(1000));
        text += &format!(
            "| {second} | {:.0} | {:.0} | {:.0} | {:.2} |\n",
            counts.connects,
            counts.probes,
            counts.served,
            counts.waited / counts.served.max(1.0) * 1e3
        );
    }
    text += "\n| members | us of CPU of a pass, each alone | where probes are shared |\n|---|---|---|\n";
    for groups in [39, 78, 156, 313] {
        let alone = Shape::of(groups);
        let shared = Shape { shares_probes: true, ..alone.clone() };
        text += &format!(
            "| {} | {:.1} | {:.1} |\n",
            alone.members(),
            probe_pass(&alone, 9, seed)?,
            probe_pass(&shared, 9, seed)?
        );
    }
    Ok(text)
}

/// One router at the size itself: its code in simulated time, with the idle time of today and with clients
/// that are kept; and a real one, where there is a binary.
pub fn size(seed: u64, router: Option<&Path>) -> Result<String, String> {
    let (warm, span) = (Span::from_millis(15_000), Span::from_millis(40_000));
    let at_once = Shape { answer: Span::from_nanos(1), routers: 1, ..Shape::of(313) };
    let rests = Shape { client_idle: Some(Span::from_millis(600_000)), ..at_once.clone() };
    let pure = steady(&at_once, warm, span, seed)?;
    let mut kept = World::new(&rests, seed)?;
    kept.open_all();
    kept.run(warm);
    let kept = kept.run(span);
    let real = router.map(|router| at_size(seed, router)).transpose().map_err(|fault| fault.to_string())?;
    let mut text = String::from("| at the size, one router | pure | pure, clients kept | real |\n");
    text += "|---|---|---|---|\n";
    let mut row = |name: &str, value: fn(&Counts) -> f64, real: Option<f64>| {
        let real = real.map_or("not seen".to_owned(), |real| format!("{real:.1}"));
        text += &format!("| {name} | {:.1} | {:.1} | {real} |\n", value(&pure), value(&kept));
    };
    let told = |value: fn(&AtSize) -> f64| real.as_ref().map(value);
    row("statements/s", |c| c.statements / c.secs, told(|r| r.seen.asked / r.seen.secs));
    row("opened anew a second", |c| c.opened / c.secs, told(|r| r.seen.opened / r.seen.secs));
    row("client connections open", |c| c.clients, told(|r| r.clients));
    row("connections to members", |c| c.links, told(|r| r.links));
    row("connections to members made a second", |c| c.connects / c.secs, told(|r| r.connects));
    row("probes a second", |c| c.probes / c.secs, told(|r| r.probes));
    row("turns a second", |c| c.turns / c.secs, None);
    row(
        "ms of CPU a second",
        |c| (c.cpu_turns + c.cpu_else) / c.secs * 1e3,
        told(|r| r.seen.cpu / r.seen.secs * 1e3),
    );
    row("of these in turns", |c| c.cpu_turns / c.secs * 1e3, None);
    row(
        "mean wait, ms",
        |c| c.waited / c.served.max(1.0) * 1e3,
        told(|r| r.seen.waited / r.seen.asked * 1e3),
    );
    row("refused or failed", |c| c.refused, told(|r| r.seen.failed));
    if let Some(real) = real {
        text += &format!(
            "\nReal: {:.0} KiB resident; {:.0} descriptors once the clients had gone.\n",
            real.resident, real.descriptors
        );
    }
    if let Some(router) = router {
        // The allowance that is usual, and sockets enough that none makes place.
        let rest = || -> io::Result<(f64, f64, usize)> {
            let bed = Bed::start(router, 1, 192, 24_000, seed)?;
            let streams = bed.rest(CLIENTS as usize)?;
            let open = streams.iter().filter(|stream| process::is_open(stream)).count();
            Ok((bed.resident()?, bed.descriptors()?, open))
        };
        let (resident, descriptors, open) = rest().map_err(|fault| fault.to_string())?;
        text += &format!(
            "\n5,900 at rest with 192 MB and 24,000 sockets told: {open} open, {resident:.0} KiB resident, \
             {descriptors:.0} descriptors.\n"
        );
    }
    Ok(text)
}

/// What a real router showed at the size.
struct AtSize {
    seen: Seen,
    clients: f64,
    links: f64,
    connects: f64,
    probes: f64,
    resident: f64,
    descriptors: f64,
}

/// A real router before the stand-ins of 939 members, with 5,900 clients that ask by chance.
fn at_size(seed: u64, router: &Path) -> io::Result<AtSize> {
    let bed = Bed::start(router, 313, 192, 20_000, seed)?;
    let (warm, span) = (Duration::from_millis(24_000), Duration::from_millis(22_000));
    let seen = bed.ask(Way::ByChance(CLIENTS as usize), STATEMENTS, warm, span)?;
    // The router's own tally, each of ten seconds; the last two lie within the time.
    let log = bed.log();
    let tallies: Vec<&String> =
        log.iter().filter(|line| line.contains(" connects of ")).rev().take(2).collect();
    let mean = |value: &dyn Fn(&str) -> Option<f64>| {
        tallies.iter().filter_map(|line| value(line)).sum::<f64>() / tallies.len().max(1) as f64
    };
    // The number right before these words.
    let before = |line: &str, words: &str| -> Option<f64> {
        line.split_once(words)?.0.rsplit(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
    };
    let probes = |line: &str| {
        let (list, _) = line.split_once("probes [")?.1.split_once(']')?;
        Some(list.split(',').filter_map(|count| count.trim().parse::<f64>().ok()).sum())
    };
    Ok(AtSize {
        seen,
        clients: mean(&|line| before(line, " clients (")),
        links: mean(&|line| before(line, " links (")),
        connects: mean(&|line| before(line, " connects of")) / 10.0,
        probes: mean(&probes) / 10.0,
        resident: bed.resident()?,
        descriptors: bed.descriptors()?,
    })
}

/// What a router, a member and all of them bear at the size, worked out from the slopes: each under the name
/// that the page has it by. A slope that was not measured leaves its figures out.
pub fn figures(slopes: &[Slope]) -> Vec<(&'static str, f64)> {
    let fit = |name: &str| slopes.iter().find(|slope| slope.name == name).map(Slope::fit);
    let at = |name: &str, x: f64| fit(name).map(|fit| fit.at(x));
    let each = |name: &str| fit(name).map(|fit| fit.slope);
    let of_member = ROUTERS / MEMBERS;
    let pass = at("probe_pass_cpu", MEMBERS).map(|nanos| nanos * MEMBERS / 1e3);
    let probes = at("probes", STATEMENTS);
    let figures = [
        ("router_links", at("links", MEMBERS)),
        ("router_probes", probes),
        ("router_opened", at("opened", STATEMENTS)),
        ("router_clients_open", at("clients_open", STATEMENTS)),
        ("router_queries", at("queries", STATEMENTS)),
        ("router_member_kb", at("member_bytes", STATEMENTS)),
        ("router_turns", at("turns", STATEMENTS)),
        ("router_turn_us", at("turn_cpu_groups", GROUPS)),
        ("router_pass_us", pass),
        ("router_passes_ms", pass.zip(probes).map(|(micros, probes)| micros * probes / 1e3)),
        ("client_kib", each("resting_memory")),
        ("client_descriptors", each("resting_descriptors")),
        ("listed_member_kib", each("member_memory")),
        ("statement_kept_us", each("statement_cpu_kept").map(|ms| ms * 1e3)),
        ("statement_anew_us", each("statement_cpu_anew").map(|ms| ms * 1e3)),
        ("member_links", at("links", MEMBERS).map(|links| links * of_member)),
        ("member_probes", probes.map(|probes| probes * of_member)),
        ("member_queries", at("queries", STATEMENTS).map(|queries| queries * of_member)),
        ("member_kb", at("member_bytes", STATEMENTS).map(|kb| kb * of_member)),
        ("all_opened", at("opened", STATEMENTS).map(|opened| opened * ROUTERS)),
    ];
    figures.into_iter().filter_map(|(name, figure)| Some((name, figure?))).collect()
}

/// A statement as clients send it: a read by key, or a write.
fn query(id: u64, group: u64, writes: bool) -> Vec<u8> {
    let comment = |method: &str| format!("/* id={id:x},c={method},d=1000,cluster={group} */");
    let statement = match writes {
        true => format!(
            "INSERT INTO entries (ref, payload) VALUES ('k{id}', '\\x9f03') RETURNING payload {}",
            comment("move")
        ),
        false => format!("SELECT payload FROM entries WHERE ref = 'k{id}' {}", comment("board")),
    };
    let mut out = Vec::new();
    ladderpass_emulator::proto::put_query(&mut out, &statement);
    out
}
