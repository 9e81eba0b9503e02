//! Fleets of the very same code in simulated time: datagrams that are late, lost and cut, routers that stop, freeze and
//! come back. Times are asserted with room; `cargo test -p ladderpass-membership -- --nocapture model` prints them.

use ladderpass_membership::{Faulty, LocalRouter, Membership, Settings};
use ladderpass_routing::{Span, Time};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

#[derive(Clone, Copy, PartialEq)]
enum Is {
    Running,
    Frozen,
    Ended,
}

struct Router {
    pure: Membership,
    is: Is,
    wake: Time,
    /// What waits at its socket while it is frozen.
    waiting: Vec<(SocketAddr, Vec<u8>)>,
    /// The living that it took for gone a moment ago, since when.
    wrong: BTreeMap<usize, Time>,
    wrongs: usize,
    /// What it sent that was lost.
    said: Vec<(SocketAddr, Vec<u8>)>,
}

struct World {
    now: Time,
    routers: Vec<Router>,
    chance: WyRand,
    on_way: BTreeMap<(Time, u64), (SocketAddr, SocketAddr, Vec<u8>)>,
    number: u64,
    loss: f64,
    /// Is this way cut?
    cut: Box<dyn Fn(usize, usize) -> bool>,
    at: HashMap<SocketAddr, usize>,
    /// The longest that a running router was taken for gone by another, and how often any was.
    longest_wrong: Span,
    wrongs: usize,
    settings: Settings,
    lives: i64,
}

const STEP: Span = Span::from_millis(5);

fn address(nth: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, (nth >> 8) as u8, nth as u8), 7400))
}

fn ms(ms: i64) -> Span {
    Span::from_millis(ms)
}

impl World {
    fn new(seed: u64, settings: Settings) -> World {
        World {
            now: Time::from_nanos(1_800_000_000_000_000_000),
            routers: Vec::new(),
            chance: WyRand::new_seed(seed),
            on_way: BTreeMap::new(),
            number: 0,
            loss: 0.0,
            cut: Box::new(|_, _| false),
            at: HashMap::new(),
            longest_wrong: Span::ZERO,
            wrongs: 0,
            settings,
            lives: 0,
        }
    }

    /// One fleet of so many that know three of them at first, and have found each other.
    fn settled(seed: u64, count: usize) -> World {
        let mut world = World::new(seed, Settings::default());
        (0..count).for_each(|_| world.join());
        world.run(ms(8000));
        world.forgive();
        world
    }

    fn forgive(&mut self) {
        (self.longest_wrong, self.wrongs) = (Span::ZERO, 0);
        for router in &mut self.routers {
            router.wrong.clear();
            router.wrongs = 0;
        }
    }

    fn pure(&mut self, nth: usize) -> Membership {
        self.lives += 1;
        let unix = self.now.nanos() / 1_000_000 + self.lives;
        let own = LocalRouter { address: address(nth), started_unix_ms: unix };
        let network = [(IpAddr::V4(Ipv4Addr::new(10, 0, 0, 0)), 8)];
        let listed = [address(0), address(1), address(2)];
        Membership::start(self.now, self.chance.generate(), own, &listed, &network, self.settings)
    }

    fn join(&mut self) {
        let nth = self.routers.len();
        let pure = self.pure(nth);
        let (wake, waiting, wrong) = (self.now, Vec::new(), BTreeMap::new());
        self.at.insert(address(nth), nth);
        self.routers.push(Router {
            pure,
            is: Is::Running,
            wake,
            waiting,
            wrong,
            wrongs: 0,
            said: Vec::new(),
        });
    }

    /// A new life at the same address.
    fn restart(&mut self, nth: usize) {
        self.routers[nth].pure = self.pure(nth);
        (self.routers[nth].is, self.routers[nth].wake) = (Is::Running, self.now);
        self.routers[nth].waiting.clear();
    }

