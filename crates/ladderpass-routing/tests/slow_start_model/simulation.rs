//! A model of slow start with many routers that exchange nothing.

use crate::common::*;
use ladderpass_invariants::{Checker, Event, EventKind, SlowStart, Violation};
use ladderpass_routing::*;
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;

const STEP_MS: i64 = 5;
/// The time at which the members in `Case::starting` start. By then each router knows its share of the traffic.
pub const STARTS_AT_MS: i64 = 4000;

#[derive(Clone)]
pub struct Case {
    pub routers: usize,
    pub members: u32,
    /// RPCs per second that a member can serve at its full capacity.
    pub capacity: f64,
    /// RPCs per second that all clients send together outside the burst.
    pub rate: f64,
    /// Share of the RPCs that are writes.
    pub write_share: f64,
    /// Members that start at `STARTS_AT_MS`.
    pub starting: Vec<u32>,
    /// Traffic of the first router as a multiple of the last router's traffic.
    pub traffic_ratio: f64,
    /// Two times in milliseconds: at the first, the primary is removed, and at the second, the first member in
    /// `starting` becomes the new primary. `None` if the primary stays.
    pub without_primary: Option<(i64, i64)>,
    /// The time in milliseconds of a restart of routers, and the number of routers that are restarted.
    pub restart: Option<(i64, usize)>,
    /// The multiple of its present capacity that the settings allow a starting member to get.
    pub overload_multiple: f64,
    /// The start and the end, in milliseconds, of the burst, in which clients send 1.5 times `rate`.
    pub burst: (i64, i64),
    pub duration_ms: i64,
}

impl Default for Case {
    fn default() -> Case {
        Case {
            routers: 30,
            members: 3,
            capacity: 300.0,
            rate: 600.0,
            write_share: 0.2,
            starting: vec![2],
            traffic_ratio: 1.0,
            without_primary: None,
            restart: None,
            overload_multiple: 1.0,
            burst: (7000, 9500),
            duration_ms: 15_000,
        }
    }
}

impl Case {
    /// A case in which a member that has just started, at 0.2 of its full capacity, can serve `rpcs_per_window` RPCs
    /// in the overload window of the settings (3 s). Outside the burst, clients send two thirds of what three members
    /// can serve at full capacity.
    pub fn with_initial_capacity(rpcs_per_window: f64) -> Case {
        let capacity = rpcs_per_window / (0.2 * 3.0);
        Case { capacity, rate: capacity * 2.0, ..Case::default() }
    }
}

struct Model {
    case: Case,
    deployment: Deployment,
    random: WyRand,
    routers: Vec<Router>,
    weights: Vec<f64>,
    /// Attempts in flight, by the time in milliseconds at which each is answered.
    attempts: BTreeMap<i64, Vec<Attempt>>,
    events: Vec<Event>,
    served: u32,
    sent: u32,
}

/// An attempt in flight.
struct Attempt {
    router: usize,
    rpc: RpcId,
    member: u32,
}

const MEAN_LATENCY_MS: i64 = 20;

impl Model {
    fn new(case: Case, seed: u64) -> Model {
        let deployment = Deployment {
            overload_window: Span::from_millis(3000),
            router_count: case.routers as u32,
            overload_multiple: case.overload_multiple,
            ..deployment()
        };
        let step = case.traffic_ratio.powf(1.0 / (case.routers.max(2) - 1) as f64);
        let weights: Vec<f64> = (0..case.routers).map(|nth| step.powi(-(nth as i32))).collect();
        let sum: f64 = weights.iter().sum();
        let mut model = Model {
            random: WyRand::new_seed(seed),
            routers: Vec::new(),
            weights: weights.iter().map(|weight| weight / sum).collect(),
            attempts: BTreeMap::new(),
            events: Vec::new(),
            served: 0,
            sent: 0,
            deployment,
            case,
        };
        (0..model.case.routers).for_each(|index| {
            let router = model.start(index, 0);
            model.routers.push(router);
        });
        model
    }

    fn start(&mut self, index: usize, ms: i64) -> Router {
        let deployment = Deployment { router_index: index as u32, ..self.deployment.clone() };
        let mut router = Router::start(at(ms), self.random.generate(), deployment);
        router.on_endpoint_update(at(ms), EndpointUpdate::Complete(&self.list(ms)));
        router
    }

    /// Returns the primary. Member 0 is the primary until it is removed. From then on there is no primary until the
    /// first starting member becomes the primary.
    fn primary(&self, ms: i64) -> Option<u32> {
        match self.case.without_primary {
            Some((from, to)) if ms >= from => (ms >= to).then(|| self.case.starting[0]),
            _ => Some(0),
        }
    }

    fn list(&self, ms: i64) -> Vec<Endpoint> {
        let is_removed = self.case.without_primary.is_some_and(|(from, _)| ms >= from);
        let listed = |member: u32| Endpoint {
            started_at: (ms >= STARTS_AT_MS && self.case.starting.contains(&member))
                .then_some(at(STARTS_AT_MS)),
            state: if is_removed && member == 0 { EndpointState::Removed } else { EndpointState::Active },
            ..endpoint(member, self.primary(ms) == Some(member))
        };
        (0..self.case.members).map(listed).collect()
    }

