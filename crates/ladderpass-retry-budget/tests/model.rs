//! Tests of the retry budget in a simulation of routers in steps of 250 ms. First attempts fail at random, retries
//! succeed at random, reports arrive a step late, and routers die and are partitioned. The simulation itself counts the
//! attempts of all routers.

use ladderpass_retry_budget::{Faulty, RetryBudget, RetryRates, WeightedRates};
use ladderpass_routing::{Span, Time};
use nanorand::{Rng, WyRand};

const STEP: Span = Span::from_millis(250);
const GROUP: u32 = 7;
const HIGH: u32 = 200;
const LOW: u32 = 190;
const MAX_RETRIES: u32 = 3;

/// Numbers of attempts of all routers.
#[derive(Clone, Copy, Default)]
struct Attempts {
    first: f64,
    retries_wanted: f64,
    retries_granted: f64,
}

impl Attempts {
    fn sum(steps: &[Attempts]) -> Attempts {
        let mut sum = Attempts::default();
        for step in steps {
            sum.first += step.first;
            sum.retries_wanted += step.retries_wanted;
            sum.retries_granted += step.retries_granted;
        }
        sum
    }
}

/// Numbers of retries as shares of the first attempts.
#[derive(Debug)]
struct RetryShares {
    wanted: f64,
    granted: f64,
}

struct Simulation {
    now: Time,
    routers: Vec<RetryBudget>,
    reported: Vec<RetryRates>,
    /// First attempts a second of each router.
    first_attempts_per_second: Vec<f64>,
    alive: Vec<bool>,
    /// If above 0, the routers with a lower index than this can't reach the routers with this index or a higher one.
    partitioned_at: usize,
    /// Probability that a first attempt fails.
    failure_share: f64,
    /// Probability that a retry succeeds.
    retry_success_share: f64,
    rng: WyRand,
    steps: Vec<Attempts>,
}

impl Simulation {
    fn new(seed: u64, first_attempts_per_second: Vec<f64>, faulty: impl Fn(usize) -> Faulty) -> Simulation {
        let now = Time::from_nanos(1_800_000_000_000_000_000);
        let count = first_attempts_per_second.len();
        Simulation {
            now,
            routers: (0..count).map(|index| RetryBudget::start(now, faulty(index))).collect(),
            reported: vec![RetryRates::default(); count],
            alive: vec![true; count],
            partitioned_at: 0,
            first_attempts_per_second,
            failure_share: 0.0,
            retry_success_share: 1.0,
            rng: WyRand::new_seed(seed),
            steps: Vec::new(),
        }
    }

    fn random_bool(&mut self, probability: f64) -> bool {
        self.rng.generate::<f64>() < probability
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let alive: Vec<usize> = (0..self.routers.len()).filter(|&index| self.alive[index]).collect();
        let mut attempts = Attempts::default();
        for &index in &alive {
            let mean = self.first_attempts_per_second[index] * STEP.secs();
            let count = mean.floor() as usize + usize::from(self.random_bool(mean.fract()));
            (0..count).for_each(|_| self.run_rpc(index, &mut attempts));
        }
        self.steps.push(attempts);
        self.rebalance(&alive);
    }

    /// Runs one RPC at a router: a first attempt, and then retries while attempts fail and the budget grants retries.
    fn run_rpc(&mut self, index: usize, attempts: &mut Attempts) {
        self.routers[index].record_first_attempt(GROUP);
        attempts.first += 1.0;
        let mut has_failed = self.random_bool(self.failure_share);
        let mut retries = 0;
        while has_failed && retries < MAX_RETRIES {
            attempts.retries_wanted += 1.0;
            let priority = if self.random_bool(0.2) { HIGH } else { LOW };
            if !self.routers[index].try_withdraw(GROUP, priority) {
                break;
            }
            attempts.retries_granted += 1.0;
            retries += 1;
            has_failed = !self.random_bool(self.retry_success_share);
            if !has_failed {
                self.routers[index].record_success(GROUP);
            }
        }
    }

    /// Each router computes its quota from the rates that the other routers reported last.
    fn rebalance(&mut self, alive: &[usize]) {
        let reported = self.reported.clone();
        for &index in alive {
            let is_reachable = |other: usize| {
                let is_partitioned =
                    self.partitioned_at > 0 && (other < self.partitioned_at) != (index < self.partitioned_at);
                other != index && self.alive[other] && !is_partitioned
            };
            let reports: Vec<WeightedRates> = (0..reported.len())
                .filter(|&other| is_reachable(other))
                .map(|other| WeightedRates { rates: reported[other], weight: 1.0 })
                .collect();
            self.routers[index].rebalance(self.now, reports.len(), |_| reports.iter().copied());
            self.reported[index] = self.routers[index].own_rates(GROUP);
        }
    }

    fn run(&mut self, steps: usize) {
        (0..steps).for_each(|_| self.step());
    }

    /// The shares of retries, requested and granted, over the last `steps` steps.
    fn retry_shares(&self, steps: usize) -> RetryShares {
        let sum = Attempts::sum(&self.steps[self.steps.len() - steps..]);
        let first = sum.first.max(1.0);
        RetryShares { wanted: sum.retries_wanted / first, granted: sum.retries_granted / first }
    }
}

/// Returns the first attempts a second of each of `count` routers, unevenly spread, with the sum `total`.
fn uneven_load(count: usize, total: f64) -> Vec<f64> {
    let weight_sum: f64 = (1..=count).map(|index| index as f64).sum();
    (1..=count).map(|index| total * index as f64 / weight_sum).collect()
}

