//! A simulated machine with a limited number of descriptors: the reducer with its network, members, discovery and clients,
//! on a simulated clock.

use crate::common::{
    SIMULATION_START, WATCH_HEAD, chunk, empty_query_response, frames, grouped_router_config,
    launch_with_config, query, row, startup, startup_response, statement,
};
use ladderpass::limits;
use ladderpass::reducer::{ConnectionId, Effect, Event, Reducer};
use ladderpass_routing::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// The port of discovery.
const DISCOVERY_PORT: u16 = 8500;
/// The port of the first simulated member. The other members have the ports that follow.
const FIRST_MEMBER_PORT: u16 = 10_000;
/// The one-way delay between the router and any peer.
const NETWORK_DELAY: Span = Span::from_millis(1);

/// The state of the simulated discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Discovery refuses connections.
    Down,
    /// Discovery accepts connections and sends nothing.
    Silent,
    /// Discovery answers watches of the endpoint list.
    Up,
}

/// What the router's peer does on a connection.
enum NetworkEvent {
    Connected,
    Refused,
    Bytes(Vec<u8>),
}

/// A function that returns what the nth idle client sends. Idle clients use descriptors and send no complete statement.
pub type ClientBytes = fn(usize) -> Vec<u8>;

/// The router's reducer on a simulated machine with a limited number of descriptors.
pub struct Machine {
    reducer: Reducer,
    started_at: Time,
    pub now: Time,
    group_count: usize,
    pub free_descriptors: usize,
    /// The connections that hold a descriptor.
    pub open_connections: BTreeSet<ConnectionId>,
    events: BTreeMap<(Time, u64), (ConnectionId, NetworkEvent)>,
    last_event_number: u64,
    pub discovery: Discovery,
    /// The line that discovery sends as its answer to a watch.
    pub list_line: String,
    /// Whether the nth member accepts connections and sends nothing.
    pub is_silent: fn(usize) -> bool,
    /// Whether connects to the nth member are never answered.
    pub is_unreachable: fn(usize) -> bool,
    pub member_connections: HashMap<ConnectionId, usize>,
    pub watches: BTreeSet<ConnectionId>,
    written: HashMap<ConnectionId, Vec<u8>>,
    /// Whether the router accepts clients.
    listening: bool,
    /// What idle clients send, if idle clients wait at the listener.
    pub idle_clients: Option<ClientBytes>,
    /// The numbers of the clients that wait at the listener with a statement. They are accepted before idle clients.
    pub waiting_clients: VecDeque<usize>,
    accepted_clients: usize,
    pub clients_by_connection: HashMap<ConnectionId, usize>,
    /// The health checks that members have received, each as its time and the member's number.
    pub health_checks: Vec<(Time, usize)>,
    /// The answers to the clients with a statement, by the client's number: when the client received the answer, and
    /// the types of the answer's frames.
    pub answers: BTreeMap<usize, (Time, Vec<u8>)>,
    /// When discovery's first answer with an endpoint list reaches the router, or None if discovery has not answered
    /// yet.
    pub list_received_at: Option<Time>,
    pub max_open: usize,
}

/// The address of the nth simulated member.
pub fn address(n: usize) -> String {
    format!("127.0.0.1:{}", usize::from(FIRST_MEMBER_PORT) + n)
}

/// A router that is configured for `configured` descriptors, on a machine that has `free` free descriptors.
pub fn machine(members: usize, configured: usize, free: usize) -> Machine {
    let addresses: Vec<String> = (0..members).map(address).collect();
    let now = SIMULATION_START;
    let mut launch = launch_with_config(&grouped_router_config(&addresses, configured.max(64)));
    // The configuration allows no fewer than 64 descriptors. A process that may open fewer computes its limits as in
    // the next line.
    launch.limits = limits::Limits::of(192, configured, &launch.settings);
    Machine {
        reducer: Reducer::start(now, launch),
        started_at: now,
        now,
        group_count: members.div_ceil(3),
        free_descriptors: free,
        open_connections: BTreeSet::new(),
        events: BTreeMap::new(),
        last_event_number: 0,
        discovery: Discovery::Down,
        list_line: String::new(),
        is_silent: |_| false,
        is_unreachable: |_| false,
        member_connections: HashMap::new(),
        watches: BTreeSet::new(),
        written: HashMap::new(),
        listening: true,
        idle_clients: None,
        waiting_clients: VecDeque::new(),
        accepted_clients: 0,
        clients_by_connection: HashMap::new(),
        health_checks: Vec::new(),
        answers: BTreeMap::new(),
        list_received_at: None,
        max_open: 0,
    }
}

