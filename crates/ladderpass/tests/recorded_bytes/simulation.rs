//! Two routers without sockets on a simulated clock, with the events that are scheduled at each router.

use crate::common::{SIMULATION_START, cancel, launch_with_config, router_config, simulated_members};
use ladderpass::reducer::{ConnectionId, Effect, Event, Reducer};
use ladderpass_config::operator;
use ladderpass_overload::ResourceSample;
use ladderpass_routing::{Span, Time};
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::fmt::Write;

const ROUTERS: usize = 2;
pub const MEMBERS: usize = 3;
const DISCOVERY_PORT: u16 = 8500;
/// How long before the end of a run the first router gets SIGTERM.
const SHUTDOWN: Span = Span::from_millis(900);

/// The other end of a connection of a router.
#[derive(Clone, Debug)]
pub enum Remote {
    Client { number: u32, received: Vec<u8> },
    Member { number: usize, started: bool, received: Vec<u8> },
    Discovery { received: Vec<u8> },
}

/// An event that is scheduled at a router.
pub enum Scheduled {
    Connected(ConnectionId),
    ConnectDenied(ConnectionId),
    Closed(ConnectionId),
    Bytes(ConnectionId, Vec<u8>),
    Datagram(usize, Vec<u8>),
    ClientArrives,
    ClientSends(ConnectionId),
    ClientCancels(u32, u32),
    Sample,
    Terminate,
}

pub struct Router {
    pub reducer: Reducer,
    pub remotes: BTreeMap<ConnectionId, Remote>,
    exited: bool,
}

/// The routers with the other ends of their connections, and the scheduled events. Each choice is drawn from `random`.
pub struct Simulation {
    pub routers: Vec<Router>,
    pub now: Time,
    random: WyRand,
    scheduled: BTreeMap<(Time, u64), (usize, Scheduled)>,
    events: u64,
    pub clients: u32,
    pub rpcs: u32,
    pub generation: u64,
    /// The position in Unix milliseconds that each member has reported last. A member's position never goes back.
    pub positions_ms: [u64; MEMBERS],
    pub transcript: String,
}

/// The port on which a router receives gossip.
fn router_port(router: usize) -> u16 {
    7400 + router as u16
}