    fn on_decision(&mut self, ms: i64, router: usize, rpc: RpcId, decision: Decision) {
        if let Some(member) = sent_to(decision) {
            let kind = EventKind::AttemptSent { rpc: self.events.len() as u64, member };
            self.events.push(Event { at: at(ms), kind });
            let latency_ms = (-(1.0 - self.random.generate::<f64>()).ln() * MEAN_LATENCY_MS as f64) as i64;
            let ends = ms + (1 + latency_ms / STEP_MS) * STEP_MS;
            self.attempts.entry(ends).or_default().push(Attempt { router, rpc, member });
        }
    }

    fn step(&mut self, ms: i64) {
        let list = self.list(ms);
        if ms == STARTS_AT_MS || self.case.without_primary.is_some_and(|(from, to)| ms == from || ms == to) {
            self.routers
                .iter_mut()
                .for_each(|router| router.on_endpoint_update(at(ms), EndpointUpdate::Complete(&list)));
        }
        if ms == STARTS_AT_MS {
            self.record_starts(ms);
        }
        if let Some((_, count)) = self.case.restart.filter(|&(when, _)| when == ms) {
            for router in 0..count {
                self.routers[router] = self.start(router, ms);
                self.attempts
                    .values_mut()
                    .for_each(|attempts| attempts.retain(|attempt| attempt.router != router));
            }
        }
        let arrivals = self.arrivals(ms);
        self.end_attempts(ms);
        for (router, count) in arrivals.into_iter().enumerate() {
            for _ in 0..count {
                self.sent += 1;
                let method = u32::from(self.random.generate::<f64>() < self.case.write_share);
                let (rpc, decision) = self.routers[router].accept(at(ms), arrival(method, ms));
                self.on_decision(ms, router, rpc, decision);
            }
            self.tick(ms, router, &list);
        }
    }

    /// Records the starts of the starting members as events for the checker of rule 4.
    fn record_starts(&mut self, ms: i64) {
        for &member in &self.case.starting {
            let (capacity, initial_fraction) =
                (self.case.capacity * self.case.overload_multiple, self.deployment.slow_start_capacity);
            let (warm_up_time, overload_window) =
                (self.deployment.slow_start_duration, self.deployment.overload_window);
            let kind =
                EventKind::Started { member, capacity, initial_fraction, warm_up_time, overload_window };
            self.events.push(Event { at: at(ms), kind });
        }
    }

    /// Draws a Poisson number of arrivals, assigns each to a router by the routers' weights, and returns how many RPCs
    /// arrive at each router.
    fn arrivals(&mut self, ms: i64) -> Vec<u32> {
        let burst_factor = if (self.case.burst.0..self.case.burst.1).contains(&ms) { 1.5 } else { 1.0 };
        let mean = self.case.rate * burst_factor * STEP_MS as f64 / 1e3;
        let mut remaining = self.random.generate::<f64>().max(1e-300).ln() + mean;
        let mut arrivals = vec![0; self.routers.len()];
        while remaining > 0.0 {
            let mut draw = self.random.generate::<f64>();
            let weights = self.weights.iter();
            let router = weights.take_while(|weight| {
                draw -= **weight;
                draw > 0.0
            });
            let router = router.count();
            arrivals[router.min(self.weights.len() - 1)] += 1;
            remaining += self.random.generate::<f64>().max(1e-300).ln();
        }
        arrivals
    }

    fn end_attempts(&mut self, ms: i64) {
        for Attempt { router, rpc, member } in self.attempts.remove(&ms).unwrap_or_default() {
            let role = if self.primary(ms) == Some(member) { Role::Primary } else { Role::Replica };
            let answer =
                AttemptResult { role: Some(role), ..result(member, AttemptOutcome::Ok, MEAN_LATENCY_MS) };
            rpc.on_attempt_ended(&mut self.routers[router], at(ms), answer);
            self.served += 1;
        }
    }

    fn tick(&mut self, ms: i64, router: usize, list: &[Endpoint]) {
        let output = self.routers[router].tick(at(ms));
        for (rpc, decision) in output.decisions {
            self.on_decision(ms, router, rpc, decision);
        }
        for id in output.health_checks {
            let primary = self.primary(ms) == Some(id.0);
            let is_removed = !list.iter().any(|e| e.member == id && e.state == EndpointState::Active);
            let report = LoadReport { position: Some(at(ms)), is_primary: Some(primary), in_flight: None };
            let outcome = if is_removed { AttemptOutcome::Unreachable } else { AttemptOutcome::Ok };
            self.routers[router].on_health_check_ended(at(ms), id, outcome, Span::from_millis(1), report);
        }
    }
}

pub struct Outcome {
    pub violations: Vec<Violation>,
    /// The number of attempts that were sent to starting members since their start.
    pub to_starting: usize,
    /// Share of all RPCs that were served.
    pub served_share: f64,
}

pub fn run(case: Case, seed: u64) -> Outcome {
    let mut model = Model::new(case, seed);
    for ms in (0..=model.case.duration_ms).step_by(STEP_MS as usize) {
        model.step(ms);
    }
    let (mut checker, mut violations) = (SlowStart::default(), Vec::new());
    model.events.iter().for_each(|event| checker.observe(event, &mut violations));
    let is_to_starting = |event: &&Event| match event.kind {
        EventKind::AttemptSent { member, .. } => {
            event.at >= at(STARTS_AT_MS) && model.case.starting.contains(&member)
        }
        _ => false,
    };
    let to_starting = model.events.iter().filter(is_to_starting).count();
    Outcome { violations, to_starting, served_share: f64::from(model.served) / f64::from(model.sent) }
}
