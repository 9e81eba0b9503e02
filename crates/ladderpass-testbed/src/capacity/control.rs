//! Slopes of a router's control: what it says to other routers, probes, lists, and the processor time and
//! memory of these, measured with hollow routers.
//!
//! It owns how they are measured. It must never be needed by a router that serves.

use super::hollow::{About, Shape, World, thread_time};
use super::slope::Slope;
use ladderpass_routing::Span;
use std::io;
use std::net::UdpSocket;

/// What one world gave, a router and a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rates {
    pub words: f64,
    pub words_bytes: f64,
    pub membership: f64,
    pub membership_bytes: f64,
    pub heard: f64,
    pub lost: f64,
    /// A member and a second, of all routers.
    pub probes: f64,
    pub connects: f64,
    pub turns: f64,
    /// Turns without data.
    pub quiet_turns: f64,
    pub answered: f64,
    pub refused: f64,
    /// Parts of a core, by what it is spent on.
    pub of_words: f64,
    pub of_membership: f64,
    pub of_data: f64,
    pub of_turns: f64,
    pub of_turns_of_data: f64,
}

/// Routers find each other and ask all members within this.
pub const SETTLES: Span = Span::from_millis(6000);
/// A few routers within this.
const STARTED: Span = Span::from_millis(4000);

/// Runs a world until it has settled, and then for so many seconds.
pub fn rates(shape: &Shape, seconds: f64) -> io::Result<Rates> {
    settled(shape, SETTLES, seconds)
}

fn settled(shape: &Shape, settles: Span, seconds: f64) -> io::Result<Rates> {
    let mut world = World::start(shape.clone())?;
    world.run(settles)?;
    world.count_anew();
    world.run(Span::from_secs_f64(seconds))?;
    Ok(rates_of(&world, seconds))
}

pub fn rates_of(world: &World, seconds: f64) -> Rates {
    let per = |count: f64| count / seconds;
    let seen = (world.shape.observed.min(world.shape.routers).max(1)) as f64;
    let cost = |about: About| world.cost.nanos[about as usize] as f64 / 1e9 / seen / seconds;
    let probes = world.mean(|c| c.probes) * world.shape.routers as f64;
    Rates {
        words: per(world.mean(|c| c.words.datagrams)),
        words_bytes: per(world.mean(|c| c.words.bytes)),
        membership: per(world.mean(|c| c.membership.datagrams)),
        membership_bytes: per(world.mean(|c| c.membership.bytes)),
        heard: per(world.mean(|c| c.heard)),
        lost: per(world.mean(|c| c.lost)),
        probes: per(probes / world.shape.members.max(1) as f64),
        connects: per(world.mean(|c| c.connects)),
        turns: per(world.mean(|c| c.turns)),
        quiet_turns: per(world.cost.events[About::Turn as usize] as f64 / seen),
        answered: per(world.mean(|c| c.answered)),
        refused: per(world.mean(|c| c.refused)),
        of_words: cost(About::Words),
        of_membership: cost(About::Membership),
        of_data: cost(About::Data),
        of_turns: cost(About::Turn),
        of_turns_of_data: cost(About::TurnOfData),
    }
}

/// How much is measured: the short form is for the proof, the long one for the page.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub long: bool,
}

/// The size, and a router's part of its statements for each group.
pub const ROUTERS: usize = 460;
pub const GROUPS: usize = 313;
pub const MEMBERS: usize = 940;
pub const RATE: f64 = 522.0;

/// A world at the size's rate of statements for each pair of a router and a group.
pub fn sized(routers: usize, groups: usize, seed: u64) -> Shape {
    let members = groups * MEMBERS / GROUPS;
    Shape { members, rate: RATE * groups as f64 / GROUPS as f64, seed, ..Shape::of(routers, groups) }
}

