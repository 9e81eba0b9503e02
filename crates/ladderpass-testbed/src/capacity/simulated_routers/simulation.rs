//! State of a simulation, its queue of events by time, and what a caller does to it.

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

/// All routers start within this, in nanoseconds.
const MAX_START_DELAY_NS: i64 = 200_000_000;
const REPLICA_LAG_MS: std::ops::Range<i64> = 2..20;
const FIRST_GENERATION: u64 = 2;
const NEVER: Time = Time::from_nanos(i64::MAX);

/// The far end of a router's connection.
pub(super) enum Peer {
    /// A client; it is welcomed once its startup message is answered.
    Client { startup_done: bool, input: Vec<u8> },
    /// A member, which first reads the startup message.
    Member { member: usize, startup_read: bool, input: Vec<u8> },
    /// Discovery, which sends the endpoint list once it is watched.
    Discovery { watching: bool },
}

/// A connection of a router.
pub(super) struct Connection {
    /// Its far end.
    pub peer: Peer,
    /// Bytes for which the router's read buffer had no room yet.
    pub unread: Vec<u8>,
}

/// A router and the connections that it has.
pub(super) struct SimulatedRouter {
    /// None while it is not running.
    pub reducer: Option<Reducer>,
    /// Number of the process: what was in flight to an earlier one is lost.
    pub incarnation: u32,
    /// Its open connections.
    pub connections: HashMap<ConnectionId, Connection>,
    /// Connections of clients with nothing in flight, the last used last.
    pub idle_clients: Vec<ConnectionId>,
    /// A tick follows the events of this moment.
    pub tick_scheduled: bool,
    /// Data came since the last tick.
    pub has_data: bool,
    /// When it ticks without an event.
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

    /// Ids of some connections, in order: the map's own order differs from run to run.
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

/// What happens at a time.
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

/// An event in the queue; those of one time are in the order in which they were scheduled.
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

/// A simulation with a clock of its own.
pub struct Simulation {
    /// What it is made of.
    pub shape: Shape,
    /// Its time.
    pub now: Time,
    began: Time,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    last_event_number: u64,
    pub(super) routers: Vec<SimulatedRouter>,
    /// Its members.
    pub members: Vec<Member>,
    /// By router, since the start or the last [`Simulation::reset_counts`].
    pub counts: Vec<Counts>,
    /// Of the observed routers.
    pub cost: Cost,
    pub(super) clock_overhead_ns: i64,
    pub(super) rng: SmallRng,
    /// Generation of the endpoint list.
    pub(super) generation: u64,
    /// The endpoint list.
    pub(super) entries: Vec<String>,
    /// Discovery answers.
    pub discovery_up: bool,
    /// Watches a second to which a change of the endpoint list is sent.
    pub watch_events_per_second: f64,
    /// Messages and bytes that discovery sent.
    pub discovery: Flow,
    /// Pairs of regions that can't reach each other.
    pub cut_regions: Vec<(usize, usize)>,
    pub(super) datagrams_in_flight: u64,
    pub(super) last_statement: u64,
    pub(super) config: PathBuf,
}

impl Drop for Simulation {
    fn drop(&mut self) {
        // It may have been removed already.
        let _ = std::fs::remove_file(&self.config);
    }
}

impl Simulation {
    /// Prepares a simulation. Its routers start at random times within its first 200 ms.
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

    /// Time since its start.
    pub fn elapsed(&self) -> Span {
        self.now - self.began
    }

    /// Runs for a time.
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

    /// Sets counts and costs to zero.
    pub fn reset_counts(&mut self) {
        self.counts.iter_mut().for_each(|counts| *counts = Counts::default());
        (self.cost, self.discovery) = (Cost::default(), Flow::default());
    }

    /// Datagrams in flight.
    pub fn datagrams_in_flight(&self) -> u64 {
        self.datagrams_in_flight
    }

    /// Mean of a count over all routers.
    pub fn mean(&self, count: impl Fn(&Counts) -> u64) -> f64 {
        self.counts.iter().map(count).sum::<u64>() as f64 / self.counts.len().max(1) as f64
    }

    /// The reducer of a router that runs.
    pub fn reducer(&self, router: usize) -> Option<&Reducer> {
        self.routers.get(router)?.reducer.as_ref()
    }

    /// The zone of a router.
    pub fn zone(&self, router: usize) -> usize {
        router % ZONES
    }

    /// The zone of a member.
    pub fn zone_of_member(&self, member: usize) -> usize {
        self.shape.zone_of_member(member)
    }

    /// Can two zones reach each other?
    pub(super) fn is_reachable(&self, zone: usize, other: usize) -> bool {
        let (one, other) = (REGION_OF_ZONE[zone], REGION_OF_ZONE[other]);
        !self.cut_regions.iter().any(|&(a, b)| (a, b) == (one, other) || (b, a) == (one, other))
    }

    /// Kills a router's process. Its state is lost, and nobody is notified.
    pub fn kill(&mut self, router: usize) {
        let killed = &mut self.routers[router];
        let incarnation = killed.incarnation + 1;
        *killed = SimulatedRouter { incarnation, has_data: killed.has_data, ..SimulatedRouter::stopped() };
    }

    /// Starts a router after a time, if it does not run then.
    pub fn schedule_start(&mut self, router: usize, after: Span) {
        self.schedule(self.now + after, SimulationEvent::StartRouter { router });
    }

    /// Ends a member's process, which closes its connections, or `silently` its machine, which does not.
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

    /// By router: its open watches of the endpoint list.
    pub(super) fn open_watches(&self, router: usize) -> Vec<ConnectionKey> {
        let incarnation = self.routers[router].incarnation;
        let is_watch = |peer: &Peer| matches!(peer, Peer::Discovery { watching: true });
        let ids = self.routers[router].sorted_connections(is_watch).into_iter();
        ids.map(|id| ConnectionKey { router, incarnation, id }).collect()
    }

    /// Does this process of the router still run?
    pub(super) fn is_current(&self, router: usize, incarnation: u32) -> bool {
        self.routers[router].incarnation == incarnation
    }

    /// Is this connection still open?
    pub(super) fn is_open(&self, key: ConnectionKey) -> bool {
        self.is_current(key.router, key.incarnation)
            && self.routers[key.router].connections.contains_key(&key.id)
    }

    /// A connection, whichever process of its router has it now.
    pub(super) fn connection_mut(&mut self, key: ConnectionKey) -> Option<&mut Connection> {
        self.routers[key.router].connections.get_mut(&key.id)
    }
}
