//! Slopes of a router's control traffic: gossip, membership, health checks and endpoint lists, with their CPU time and
//! memory, measured with simulated routers.

mod rates;

pub use rates::{Rates, SETTLES, rates, rates_of};

use super::simulated_routers::{Shape, Simulation, Subject, thread_time};
use super::slope::Slope;
use ladderpass_routing::Span;
use rates::rates_after;
use std::io;
use std::net::UdpSocket;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The same for a few routers.
const FEW_SETTLE: Span = Span::from_millis(4000);

/// How much is measured.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The long form, for docs/CAPACITY.md; else the short one, for the proof.
    pub long: bool,
}

/// Routers of the reference size.
pub const ROUTERS: usize = 460;
/// Groups of the reference size.
pub const GROUPS: usize = 313;
/// Members of the reference size.
pub const MEMBERS: usize = 940;
/// Statements a second at one router of the reference size.
pub const RATE: f64 = 522.0;

/// Deaths of routers that are measured.
const DEATHS: usize = 4;
/// Steps of 0.1 s within which routers must find each other.
const MAX_SETTLE_STEPS: usize = 600;
/// Size of a datagram of gossip.
const GOSSIP_BYTES: usize = 11;
const DATAGRAM_RUNS: usize = 5;
/// Datagrams that are sent before they are received.
const DATAGRAM_BATCH: i32 = 50;
/// IP and UDP headers of a datagram.
const HEADER_BYTES: f64 = 28.0;

/// A shape with the rate of statements for each pair of router and group that the reference size has.
pub fn sized(routers: usize, groups: usize, seed: u64) -> Shape {
    let members = groups * MEMBERS / GROUPS;
    Shape { members, rate: RATE * groups as f64 / GROUPS as f64, seed, ..Shape::of(routers, groups) }
}

/// Measures all slopes of control traffic; `memory` are the points of [`memory`].
///
/// # Errors
/// If a simulation can't be started.
pub fn measure(seed: u64, settings: &Settings, memory: Vec<(f64, f64)>) -> io::Result<Vec<Slope>> {
    let long = settings.long;
    // Multiples of 0.8 s, the interval of gossip about a member whose reads may be 2 s old.
    let seconds = if long { 8.0 } else { 3.2 };
    // The most expensive slopes run beside all others.
    let groups: &[usize] = if long { &[16, 48, 96, 192, GROUPS] } else { &[16, 64, 160, GROUPS] };
    let measure_groups =
        || lanes(groups, |groups| rates_after(&observed(sized(16, groups, seed)), FEW_SETTLE, seconds));
    let (by_groups, others) = std::thread::scope(|scope| {
        let by_groups = scope.spawn(measure_groups);
        let others = others(seed, long, seconds);
        let by_groups = by_groups.join().unwrap_or_else(|_| Err(io::Error::other("a lane failed")));
        io::Result::Ok((by_groups?, others?))
    })?;
    let Others { by_routers, quiet, pairs, shed, deaths, lists } = others;
    let slope = |name, x, y, points: Vec<(f64, f64)>| Slope { name, x, y, points };
    type Of<T> = fn(&T) -> f64;
    let of = |from: &[(usize, Rates)], value: Of<Rates>| -> Vec<(f64, f64)> {
        from.iter().map(|(x, rates)| (*x as f64, value(rates))).collect()
    };
    let each = |cost: f64, events: f64| cost / events.max(1e-9) * 1e6;
    let admission = |value: fn(&Heard) -> f64| -> Vec<(f64, f64)> {
        let words = |index: usize| ((pairs[index].0 - 1) * pairs[index].1) as f64;
        shed.iter().map(|(index, heard)| (1.0 / words(*index), value(heard))).collect()
    };
    Ok(vec![
        slope(
            "words_datagrams",
            "groups",
            "datagrams a router a second",
            of(&by_groups, |r| r.gossip_datagrams),
        ),
        slope("words_bytes", "groups", "bytes a router a second", of(&by_groups, |r| r.gossip_bytes)),
        slope("words_by_routers", "1/routers", "datagrams a router a second for each of 16 groups", {
            by_routers.iter().map(|(n, r)| (1.0 / *n as f64, r.gossip_datagrams / 16.0)).collect()
        }),
        slope("probes_by_routers", "1/routers", "probes a member a second, of all routers", {
            by_routers.iter().map(|(n, r)| (1.0 / *n as f64, r.health_checks)).collect()
        }),
        slope("word_cpu", "groups", "us of CPU a word heard", {
            by_groups
                .iter()
                .map(|(x, r)| {
                    (*x as f64, each(r.gossip_cores, r.received_datagrams - r.membership_datagrams))
                })
                .collect()
        }),
        slope("quiet_turns", "groups", "turns without data a second", of(&by_groups, |r| r.idle_ticks)),
        slope("turn_cpu", "groups", "us of CPU a turn without data", {
            by_groups.iter().map(|(x, r)| (*x as f64, each(r.idle_tick_cores, r.idle_ticks))).collect()
        }),
        slope(
            "datagram_cpu",
            "datagrams",
            "us of CPU to send and receive them, kernel and all",
            datagram_cpu()?,
        ),
        slope(
            "membership_datagrams",
            "routers",
            "datagrams a router a second",
            of(&quiet, |r| r.membership_datagrams),
        ),
        slope("membership_bytes", "routers", "bytes a router a second", of(&quiet, |r| r.membership_bytes)),
        slope("membership_cpu", "routers", "us of CPU a datagram", {
            quiet.iter().map(|(x, r)| (*x as f64, each(r.membership_cores, r.membership_datagrams))).collect()
        }),
        slope("membership_memory", "routers", "KiB resident a router", memory),
        slope(
            "admission_bytes",
            "1/words of all",
            "bytes a router a second, membership's too",
            admission(|h| h.bytes),
        ),
        slope("admission_words", "1/words of all", "words that count at a router", admission(|h| h.words)),
        slope("death_known", "log2 of routers", "s until all know of a router's death", {
            deaths.iter().map(|(x, took)| ((*x as f64).log2(), *took)).collect()
        }),
        slope("list_bytes", "members", "bytes of a whole list", {
            lists.iter().map(|list| (list.members, list.bytes)).collect()
        }),
        slope("list_cpu", "members", "ms of CPU to read a whole list", {
            lists.iter().map(|list| (list.members, list.cpu_ms)).collect()
        }),
    ])
}