/// All slopes of control, with what `memory` gave; a world that can't be had is a fault.
pub fn measure(seed: u64, settings: &Settings, memory: Vec<(f64, f64)>) -> io::Result<Vec<Slope>> {
    let long = settings.long;
    // Words on a member go every 0.8 s where reads may be 2 s old: whole turns of that.
    let seconds = if long { 8.0 } else { 3.2 };
    let watched = |shape: Shape| Shape { observed: 4, ..shape };
    // The dearest beside all others.
    let groups: &[usize] = if long { &[16, 48, 96, 192, GROUPS] } else { &[16, 64, 160, GROUPS] };
    let of_groups = || lanes(groups, |groups| settled(&watched(sized(16, groups, seed)), STARTED, seconds));
    let (by_groups, others) = std::thread::scope(|scope| {
        let beside = scope.spawn(of_groups);
        let others = others(seed, long, seconds);
        let by_groups = beside.join().unwrap_or_else(|_| Err(io::Error::other("a lane failed")));
        io::Result::Ok((by_groups?, others?))
    })?;
    let Others { by_routers, quiet, pairs, shed, deaths, lists } = others;
    let slope = |name, x, y, points: Vec<(f64, f64)>| Slope { name, x, y, points };
    type Of<T> = fn(&T) -> f64;
    let of = |from: &[(usize, Rates)], value: Of<Rates>| -> Vec<(f64, f64)> {
        from.iter().map(|(x, rates)| (*x as f64, value(rates))).collect()
    };
    let each = |cost: f64, events: f64| cost / events.max(1e-9) * 1e6;
    let told = |value: fn(&Heard) -> f64| -> Vec<(f64, f64)> {
        let pair = |nth: usize| ((pairs[nth].0 - 1) * pairs[nth].1) as f64;
        shed.iter().map(|(nth, heard)| (1.0 / pair(*nth), value(heard))).collect()
    };
    Ok(vec![
        slope("words_datagrams", "groups", "datagrams a router a second", of(&by_groups, |r| r.words)),
        slope("words_bytes", "groups", "bytes a router a second", of(&by_groups, |r| r.words_bytes)),
        slope("words_by_routers", "1/routers", "datagrams a router a second for each of 16 groups", {
            by_routers.iter().map(|(n, r)| (1.0 / *n as f64, r.words / 16.0)).collect()
        }),
        slope("probes_by_routers", "1/routers", "probes a member a second, of all routers", {
            by_routers.iter().map(|(n, r)| (1.0 / *n as f64, r.probes)).collect()
        }),
        slope("word_cpu", "groups", "us of CPU a word heard", {
            by_groups.iter().map(|(x, r)| (*x as f64, each(r.of_words, r.heard - r.membership))).collect()
        }),
        slope("quiet_turns", "groups", "turns without data a second", of(&by_groups, |r| r.quiet_turns)),
        slope("turn_cpu", "groups", "us of CPU a turn without data", {
            by_groups.iter().map(|(x, r)| (*x as f64, each(r.of_turns, r.quiet_turns))).collect()
        }),
        slope(
            "datagram_cpu",
            "datagrams",
            "us of CPU to send and receive them, kernel and all",
            datagrams()?,
        ),
        slope("membership_datagrams", "routers", "datagrams a router a second", of(&quiet, |r| r.membership)),
        slope("membership_bytes", "routers", "bytes a router a second", of(&quiet, |r| r.membership_bytes)),
        slope("membership_cpu", "routers", "us of CPU a datagram", {
            quiet.iter().map(|(x, r)| (*x as f64, each(r.of_membership, r.membership))).collect()
        }),
        slope("membership_memory", "routers", "KiB resident a router", memory),
        slope(
            "admission_bytes",
            "1/words of all",
            "bytes a router a second, membership's too",
            told(|h| h.bytes),
        ),
        slope("admission_words", "1/words of all", "words that count at a router", told(|h| h.words)),
        slope("death_known", "log2 of routers", "s until all know of a router's death", {
            deaths.iter().map(|(x, took)| ((*x as f64).log2(), *took)).collect()
        }),
        slope("list_bytes", "members", "bytes of a whole list", {
            lists.iter().map(|list| (list.0, list.1)).collect()
        }),
        slope("list_cpu", "members", "ms of CPU to read a whole list", {
            lists.iter().map(|list| (list.0, list.2)).collect()
        }),
    ])
}

