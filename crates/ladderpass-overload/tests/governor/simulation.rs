//! The simulation: a router that serves one RPC at a time, in simulated time, and the clients that send RPCs to this
//! router.

use ladderpass_overload::{ClientUsage, Governor, OverloadEvent, ResourceLimits, Settings};
use ladderpass_routing::{
    Arrival, Consistency, Decision, Deployment, EndpointUpdate, Idempotency, Method, PrimaryInList, Router,
    Span, Time,
};
use std::collections::VecDeque;

pub const READ: u32 = 0;
pub const WRITE: u32 = 1;
pub const SERVE_SECS: f64 = 100e-6;
const REJECT_SECS: f64 = 10e-6;
/// How long a client waits for a response before it times out.
pub const CLIENT_TIMEOUT_SECS: f64 = 1.0;
const STATEMENT_BYTES: usize = 128;
const RPC_BYTES: usize = 1024;
const RPCS_PER_ITERATION: usize = 64;

pub fn at(secs: f64) -> Time {
    Time::from_nanos(1_796_000_000_000_000_000) + Span::from_secs_f64(secs)
}

fn deployment() -> Deployment {
    let method = |consistency, idempotency, utility| Method {
        consistency,
        idempotency,
        soft_deadline: Span::from_millis(500),
        utility,
        late_utility_share: 0.0,
    };
    Deployment {
        methods: vec![
            method(Consistency::Any, Idempotency::Idempotent, 2.0),
            method(Consistency::Write, Idempotency::NonIdempotent, 8.0),
        ],
        primary_in_list: PrimaryInList::Absent,
        session_write_age_carried: true,
        endpoint_poll_interval: None,
        health_checks: false,
        health_checks_report_position: false,
        router_count: 1,
        router_index: 0,
        gossip: false,
        max_attempts: 3,
        max_retry_after: Span::from_millis(500),
        tick: Span::from_millis(5),
        slow_start_capacity: 1.0,
        slow_start_duration: Span::ZERO,
        overload_window: Span::from_millis(1000),
        overload_multiple: 1.0,
        removal_is_advisory: false,
    }
}

/// A linear congruential generator, which gives the same numbers on every platform.
pub struct Rng(u64);

impl Rng {
    /// Returns a random number from 0 to 1.
    pub fn next_f64(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// An RPC that a client sends.
#[derive(Clone, Copy)]
pub struct Request {
    pub sent_secs: f64,
    pub method: u32,
    pub client: usize,
    pub is_client_retry: bool,
    pub timeout_secs: f64,
}

/// A function of the time in seconds: the RPCs that all clients together send per second.
pub type Rate = fn(f64) -> f64;

/// Numbers of RPCs by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub sent: u32,
    pub served_in_time: u32,
    pub rejected: u32,
}

/// Numbers of one client's RPCs by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientCounts {
    pub served: u32,
    pub rejected: u32,
}

/// How long an RPC waited for the router.
struct Wait {
    sent_secs: f64,
    secs: f64,
}

pub struct Simulation {
    pub governor: Option<Governor>,
    routing: Router,
    usage: Vec<ClientUsage>,
    pub now_secs: f64,
    pub queue: VecDeque<Request>,
    pub rng: Rng,
    /// Counts by the second in which the RPCs were sent, and by method.
    seconds: Vec<[Counts; 2]>,
    pub served_late: u32,
    waits: Vec<Wait>,
    pub events: Vec<OverloadEvent>,
    pub retry_after_secs: Vec<f64>,
    /// A function of the time in seconds: the factor by which serving and rejecting RPCs take longer.
    pub slowdown: fn(f64) -> f64,
    pub by_client: Vec<ClientCounts>,
    pub first_attempts_rejected: u32,
}

impl Simulation {
    pub fn new(with_governor: bool, clients: usize, seed: u64) -> Simulation {
        let limits =
            ResourceLimits { cores: 1.0, memory_bytes: 1 << 30, buffer_bytes: 1 << 28, descriptors: 4096 };
        let mut routing = Router::start(at(0.0), seed, deployment());
        routing.on_endpoint_update(at(0.0), EndpointUpdate::Complete(&[]));
        Simulation {
            governor: with_governor.then(|| Governor::new(at(0.0), Settings::default(), limits, 2)),
            routing,
            usage: vec![ClientUsage::default(); clients],
            now_secs: 0.0,
            queue: VecDeque::new(),
            rng: Rng(seed),
            seconds: Vec::new(),
            served_late: 0,
            waits: Vec::new(),
            events: Vec::new(),
            retry_after_secs: Vec::new(),
            slowdown: |_| 1.0,
            by_client: vec![ClientCounts::default(); clients],
            first_attempts_rejected: 0,
        }
    }

    fn counts_mut(&mut self, request: Request) -> &mut Counts {
        let second = request.sent_secs as usize;
        self.seconds.resize(self.seconds.len().max(second + 1), Default::default());
        &mut self.seconds[second][request.method as usize]
    }