    fn post(&mut self, nth: usize) {
        for (to, bytes) in self.routers[nth].pure.take_outgoing() {
            let Some(&other) = self.at.get(&to) else { continue };
            let lost = self.chance.generate::<f64>() < self.loss || (self.cut)(nth, other);
            if lost {
                self.routers[nth].said.push((to, bytes));
            } else {
                let late = ms(1) + Span::from_secs_f64(0.009 * self.chance.generate::<f64>());
                self.number += 1;
                self.on_way.insert((self.now + late, self.number), (address(nth), to, bytes));
            }
        }
        self.routers[nth].wake = self.routers[nth].pure.wake_at();
    }

    fn run(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + STEP;
            while let Some(first) = self.on_way.first_entry()
                && first.key().0 <= self.now
            {
                let (from, to, bytes) = first.remove();
                let Some(&nth) = self.at.get(&to) else { continue };
                match self.routers[nth].is {
                    Is::Running => {
                        self.routers[nth].pure.on_datagram(self.now, from, &bytes);
                        self.post(nth);
                    }
                    Is::Frozen if self.routers[nth].waiting.len() < 200 => {
                        self.routers[nth].waiting.push((from, bytes));
                    }
                    _ => {}
                }
            }
            for nth in 0..self.routers.len() {
                if self.routers[nth].is == Is::Running && self.routers[nth].wake <= self.now {
                    self.routers[nth].pure.tick(self.now);
                    self.post(nth);
                }
            }
            self.note_wrongs();
        }
    }

    fn note_wrongs(&mut self) {
        for nth in 0..self.routers.len() {
            if self.routers[nth].is != Is::Running {
                continue;
            }
            for (who, change) in self.routers[nth].pure.take_changes() {
                let other = self.at[&who];
                use ladderpass_membership::Change::{Died, Joined, Left, Refuted, Suspected};
                match change {
                    Died | Left if self.routers[other].is == Is::Running => {
                        self.wrongs += 1;
                        self.routers[nth].wrongs += 1;
                        self.routers[nth].wrong.insert(other, self.now);
                    }
                    Joined | Refuted => {
                        if let Some(since) = self.routers[nth].wrong.remove(&other) {
                            self.longest_wrong = self.longest_wrong.max(self.now - since);
                        }
                    }
                    Died | Left | Suspected => {}
                }
            }
        }
    }

    /// The longest wrong one, of those that go on as well.
    fn longest_wrong(&self) -> Span {
        let open = self.routers.iter().filter(|router| router.is == Is::Running);
        let open = open.flat_map(|router| router.wrong.iter());
        let open = open.filter(|&(&other, _)| self.routers[other].is == Is::Running);
        open.map(|(_, &since)| self.now - since).fold(self.longest_wrong, Span::max)
    }

    fn running(&self) -> Vec<usize> {
        (0..self.routers.len()).filter(|&nth| self.routers[nth].is == Is::Running).collect()
    }

    fn believes(&self, nth: usize) -> Vec<SocketAddr> {
        let mut alive: Vec<_> = self.routers[nth].pure.peers(self.now).map(|peer| peer.address).collect();
        alive.push(address(nth));
        alive.sort_unstable();
        alive
    }

    fn agrees(&self) -> bool {
        let mut truth: Vec<SocketAddr> = self.running().into_iter().map(address).collect();
        truth.sort_unstable();
        self.running().into_iter().all(|nth| self.believes(nth) == truth)
    }

    /// Runs until all running ones believe just what is so; how long that took.
    fn until_agreed(&mut self, most: Span) -> Span {
        let began = self.now;
        while !self.agrees() && self.now - began < most {
            self.run(ms(20));
        }
        assert!(self.agrees(), "no agreement after {:.1} s", (self.now - began).secs());
        self.now - began
    }

    /// Ends these; for each the times until each of the others has found it, sorted.
    fn kill(&mut self, which: &[usize], most: Span) -> Vec<f64> {
        which.iter().for_each(|&nth| self.routers[nth].is = Is::Ended);
        let began = self.now;
        let mut found = Vec::new();
        let mut open: Vec<(usize, usize)> = Vec::new();
        for &dead in which {
            open.extend(self.running().into_iter().map(|nth| (nth, dead)));
        }
        while !open.is_empty() && self.now - began < most {
            self.run(ms(20));
            let now = self.now;
            let mut believes: HashMap<usize, HashSet<SocketAddr>> = HashMap::new();
            open.retain(|&(nth, dead)| {
                let alive = believes
                    .entry(nth)
                    .or_insert_with(|| self.routers[nth].pure.peers(now).map(|peer| peer.address).collect());
                let still = alive.contains(&address(dead));
                if !still {
                    found.push((now - began).secs());
                }
                still
            });
        }
        assert!(open.is_empty(), "{} never found", open.len());
        found.sort_by(f64::total_cmp);
        found
    }

    /// Datagrams and bytes a running router a second, over this span.
    fn load(&mut self, span: Span) -> (f64, f64) {
        let sum = |world: &World| {
            let counts = world.running().into_iter().map(|nth| world.routers[nth].pure.counts());
            counts.fold((0, 0), |sum, counts| (sum.0 + counts.sent, sum.1 + counts.bytes))
        };
        let before = sum(self);
        self.run(span);
        let (after, per) = (sum(self), self.running().len() as f64 * span.secs());
        ((after.0 - before.0) as f64 / per, (after.1 - before.1) as f64 / per)
    }
}