/// What is measured beside the slopes by groups.
struct Others {
    by_routers: Vec<(usize, Rates)>,
    quiet: Vec<(usize, Rates)>,
    /// Routers and groups, and what was heard of admission there.
    pairs: &'static [(usize, usize)],
    shed: Vec<(usize, Heard)>,
    deaths: Vec<(usize, f64)>,
    lists: Vec<(f64, f64, f64)>,
}

fn others(seed: u64, long: bool, seconds: f64) -> io::Result<Others> {
    let watched = |shape: Shape| Shape { observed: 4, ..shape };
    let by_routers = lanes(&[16, 32, 64, 128], |routers| rates(&sized(routers, 16, seed), seconds))?;
    let quiet = lanes(&[128, 256, ROUTERS], |routers| {
        // All at once they take longer to find each other.
        settled(&watched(Shape { rate: 0.0, seed, ..Shape::of(routers, 1) }), SETTLES * 2.5, seconds / 2.0)
    })?;
    let pairs: &'static [(usize, usize)] = if long {
        &[(16, 16), (32, 16), (32, 32), (64, 32), (64, 64)]
    } else {
        &[(16, 16), (32, 16), (32, 32)]
    };
    let shed = lanes(&(0..pairs.len()).collect::<Vec<_>>(), |nth| {
        heard_of(pairs[nth].0, pairs[nth].1, seed, seconds)
    })?;
    let deaths = lanes(if long { &[16, 64, 128, 256, 460] } else { &[16, 64, 256] }, |n| death(n, seed))?;
    let lists =
        [94, 235, 470, MEMBERS].into_iter().map(|n| listed(n, seed)).collect::<io::Result<Vec<_>>>()?;
    Ok(Others { by_routers, quiet, pairs, shed, deaths, lists })
}

/// Members, bytes of a whole list, and what reading it costs a router that has just started, in ms.
fn listed(members: usize, seed: u64) -> io::Result<(f64, f64, f64)> {
    let shape = Shape { rate: 0.0, members, peers: false, observed: 8, seed, ..Shape::of(8, members / 3) };
    let mut world = World::start(shape)?;
    world.run(Span::from_millis(1000))?;
    let lists = world.counts.iter().map(|counts| counts.watches).sum::<u64>().max(1) as f64;
    let bytes = world.counts.iter().map(|counts| counts.list_bytes).sum::<u64>() as f64;
    Ok((members as f64, bytes / lists, world.cost.nanos[About::List as usize] as f64 / 1e6 / lists))
}

/// KiB of this process that a router which knows so many others takes; all worlds stand until the last is
/// measured, and nothing else may grow meanwhile.
pub fn memory(seed: u64) -> io::Result<Vec<(f64, f64)>> {
    let mut worlds = Vec::new();
    let mut points = Vec::new();
    // The first warms up what the process itself needs.
    for routers in [64, 128, 256, ROUTERS] {
        let before = resident()?;
        let mut world = World::start(Shape { rate: 0.0, seed, ..Shape::of(routers, 1) })?;
        world.run(Span::from_millis(4000))?;
        points.push((routers as f64, (resident()? - before) / routers as f64));
        worlds.push(world);
    }
    points.remove(0);
    Ok(points)
}

/// KiB of this process.
fn resident() -> io::Result<f64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.map(|pages| pages * 4.0).ok_or_else(|| io::Error::other("statm can't be read"))
}

