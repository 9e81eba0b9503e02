//! The simulation: routers send RPCs to members whose latency grows with the RPCs in flight, in steps of 250 ms.
//! Reports arrive a step late, and some are lost.

use ladderpass_admission::{AdmissionController, Faulty};
use ladderpass_routing::{MemberId, MemberLoad, Span, Time};
use nanorand::{Rng, WyRand};

pub const STEP: Span = Span::from_millis(250);
pub const HIGH: u32 = 200;
pub const LOW: u32 = 190;
pub const GROUP: u32 = 7;
pub const START: Time = Time::from_nanos(1_800_000_000_000_000_000);
const REPORT_BYTES: usize = 210;
const REPORT_RECEIVERS: usize = 2;
/// A member's latency is the typical latency up to this number of RPCs in flight.
const CORES_PER_MEMBER: f64 = 2.0;
const MAX_IN_FLIGHT_PER_CORE: f64 = 4.0;

/// Numbers of RPCs, or RPCs a second, by priority.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    pub high: f64,
    pub low: f64,
}

impl Load {
    pub fn total(self) -> f64 {
        self.high + self.low
    }

    pub fn times(self, factor: f64) -> Load {
        Load { high: self.high * factor, low: self.low * factor }
    }
}

/// The shares of RPCs that were served over some steps of the simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServedShares {
    /// RPCs of the high priority that were served, as a share of those that were offered.
    pub high: f64,
    /// All RPCs that were served, as a share of those that the members can serve.
    pub utilisation: f64,
}

pub struct Simulation {
    pub now: Time,
    pub routers: Vec<AdmissionController>,
    /// RPCs a second that each router is offered.
    pub load: Vec<Load>,
    pub alive: Vec<bool>,
    /// RPCs a second that all members together can serve.
    service_rate: f64,
    members: u32,
    rng: WyRand,
    /// The share of the routers' reports that are lost on the way.
    pub report_loss: f64,
    /// If above 0, the routers with a lower index than this can't reach the routers with this index or a higher one.
    pub partitioned_at: usize,
    limits: Vec<Vec<f64>>,
    last_step: ServedShares,
}

impl Simulation {
    pub fn new(
        seed: u64,
        load: Vec<Load>,
        service_rate: f64,
        faulty: impl Fn(usize) -> Faulty,
    ) -> Simulation {
        let count = load.len();
        let start = |index: usize| AdmissionController::start(START, index as u32 + 1, faulty(index));
        let mut sim = Simulation {
            now: START,
            routers: (0..count).map(start).collect(),
            alive: vec![true; count],
            service_rate,
            members: 3,
            rng: WyRand::new_seed(seed),
            report_loss: 0.0,
            partitioned_at: 0,
            limits: vec![vec![2.0; 3]; count],
            load,
            last_step: ServedShares::default(),
        };
        sim.update_membership();
        sim
    }

    /// Returns a random whole number with this mean.
    fn random_count(&mut self, mean: f64) -> usize {
        mean.max(0.0).floor() as usize + usize::from(self.rng.generate::<f64>() < mean.fract())
    }

    fn are_partitioned(&self, one: usize, other: usize) -> bool {
        self.partitioned_at > 0 && (other < self.partitioned_at) != (one < self.partitioned_at)
    }