fn observed(shape: Shape) -> Shape {
    Shape { observed: OBSERVED_ROUTERS, ..shape }
}

/// Routers whose CPU time is measured.
const OBSERVED_ROUTERS: usize = 4;

/// What is measured beside the slopes by groups. Each is by the value of x.
struct Others {
    by_routers: Vec<(usize, Rates)>,
    quiet: Vec<(usize, Rates)>,
    /// Routers and groups of the simulations in `shed`.
    pairs: &'static [(usize, usize)],
    /// By index in `pairs`.
    shed: Vec<(usize, Heard)>,
    deaths: Vec<(usize, f64)>,
    lists: Vec<ListCost>,
}

/// The cost of a complete endpoint list.
struct ListCost {
    members: f64,
    bytes: f64,
    cpu_ms: f64,
}

fn others(seed: u64, long: bool, seconds: f64) -> io::Result<Others> {
    let by_routers = lanes(&[16, 32, 64, 128], |routers| rates(&sized(routers, 16, seed), seconds))?;
    let quiet = lanes(&[128, 256, ROUTERS], |routers| {
        // Many routers that start at once take longer to find each other.
        rates_after(
            &observed(Shape { rate: 0.0, seed, ..Shape::of(routers, 1) }),
            SETTLES * 2.5,
            seconds / 2.0,
        )
    })?;
    let pairs: &'static [(usize, usize)] = if long {
        &[(16, 16), (32, 16), (32, 32), (64, 32), (64, 64)]
    } else {
        &[(16, 16), (32, 16), (32, 32)]
    };
    let shed = lanes(&(0..pairs.len()).collect::<Vec<_>>(), |index| {
        heard_of(pairs[index].0, pairs[index].1, seed, seconds)
    })?;
    let deaths =
        lanes(if long { &[16, 64, 128, 256, 460] } else { &[16, 64, 256] }, |routers| death(routers, seed))?;
    let lists = [94, 235, 470, MEMBERS]
        .into_iter()
        .map(|members| list_cost(members, seed))
        .collect::<io::Result<Vec<_>>>()?;
    Ok(Others { by_routers, quiet, pairs, shed, deaths, lists })
}