fn median(sorted: &[f64]) -> f64 {
    sorted[sorted.len() / 2]
}

#[test]
fn a_fleet_of_three_hundred_finds_itself_and_then_agrees() {
    let mut world = World::new(1, Settings::default());
    (0..300).for_each(|_| world.join());
    let took = world.until_agreed(ms(15_000));
    println!("model: 300 started at once agree after {:.1} s", took.secs());
    let (datagrams, bytes) = world.load(ms(2000));
    println!("model: calm, 300: {datagrams:.1} datagrams, {bytes:.0} bytes a router a second");
    assert!(datagrams < 40.0, "{datagrams}");
}

#[test]
fn the_load_of_a_router_is_flat_in_the_number_of_routers() {
    let loads: Vec<(f64, f64)> =
        [4, 8, 32, 128].into_iter().map(|count| World::settled(2, count).load(ms(10_000))).collect();
    println!("model: datagrams and bytes a router a second at 4, 8, 32, 128: {loads:.1?}");
    for part in [0, 1] {
        let of = |load: &(f64, f64)| if part == 0 { load.0 } else { load.1 };
        let (least, most) =
            (loads.iter().map(of).fold(f64::MAX, f64::min), loads.iter().map(of).fold(0.0, f64::max));
        assert!(most <= 1.2 * least, "{loads:?}");
    }
}

#[test]
fn a_death_is_found_and_seven_in_ten_at_once_are() {
    let mut world = World::settled(3, 60);
    let found = world.kill(&[7], ms(10_000));
    println!("model: one of 60: median {:.2} s, worst {:.2} s", median(&found), found[found.len() - 1]);
    assert!(median(&found) < 3.0 && found[found.len() - 1] < 5.0, "{found:?}");
    let mut world = World::settled(4, 300);
    let dead: Vec<usize> = (0..300).filter(|nth| nth % 10 < 7).collect();
    let found = world.kill(&dead, ms(20_000));
    println!(
        "model: 210 of 300 at once: median {:.2} s, worst {:.2} s",
        median(&found),
        found[found.len() - 1]
    );
    assert!(median(&found) < 6.0 && found[found.len() - 1] < 12.0, "{}", found[found.len() - 1]);
    assert_eq!(world.longest_wrong(), Span::ZERO, "a living one was given up");
}