impl Machine {
    /// Milliseconds from the start of the simulation to this time.
    pub fn ms(&self, at: Time) -> f64 {
        (at - self.started_at).secs() * 1e3
    }

    /// Gives the connection a descriptor, and returns whether one was free.
    fn take_descriptor(&mut self, id: ConnectionId) -> bool {
        if self.free_descriptors == 0 {
            return false;
        }
        self.free_descriptors -= 1;
        self.max_open = self.max_open.max(self.open_connections.len() + 1);
        self.open_connections.insert(id)
    }

    /// Schedules what the router's peer does on a connection after `span`.
    fn schedule(&mut self, span: Span, id: ConnectionId, event: NetworkEvent) {
        self.last_event_number += 1;
        self.events.insert((self.now + span, self.last_event_number), (id, event));
    }

    /// Lets the reducer handle an event, and carries out the effects that it returns.
    pub fn apply(&mut self, event: Event) {
        let mut effects: VecDeque<Effect> = self.reducer.handle(self.now, event).into();
        while let Some(effect) = effects.pop_front() {
            let more = match effect {
                Effect::Connect(id, _) if !self.take_descriptor(id) => {
                    self.reducer.handle(self.now, Event::ConnectDenied(id))
                }
                Effect::Connect(id, to) => {
                    self.connect(id, to.port());
                    Vec::new()
                }
                Effect::Write(id) => self.write(id),
                Effect::Close(id) => {
                    self.free_descriptors += usize::from(self.open_connections.remove(&id));
                    self.watches.remove(&id);
                    Vec::new()
                }
                Effect::Accept(wanted) => {
                    self.listening = wanted;
                    Vec::new()
                }
                // A simulated socket holds no bytes that the reducer has not received, so the final read before a close
                // ends at once. The connection is closed before the other effects are carried out.
                Effect::CloseIfQuiet(id) => {
                    let asked = self.reducer.handle(self.now, Event::ReadToEnd(id));
                    asked.into_iter().rev().for_each(|effect| effects.push_front(effect));
                    Vec::new()
                }
                _ => Vec::new(),
            };
            effects.extend(more);
        }
    }

    /// Simulates that the router connects to discovery or to a member.
    fn connect(&mut self, id: ConnectionId, port: u16) {
        if port == DISCOVERY_PORT {
            self.watches.insert(id);
            match self.discovery {
                Discovery::Down => self.schedule(NETWORK_DELAY, id, NetworkEvent::Refused),
                _ => self.schedule(NETWORK_DELAY, id, NetworkEvent::Connected),
            }
            return;
        }
        let n = usize::from(port - FIRST_MEMBER_PORT);
        self.member_connections.insert(id, n);
        if !(self.is_unreachable)(n) {
            self.schedule(NETWORK_DELAY, id, NetworkEvent::Connected);
        }
    }

    /// Delivers all output that the router has for a connection, and schedules the peer's answer.
    fn write(&mut self, id: ConnectionId) -> Vec<Effect> {
        if !self.open_connections.contains(&id) {
            return Vec::new();
        }
        let bytes = self.reducer.outgoing(id).to_vec();
        let effects = self.reducer.handle(self.now, Event::Written(id, bytes.len()));
        let written = self.written.entry(id).or_default();
        written.extend_from_slice(&bytes);
        if self.watches.contains(&id) {
            if self.discovery == Discovery::Up && written.ends_with(b"\r\n\r\n") {
                written.clear();
                let answer = [WATCH_HEAD, &chunk(self.list_line.as_bytes())].concat();
                self.schedule(NETWORK_DELAY, id, NetworkEvent::Bytes(answer));
                self.list_received_at.get_or_insert(self.now + NETWORK_DELAY);
            }
        } else if let Some(&n) = self.member_connections.get(&id) {
            self.answer_as_member(id, n);
        } else if let Some(&nth) = self.clients_by_connection.get(&id) {
            let (answer_frames, _) = frames(written);
            let kinds: Vec<u8> = answer_frames.iter().map(|(kind, _)| *kind).collect();
            // The frames up to the first ReadyForQuery answer the startup message; the statement's answer follows.
            if let Some(at) = kinds.iter().position(|kind| *kind == b'Z').filter(|at| kinds.len() > at + 1) {
                self.answers.entry(nth).or_insert((self.now, kinds[at + 1..].to_vec()));
            }
        }
        effects
    }