/// Datagrams of a word's length over loopback, each sent and received with a call of its own, as the program
/// does.
fn datagrams() -> io::Result<Vec<(f64, f64)>> {
    let (one, other) = (UdpSocket::bind("127.0.0.1:0")?, UdpSocket::bind("127.0.0.1:0")?);
    let to = other.local_addr()?;
    let mut room = [0; 2048];
    let mut points = Vec::new();
    for count in [2000, 4000, 8000, 16_000] {
        // The least of five: what else the machine does makes it dearer, nothing makes it cheaper.
        let mut least = f64::INFINITY;
        for _ in 0..5 {
            let began = thread_time();
            for _ in 0..count / 50 {
                for _ in 0..50 {
                    one.send_to(&[7; 11], to)?;
                }
                for _ in 0..50 {
                    other.recv_from(&mut room)?;
                }
            }
            least = least.min((thread_time() - began).secs() * 1e6);
        }
        points.push((f64::from(count), least));
    }
    Ok(points)
}

/// Side by side, two at a time: figures are of simulated time, or of the thread's own processor time.
fn lanes<T: Send>(
    xs: &[usize],
    measure: impl Fn(usize) -> io::Result<T> + Sync,
) -> io::Result<Vec<(usize, T)>> {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let lane = || -> io::Result<Vec<(usize, T)>> {
        let mut done = Vec::new();
        // The largest first: it takes longest.
        while let Some(&x) = xs.iter().rev().nth(next.fetch_add(1, std::sync::atomic::Ordering::Relaxed)) {
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

/// What goes along with the membership's datagrams.
#[derive(Clone, Copy, Debug)]
pub struct Heard {
    pub bytes: f64,
    /// Other routers' words that count at a router; a common floor needs one of each router on each group.
    pub words: f64,
}

pub fn heard_of(routers: usize, groups: usize, seed: u64, seconds: f64) -> io::Result<Heard> {
    let mut world = World::start(Shape { fleet: true, ..sized(routers, groups, seed) })?;
    world.run(SETTLES)?;
    world.count_anew();
    world.run(Span::from_secs_f64(seconds))?;
    let words: usize = (0..routers)
        .filter_map(|router| world.reducer(router))
        .flat_map(|reducer| reducer.admission_metrics().into_iter().map(|figures| figures.reports))
        .sum();
    Ok(Heard { bytes: rates_of(&world, seconds).membership_bytes, words: words as f64 / routers as f64 })
}

/// Seconds from a router's death until all others have it out of their view; of a few deaths, one after the
/// other.
pub fn death(routers: usize, seed: u64) -> io::Result<f64> {
    let mut world = World::start(Shape { rate: 0.0, seed, ..Shape::of(routers, 1) })?;
    world.run(SETTLES)?;
    let agree = |world: &World, count: usize| {
        (0..routers).filter_map(|router| world.reducer(router)?.fleet_view()).all(|view| view.0 == count)
    };
    let mut waited = 0;
    while !agree(&world, routers) {
        waited += 1;
        if waited > 600 {
            return Err(io::Error::other(format!(
                "{routers} routers did not find each other within a minute"
            )));
        }
        world.run(Span::from_millis(100))?;
    }
    let mut took = 0.0;
    for nth in 0..DEATHS {
        let from = world.now;
        world.kill((nth + 1) * routers / (DEATHS + 1));
        while !agree(&world, routers - nth - 1) && world.now - from < Span::from_millis(60_000) {
            world.run(Span::from_millis(20))?;
        }
        took += (world.now - from).secs();
    }
    Ok(took / DEATHS as f64)
}

const DEATHS: usize = 4;

/// What the page says of control, by name, from these slopes: a figure at the size.
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
    // Of a word as it was at few routers; on the wire each datagram has 28 bytes of IP and UDP before it.
    let wire = words * (bytes / few + 28.0) + at("membership_bytes", routers) + 28.0 * membership;
    let kernel = slope("datagram_cpu");
    // A word that comes has a turn of its own.
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
