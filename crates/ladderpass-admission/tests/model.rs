//! Fleets of routers in simulated steps before members that answer slower the more they have: the same code, its words
//! late and lost. No sockets: a step is 250 ms, a member's answer time follows what is in flight there.

use ladderpass_admission::{AdmissionController, Faulty, admission_draw};
use ladderpass_routing::{MemberId, MemberLoad, Span, Time};
use nanorand::{Rng, WyRand};

const STEP: Span = Span::from_millis(250);
const HIGH: u32 = 200;
const LOW: u32 = 190;

struct World {
    now: Time,
    routers: Vec<AdmissionController>,
    /// RPCs a second of each: of the high rank, and of the low one.
    load: Vec<(f64, f64)>,
    alive: Vec<bool>,
    /// What the members serve a second, all together, and how many there are.
    serves: f64,
    members: u32,
    chance: WyRand,
    loss: f64,
    cut: usize,
    limits: Vec<Vec<f64>>,
    /// Served of the high rank and of all, in the last step, as parts of what was asked and of what could be.
    high: f64,
    used: f64,
}

impl World {
    fn new(seed: u64, load: Vec<(f64, f64)>, serves: f64, faulty: impl Fn(usize) -> Faulty) -> World {
        let now = Time::from_nanos(1_800_000_000_000_000_000);
        let count = load.len();
        let mut world = World {
            now,
            routers: (0..count)
                .map(|nth| AdmissionController::start(now, nth as u32 + 1, faulty(nth)))
                .collect(),
            alive: vec![true; count],
            serves,
            members: 3,
            chance: WyRand::new_seed(seed),
            loss: 0.0,
            cut: 0,
            limits: vec![vec![2.0; 3]; count],
            load,
            high: 0.0,
            used: 0.0,
        };
        world.meet();
        world
    }

    /// A whole number with this mean.
    fn draw(&mut self, mean: f64) -> usize {
        mean.max(0.0).floor() as usize + usize::from(self.chance.generate::<f64>() < mean.fract())
    }