/// Measures the complete list that each router reads at its start.
fn list_cost(members: usize, seed: u64) -> io::Result<ListCost> {
    let shape = Shape { rate: 0.0, members, peers: false, observed: 8, seed, ..Shape::of(8, members / 3) };
    let mut simulation = Simulation::start(shape)?;
    simulation.run(Span::from_millis(1000))?;
    let lists = simulation.counts.iter().map(|counts| counts.watches_opened).sum::<u64>().max(1) as f64;
    let bytes = simulation.counts.iter().map(|counts| counts.list_bytes).sum::<u64>() as f64;
    let cpu_ms = simulation.cost.nanos[Subject::EndpointList as usize] as f64 / 1e6;
    Ok(ListCost { members: members as f64, bytes: bytes / lists, cpu_ms: cpu_ms / lists })
}

/// KiB that a router takes, by the number of routers, from the growth of this process. All simulations are kept until the
/// last is measured, and nothing else in the process may grow meanwhile.
///
/// # Errors
/// If a simulation can't be started, or this process's memory can't be read.
pub fn memory(seed: u64) -> io::Result<Vec<(f64, f64)>> {
    let mut simulations = Vec::new();
    let mut points = Vec::new();
    // The first point is left out: it includes what the process itself needs.
    for routers in [64, 128, 256, ROUTERS] {
        let before = resident()?;
        let mut simulation = Simulation::start(Shape { rate: 0.0, seed, ..Shape::of(routers, 1) })?;
        simulation.run(Span::from_millis(4000))?;
        points.push((routers as f64, (resident()? - before) / routers as f64));
        simulations.push(simulation);
    }
    points.remove(0);
    Ok(points)
}

/// Resident memory of this process in KiB.
fn resident() -> io::Result<f64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.map(|pages| pages * 4.0).ok_or_else(|| io::Error::other("statm can't be read"))
}

/// CPU microseconds to send and receive datagrams of gossip over loopback, each with a call of its own, as the program
/// does; by their number.
fn datagram_cpu() -> io::Result<Vec<(f64, f64)>> {
    let (sender, receiver) = (UdpSocket::bind("127.0.0.1:0")?, UdpSocket::bind("127.0.0.1:0")?);
    let to = receiver.local_addr()?;
    let mut buffer = [0; 2048];
    let mut points = Vec::new();
    for count in [2000, 4000, 8000, 16_000] {
        // The least of several runs: other load of the machine can only add to it.
        let mut least = f64::INFINITY;
        for _ in 0..DATAGRAM_RUNS {
            let began = thread_time();
            for _ in 0..count / DATAGRAM_BATCH {
                for _ in 0..DATAGRAM_BATCH {
                    sender.send_to(&[7; GOSSIP_BYTES], to)?;
                }
                for _ in 0..DATAGRAM_BATCH {
                    receiver.recv_from(&mut buffer)?;
                }
            }
            least = least.min((thread_time() - began).secs() * 1e6);
        }
        points.push((f64::from(count), least));
    }
    Ok(points)
}

/// Measures all values of x, in two threads: figures are of simulated time, or of the thread's own CPU time.
fn lanes<T: Send>(
    xs: &[usize],
    measure: impl Fn(usize) -> io::Result<T> + Sync,
) -> io::Result<Vec<(usize, T)>> {
    let next = AtomicUsize::new(0);
    let lane = || -> io::Result<Vec<(usize, T)>> {
        let mut done = Vec::new();
        // The largest first: it takes the longest.
        while let Some(&x) = xs.iter().rev().nth(next.fetch_add(1, Ordering::Relaxed)) {
            done.push((x, measure(x)?));
        }
        Ok(done)
    };
    let mut all = Vec::new();
    std::thread::scope(|scope| {
        let handles: Vec<_> = (0..2).map(|_| scope.spawn(lane)).collect();
        for handle in handles {
            all.extend(handle.join().unwrap_or_else(|_| Err(io::Error::other("a lane failed")))?);
        }
        io::Result::Ok(())
    })?;
    all.sort_by_key(|(x, _)| *x);
    Ok(all)
}

/// Reports for admission control, which go with datagrams of the membership protocol.
#[derive(Clone, Copy, Debug)]
pub struct Heard {
    /// Bytes a second that a router sends, with the membership protocol's own.
    pub bytes: f64,
    /// Reports of other routers that a router has; the common admission threshold needs one of each router for each group.
    pub words: f64,
}

