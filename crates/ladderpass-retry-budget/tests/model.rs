//! Fleets of routers in steps of 250 ms: first call-outs fail by chance, further ones help by chance; words are a step
//! old, some are lost, routers die and split. What all pay is counted from outside.

use ladderpass_retry_budget::{Faulty, RetryBudget, RetryRates};
use ladderpass_routing::{Span, Time};
use nanorand::{Rng, WyRand};

const STEP: Span = Span::from_millis(250);

struct World {
    now: Time,
    routers: Vec<RetryBudget>,
    told: Vec<RetryRates>,
    /// First call-outs a second of each.
    rates: Vec<f64>,
    alive: Vec<bool>,
    /// Routers below this number hear none of the others, where it is above nothing.
    cut: usize,
    fails: f64,
    helps: f64,
    chance: WyRand,
    /// By step: first call-outs, further ones wanted and paid.
    steps: Vec<[f64; 3]>,
}

impl World {
    fn new(seed: u64, rates: Vec<f64>, faulty: impl Fn(usize) -> Faulty) -> World {
        let now = Time::from_nanos(1_800_000_000_000_000_000);
        World {
            now,
            routers: (0..rates.len()).map(|nth| RetryBudget::start(now, faulty(nth))).collect(),
            told: vec![RetryRates::default(); rates.len()],
            alive: vec![true; rates.len()],
            cut: 0,
            rates,
            fails: 0.0,
            helps: 1.0,
            chance: WyRand::new_seed(seed),
            steps: Vec::new(),
        }
    }

    fn lucky(&mut self, part: f64) -> bool {
        self.chance.generate::<f64>() < part
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let mut counts = [0.0; 3];
        for nth in (0..self.routers.len()).filter(|&nth| self.alive[nth]).collect::<Vec<_>>() {
            let mean = self.rates[nth] * STEP.secs();
            let count = mean.floor() as usize + usize::from(self.lucky(mean.fract()));
            for _ in 0..count {
                self.routers[nth].record_first_attempt(7);
                counts[0] += 1.0;
                let (mut failed, mut tries) = (self.lucky(self.fails), 0);
                while failed && tries < 3 {
                    counts[1] += 1.0;
                    let rank = if self.lucky(0.2) { 200 } else { 190 };
                    if !self.routers[nth].try_withdraw(7, rank) {
                        break;
                    }
                    counts[2] += 1.0;
                    tries += 1;
                    failed = !self.lucky(self.helps);
                    if !failed {
                        self.routers[nth].record_success(7);
                    }
                }
            }
        }
        self.steps.push(counts);
        let told = self.told.clone();
        for nth in (0..self.routers.len()).filter(|&nth| self.alive[nth]).collect::<Vec<_>>() {
            let hears = |other: usize| {
                other != nth && self.alive[other] && (self.cut == 0 || (other < self.cut) == (nth < self.cut))
            };
            let words: Vec<(RetryRates, f64)> =
                (0..told.len()).filter(|&other| hears(other)).map(|other| (told[other], 1.0)).collect();
            self.routers[nth].rebalance(self.now, words.len(), |_| words.iter().copied());
            self.told[nth] = self.routers[nth].own_rates(7);
        }
    }

    fn run(&mut self, steps: usize) {
        (0..steps).for_each(|_| self.step());
    }

    /// Wanted and paid, as parts of first call-outs, over the last steps.
    fn over(&self, steps: usize) -> (f64, f64) {
        let last = &self.steps[self.steps.len() - steps..];
        let sum = |nth: usize| last.iter().map(|step| step[nth]).sum::<f64>();
        (sum(1) / sum(0).max(1.0), sum(2) / sum(0).max(1.0))
    }
}

fn uneven(count: usize, total: f64) -> Vec<f64> {
    let parts: f64 = (1..=count).map(|nth| nth as f64).sum();
    (1..=count).map(|nth| total * nth as f64 / parts).collect()
}

#[test]
fn few_failures_are_all_paid_for_also_where_each_router_sees_little() {
    for rates in [uneven(8, 400.0), vec![3.0; 40]] {
        let mut world = World::new(1, rates, |_| Faulty::Nowhere);
        world.fails = 0.2;
        world.run(40);
        let (wanted, paid) = world.over(20);
        assert!(paid > 0.85 * wanted && paid > 0.15, "{paid} of {wanted}");
    }
}