#[test]
fn no_false_alarm_lasts_under_loss_with_routers_that_freeze() {
    let mut world = World::settled(5, 100);
    world.loss = 0.2;
    world.run(ms(10_000));
    println!("model: 20% loss, 100: {} wrong, longest {:.2} s", world.wrongs, world.longest_wrong().secs());
    assert!(world.longest_wrong() < ms(2000));
    world.forgive();
    for turn in 0..8 {
        let frozen: Vec<usize> = (0..100).filter(|nth| nth % 10 == turn % 10).collect();
        frozen.iter().for_each(|&nth| world.routers[nth].is = Is::Frozen);
        world.run(ms(1000));
        for &nth in &frozen {
            world.routers[nth].is = Is::Running;
            // What came meanwhile is read first.
            for (from, bytes) in std::mem::take(&mut world.routers[nth].waiting) {
                world.routers[nth].pure.on_datagram(world.now, from, &bytes);
            }
            world.post(nth);
        }
        world.run(ms(500));
    }
    println!(
        "model: with a tenth frozen for 1 s: {} wrong, longest {:.2} s",
        world.wrongs,
        world.longest_wrong().secs()
    );
    assert!(world.longest_wrong() < ms(2000));
    world.loss = 0.0;
    let took = world.until_agreed(ms(6000));
    println!("model: agreed {:.2} s after the last", took.secs());
}

#[test]
fn a_split_heals_and_each_side_goes_on_by_itself() {
    let mut world = World::settled(6, 60);
    world.cut = Box::new(|one, other| (one < 24) != (other < 24));
    world.run(ms(10_000));
    for nth in 0..60 {
        let view = world.routers[nth].pure.view();
        assert_eq!(view.count, if nth < 24 { 24 } else { 36 }, "{nth}: {view:?}");
    }
    world.cut = Box::new(|_, _| false);
    world.forgive();
    let took = world.until_agreed(ms(10_000));
    println!("model: a split of 10 s healed after {:.2} s", took.secs());
    assert!(took < ms(4000), "{took:?}");
    assert!(world.longest_wrong() < ms(2000));
}

#[test]
fn joins_and_leaves_by_tenths() {
    let mut world = World::settled(7, 50);
    for turn in 0..5 {
        for nth in turn * 5 + 5..turn * 5 + 10 {
            let now = world.now;
            world.routers[nth].pure.leave(now);
            world.post(nth);
            world.routers[nth].is = Is::Ended;
        }
        world.run(ms(1000));
        (0..5).for_each(|_| world.join());
        world.run(ms(1000));
    }
    let took = world.until_agreed(ms(5000));
    println!("model: joins and leaves by tenths: agreed {:.2} s after the last", took.secs());
    assert_eq!(world.wrongs, 0);
}

#[test]
fn two_that_cannot_hear_each_other_don_t_doubt_each_other() {
    let mut world = World::settled(8, 8);
    world.cut = Box::new(|one, other| one + other == 7 && one.min(other) == 3);
    world.run(ms(10_000));
    assert_eq!(world.wrongs, 0);
    assert!(world.agrees());
}

#[test]
fn one_that_hears_all_and_is_heard_by_none_tells_nobody_dead() {
    let mut world = World::settled(9, 8);
    world.cut = Box::new(|one, _| one == 3);
    world.run(ms(8000));
    let others = world.running().into_iter().filter(|&nth| nth != 3);
    for nth in others {
        assert_eq!(world.routers[nth].pure.view().count, 7, "{nth}");
    }
    world.cut = Box::new(|_, _| false);
    world.forgive();
    let took = world.until_agreed(ms(6000));
    // Its own findings end with the first answer; no other router may have believed one.
    let others: usize =
        world.routers.iter().enumerate().filter(|(nth, _)| *nth != 3).map(|(_, r)| r.wrongs).sum();
    assert_eq!(others, 0, "it spread what it found while it was cut off; agreed after {took:?}");
}

#[test]
fn one_frozen_for_three_seconds_is_given_up_and_is_back_when_it_wakes() {
    let mut world = World::settled(10, 8);
    world.routers[2].is = Is::Frozen;
    world.run(ms(3500));
    assert_eq!(world.routers[0].pure.view().count, 7);
    world.routers[2].is = Is::Running;
    for (from, bytes) in std::mem::take(&mut world.routers[2].waiting) {
        let now = world.now;
        world.routers[2].pure.on_datagram(now, from, &bytes);
    }
    world.post(2);
    let took = world.until_agreed(ms(3000));
    assert!(took < ms(1500), "{took:?}");
    assert_eq!(world.wrongs, 0, "it took others for gone, whom it had not heard while it was frozen");
}

