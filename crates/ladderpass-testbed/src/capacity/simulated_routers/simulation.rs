//! The state of a simulation, its queue of events, and the operations of its callers.

use super::counts::{Cost, Counts, Flow, clock_overhead_ns};
use super::member::Member;
use super::settings::{EPOCH, list_entry, write_config};
use super::shape::{REGION_OF_ZONE, Shape, ZONES};
use ladderpass::reducer::{ConnectionId, Reducer};
use ladderpass_routing::{Span, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Time in nanoseconds within which all routers start.
const MAX_START_DELAY_NS: i64 = 200_000_000;
const REPLICA_LAG_MS: std::ops::Range<i64> = 2..20;
const FIRST_GENERATION: u64 = 2;
const NEVER: Time = Time::from_nanos(i64::MAX);

/// The peer of a router's connection.
pub(super) enum Peer {
    /// A client. Its startup is done when the router has answered its startup message.
    Client { startup_done: bool, input: Vec<u8> },
    /// A member, which reads the startup message first.
    Member { member: usize, startup_read: bool, input: Vec<u8> },
    /// Discovery, which sends the endpoint list when the watch begins.
    Discovery { watching: bool },
}

/// A connection of a router.
pub(super) struct Connection {
    /// The peer of the connection.
    pub peer: Peer,
    /// Bytes for which the router's read buffer has had no space yet.
    pub unread: Vec<u8>,
}

/// A router and its connections.
pub(super) struct SimulatedRouter {
    /// The reducer, or `None` while the router is not running.
    pub reducer: Option<Reducer>,
    /// Number of the current process of the router. Connections of an earlier process are lost with the data in flight on
    /// them, but datagrams in flight reach a later process.
    pub incarnation: u32,
    /// Connections of the router that are open or being opened.
    pub connections: HashMap<ConnectionId, Connection>,
    /// Client connections without a statement in flight, the most recently used one last.
    pub idle_clients: Vec<ConnectionId>,
    /// Whether a tick of the router is scheduled after the events of the current simulated time.
    pub tick_scheduled: bool,
    /// Whether events of [`Subject::Connections`](super::Subject::Connections) were applied since the last tick.
    pub has_data: bool,
    /// When the router ticks even if there is no event.
    pub wake_at: Time,
}

impl SimulatedRouter {
    fn stopped() -> SimulatedRouter {
        SimulatedRouter {
            reducer: None,
            incarnation: 0,
            connections: HashMap::new(),
            idle_clients: Vec::new(),
            tick_scheduled: false,
            has_data: false,
            wake_at: NEVER,
        }
    }

    /// Returns the sorted ids of the connections whose peer matches. The ids are sorted because the order of the map
    /// differs from run to run.
    fn sorted_connections(&self, matches: impl Fn(&Peer) -> bool) -> Vec<ConnectionId> {
        let matching = self.connections.iter().filter(|(_, connection)| matches(&connection.peer));
        let mut ids: Vec<ConnectionId> = matching.map(|(&id, _)| id).collect();
        ids.sort();
        ids
    }
}

/// A connection of one process of a router.
#[derive(Clone, Copy)]
pub(super) struct ConnectionKey {
    pub router: usize,
    pub incarnation: u32,
    pub id: ConnectionId,
}

/// An event of a simulation.
pub(super) enum SimulationEvent {
    StartRouter { router: usize },
    Tick { router: usize },
    Wake { router: usize },
    ClientStatement { router: usize, incarnation: u32 },
    Datagram { to: usize, from: SocketAddr, bytes: Vec<u8> },
    Bytes(ConnectionKey, Vec<u8>),
    Connected(ConnectionKey),
    Closed(ConnectionKey),
    WatchHeartbeat(ConnectionKey),
}

/// An event in the queue. Events of the same time are handled in the order in which they were scheduled.
struct ScheduledEvent {
    at: Time,
    number: u64,
    event: SimulationEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A simulation of routers, with its own clock.
pub struct Simulation {
    /// The parameters of the simulation.
    pub shape: Shape,
    /// The current simulated time.
    pub now: Time,
    began: Time,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    last_event_number: u64,
    pub(super) routers: Vec<SimulatedRouter>,
    /// The simulated members, by index.
    pub members: Vec<Member>,
    /// Counts by router since the start or the last [`Simulation::reset_counts`].
    pub counts: Vec<Counts>,
    /// CPU time of the observed routers since the start or the last [`Simulation::reset_counts`].
    pub cost: Cost,
    pub(super) clock_overhead_ns: i64,
    pub(super) rng: SmallRng,
    /// The current generation of the endpoint list.
    pub(super) generation: u64,
    /// The entries of the endpoint list as JSON, by member.
    pub(super) entries: Vec<String>,
    /// Whether discovery is up.
    pub discovery_up: bool,
    /// Number of watches a second on which discovery can send a change of the endpoint list.
    pub watch_events_per_second: f64,
    /// Messages and bytes that discovery has sent since the start or the last [`Simulation::reset_counts`].
    pub discovery: Flow,
    /// Pairs of regions that can't reach each other.
    pub cut_regions: Vec<(usize, usize)>,
    pub(super) datagrams_in_flight: u64,
    pub(super) last_statement: u64,
    pub(super) config: PathBuf,
}

impl Drop for Simulation {
    fn drop(&mut self) {
        // A failure to remove the settings file is ignored, since the file may have been removed already.
        let _ = std::fs::remove_file(&self.config);
    }
}

impl Simulation {
    /// Prepares a simulation. Its routers start at random times within the first 200 ms.
    ///
    /// # Errors
    /// If the routers' settings can't be written to the temporary folder.
    pub fn start(shape: Shape) -> io::Result<Simulation> {
        let mut rng = SmallRng::seed_from_u64(shape.seed);
        let member = |member: usize, lag_ms: i64| Member {
            up: true,
            hangs: false,
            primary: member < shape.groups,
            lag: if member < shape.groups { Span::ZERO } else { Span::from_millis(lag_ms) },
        };
        let members: Vec<Member> =
            (0..shape.members).map(|index| member(index, rng.random_range(REPLICA_LAG_MS))).collect();
        let entries: Vec<String> = (0..shape.members)
            .map(|index| list_entry(&shape, index, members[index].primary, "SERVING"))
            .collect();
        let cached_entries = if shape.cached_endpoints { entries.join(",") } else { String::new() };
        let config = write_config(&shape, &cached_entries)?;
        let mut simulation = Simulation {
            now: EPOCH,
            began: EPOCH,
            queue: BinaryHeap::new(),
            last_event_number: 0,
            routers: (0..shape.routers).map(|_| SimulatedRouter::stopped()).collect(),
            members,
            counts: vec![Counts::default(); shape.routers],
            cost: Cost::default(),
            clock_overhead_ns: if shape.observed > 0 { clock_overhead_ns() } else { 0 },
            rng,
            generation: FIRST_GENERATION,
            entries,
            discovery_up: true,
            watch_events_per_second: 1e9,
            discovery: Flow::default(),
            cut_regions: Vec::new(),
            datagrams_in_flight: 0,
            last_statement: 0,
            config,
            shape,
        };
        for router in 0..simulation.shape.routers {
            let after = Span::from_nanos(simulation.rng.random_range(0..MAX_START_DELAY_NS));
            simulation.schedule_start(router, after);
        }
        Ok(simulation)
    }

    pub(super) fn schedule(&mut self, at: Time, event: SimulationEvent) {
        self.last_event_number += 1;
        self.queue.push(Reverse(ScheduledEvent { at, number: self.last_event_number, event }));
    }

    /// Returns the simulated time since the start.
    pub fn elapsed(&self) -> Span {
        self.now - self.began
    }

    /// Runs the simulation for a time.
    ///
    /// # Errors
    /// If the settings of a router that starts can't be written or read.
    pub fn run(&mut self, span: Span) -> io::Result<()> {
        let until = self.now + span;
        while self.queue.peek().is_some_and(|Reverse(first)| first.at <= until) {
            let Some(Reverse(first)) = self.queue.pop() else { break };
            self.now = first.at;
            self.handle_event(first.event)?;
        }
        self.now = until;
        Ok(())
    }

    /// Resets the counts, the CPU times and the traffic of discovery to zero.
    pub fn reset_counts(&mut self) {
        self.counts.iter_mut().for_each(|counts| *counts = Counts::default());
        (self.cost, self.discovery) = (Cost::default(), Flow::default());
    }

    /// Returns the number of datagrams in flight.
    pub fn datagrams_in_flight(&self) -> u64 {
        self.datagrams_in_flight
    }

    /// Returns the mean of a count over all routers.
    pub fn mean(&self, count: impl Fn(&Counts) -> u64) -> f64 {
        self.counts.iter().map(count).sum::<u64>() as f64 / self.counts.len().max(1) as f64
    }

    /// Returns the reducer of a router, or `None` if the router is not running.
    pub fn reducer(&self, router: usize) -> Option<&Reducer> {
        self.routers.get(router)?.reducer.as_ref()
    }

    /// Returns the zone of a router.
    pub fn zone(&self, router: usize) -> usize {
        router % ZONES
    }

    /// Returns the zone of a member.
    pub fn zone_of_member(&self, member: usize) -> usize {
        self.shape.zone_of_member(member)
    }

    /// Returns whether two zones can reach each other.
    pub(super) fn is_reachable(&self, zone: usize, other: usize) -> bool {
        let (one, other) = (REGION_OF_ZONE[zone], REGION_OF_ZONE[other]);
        !self.cut_regions.iter().any(|&(a, b)| (a, b) == (one, other) || (b, a) == (one, other))
    }

    /// Kills a router's process. Its state is lost, and its peers are not notified.
    pub fn kill(&mut self, router: usize) {
        let killed = &mut self.routers[router];
        let incarnation = killed.incarnation + 1;
        *killed = SimulatedRouter { incarnation, has_data: killed.has_data, ..SimulatedRouter::stopped() };
    }

    /// Schedules the start of a router after a time. The start has no effect if the router is running then.
    pub fn schedule_start(&mut self, router: usize, after: Span) {
        self.schedule(self.now + after, SimulationEvent::StartRouter { router });
    }

    /// Ends a member. Its process ends, which closes its connections, or its machine fails `silently`, which leaves them
    /// open.
    pub fn end_member(&mut self, member: usize, silently: bool) {
        (self.members[member].up, self.members[member].hangs) = (silently, silently);
        if silently {
            return;
        }
        let is_of_member =
            |peer: &Peer| matches!(peer, Peer::Member { member: other, .. } if *other == member);
        for router in 0..self.routers.len() {
            let closed = self.routers[router].sorted_connections(is_of_member);
            let incarnation = self.routers[router].incarnation;
            for id in closed {
                let key = ConnectionKey { router, incarnation, id };
                self.schedule(self.now + self.shape.latency, SimulationEvent::Closed(key));
            }
        }
    }

    /// Returns the watches of the endpoint list that a router has open.
    pub(super) fn open_watches(&self, router: usize) -> Vec<ConnectionKey> {
        let incarnation = self.routers[router].incarnation;
        let is_watch = |peer: &Peer| matches!(peer, Peer::Discovery { watching: true });
        let ids = self.routers[router].sorted_connections(is_watch).into_iter();
        ids.map(|id| ConnectionKey { router, incarnation, id }).collect()
    }

    /// Returns whether this process is still the current one of the router.
    pub(super) fn is_current(&self, router: usize, incarnation: u32) -> bool {
        self.routers[router].incarnation == incarnation
    }

    /// Returns whether a connection is still open.
    pub(super) fn is_open(&self, key: ConnectionKey) -> bool {
        self.is_current(key.router, key.incarnation)
            && self.routers[key.router].connections.contains_key(&key.id)
    }

    /// Returns the connection with the id of the key. The router's current process may be a later process than that of
    /// the key.
    pub(super) fn connection_mut(&mut self, key: ConnectionKey) -> Option<&mut Connection> {
        self.routers[key.router].connections.get_mut(&key.id)
    }
}