    /// Notifies each router which other routers are alive and reachable.
    pub fn update_membership(&mut self) {
        for index in 0..self.routers.len() {
            let is_reachable =
                |other: usize| other != index && self.alive[other] && !self.are_partitioned(index, other);
            let reachable: Vec<u32> = (0..self.routers.len())
                .filter(|&other| is_reachable(other))
                .map(|other| other as u32 + 1)
                .collect();
            self.routers[index].set_alive(reachable.into_iter());
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let alive: Vec<usize> = (0..self.routers.len()).filter(|&index| self.alive[index]).collect();
        let admitted = self.offer(&alive);
        self.serve(&alive, &admitted);
        self.exchange_reports(&alive);
    }

    /// Offers each router its load. Returns the RPCs that each router admits by its threshold.
    fn offer(&mut self, alive: &[usize]) -> Vec<Load> {
        let secs = STEP.secs();
        let mut admitted = vec![Load::default(); self.routers.len()];
        for &index in alive {
            let threshold = self.routers[index].threshold(GROUP).priority;
            let admitted_share = |priority: u32| (1.0 - (threshold - f64::from(priority))).clamp(0.0, 1.0);
            let load = self.load[index];
            let (high, low) = (self.random_count(load.high * secs), self.random_count(load.low * secs));
            (0..high).for_each(|_| self.routers[index].record_offered(GROUP, HIGH));
            (0..low).for_each(|_| self.routers[index].record_offered(GROUP, LOW));
            admitted[index] =
                Load { high: high as f64 * admitted_share(HIGH), low: low as f64 * admitted_share(LOW) };
        }
        admitted
    }

    /// Serves the admitted RPCs up to the capacity of the members, those of the high priority first. Records the
    /// results at the routers and runs their steps.
    fn serve(&mut self, alive: &[usize], admitted: &[Load]) {
        let capacity = self.service_rate * STEP.secs();
        let high = admitted.iter().fold(0.0, |sum, load| sum + load.high);
        let low = admitted.iter().fold(0.0, |sum, load| sum + load.low);
        let served_high = high.min(capacity);
        let served_low = low.min(capacity - served_high);
        self.last_step = self.served_shares(alive, served_high, served_high + served_low);
        let in_flight = self.in_flight(alive, (high + low) / capacity);
        let latency_ratio = (in_flight / self.cores()).max(1.0);
        for &index in alive {
            let own = admitted[index];
            let served_of_own = Load {
                high: own.high * served_high / high.max(1e-9),
                low: own.low * served_low / low.max(1e-9),
            };
            let served = self.random_count(served_of_own.total());
            (0..served).for_each(|_| self.routers[index].record_served(GROUP));
            let unplaced = self.random_count(own.high + own.low - served_of_own.high - served_of_own.low);
            (0..unplaced).for_each(|_| self.routers[index].record_unplaced(GROUP));
            let share = (own.high + own.low) / (high + low).max(1e-9);
            let loads: Vec<MemberLoad> = (0..self.members)
                .map(|member| MemberLoad {
                    member: MemberId(member),
                    id_hash: member + 10,
                    group: GROUP,
                    latency_ratio,
                    in_flight: in_flight * share / f64::from(self.members),
                    failure_share: 0.0,
                })
                .collect();
            if let Some(limits) = self.routers[index].tick(self.now, &loads) {
                self.limits[index] = limits.members.iter().map(|limit| limit.max_in_flight).collect();
            }
        }
    }

    fn served_shares(&self, alive: &[usize], served_high: f64, served: f64) -> ServedShares {
        let offered_high = alive.iter().map(|&index| self.load[index].high).sum::<f64>() * STEP.secs();
        ServedShares {
            high: if offered_high > 0.0 { served_high / offered_high } else { 1.0 },
            utilisation: served / (self.service_rate * STEP.secs()),
        }
    }

    fn cores(&self) -> f64 {
        f64::from(self.members) * CORES_PER_MEMBER
    }

    /// The number of RPCs in flight at all members together. While more RPCs are admitted than served, this number is
    /// at most the sum of the routers' limits at the members.
    fn in_flight(&self, alive: &[usize], utilisation: f64) -> f64 {
        let limits = alive.iter().fold(0.0, |sum, &index| sum + self.limits[index].iter().sum::<f64>());
        match utilisation > 1.0 {
            true => limits.min(self.cores() * MAX_IN_FLIGHT_PER_CORE * utilisation),
            false => self.cores() * utilisation,
        }
    }

    /// Sends each router's reports to some random other routers, as the probes and acks of the membership do.
    fn exchange_reports(&mut self, alive: &[usize]) {
        for &index in alive {
            let bytes = self.routers[index].encode_reports(self.now, REPORT_BYTES);
            for _ in 0..REPORT_RECEIVERS {
                let other = self.rng.generate_range(0..self.routers.len());
                let is_lost = self.rng.generate::<f64>() < self.report_loss;
                if other != index && self.alive[other] && !is_lost && !self.are_partitioned(index, other) {
                    self.routers[other].on_reports(self.now, &bytes);
                }
            }
        }
    }

    pub fn run(&mut self, steps: usize) {
        (0..steps).for_each(|_| self.step());
    }

    /// Runs this many steps, and returns the mean shares of RPCs that were served in these steps.
    pub fn run_and_measure(&mut self, steps: usize) -> ServedShares {
        let mut mean = ServedShares::default();
        for _ in 0..steps {
            self.step();
            mean.high += self.last_step.high / steps as f64;
            mean.utilisation += self.last_step.utilisation / steps as f64;
        }
        mean
    }

    /// The thresholds of the routers that are alive.
    pub fn thresholds(&self) -> Vec<f64> {
        let alive = (0..self.routers.len()).filter(|&index| self.alive[index]);
        alive.map(|index| self.routers[index].threshold(GROUP).priority).collect()
    }
}

/// A load of 2.5 times the RPCs that the members can serve, unevenly spread over the routers. A tenth of the load has
/// the high priority.
pub fn uneven_overload(count: usize, service_rate: f64) -> Vec<Load> {
    let weight_sum: f64 = (1..=count).map(|index| index as f64).sum();
    let total = service_rate * 2.5;
    let load = |index: usize| Load {
        high: total * 0.1 * index as f64 / weight_sum,
        low: total * 0.9 * index as f64 / weight_sum,
    };
    (1..=count).map(load).collect()
}

pub fn spread(thresholds: &[f64]) -> f64 {
    let max = thresholds.iter().copied().fold(0.0, f64::max);
    max - thresholds.iter().copied().fold(f64::MAX, f64::min)
}