#[test]
fn a_new_router_takes_over_the_address_of_a_dead_one_even_with_its_clock_behind() {
    let mut world = World::settled(11, 6);
    let before = world.routers[0].pure.peers(world.now).find(|peer| peer.address == address(4));
    world.routers[4].is = Is::Ended;
    world.run(ms(5000));
    world.lives = -60_000;
    world.restart(4);
    world.until_agreed(ms(3000));
    let after = world.routers[0].pure.peers(world.now).find(|peer| peer.address == address(4));
    let (before, after) = (before.expect("it was there"), after.expect("it is there"));
    assert!(after.started_ms > before.started_ms && after.since > before.since, "{before:?} {after:?}");
}

#[test]
fn with_all_listed_ones_down_it_acts_by_itself_and_finds_them_later() {
    let mut world = World::new(12, Settings::default());
    (0..5).for_each(|_| world.join());
    (0..3).for_each(|nth| world.routers[nth].is = Is::Ended);
    world.run(ms(3000));
    assert_eq!(world.routers[4].pure.view().count, 1);
    (0..3).for_each(|nth| world.restart(nth));
    world.until_agreed(ms(4000));
}

#[test]
fn a_stranger_and_a_replayed_old_word_change_nothing() {
    let mut world = World::new(13, Settings::default());
    (0..4).for_each(|_| world.join());
    // What router 3 says in its first life is kept, and said again when it is dead, and by a stranger.
    let mut kept: Vec<(SocketAddr, Vec<u8>)> = Vec::new();
    for _ in 0..400 {
        world.run(STEP);
        let said = world.on_way.values().filter(|(from, ..)| *from == address(3));
        kept.extend(said.map(|(_, to, bytes)| (*to, bytes.clone())));
    }
    world.until_agreed(ms(3000));
    world.kill(&[3], ms(8000));
    let now = world.now;
    let digest = world.routers[0].pure.view().digest;
    for (to, bytes) in &kept {
        let nth = world.at[to];
        world.routers[nth].pure.on_datagram(now, address(3), bytes);
    }
    let stranger: SocketAddr = "192.0.2.9:7400".parse().expect("an address");
    let before = world.routers[0].pure.counts().dropped;
    for (_, bytes) in &kept {
        world.routers[0].pure.on_datagram(now, stranger, bytes);
        world.routers[0].pure.on_datagram(now, address(1), bytes);
    }
    assert_eq!(world.routers[0].pure.counts().dropped - before, 2 * kept.len() as u64);
    assert!(world.routers[0].pure.take_outgoing().iter().all(|(to, _)| *to != stranger));
    world.run(ms(1000));
    assert!(kept.len() > 20);
    assert_eq!(world.routers[0].pure.view().digest, digest);
}

/// A router whose words are late is suspected, contradicts, and dies: what it said comes when it is gone.
#[test]
fn a_late_contradiction_does_not_raise_the_dead() {
    let mut world = World::settled(16, 6);
    // Nothing that it says comes through, and all of it is kept.
    world.cut = Box::new(|from, _| from == 4);
    let mut kept: Vec<(SocketAddr, Vec<u8>)> = Vec::new();
    for _ in 0..200 {
        world.run(STEP);
        kept.append(&mut world.routers[4].said);
    }
    world.kill(&[4], ms(8000));
    let digest = world.routers[0].pure.view().digest;
    for (to, bytes) in &kept {
        let nth = world.at[to];
        let now = world.now;
        world.routers[nth].pure.on_datagram(now, address(4), bytes);
        world.post(nth);
    }
    assert!(kept.len() > 10);
    assert_eq!(world.routers[0].pure.view().digest, digest);
    world.run(ms(1000));
    assert!(world.running().into_iter().all(|nth| world.routers[nth].pure.view().digest == digest));
    // The next life at its address is met as ever.
    world.cut = Box::new(|_, _| false);
    world.restart(4);
    world.until_agreed(ms(3000));
}

