//! Events of the plan in a hollow world: what happens, when all routers know, and what it costs at its peak.
//!
//! It owns the events and how they are read. It must never be needed by a router that serves.

use super::control::{GROUPS, RATE, SETTLES};
use super::hollow::{Counts, REGION_OF_ZONE, Shape, World, ZONES, member_id};
use ladderpass_routing::{Span, Time};
use std::io;

/// What an event came to: moments in seconds since it began, and the most of a router in any half second.
#[derive(Clone, Debug)]
pub struct Told {
    pub name: &'static str,
    pub moments: Vec<(&'static str, f64)>,
    /// Datagrams and bytes a second that a router sent, all of them on average, before and at the most.
    pub before: (f64, f64),
    pub most: (f64, f64),
    /// Of statements that came meanwhile, those that were refused; and what discovery sent, in bytes.
    pub refused: f64,
    pub discovery: u64,
}

const SLICE: Span = Span::from_millis(500);
const STEP: Span = Span::from_millis(50);

/// Runs a world after an event, and notes when what is waited for holds.
struct Watch<'a> {
    world: &'a mut World,
    from: Time,
    before: (f64, f64),
    most: (f64, f64),
    last: (u64, u64),
    slice_at: Time,
    asked: (u64, u64),
}

fn sent(world: &World) -> (u64, u64) {
    let of = |counts: &Counts| {
        (counts.words.datagrams + counts.membership.datagrams, counts.words.bytes + counts.membership.bytes)
    };
    world.counts.iter().map(of).fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
}

fn asked(world: &World) -> (u64, u64) {
    let refused = world.counts.iter().map(|counts| counts.refused + counts.crowded).sum();
    (world.counts.iter().map(|counts| counts.statements).sum(), refused)
}

impl Watch<'_> {
    fn begin(world: &mut World) -> io::Result<Watch<'_>> {
        // As many seconds as words take to come round a few times.
        let calm = Span::from_millis(2400);
        let was = sent(world);
        world.run(calm)?;
        let now = sent(world);
        let per = 1.0 / calm.secs() / world.shape.routers as f64;
        let before = ((now.0 - was.0) as f64 * per, (now.1 - was.1) as f64 * per);
        world.discovery = Default::default();
        let (from, asked) = (world.now, asked(world));
        Ok(Watch { before, most: before, last: now, slice_at: from, from, asked, world })
    }

    fn step(&mut self) -> io::Result<()> {
        self.world.run(STEP)?;
        if self.world.now - self.slice_at >= SLICE {
            let now = sent(self.world);
            let per = 1.0 / (self.world.now - self.slice_at).secs() / self.world.shape.routers as f64;
            let rate = ((now.0 - self.last.0) as f64 * per, (now.1 - self.last.1) as f64 * per);
            self.most = (self.most.0.max(rate.0), self.most.1.max(rate.1));
            (self.last, self.slice_at) = (now, self.world.now);
        }
        Ok(())
    }

    /// Seconds from the event's begin until that holds; infinite where it does not by then.
    fn until(&mut self, most: f64, holds: impl Fn(&World) -> bool) -> io::Result<f64> {
        let end = self.world.now + Span::from_secs_f64(most);
        while !holds(self.world) {
            if self.world.now >= end {
                return Ok(f64::INFINITY);
            }
            self.step()?;
        }
        Ok((self.world.now - self.from).secs())
    }

    fn on(&mut self, seconds: f64) -> io::Result<()> {
        let end = self.world.now + Span::from_secs_f64(seconds);
        while self.world.now < end {
            self.step()?;
        }
        Ok(())
    }

    fn over(self, name: &'static str, moments: Vec<(&'static str, f64)>) -> Told {
        let (statements, refused) = asked(self.world);
        let part = (refused - self.asked.1) as f64 / (statements - self.asked.0).max(1) as f64;
        let discovery = self.world.discovery.bytes;
        Told { name, moments, before: self.before, most: self.most, refused: part, discovery }
    }
}

/// All running routers take so many for alive.
fn agree(world: &World, count: impl Fn(usize) -> usize) -> bool {
    (0..world.shape.routers)
        .filter_map(|router| Some((router, world.reducer(router)?.fleet_view()?.0)))
        .all(|(router, view)| view == count(router))
}

/// All running routers know this member as its group's primary.
fn led_by(world: &World, member: usize) -> bool {
    let id = member_id(member);
    let knows = |router| {
        world.reducer(router).map(|reducer| reducer.known_position(&id).is_some_and(|known| known.1))
    };
    (0..world.shape.routers).filter_map(knows).all(|knows| knows)
}