fn launch(router: usize, seed: u64) -> ladderpass::launch::Launch {
    let members = simulated_members(MEMBERS);
    let mut launch = launch_with_config(&router_config(&members));
    launch.seed = seed ^ router as u64;
    let addresses: Vec<String> = (0..ROUTERS).map(|n| format!("'127.0.0.1:{}'", router_port(n))).collect();
    let own = &addresses[router];
    let text = format!(
        "overload: {{slow_reader: 200ms}}\n\
         peers: {{listen: {own}, address: {own}, listed: [{}]}}\n\
         fleet: {{sheds: true, budgets: true}}\n\
         members: {{zone: a, sizes: true}}\n",
        addresses.join(", ")
    );
    launch.operator = operator::read(&text).unwrap_or_else(|fault| panic!("{fault}"));
    launch
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        let routers = (0..ROUTERS).map(|router| Router {
            reducer: Reducer::start(SIMULATION_START, launch(router, seed)),
            remotes: BTreeMap::new(),
            exited: false,
        });
        let mut simulation = Simulation {
            routers: routers.collect(),
            now: SIMULATION_START,
            random: WyRand::new_seed(seed),
            scheduled: BTreeMap::new(),
            events: 0,
            clients: 0,
            rpcs: 0,
            generation: 1,
            positions_ms: [0; MEMBERS],
            transcript: String::new(),
        };
        for router in 0..ROUTERS {
            simulation.schedule(router, Span::from_millis(20), Scheduled::ClientArrives);
            simulation.schedule(router, Span::from_millis(50), Scheduled::Sample);
        }
        simulation
    }

    /// Draws a random number below `limit`.
    pub fn random_below(&mut self, limit: u32) -> u32 {
        self.random.generate_range(0..limit)
    }

    /// Schedules an event at a router after this time.
    pub fn schedule(&mut self, router: usize, after: Span, event: Scheduled) {
        self.events += 1;
        self.scheduled.insert((self.now + after, self.events), (router, event));
    }

    /// Schedules an event at a random time within this many milliseconds.
    pub fn schedule_within(&mut self, router: usize, max_ms: u32, event: Scheduled) {
        let after = Span::from_nanos(i64::from(self.random_below(max_ms * 1000) + 1) * 1000);
        self.schedule(router, after, event);
    }

    /// Adds a line to the transcript.
    fn record(&mut self, router: usize, what: &str) {
        let micros = (self.now - SIMULATION_START).nanos() / 1000;
        let _ = writeln!(self.transcript, "{micros:>8} router {router} {what}");
    }

    fn connection_name(&self, router: usize, id: ConnectionId) -> String {
        match self.routers[router].remotes.get(&id) {
            Some(Remote::Client { number, .. }) => format!("client {number}"),
            Some(Remote::Member { number, .. }) => format!("member {number} ({})", id.0),
            Some(Remote::Discovery { .. }) => format!("discovery ({})", id.0),
            None => format!("connection {}", id.0),
        }
    }

    /// Runs the simulation for the time `length`. The first router gets SIGTERM near the end.
    pub fn run(&mut self, length: Span) {
        let end = SIMULATION_START + length;
        self.schedule(0, length - SHUTDOWN, Scheduled::Terminate);
        loop {
            let running_routers = self.routers.iter().filter(|router| !router.exited);
            let next_wake = running_routers.filter_map(|router| router.reducer.wake_at()).min();
            let next_event = self.scheduled.first_key_value().map(|(&(at, _), _)| at);
            let Some(at) = next_wake.into_iter().chain(next_event).min().filter(|&at| at <= end) else {
                return;
            };
            // An iteration of the event loop takes at least 20 µs, also where a wake-up is due already.
            self.now = at.max(self.now + Span::from_nanos(20_000));
            while let Some(entry) = self.scheduled.first_entry()
                && entry.key().0 <= self.now
            {
                let (router, event) = entry.remove();
                if !self.routers[router].exited {
                    self.handle_scheduled(router, event);
                }
            }
            for router in 0..ROUTERS {
                if !self.routers[router].exited {
                    self.handle(router, Event::Tick);
                }
            }
        }
    }

    pub fn handle(&mut self, router: usize, event: Event) {
        let effects = self.routers[router].reducer.handle(self.now, event);
        for effect in effects {
            self.carry_out(router, effect);
        }
    }

    fn carry_out(&mut self, router: usize, effect: Effect) {
        match effect {
            Effect::Connect(id, address) => self.connect(router, id, address.port()),
            Effect::Write(id) => self.write(router, id),
            Effect::Read(id) => self.handle(router, Event::SocketEmpty(id)),
            Effect::Close(id) => {
                let name = self.connection_name(router, id);
                self.record(router, &format!("closes {name}"));
                self.routers[router].remotes.remove(&id);
            }
            Effect::CloseIfQuiet(id) => self.handle(router, Event::ReadToEnd(id)),
            Effect::Accept(accepts) => self.record(router, &format!("accepts clients: {accepts}")),
            Effect::SendDatagrams => {
                for (to, bytes) in self.routers[router].reducer.take_datagrams() {
                    self.record(router, &format!("to {to}: {}", bytes.escape_ascii()));
                    let peer = usize::from(to.port() - router_port(0));
                    if self.random_below(20) > 0 {
                        self.schedule_within(peer, 3, Scheduled::Datagram(router, bytes));
                    }
                }
            }
            Effect::StopListening => self.handle(router, Event::ListenerClosed),
            Effect::Exit => {
                self.record(router, "exits");
                self.routers[router].exited = true;
            }
        }
    }

    fn handle_scheduled(&mut self, router: usize, event: Scheduled) {
        match event {
            Scheduled::Connected(id) => {
                self.handle(router, Event::Connected(id));
                self.write(router, id);
            }
            Scheduled::ConnectDenied(id) => self.handle(router, Event::ConnectDenied(id)),
            Scheduled::Closed(id) => {
                if self.routers[router].remotes.remove(&id).is_some() {
                    self.record(router, &format!("sees the end of connection {}", id.0));
                    self.handle(router, Event::Closed(id));
                }
            }
            Scheduled::Bytes(id, bytes) => {
                self.feed(router, id, &bytes);
                if matches!(self.routers[router].remotes.get(&id), Some(Remote::Discovery { .. })) {
                    match self.random_below(8) {
                        0 => self.schedule_within(router, 900, Scheduled::Closed(id)),
                        1 => {}
                        2 => self.schedule_within(router, 700, Scheduled::Bytes(id, b"1\r\n\n\r\n".to_vec())),
                        _ => self.continue_watch(router, id),
                    }
                }
            }
            Scheduled::Datagram(from, bytes) => {
                let from = ([127, 0, 0, 1], router_port(from)).into();
                self.handle(router, Event::DatagramReceived(from, bytes));
            }
            Scheduled::ClientArrives => self.connect_client(router),
            Scheduled::ClientSends(id) => self.send_from_client(router, id),
            Scheduled::ClientCancels(process, secret) => {
                let id = self.accept(router);
                self.feed(router, id, &cancel((process, secret)));
            }
            Scheduled::Sample => self.sample(router),
            Scheduled::Terminate => {
                self.record(router, "is told to end");
                self.handle(router, Event::Terminate);
            }
        }
    }

    fn sample(&mut self, router: usize) {
        self.schedule(router, Span::from_millis(50), Scheduled::Sample);
        // For 300 ms of each second the router process seems to be short of memory.
        let ms_of_second = (self.now - SIMULATION_START).nanos() / 1_000_000 % 1000;
        let resident_bytes = if (500..800).contains(&ms_of_second) { 185 << 20 } else { 40 << 20 };
        let sample =
            ResourceSample { wall: Span::from_millis(50), resident_bytes, ..ResourceSample::default() };
        self.handle(router, Event::ResourcesSampled(sample));
        let busy = Span::from_nanos(i64::from(self.random_below(3000)) * 1000);
        let ready_sockets = self.random_below(20) as usize;
        self.handle(router, Event::IterationEnded(busy, ready_sockets));
    }

    /// Delivers bytes to a router in pieces. Bytes for which the connection's read buffer has no space are dropped.
    pub fn feed(&mut self, router: usize, id: ConnectionId, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.routers[router].remotes.contains_key(&id) {
            let piece_count = 1 + self.random_below(4) as usize;
            let max_piece = bytes.len().div_ceil(piece_count);
            let buffer = self.routers[router].reducer.read_buffer(id);
            let count = buffer.len().min(max_piece);
            if count == 0 {
                return;
            }
            let (piece, rest) = bytes.split_at(count);
            buffer[..count].copy_from_slice(piece);
            bytes = rest;
            self.handle(router, Event::Received(id, count, Span::ZERO));
        }
    }

    fn connect(&mut self, router: usize, id: ConnectionId, port: u16) {
        let remote = match port {
            DISCOVERY_PORT => Remote::Discovery { received: Vec::new() },
            _ => Remote::Member { number: usize::from(port - 7000), started: false, received: Vec::new() },
        };
        self.routers[router].remotes.insert(id, remote);
        let name = self.connection_name(router, id);
        self.record(router, &format!("connects to {name}"));
        match self.random_below(40) {
            0 => self.schedule_within(router, 5, Scheduled::ConnectDenied(id)),
            1 => self.schedule_within(router, 5, Scheduled::Closed(id)),
            // The connection may be established only after the router's connect timeout of 250 ms.
            2 => self.schedule_within(router, 600, Scheduled::Connected(id)),
            _ => self.schedule_within(router, 3, Scheduled::Connected(id)),
        }
    }

    pub fn write(&mut self, router: usize, id: ConnectionId) {
        let connected = self.routers[router].remotes.contains_key(&id);
        let bytes = self.routers[router].reducer.outgoing(id).to_vec();
        if bytes.is_empty() || !connected {
            return;
        }
        // At random, a socket accepts only half of the bytes, or none for now.
        let count = match self.random_below(60) {
            0 => return self.handle(router, Event::WriteBlocked(id)),
            1 => bytes.len().div_ceil(2),
            _ => bytes.len(),
        };
        let name = self.connection_name(router, id);
        let mut shown = bytes[..count].to_vec();
        if name.starts_with("client") {
            mask_cancel_key(&mut shown);
        }
        self.record(router, &format!("to {name}: {}", shown.escape_ascii()));
        self.deliver(router, id, &bytes[..count]);
        self.handle(router, Event::Written(id, count));
        if count < bytes.len() {
            self.write(router, id);
        }
    }

    /// Handles bytes that have reached the other end of a connection.
    fn deliver(&mut self, router: usize, id: ConnectionId, bytes: &[u8]) {
        match self.routers[router].remotes.get_mut(&id) {
            Some(Remote::Client { received, .. }) => {
                received.extend_from_slice(bytes);
                let idle = received.ends_with(READY_FOR_QUERY);
                if idle {
                    self.schedule_within(router, 40, Scheduled::ClientSends(id));
                }
            }
            Some(Remote::Member { received, .. }) => {
                received.extend_from_slice(bytes);
                self.receive_from_router(router, id);
            }
            Some(Remote::Discovery { received }) => {
                received.extend_from_slice(bytes);
                if received.ends_with(b"\r\n\r\n") {
                    received.clear();
                    self.send_watch_line(router, id, true);
                }
            }
            None => {}
        }
    }
}

/// Replaces the secret of a client's cancel key, which is random for each process, by asterisks.
fn mask_cancel_key(bytes: &mut [u8]) {
    let head = b"K\0\0\0\x0c";
    if let Some(at) = bytes.windows(head.len()).position(|window| window == head) {
        let end = bytes.len().min(at + 13);
        bytes[at + 9..end].fill(b'*');
    }
}

/// The message ReadyForQuery, which ends an answer. After this message the client may send its next statement.
const READY_FOR_QUERY: &[u8] = b"Z\0\0\0\x05I";