#[test]
fn what_others_can_make_grow_is_bounded() {
    let settings = Settings { max_routers: 50, ..Settings::default() };
    let mut world = World::new(14, settings);
    (0..120).for_each(|_| world.join());
    world.run(ms(6000));
    for nth in world.running() {
        assert!(world.routers[nth].pure.peers(world.now).count() <= 50);
    }
}

/// Each faulty build is told apart by what the proof looks at.
#[test]
fn faulty_ones_are_told_apart() {
    let play = |faulty| {
        let mut world = World::new(15, Settings { faulty, ..Settings::default() });
        (0..8).for_each(|_| world.join());
        world.run(ms(4000));
        world.forgive();
        world.loss = 0.2;
        world.run(ms(8000));
        let wrongs = world.wrongs;
        world.loss = 0.0;
        world.run(ms(3000));
        let mut late: Vec<(SocketAddr, Vec<u8>)> = Vec::new();
        for _ in 0..200 {
            world.run(STEP);
            let said = world.on_way.values().filter(|(from, ..)| *from == address(5));
            late.extend(said.map(|(_, to, bytes)| (*to, bytes.clone())));
        }
        world.routers[5].is = Is::Ended;
        world.run(ms(5000));
        // What it said when it was alive comes late.
        for (to, bytes) in late {
            let nth = world.at[&to];
            world.routers[nth].pure.on_datagram(world.now, address(5), &bytes);
        }
        let view = world.routers[0].pure.view();
        let gone = world.routers[0].pure.peers(world.now).all(|peer| peer.address != address(5));
        world.restart(5);
        world.run(ms(4000));
        (wrongs, gone, view.count, world.agrees())
    };
    let (wrongs, gone, count, agrees) = play(Faulty::Nowhere);
    assert!(wrongs < 10 && gone && count == 7 && agrees, "{wrongs} {gone} {count} {agrees}");
    assert!(!play(Faulty::NeverSuspects).1);
    let hasty = play(Faulty::ConfirmsImmediately).0;
    assert!(hasty > 5 * (wrongs + 4), "{hasty} of {wrongs}");
    let forgets = play(Faulty::IgnoresIncarnations);
    assert!(forgets.0 > 5 * (wrongs + 4) || !forgets.1 || !forgets.3, "{forgets:?}");
    let keeps = play(Faulty::CountsDeadRouters);
    assert!(keeps.1 && keeps.2 == 8, "{keeps:?}");
}

/// Worlds drawn by chance: whatever happens, a view never counts a router twice or itself out, the wake is bounded, and
/// once all is calm all agree.
#[test]
fn random_worlds_agree_once_they_are_calm() {
    for seed in 0..12 {
        let mut world = World::new(100 + seed, Settings::default());
        let count = 3 + (seed as usize * 3) % 14;
        (0..count).for_each(|_| world.join());
        for _ in 0..25 {
            let one = world.chance.generate_range(0..world.routers.len());
            match world.chance.generate_range(0..7u32) {
                0 => world.routers[one].is = Is::Ended,
                1 if world.routers[one].is == Is::Running => world.routers[one].is = Is::Frozen,
                2 => world.restart(one),
                3 => world.loss = world.chance.generate::<f64>() * 0.4,
                4 => world.cut = Box::new(move |from, _| from == one),
                5 => world.cut = Box::new(move |from, to| (from < one) != (to < one)),
                _ => world.cut = Box::new(|_, _| false),
            }
            world.run(ms(300));
            for nth in world.running() {
                let view = world.routers[nth].pure.view();
                let mut alive = world.believes(nth);
                alive.dedup();
                assert_eq!((alive.len(), alive[view.position]), (view.count, address(nth)));
                let wake = world.routers[nth].pure.wake_at();
                assert!(wake - world.now <= world.settings.probe_interval, "seed {seed}");
            }
        }
        (world.loss, world.cut) = (0.0, Box::new(|_, _| false));
        for nth in 0..world.routers.len() {
            if world.routers[nth].is == Is::Frozen {
                world.routers[nth].is = Is::Running;
            }
        }
        let took = world.until_agreed(ms(20_000));
        assert!(took < ms(9000), "seed {seed}: {:.1} s", took.secs());
    }
}