fn listed(world: &World, generation: u64) -> bool {
    let mut known = (0..world.shape.routers).filter_map(|router| world.reducer(router));
    known.all(|reducer| reducer.generation() >= generation)
}

/// A world that has settled.
fn settled(routers: usize, groups: usize, seed: u64) -> io::Result<World> {
    let rate = RATE * groups as f64 / GROUPS as f64;
    let mut world = World::start(Shape { rate, seed, ..Shape::of(routers, groups) })?;
    world.run(SETTLES)?;
    for _ in 0..60 {
        if agree(&world, |_| routers) {
            break;
        }
        world.run(Span::from_millis(500))?;
    }
    Ok(world)
}

pub const NAMES: [&str; 7] = ["primary", "change", "change-late", "restarts", "rack", "zone", "region"];

pub fn play(name: &'static str, routers: usize, groups: usize, seed: u64) -> io::Result<Told> {
    let mut world = settled(routers, groups, seed)?;
    let mut watch = Watch::begin(&mut world)?;
    let part = |of: usize| (routers * of / 460).max(1);
    match name {
        // The primary of the first group ends; its first replica takes over a second later.
        "primary" => {
            let next = groups;
            watch.world.members[0].primary = false;
            watch.world.end_member(0, false);
            watch.on(1.0)?;
            watch.world.members[next].primary = true;
            let known = watch.until(20.0, |world| led_by(world, next))?;
            watch.on(2.0)?;
            Ok(watch.over(name, vec![("the new one can be written to", 1.0), ("all routers know it", known)]))
        }
        "change" => {
            let generation = watch.world.change(1, "DRAINING");
            let known = watch.until(20.0, |world| listed(world, generation))?;
            watch.on(1.0)?;
            Ok(watch.over(name, vec![("in force at all", known)]))
        }
        // Discovery can't be reached from before the change until five seconds after it.
        "change-late" => {
            watch.world.discovery_up = false;
            watch.on(4.0)?;
            watch.from = watch.world.now;
            let generation = watch.world.change(1, "DRAINING");
            watch.on(5.0)?;
            watch.world.discovery_up = true;
            let known = watch.until(30.0, |world| listed(world, generation))?;
            Ok(watch.over(name, vec![("discovery is back", 5.0), ("in force at all", known)]))
        }
        // A wave: they are killed within ten seconds, and start again a second after.
        "restarts" => {
            let count = part(180);
            for nth in 0..count {
                let router = nth * routers / count;
                watch.world.kill(router);
                watch.world.begin(router, Span::from_millis(1000));
                let due = 10.0 * (nth + 1) as f64 / count as f64;
                while (watch.world.now - watch.from).secs() + STEP.secs() <= due {
                    watch.step()?;
                }
            }
            let last = (watch.world.now - watch.from).secs();
            let known = watch.until(60.0, |world| agree(world, |_| routers))?;
            Ok(watch.over(name, vec![("the last is killed", last), ("all know of all", known)]))
        }
        // A rack: an eightieth of the routers and members, silently.
        "rack" | "zone" => {
            let of_rack = |nth: usize, all: usize| name == "rack" && nth < (all / 10).max(1);
            let (mut gone, mut members) = (0, 0);
            for router in (0..routers).filter(|router| router % ZONES == 1) {
                if name == "zone" || of_rack(gone, routers / ZONES) {
                    watch.world.kill(router);
                    gone += 1;
                }
            }
            for member in 0..watch.world.shape.members {
                let here = watch.world.zone_of_member(member) == 1;
                if here && (name == "zone" || of_rack(members, watch.world.shape.members / ZONES)) {
                    watch.world.end_member(member, true);
                    members += 1;
                }
            }
            let known = watch.until(60.0, |world| agree(world, |_| routers - gone))?;
            watch.on(5.0)?;
            Ok(watch.over(
                name,
                vec![
                    ("routers gone", gone as f64),
                    ("members gone", members as f64),
                    ("all know which routers", known),
                ],
            ))
        }
        // The third region is cut off; a minute stands for the hour.
        _ => {
            let alone = |router: usize| REGION_OF_ZONE[router % ZONES] == 2;
            let there = (0..routers).filter(|&router| alone(router)).count();
            watch.world.cut = vec![(0, 2), (1, 2)];
            let side = |router: usize| if alone(router) { there } else { routers - there };
            let known = watch.until(60.0, |world| agree(world, side))?;
            watch.on(60.0 - known.min(59.0))?;
            watch.world.cut.clear();
            let healed = (watch.world.now - watch.from).secs();
            let back = watch.until(120.0, |world| agree(world, |_| routers))?;
            Ok(watch.over(
                name,
                vec![("each side knows its own", known), ("healed", healed), ("all know of all", back)],
            ))
        }
    }
}