    /// Adds an RPC to the queue and counts it as sent.
    pub fn enqueue(&mut self, request: Request) {
        self.counts_mut(request).sent += 1;
        self.queue.push_back(request);
    }

    /// Runs the simulation for `secs` seconds. RPCs arrive at random times with a mean rate of `rate`, and `draw` makes
    /// each RPC.
    pub fn run(&mut self, secs: f64, rate: Rate, draw: fn(&mut Rng, f64) -> Request) {
        let mut next_secs = self.now_secs;
        let until_secs = self.now_secs + secs;
        while self.now_secs < until_secs {
            while next_secs <= self.now_secs {
                let request = Request { sent_secs: next_secs, ..draw(&mut self.rng, next_secs) };
                self.enqueue(request);
                next_secs += -(1.0 - self.rng.next_f64()).ln() / rate(next_secs).max(1e-9);
            }
            if self.queue.is_empty() {
                self.now_secs = next_secs;
            }
            self.run_iteration();
        }
    }

    /// Runs one iteration of the event loop.
    fn run_iteration(&mut self) {
        let started_secs = self.now_secs;
        for _ in 0..RPCS_PER_ITERATION {
            let Some(request) = self.queue.pop_front() else { break };
            self.handle(request);
        }
        let busy = Span::from_secs_f64(self.now_secs - started_secs);
        let waiting_bytes = self.queue.len() * STATEMENT_BYTES;
        if let Some(governor) = &mut self.governor {
            governor.end_iteration(at(self.now_secs), busy, 0, waiting_bytes);
            self.events.extend(governor.take_events());
        }
    }

    fn handle(&mut self, request: Request) {
        let now = at(self.now_secs);
        let slowdown = (self.slowdown)(self.now_secs);
        let waited_secs = self.now_secs - request.sent_secs;
        self.waits.push(Wait { sent_secs: request.sent_secs, secs: waited_secs });
        let mut arrival = Arrival {
            method: request.method,
            group: 0,
            deadline: at(request.sent_secs) + Span::from_secs_f64(request.timeout_secs),
            is_client_retry: request.is_client_retry,
            session: None,
            last_write_age: None,
            router_overload: None,
            fleet_overload: None,
            admission_draw: None,
        };
        if let Some(governor) = &mut self.governor {
            governor.record_statement(now, Span::from_secs_f64(waited_secs), STATEMENT_BYTES);
            let usage = &mut self.usage[request.client];
            let state = governor.overload_state(now, request.method, usage);
            let priority = self.routing.priority(now, &arrival, &state);
            governor.record_arrival(now, &state, priority, usage);
            arrival.router_overload = Some(state);
        }
        let (rpc, decision) = self.routing.accept(now, arrival);
        if let Decision::Reject { retry_after } = decision {
            self.now_secs += REJECT_SECS * slowdown;
            self.retry_after_secs.push(retry_after.secs());
            self.record_rejected(request);
        } else {
            rpc.abandon(&mut self.routing);
            self.now_secs += SERVE_SECS * slowdown;
            self.record_served(request);
        }
    }

    fn record_rejected(&mut self, request: Request) {
        self.counts_mut(request).rejected += 1;
        self.first_attempts_rejected += u32::from(!request.is_client_retry);
        self.by_client[request.client].rejected += 1;
        if let Some(governor) = &mut self.governor {
            governor.record_rejected();
        }
    }

    fn record_served(&mut self, request: Request) {
        self.by_client[request.client].served += 1;
        if self.now_secs <= request.sent_secs + request.timeout_secs {
            self.counts_mut(request).served_in_time += 1;
        } else {
            self.served_late += 1;
        }
        if let Some(governor) = &mut self.governor {
            governor.record_served(at(self.now_secs), request.method, RPC_BYTES);
        }
    }

    /// Sums the counts of a method's RPCs that were sent from second `from` until second `to`.
    pub fn sum(&self, method: u32, from: usize, to: usize) -> Counts {
        let mut sum = Counts::default();
        for second in &self.seconds[from..to.min(self.seconds.len())] {
            let counts = second[method as usize];
            sum.sent += counts.sent;
            sum.served_in_time += counts.served_in_time;
            sum.rejected += counts.rejected;
        }
        sum
    }

    /// The 99.9th percentile of the waits of RPCs that were sent from second `from` until second `to`.
    pub fn wait_p999_secs(&self, from: f64, to: f64) -> f64 {
        let waits = self.waits.iter().filter(|wait| (from..to).contains(&wait.sent_secs));
        let mut waits: Vec<f64> = waits.map(|wait| wait.secs).collect();
        waits.sort_by(f64::total_cmp);
        waits[waits.len() - 1 - waits.len() / 1000]
    }
}

/// Makes an RPC of one of 200 clients. One RPC in ten is a write.
pub fn mixed_request(rng: &mut Rng, _: f64) -> Request {
    let method = if rng.next_f64() < 0.1 { WRITE } else { READ };
    let client = (rng.next_f64() * 200.0) as usize;
    Request { sent_secs: 0.0, method, client, is_client_retry: false, timeout_secs: CLIENT_TIMEOUT_SECS }
}