/// Measures the reports for admission control.
///
/// # Errors
/// If the simulation can't be started.
pub fn heard_of(routers: usize, groups: usize, seed: u64, seconds: f64) -> io::Result<Heard> {
    let mut simulation = Simulation::start(Shape { fleet: true, ..sized(routers, groups, seed) })?;
    simulation.run(SETTLES)?;
    simulation.count_anew();
    simulation.run(Span::from_secs_f64(seconds))?;
    let reports: usize = (0..routers)
        .filter_map(|router| simulation.reducer(router))
        .flat_map(|reducer| reducer.admission_metrics().into_iter().map(|metrics| metrics.reports))
        .sum();
    Ok(Heard {
        bytes: rates_of(&simulation, seconds).membership_bytes,
        words: reports as f64 / routers as f64,
    })
}

/// Mean seconds from a router's death until no other believes it to be alive, of [`DEATHS`] deaths one after the other.
///
/// # Errors
/// If the simulation can't be started, or the routers don't find each other within a minute.
pub fn death(routers: usize, seed: u64) -> io::Result<f64> {
    let mut simulation = Simulation::start(Shape { rate: 0.0, seed, ..Shape::of(routers, 1) })?;
    simulation.run(SETTLES)?;
    let agree = |simulation: &Simulation, count: usize| {
        (0..routers).filter_map(|router| simulation.reducer(router)?.fleet_view()).all(|view| view.0 == count)
    };
    let mut steps = 0;
    while !agree(&simulation, routers) {
        steps += 1;
        if steps > MAX_SETTLE_STEPS {
            return Err(io::Error::other(format!(
                "{routers} routers did not find each other within a minute"
            )));
        }
        simulation.run(Span::from_millis(100))?;
    }
    let mut total_s = 0.0;
    for index in 0..DEATHS {
        let from = simulation.now;
        simulation.kill((index + 1) * routers / (DEATHS + 1));
        while !agree(&simulation, routers - index - 1) && simulation.now - from < Span::from_millis(60_000) {
            simulation.run(Span::from_millis(20))?;
        }
        total_s += (simulation.now - from).secs();
    }
    Ok(total_s / DEATHS as f64)
}

/// Figures of control traffic at the reference size, by the names that docs/CAPACITY.md has them under.
pub fn figures(slopes: &[Slope]) -> Vec<(&'static str, f64)> {
    let at = |name: &str, x: f64| {
        slopes.iter().find(|slope| slope.name == name).map_or(f64::NAN, |slope| slope.fit().at(x))
    };
    let (routers, groups, members) = (ROUTERS as f64, GROUPS as f64, MEMBERS as f64);
    let slope =
        |name: &str| slopes.iter().find(|slope| slope.name == name).map_or(f64::NAN, |s| s.fit().slope);
    let all_words = (routers - 1.0) * groups;
    let membership = at("membership_datagrams", routers);
    let (few, bytes) = (at("words_datagrams", groups), at("words_bytes", groups));
    let words = at("words_by_routers", 1.0 / routers) * groups;
    // The size of a datagram of gossip is that measured with few routers.
    let wire =
        words * (bytes / few + HEADER_BYTES) + at("membership_bytes", routers) + HEADER_BYTES * membership;
    let kernel = slope("datagram_cpu");
    // Each datagram of gossip that arrives has a tick of its own.
    let turns = at("quiet_turns", groups) + words - few;
    let core = words * (at("word_cpu", groups) + kernel)
        + membership * (at("membership_cpu", routers) + kernel)
        + turns * at("turn_cpu", groups);
    vec![
        ("words_of_16", few),
        ("words_of_16_bytes", bytes),
        ("words", words),
        ("control_bytes", wire),
        ("control_cpu", core / 1e4),
        ("probes_of_a_member", at("probes_by_routers", 1.0 / routers)),
        ("word_cpu", at("word_cpu", groups)),
        ("turn_cpu", at("turn_cpu", groups)),
        ("datagram_cpu", slope("datagram_cpu")),
        ("membership_datagrams", membership),
        ("membership_bytes", at("membership_bytes", routers)),
        ("membership_cpu", at("membership_cpu", routers)),
        ("membership_memory", at("membership_memory", routers)),
        ("admission_bytes", at("admission_bytes", 1.0 / all_words)),
        ("admission_words", at("admission_words", 1.0 / all_words)),
        ("death_known", at("death_known", routers.log2())),
        ("list_bytes", at("list_bytes", members)),
        ("list_cpu", at("list_cpu", members)),
    ]
}