#[test]
fn while_nothing_helps_next_to_nothing_is_paid_and_it_comes_back_within_seconds() {
    for rates in [uneven(8, 400.0), vec![3.0; 40]] {
        let mut world = World::new(2, rates, |_| Faulty::Nowhere);
        world.run(20);
        (world.fails, world.helps) = (0.9, 0.05);
        // The first second is what was saved up, and what words have not told yet.
        world.run(4);
        let (_, first) = world.over(4);
        world.run(8);
        let (wanted, paid) = world.over(8);
        println!("model: in trouble {wanted:.2} wanted, {paid:.3} paid; in its first second {first:.2}");
        assert!(first < 0.75 && wanted > 0.8 && paid < 0.12, "{first} {wanted} {paid}");
        (world.fails, world.helps) = (0.2, 1.0);
        world.run(12);
        let (wanted, paid) = world.over(4);
        assert!(paid > 0.8 * wanted, "{paid} of {wanted}");
    }
}

/// One that needs them all gets what the others leave.
#[test]
fn what_others_leave_goes_to_the_one_in_need() {
    let mut world = World::new(3, vec![50.0; 8], |_| Faulty::Nowhere);
    world.run(8);
    // Router 0 alone asks, for each of its RPCs.
    for _ in 0..24 {
        for _ in 0..12 {
            world.routers[0].try_withdraw(7, 190);
            world.routers[0].record_success(7);
        }
        world.run(1);
    }
    let part = world.routers[0].metrics().map(|figures| figures.quota).sum::<f64>();
    assert!(part > 40.0, "{part} a second of about 48 wanted");
    let all: f64 = world.routers.iter().flat_map(RetryBudget::metrics).map(|figures| figures.quota).sum();
    assert!(all <= 0.51 * 400.0, "{all}");
}

#[test]
fn kills_a_split_and_a_standstill_leave_the_sum_within_the_budget() {
    for seed in 0..20 {
        let mut world = World::new(seed, uneven(12, 600.0), |_| Faulty::Nowhere);
        (world.fails, world.helps) = (0.5, 0.5);
        world.run(16);
        (0..4).for_each(|nth| world.alive[nth * 3] = false);
        world.run(8);
        world.cut = 5;
        world.run(16);
        world.cut = 0;
        // It wakes with what it had saved, and no more.
        world.alive[0] = true;
        world.run(8);
        for last in world.steps.windows(8) {
            let sum = |nth: usize| last.iter().map(|step| step[nth]).sum::<f64>();
            assert!(sum(2) <= 0.5 * 1.15 * sum(0) + 12.0, "seed {seed}: {} of {}", sum(2), sum(0));
        }
    }
}

/// Without the budget three further ones follow each failure.
#[test]
fn one_that_spends_without_asking_is_told_apart() {
    let mut world = World::new(5, uneven(8, 400.0), |_| Faulty::SpendsWithoutAsking);
    (world.fails, world.helps) = (0.9, 0.05);
    world.run(24);
    assert!(world.over(8).1 > 1.5);
    let mut world = World::new(5, uneven(8, 400.0), |_| Faulty::NeverRefunds);
    world.run(8);
    (world.fails, world.helps) = (0.9, 0.05);
    world.run(24);
    assert!(world.over(8).1 > 0.3, "{:?}", world.over(8));
}

#[test]
fn what_is_left_of_little_goes_to_what_is_worth_more() {
    let mut world = World::new(6, vec![100.0], |_| Faulty::Nowhere);
    (world.fails, world.helps) = (0.3, 0.5);
    world.run(40);
    let mut paid = [0, 0];
    for nth in 0..400 {
        let high = nth % 5 == 0;
        paid[usize::from(high)] += u32::from(world.routers[0].try_withdraw(7, if high { 200 } else { 190 }));
        if nth % 10 == 0 {
            world.run(1);
        }
    }
    // A fifth asks for it: it gets more than a fifth.
    assert!(paid[1] * 4 > paid[0], "{paid:?}");
}