    /// Delivers a peer's bytes to the router, as far as the read buffer of the connection has space.
    pub fn receive(&mut self, id: ConnectionId, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.open_connections.contains(&id) {
            let buffer = self.reducer.read_buffer(id);
            let count = buffer.len().min(bytes.len());
            if count == 0 {
                return;
            }
            buffer[..count].copy_from_slice(&bytes[..count]);
            bytes = &bytes[count..];
            self.apply(Event::Received(id, count, Span::ZERO));
        }
    }

    /// Accepts waiting clients while the router accepts clients and descriptors are free.
    fn accept_clients(&mut self) {
        for _ in 0..64 {
            if !self.listening || !self.reducer.accepts_clients() || self.free_descriptors == 0 {
                return;
            }
            let client = self.waiting_clients.pop_front();
            let bytes = match (client, self.idle_clients) {
                (Some(nth), _) => {
                    let group = 1 + nth % self.group_count;
                    let text = statement(&format!("a{nth}"), "read", 2000, &group.to_string());
                    [startup(), query(&text)].concat()
                }
                (None, Some(idle_clients)) => idle_clients(self.accepted_clients),
                (None, None) => return,
            };
            let id = self.reducer.next_id();
            assert!(self.take_descriptor(id));
            self.accepted_clients += 1;
            self.clients_by_connection.extend(client.map(|nth| (id, nth)));
            self.apply(Event::Accepted(id));
            self.receive(id, &bytes);
        }
    }

    /// Runs the simulation for the time `span`.
    pub fn run_for(&mut self, span: Span) {
        let until = self.now + span;
        let (mut at, mut iterations_at_this_time) = (self.now, 0);
        loop {
            self.accept_clients();
            self.apply(Event::Tick);
            let wake = self.reducer.wake_at().unwrap_or(until);
            let next = self.events.first_key_value().map_or(until, |((at, _), _)| *at).min(wake);
            if next > until || self.now >= until {
                return self.now = until;
            }
            self.now = self.now.max(next);
            iterations_at_this_time = if self.now == at { iterations_at_this_time + 1 } else { 0 };
            at = self.now;
            assert!(
                iterations_at_this_time < 10_000,
                "the simulation makes no progress at {} ms",
                self.ms(at)
            );
            while let Some((&key, _)) = self.events.first_key_value()
                && key.0 <= self.now
            {
                let Some((id, event)) = self.events.remove(&key) else { continue };
                if !self.open_connections.contains(&id) {
                    continue;
                }
                match event {
                    NetworkEvent::Connected => self.apply(Event::Connected(id)),
                    NetworkEvent::Refused => {
                        self.apply(Event::Closed(id));
                    }
                    NetworkEvent::Bytes(bytes) => self.receive(id, &bytes),
                }
            }
        }
    }

    /// Runs the simulation while the clients numbered `from..to`, each with a statement, connect one after another, one
    /// per `interval`.
    pub fn run_with_clients(&mut self, from: usize, to: usize, interval: Span) {
        for nth in from..to {
            self.waiting_clients.push_back(nth);
            self.run_for(interval);
        }
    }

    /// The numbers of those of the first `count` clients with a statement that received no row, each with the types of
    /// the frames that the client received.
    pub fn unserved(&self, count: usize) -> Vec<(usize, String)> {
        let frame_kinds =
            |nth| self.answers.get(&nth).map_or("", |(_, kinds)| std::str::from_utf8(kinds).unwrap_or("?"));
        (0..count)
            .map(|nth| (nth, frame_kinds(nth).to_owned()))
            .filter(|(_, kinds)| kinds != "TDCZ")
            .collect()
    }

    /// Schedules the nth member's answers to the messages that it has received on a connection, unless the member is
    /// silent.
    fn answer_as_member(&mut self, id: ConnectionId, n: usize) {
        if (self.is_silent)(n) {
            return;
        }
        let written = self.written.entry(id).or_default();
        if written.starts_with(b"\0\0") {
            written.clear();
            return self.schedule(NETWORK_DELAY, id, NetworkEvent::Bytes(startup_response()));
        }
        let (answer_frames, used) = frames(written);
        written.drain(..used);
        let (ms, is_primary) = (self.now.nanos() as u64 / 1_000_000, n.is_multiple_of(3));
        let role = if is_primary { "leader" } else { "follower" };
        for (_, body) in answer_frames {
            let text = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
            let answer = match text.as_str() {
                "" => empty_query_response(),
                "SHOW server_load" => {
                    self.health_checks.push((self.now, n));
                    row(format!("x0={:.3},x1={}", ms as f64 / 1e3, u8::from(is_primary)).as_bytes(), role, ms)
                }
                _ => row(b"x", role, ms),
            };
            self.schedule(NETWORK_DELAY, id, NetworkEvent::Bytes(answer));
        }
    }
}