    fn meet(&mut self) {
        for nth in 0..self.routers.len() {
            let reaches = |other: usize| {
                other != nth && self.alive[other] && (self.cut == 0 || (other < self.cut) == (nth < self.cut))
            };
            let others: Vec<u32> = (0..self.routers.len())
                .filter(|&other| reaches(other))
                .map(|other| other as u32 + 1)
                .collect();
            self.routers[nth].set_alive(others.into_iter());
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let count = self.routers.len();
        let secs = STEP.secs();
        let living: Vec<usize> = (0..count).filter(|&nth| self.alive[nth]).collect();
        // What each lets in, by the floor; the members serve the high rank first, as much as they can of all.
        let mut let_in = vec![(0.0, 0.0); count];
        let mut held = 0.0;
        for &nth in &living {
            let (floor, _) = self.routers[nth].threshold(7);
            let part = |rank: u32| (1.0 - (floor - f64::from(rank))).clamp(0.0, 1.0);
            let (high, low) = self.load[nth];
            let (high, low) = (self.draw(high * secs), self.draw(low * secs));
            (0..high).for_each(|_| self.routers[nth].record_offered(7, HIGH));
            (0..low).for_each(|_| self.routers[nth].record_offered(7, LOW));
            let_in[nth] = (high as f64 * part(HIGH), low as f64 * part(LOW));
            held += self.limits[nth].iter().sum::<f64>();
        }
        let (high, low) = let_in.iter().fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let room = self.serves * secs;
        let served_high = high.min(room);
        let served_low = low.min(room - served_high);
        // In flight: as much as the limits let, where there is more than is served; then answers are slow.
        let over = (high + low) / room;
        let cores = f64::from(self.members) * 2.0;
        let in_flight = if over > 1.0 { held.min(cores * 4.0 * over) } else { cores * over };
        let stretch = (in_flight / cores).max(1.0);
        let asked_high: f64 =
            (0..count).filter(|&n| self.alive[n]).map(|n| self.load[n].0).sum::<f64>() * secs;
        self.high = if asked_high > 0.0 { served_high / asked_high } else { 1.0 };
        self.used = (served_high + served_low) / room;
        for &nth in &living {
            let mine =
                (let_in[nth].0 * served_high / high.max(1e-9), let_in[nth].1 * served_low / low.max(1e-9));
            let served = self.draw(mine.0 + mine.1);
            (0..served).for_each(|_| self.routers[nth].record_served(7));
            let missing = self.draw(let_in[nth].0 + let_in[nth].1 - mine.0 - mine.1);
            (0..missing).for_each(|_| self.routers[nth].record_unplaced(7));
            let part = (let_in[nth].0 + let_in[nth].1) / (high + low).max(1e-9);
            let seen: Vec<MemberLoad> = (0..self.members)
                .map(|member| MemberLoad {
                    member: MemberId(member),
                    id_hash: member + 10,
                    group: 7,
                    latency_ratio: stretch,
                    in_flight: in_flight * part / f64::from(self.members),
                    failure_share: 0.0,
                })
                .collect();
            if let Some(facts) = self.routers[nth].tick(self.now, &seen) {
                self.limits[nth] = facts.in_flight.iter().map(|(_, limit)| *limit).collect();
            }
        }
        // Each tells two others by chance, as questions and answers carry it.
        for &nth in &living {
            let bytes = self.routers[nth].encode_reports(self.now, 210);
            for _ in 0..2 {
                let other = self.chance.generate_range(0..count);
                let lost = self.chance.generate::<f64>() < self.loss;
                let apart = self.cut > 0 && (other < self.cut) != (nth < self.cut);
                if other != nth && self.alive[other] && !lost && !apart {
                    self.routers[other].on_reports(self.now, &bytes);
                }
            }
        }
    }

    fn run(&mut self, steps: usize) {
        (0..steps).for_each(|_| self.step());
    }

    /// Means of the last steps: of the high rank served, and of what the members can.
    fn over(&mut self, steps: usize) -> (f64, f64) {
        let (mut high, mut used) = (0.0, 0.0);
        for _ in 0..steps {
            self.step();
            high += self.high / steps as f64;
            used += self.used / steps as f64;
        }
        (high, used)
    }

    fn floors(&self) -> Vec<f64> {
        (0..self.routers.len()).filter(|&n| self.alive[n]).map(|n| self.routers[n].threshold(7).0).collect()
    }
}

/// Unevenly spread, at 2.5 times what can be served, a tenth of it of the high rank.
fn uneven(count: usize, serves: f64) -> Vec<(f64, f64)> {
    let parts: f64 = (1..=count).map(|nth| nth as f64).sum();
    let total = serves * 2.5;
    (1..=count).map(|nth| (total * 0.1 * nth as f64 / parts, total * 0.9 * nth as f64 / parts)).collect()
}

fn spread(floors: &[f64]) -> f64 {
    let most = floors.iter().copied().fold(0.0, f64::max);
    most - floors.iter().copied().fold(f64::MAX, f64::min)
}

#[test]
fn three_hundred_come_to_one_floor_and_stay_there() {
    for loss in [0.0, 0.2] {
        let mut world = World::new(1, uneven(300, 3000.0), 3000.0, |_| Faulty::Nowhere);
        world.loss = loss;
        world.run(40);
        let (high, used) = world.over(20);
        let floors = world.floors();
        println!(
            "model: 300, loss {loss}: high {high:.3}, used {used:.3}, floors within {:.2}",
            spread(&floors)
        );
        assert!(high > 0.99 && used > 0.93, "{high} {used}");
        assert!(spread(&floors) < 1.0, "{floors:?}");
        assert!(floors.iter().all(|&floor| floor > f64::from(LOW) && floor < f64::from(HIGH)), "{floors:?}");
    }
}

#[test]
fn a_step_of_load_is_answered_within_seconds_and_let_go_of() {
    let mut world = World::new(2, uneven(8, 300.0), 300.0, |_| Faulty::Nowhere);
    let heavy = world.load.clone();
    world.load.iter_mut().for_each(|load| *load = (load.0 * 0.2, load.1 * 0.2));
    world.run(20);
    assert_eq!(world.floors(), vec![0.0; 8]);
    world.load = heavy.clone();
    world.run(8);
    let (high, used) = world.over(8);
    println!("model: 2 s after a step: high {high:.3}, used {used:.3}");
    assert!(high > 0.97 && used > 0.9, "{high} {used}");
    world.load = heavy.iter().map(|load| (load.0 * 0.2, load.1 * 0.2)).collect();
    world.run(8);
    assert_eq!(world.floors(), vec![0.0; 8]);
}

#[test]
fn a_third_killed_and_a_split_leave_the_members_used_and_not_over_filled() {
    let mut world = World::new(3, uneven(12, 300.0), 300.0, |_| Faulty::Nowhere);
    world.run(30);
    (0..4).for_each(|nth| world.alive[nth * 3] = false);
    // Their clients go to the others.
    let lost: f64 = (0..4).map(|nth| world.load[nth * 3].0 + world.load[nth * 3].1).sum();
    let more = 1.0 + lost / (750.0 - lost);
    world.load.iter_mut().for_each(|load| *load = (load.0 * more, load.1 * more));
    world.run(6);
    world.meet();
    let (high, used) = world.over(8);
    println!("model: after a third died: high {high:.3}, used {used:.3}");
    assert!(high > 0.98 && used > 0.93, "{high} {used}");
    world.cut = 6;
    world.run(6);
    world.meet();
    let (high, used) = world.over(30);
    println!("model: in a split: high {high:.3}, used {used:.3}");
    assert!(high > 0.97 && used > 0.93, "{high} {used}");
    world.cut = 0;
    world.meet();
    world.run(8);
    let (high, used) = world.over(10);
    assert!(high > 0.98 && used > 0.93, "{high} {used}");
}

#[test]
fn a_liar_shuts_nobody_out_and_is_bounded() {
    let faulty = |nth| if nth == 7 { Faulty::ReportsTenfold } else { Faulty::Nowhere };
    let mut world = World::new(4, uneven(8, 300.0), 300.0, faulty);
    world.run(40);
    let (high, used) = world.over(20);
    let bounded: usize = world.routers[0].metrics().map(|figures| figures.clamped_reports).sum();
    println!("model: a liar: high {high:.3}, used {used:.3}, bounded {bounded}");
    assert!(high > 0.97 && used > 0.9 && bounded > 0, "{high} {used} {bounded}");
}

#[test]
fn the_deads_words_fade_and_those_of_strangers_are_not_heard() {
    let mut world = World::new(5, uneven(4, 300.0), 300.0, |_| Faulty::Nowhere);
    world.run(20);
    let words = |world: &World| world.routers[0].metrics().map(|figures| figures.reports).sum::<usize>();
    assert_eq!(words(&world), 3);
    world.alive[3] = false;
    // Nobody tells of the death: the words fade all the same.
    world.run(20);
    assert_eq!(words(&world), 2);
    let bytes = world.routers[1].encode_reports(world.now, 210);
    let mut stranger = AdmissionController::start(world.now, 99, Faulty::Nowhere);
    stranger.on_reports(world.now, &bytes);
    assert_eq!(stranger.metrics().count(), 0);
    stranger.record_offered(7, LOW);
    stranger.tick(world.now + STEP * 2.0, &[]);
    assert_eq!(stranger.metrics().map(|figures| figures.reports).sum::<usize>(), 0);
}

#[test]
fn one_that_hears_nobody_any_more_takes_no_more_than_its_part() {
    let mut world = World::new(6, uneven(4, 300.0), 300.0, |_| Faulty::Nowhere);
    world.run(30);
    let part = |world: &World| world.routers[0].metrics().map(|figures| figures.quota).sum::<f64>();
    let before = part(&world);
    world.loss = 1.0;
    world.run(40);
    assert!(part(&world) <= before * 1.2, "{} of {before}", part(&world));
}

/// Found by drills with short queues: a member that refuses answers quickly, and its room stayed wide.
#[test]
fn refusals_narrow_a_members_room_as_slow_answers_do() {
    let now = Time::from_nanos(1_800_000_000_000_000_000);
    let room_after = |refused: f64| {
        let mut concert = AdmissionController::start(now, 1, Faulty::Nowhere);
        let mut last = 0.0;
        for step in 1..20 {
            (0..75).for_each(|_| concert.record_offered(7, LOW));
            let seen = MemberLoad {
                member: MemberId(0),
                id_hash: 3,
                group: 7,
                latency_ratio: 1.0,
                in_flight: 8.0,
                failure_share: refused,
            };
            let facts = concert.tick(now + STEP * f64::from(step), &[seen]).expect("it is time");
            last = facts.in_flight[0].1;
        }
        last
    };
    assert!(room_after(0.4) < room_after(0.0) * 0.6, "{} {}", room_after(0.4), room_after(0.0));
}

/// Found by drills whose pushbacks come at once: a floor begun on the first quarter of a second's counts let in 13 of 67.
#[test]
fn no_floor_begins_on_a_load_that_is_still_growing() {
    let now = Time::from_nanos(1_800_000_000_000_000_000);
    let mut concert = AdmissionController::start(now, 1, Faulty::Nowhere);
    let floors: Vec<f64> = (1..=8)
        .map(|step| {
            (0..75).for_each(|_| concert.record_offered(7, LOW));
            (0..30).for_each(|_| concert.record_served(7));
            (0..30).for_each(|_| concert.record_unplaced(7));
            concert.tick(now + STEP * f64::from(step), &[]);
            concert.threshold(7).0
        })
        .collect();
    assert_eq!(&floors[..2], &[0.0, 0.0]);
    assert!(floors[7] > f64::from(LOW), "{floors:?}");
    let let_in = concert.metrics().map(|figures| figures.admitted).sum::<f64>();
    assert!(let_in > 110.0, "{let_in} of 300 where 120 are served");
}

#[test]
fn a_groups_floor_is_its_own() {
    let mut world = World::new(7, uneven(4, 300.0), 300.0, |_| Faulty::Nowhere);
    world.run(30);
    world.routers[0].record_offered(8, LOW);
    world.run(4);
    assert!(world.routers[0].threshold(7).0 > 0.0);
    assert_eq!(world.routers[0].threshold(8), (0.0, 0.0));
}

#[test]
fn all_draw_the_same_lot_for_a_session_and_another_in_another_epoch() {
    let now = Time::from_nanos(1_800_000_000_000_000_000);
    assert_eq!(admission_draw(b"k7", now), admission_draw(b"k7", now + Span::from_millis(200)));
    assert_ne!(admission_draw(b"k7", now), admission_draw(b"k7", now + Span::from_millis(20_000)));
    let mean: f64 =
        (0..1000).map(|nth| admission_draw(format!("k{nth}").as_bytes(), now)).sum::<f64>() / 1000.0;
    assert!((0.45..0.55).contains(&mean), "{mean}");
}