#[test]
fn most_retries_are_granted_while_few_attempts_fail_even_with_little_load_per_router() {
    for rates in [uneven_load(8, 400.0), vec![3.0; 40]] {
        let mut sim = Simulation::new(1, rates, |_| Faulty::NotFaulty);
        sim.failure_share = 0.2;
        sim.run(40);
        let RetryShares { wanted, granted } = sim.retry_shares(20);
        assert!(granted > 0.85 * wanted && granted > 0.15, "granted {granted} of {wanted} wanted");
    }
}

#[test]
fn few_retries_are_granted_while_retries_fail_and_the_budget_recovers_within_seconds() {
    for rates in [uneven_load(8, 400.0), vec![3.0; 40]] {
        let mut sim = Simulation::new(2, rates, |_| Faulty::NotFaulty);
        sim.run(20);
        (sim.failure_share, sim.retry_success_share) = (0.9, 0.05);
        // In the first second after most attempts begin to fail, routers spend the retries that they saved, and the
        // reports do not show the failures yet.
        sim.run(4);
        let first_second = sim.retry_shares(4).granted;
        sim.run(8);
        let RetryShares { wanted, granted } = sim.retry_shares(8);
        println!(
            "model: under faults {wanted:.2} wanted, {granted:.3} granted; in the first second {first_second:.2}"
        );
        assert!(
            first_second < 0.75 && wanted > 0.8 && granted < 0.12,
            "first second {first_second}, then granted {granted} of {wanted} wanted"
        );
        (sim.failure_share, sim.retry_success_share) = (0.2, 1.0);
        sim.run(12);
        let RetryShares { wanted, granted } = sim.retry_shares(4);
        assert!(granted > 0.8 * wanted, "granted {granted} of {wanted} wanted");
    }
}

#[test]
fn a_router_that_needs_retries_gets_the_quota_that_the_others_do_not_need() {
    let mut sim = Simulation::new(3, vec![50.0; 8], |_| Faulty::NotFaulty);
    sim.run(8);
    // Only router 0 requests retries, at about the rate of its RPCs.
    for _ in 0..24 {
        for _ in 0..12 {
            sim.routers[0].try_withdraw(GROUP, LOW);
            sim.routers[0].record_success(GROUP);
        }
        sim.run(1);
    }
    let quota = sim.routers[0].metrics().map(|group| group.quota).sum::<f64>();
    assert!(quota > 40.0, "quota of {quota} retries a second, of about 48 wanted");
    let all: f64 = sim.routers.iter().flat_map(RetryBudget::metrics).map(|group| group.quota).sum();
    assert!(all <= 0.51 * 400.0, "all quotas: {all} retries a second");
}

#[test]
fn the_sum_of_retries_stays_within_the_budget_after_deaths_a_partition_and_a_stall() {
    for seed in 0..20 {
        let mut sim = Simulation::new(seed, uneven_load(12, 600.0), |_| Faulty::NotFaulty);
        (sim.failure_share, sim.retry_success_share) = (0.5, 0.5);
        sim.run(16);
        (0..4).for_each(|index| sim.alive[index * 3] = false);
        sim.run(8);
        sim.partitioned_at = 5;
        sim.run(16);
        sim.partitioned_at = 0;
        // Router 0 resumes after a stall. However long the stall was, the router can then spend no more than the
        // largest balance (see `GroupBudget::max_balance`).
        sim.alive[0] = true;
        sim.run(8);
        for steps in sim.steps.windows(8) {
            let Attempts { first, retries_granted, .. } = Attempts::sum(steps);
            assert!(
                retries_granted <= 0.5 * 1.15 * first + 12.0,
                "seed {seed}: {retries_granted} retries for {first} first attempts"
            );
        }
    }
}

/// If the budget is not asked (`GrantsEveryRetry`), an RPC that fails is retried up to three times. The shares of
/// retries must show each deliberate fault.
#[test]
fn deliberate_faults_are_detected() {
    let mut sim = Simulation::new(5, uneven_load(8, 400.0), |_| Faulty::GrantsEveryRetry);
    (sim.failure_share, sim.retry_success_share) = (0.9, 0.05);
    sim.run(24);
    assert!(sim.retry_shares(8).granted > 1.5);
    let mut sim = Simulation::new(5, uneven_load(8, 400.0), |_| Faulty::NeverRefunds);
    sim.run(8);
    (sim.failure_share, sim.retry_success_share) = (0.9, 0.05);
    sim.run(24);
    assert!(sim.retry_shares(8).granted > 0.3, "{:?}", sim.retry_shares(8));
}

#[test]
fn a_low_balance_is_reserved_for_high_priorities() {
    let mut sim = Simulation::new(6, vec![100.0], |_| Faulty::NotFaulty);
    (sim.failure_share, sim.retry_success_share) = (0.3, 0.5);
    sim.run(40);
    let (mut granted_low, mut granted_high) = (0, 0);
    for index in 0..400 {
        if index % 5 == 0 {
            granted_high += u32::from(sim.routers[0].try_withdraw(GROUP, HIGH));
        } else {
            granted_low += u32::from(sim.routers[0].try_withdraw(GROUP, LOW));
        }
        if index % 10 == 0 {
            sim.run(1);
        }
    }
    // A fifth of the requests for a retry have the high priority, and more than a fifth of the granted retries go to
    // these requests.
    assert!(granted_high * 4 > granted_low, "{granted_low} low, {granted_high} high");
}
