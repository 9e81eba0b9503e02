//! The state and clock of a simulation: its queue of events, and the router's event loop.

use super::counts::{Counts, clock_overhead_s, thread_cpu_s};
use super::shape::{MEMBERS_PER_GROUP, Shape};
use ladderpass::reducer::{ConnectionId, Effect, Event, Reducer};
use ladderpass_routing::{Endpoint, EndpointState, EndpointUpdate, MemberId, Router, Span, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::Exp1;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Simulated time at the start of each simulation.
const EPOCH: Time = Time::from_nanos(1_796_000_000_000_000_000);
/// Maximum time between two ticks. The event loop of a router process has the same maximum.
const MAX_TICK_INTERVAL: Span = Span::from_millis(50);
/// One-way latency of a connection.
pub(super) const LATENCY: Span = Span::from_nanos(200_000);
/// Time of a round trip, which is twice the one-way latency.
pub(super) const ROUND_TRIP: Span = Span::from_nanos(400_000);
const HEARTBEAT_INTERVAL: Span = Span::from_millis(2000);
/// A heartbeat of discovery: an HTTP chunk with an empty line.
const HEARTBEAT: &[u8] = b"1\r\n\n\r\n";

/// A client of the router.
#[derive(Default)]
pub(super) struct Client {
    pub connection: Option<ConnectionId>,
    /// Whether the router has answered the client's startup message.
    pub startup_done: bool,
    pub input: Vec<u8>,
    /// The query that the client sends when the router is ready.
    pub pending_query: Option<Vec<u8>>,
    /// When the client sent the statement whose answer it waits for.
    pub sent_at: Option<Time>,
}

/// A connection that the router opened to a member or to discovery.
#[derive(Default)]
pub(super) struct OutboundConnection {
    /// The member that the connection leads to, or `None` for discovery.
    pub member: Option<usize>,
    pub startup_read: bool,
    pub input: Vec<u8>,
}

pub(super) enum SimulationEvent {
    ClientStatement,
    Connected(ConnectionId),
    Bytes(ConnectionId, Vec<u8>),
    WatchHeartbeat(ConnectionId),
    Closed(ConnectionId),
}

/// A simulation of one router.
pub struct Simulation {
    /// The simulated router.
    pub reducer: Reducer,
    /// The current simulated time.
    pub now: Time,
    pub(super) shape: Shape,
    pub(super) discovery: SocketAddr,
    pub(super) members: HashMap<SocketAddr, usize>,
    /// Events by time and sequence number. The number keeps events of the same time in the order in which they were
    /// scheduled.
    pub(super) queue: BTreeMap<(Time, u64), SimulationEvent>,
    /// The last number that was given to an event or a statement.
    pub(super) last_sequence_number: u64,
    pub(super) clients: Vec<Client>,
    pub(super) client_of_connection: HashMap<ConnectionId, usize>,
    pub(super) connections: HashMap<ConnectionId, OutboundConnection>,
    /// Number of connections that the router has to each member, by index of the member.
    pub(super) connections_of_member: Vec<u32>,
    /// Whether each member has no connection left for the router, by index of the member.
    pub(super) member_is_full: Vec<bool>,
    effects: Vec<Effect>,
    pub(super) rng: SmallRng,
    pub(super) counts: Counts,
    pub(super) clock_overhead_s: f64,
}

impl Simulation {
    /// Prepares a simulation.
    ///
    /// # Errors
    /// If the router's settings can't be written or read.
    pub fn new(shape: &Shape, seed: u64) -> Result<Simulation, String> {
        let now = EPOCH;
        let launch = shape.launch(now, seed)?;
        let mut members = HashMap::new();
        for (member, instance) in launch.cached_endpoints.instances.iter().enumerate() {
            let address = instance
                .host_port
                .parse()
                .map_err(|_| "the endpoint list has an invalid address".to_owned())?;
            members.insert(address, member);
        }
        let discovery = launch.discovery;
        let mut rng = SmallRng::seed_from_u64(seed);
        let member_is_full = (0..members.len())
            .map(|_| shape.full_probability > 0.0 && rng.random::<f64>() < shape.full_probability);
        let mut simulation = Simulation {
            connections_of_member: vec![0; members.len()],
            member_is_full: member_is_full.collect(),
            reducer: Reducer::start(now, launch),
            now,
            shape: shape.clone(),
            discovery,
            members,
            queue: BTreeMap::new(),
            last_sequence_number: 0,
            clients: (0..shape.clients).map(|_| Client::default()).collect(),
            client_of_connection: HashMap::new(),
            connections: HashMap::new(),
            effects: Vec::new(),
            rng,
            counts: Counts::default(),
            clock_overhead_s: clock_overhead_s(),
        };
        if shape.rate > 0.0 {
            let gap = simulation.draw_statement_gap();
            simulation.schedule(gap, SimulationEvent::ClientStatement);
        }
        Ok(simulation)
    }

    /// Runs the simulation for a time, and returns the counts over that time.
    pub fn run(&mut self, span: Span) -> Counts {
        self.counts = Counts::default();
        let (began, ends) = (self.now, self.now + span);
        self.run_event_loop();
        loop {
            let next = self.queue.first_key_value().map_or(ends, |(&(at, _), _)| at);
            let wake = self.reducer.wake_at().unwrap_or(ends);
            let latest_tick = self.now + MAX_TICK_INTERVAL;
            let at = next.min(wake.max(self.now)).min(latest_tick).min(ends);
            self.add_open_connections((at - self.now).secs());
            self.now = at;
            if at >= ends {
                break;
            }
            while let Some(first) = self.queue.first_entry()
                && first.key().0 <= at
            {
                let event = first.remove();
                self.handle_event(event);
            }
            self.run_event_loop();
        }
        let mut counts = self.counts;
        counts.seconds = (self.now - began).secs();
        counts.member_connections /= counts.seconds;
        counts.client_connections /= counts.seconds;
        counts
    }

    /// Adds the connections that are open now, weighted by a time in seconds, to the sums from which the means are computed.
    fn add_open_connections(&mut self, secs: f64) {
        let to_members = &self.connections_of_member;
        self.counts.member_connections += secs * to_members.iter().map(|&open| f64::from(open)).sum::<f64>();
        self.counts.client_connections += secs * self.client_of_connection.len() as f64;
        let most = to_members.iter().copied().max().unwrap_or(0);
        self.counts.max_connections_of_member = self.counts.max_connections_of_member.max(f64::from(most));
    }

    /// Opens the connections of all clients, and sends no statement on them.
    pub fn open_all_clients(&mut self) {
        for index in 0..self.clients.len() {
            self.open_client(index);
            self.run_event_loop();
        }
    }

    /// Starts a routing core without a router around it, with the endpoint list of a shape. Returns the routing core
    /// and the simulated time of its start.
    ///
    /// # Errors
    /// The same as for [`Simulation::new`].
    pub fn routing_core(shape: &Shape, seed: u64) -> Result<(Router, Time), String> {
        let now = EPOCH;
        let launch = shape.launch(now, seed)?;
        let mut router = Router::start(now, seed, launch.settings.deployment);
        let entries: Vec<Endpoint> = (0..shape.members() as u32)
            .map(|member| Endpoint {
                member: MemberId(member),
                group: member / MEMBERS_PER_GROUP,
                machine_kind: 0,
                zone: 0,
                id_hash: member,
                concurrency: None,
                state: EndpointState::Active,
                started_at: None,
                primary: member % MEMBERS_PER_GROUP == 0,
            })
            .collect();
        router.on_endpoint_update(now, EndpointUpdate::Complete(&entries));
        Ok((router, now))
    }

    /// Measures the mean CPU seconds of a tick that has nothing to do, over a number of ticks.
    pub fn idle_tick_cpu_s(&mut self, ticks: usize) -> f64 {
        let before = thread_cpu_s();
        for _ in 0..ticks {
            self.reducer.handle(self.now, Event::Tick);
        }
        (thread_cpu_s() - before) / ticks as f64
    }

    /// Draws the time until the next statement from an exponential distribution.
    pub(super) fn draw_statement_gap(&mut self) -> Span {
        let gap: f64 = self.rng.sample(Exp1);
        Span::from_secs_f64(gap / self.shape.rate)
    }

    pub(super) fn schedule(&mut self, after: Span, event: SimulationEvent) {
        self.last_sequence_number += 1;
        self.queue.insert((self.now + after, self.last_sequence_number), event);
    }

    /// Executes effects and ticks in turn, as the router's event loop does, until a tick causes no more writes.
    pub(super) fn run_event_loop(&mut self) {
        loop {
            self.execute_effects();
            self.apply(Event::Tick);
            if !self.execute_effects() {
                return;
            }
        }
    }

    /// Passes an event to the reducer, measures its CPU time, and queues the effects that it returns.
    pub(super) fn apply(&mut self, event: Event) {
        let is_tick = matches!(event, Event::Tick);
        let before = thread_cpu_s();
        let effects = self.reducer.handle(self.now, event);
        let took = (thread_cpu_s() - before - self.clock_overhead_s).max(0.0);
        if is_tick {
            self.counts.ticks += 1.0;
            self.counts.tick_cpu_s += took;
        } else {
            self.counts.other_cpu_s += took;
        }
        self.effects.extend(effects);
    }

    /// Executes all queued effects. Returns whether anything was written.
    fn execute_effects(&mut self) -> bool {
        let mut has_written = false;
        while !self.effects.is_empty() {
            for effect in std::mem::take(&mut self.effects) {
                match effect {
                    Effect::Connect(id, address) => self.connect(id, address),
                    Effect::Write(id) => has_written |= self.write(id),
                    Effect::Close(id) => self.close(id),
                    Effect::CloseIfQuiet(id) => {
                        let effects = self.reducer.handle(self.now, Event::ReadToEnd(id));
                        self.effects.extend(effects);
                    }
                    Effect::Read(_)
                    | Effect::Accept(_)
                    | Effect::SendDatagrams
                    | Effect::StopListening
                    | Effect::Exit => {}
                }
            }
        }
        has_written
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::ClientStatement => {
                self.send_statement();
                let gap = self.draw_statement_gap();
                self.schedule(gap, SimulationEvent::ClientStatement);
            }
            SimulationEvent::Connected(id) => {
                if self.connections.contains_key(&id) {
                    self.apply(Event::Connected(id));
                }
            }
            SimulationEvent::Bytes(id, bytes) => {
                if self.connections.contains_key(&id) || self.client_of_connection.contains_key(&id) {
                    self.deliver(id, &bytes);
                }
            }
            SimulationEvent::Closed(id) => {
                if self.connections.contains_key(&id) {
                    self.apply(Event::Closed(id));
                }
            }
            SimulationEvent::WatchHeartbeat(id) => {
                if self.connections.contains_key(&id) {
                    self.deliver(id, HEARTBEAT);
                    self.schedule(HEARTBEAT_INTERVAL, SimulationEvent::WatchHeartbeat(id));
                }
            }
        }
    }
}
