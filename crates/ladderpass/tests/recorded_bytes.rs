//! Every byte that the router writes, compared with a recording: two routers that gossip with each other run
//! without sockets on a simulated clock, before clients, members and a discovery service that fail at random.
//!
//! `recorded/first_run.txt` holds the whole transcript of a short run, `recorded/digests.txt` one digest for each of
//! many longer runs. A change that is meant to keep behaviour keeps both. One that changes what is written, or
//! when, records them anew (`LADDERPASS_RECORD=1 cargo test -p ladderpass --test recorded_bytes`), and its commit says
//! what differs and why. Recorded on x86-64 Linux: elsewhere logarithms may differ in their last bit, and so may
//! a random choice.

mod common;

use common::*;
use ladderpass::reducer::{ConnectionId, Effect, Event, Reducer};
use ladderpass_config::operator;
use ladderpass_overload::ResourceSample;
use ladderpass_routing::{Span, Time};
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;

const START: Time = Time::from_nanos(1_796_000_000_000_000_000);
const ROUTERS: usize = 2;
const MEMBERS: usize = 3;
const DISCOVERY_PORT: u16 = 8500;
const SEEDS: u64 = 48;
const FIRST_RUN: Span = Span::from_millis(1500);
const LONG_RUN: Span = Span::from_millis(8000);
/// SIGTERM reaches the first router this long before the end of a run.
const SHUTDOWN: Span = Span::from_millis(900);
/// The end of an answer: the client may send its next statement.
const READY: &[u8] = b"Z\0\0\0\x05I";
const HTTP_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// What is at the other end of a connection.
#[derive(Clone, Debug)]
enum Remote {
    Client { number: u32, received: Vec<u8> },
    Member { number: usize, started: bool, received: Vec<u8> },
    Discovery { received: Vec<u8> },
}

/// Something that is going to happen at a router.
enum Scheduled {
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

struct Router {
    reducer: Reducer,
    remotes: BTreeMap<ConnectionId, Remote>,
    exited: bool,
}

struct Simulation {
    routers: Vec<Router>,
    now: Time,
    random: WyRand,
    scheduled: BTreeMap<(Time, u64), (usize, Scheduled)>,
    events: u64,
    clients: u32,
    rpcs: u32,
    generation: u64,
    transcript: String,
}

fn router_port(router: usize) -> u16 {
    7400 + router as u16
}

fn launch(router: usize, seed: u64) -> ladderpass::launch::Launch {
    let members: Vec<String> = (0..MEMBERS).map(|n| format!("127.0.0.1:{}", 7000 + n)).collect();
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
    fn new(seed: u64) -> Simulation {
        let routers = (0..ROUTERS).map(|router| Router {
            reducer: Reducer::start(START, launch(router, seed)),
            remotes: BTreeMap::new(),
            exited: false,
        });
        let mut simulation = Simulation {
            routers: routers.collect(),
            now: START,
            random: WyRand::new_seed(seed),
            scheduled: BTreeMap::new(),
            events: 0,
            clients: 0,
            rpcs: 0,
            generation: 1,
            transcript: String::new(),
        };
        for router in 0..ROUTERS {
            simulation.schedule(router, Span::from_millis(20), Scheduled::ClientArrives);
            simulation.schedule(router, Span::from_millis(50), Scheduled::Sample);
        }
        simulation
    }

    fn below(&mut self, most: u32) -> u32 {
        self.random.generate_range(0..most)
    }

    fn schedule(&mut self, router: usize, after: Span, event: Scheduled) {
        self.events += 1;
        self.scheduled.insert((self.now + after, self.events), (router, event));
    }

    fn schedule_within(&mut self, router: usize, millis: u32, event: Scheduled) {
        let after = Span::from_nanos(i64::from(self.below(millis * 1000) + 1) * 1000);
        self.schedule(router, after, event);
    }

    fn record(&mut self, router: usize, what: &str) {
        let micros = (self.now - START).nanos() / 1000;
        let _ = writeln!(self.transcript, "{micros:>8} router {router} {what}");
    }

    fn name(&self, router: usize, id: ConnectionId) -> String {
        match self.routers[router].remotes.get(&id) {
            Some(Remote::Client { number, .. }) => format!("client {number}"),
            Some(Remote::Member { number, .. }) => format!("member {number} ({})", id.0),
            Some(Remote::Discovery { .. }) => format!("discovery ({})", id.0),
            None => format!("connection {}", id.0),
        }
    }

    fn run(&mut self, length: Span) {
        let end = START + length;
        self.schedule(0, length - SHUTDOWN, Scheduled::Terminate);
        loop {
            let wakes = self.routers.iter().filter(|router| !router.exited);
            let wake = wakes.filter_map(|router| router.reducer.wake_at()).min();
            let next = self.scheduled.first_key_value().map(|(&(at, _), _)| at);
            let Some(at) = wake.into_iter().chain(next).min().filter(|&at| at <= end) else { return };
            // A wake-up that is due already still takes the time of one iteration of the event loop.
            self.now = at.max(self.now + Span::from_nanos(20_000));
            while let Some(entry) = self.scheduled.first_entry()
                && entry.key().0 <= self.now
            {
                let (router, event) = entry.remove();
                if !self.routers[router].exited {
                    self.happens(router, event);
                }
            }
            for router in 0..ROUTERS {
                if !self.routers[router].exited {
                    self.handle(router, Event::Tick);
                }
            }
        }
    }

    fn handle(&mut self, router: usize, event: Event) {
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
                let name = self.name(router, id);
                self.record(router, &format!("closes {name}"));
                self.routers[router].remotes.remove(&id);
            }
            Effect::CloseIfQuiet(id) => self.handle(router, Event::ReadToEnd(id)),
            Effect::Accept(accepts) => self.record(router, &format!("accepts clients: {accepts}")),
            Effect::SendDatagrams => {
                for (to, bytes) in self.routers[router].reducer.take_datagrams() {
                    self.record(router, &format!("to {to}: {}", bytes.escape_ascii()));
                    let peer = usize::from(to.port() - router_port(0));
                    if self.below(20) > 0 {
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

    fn connect(&mut self, router: usize, id: ConnectionId, port: u16) {
        let remote = match port {
            DISCOVERY_PORT => Remote::Discovery { received: Vec::new() },
            _ => Remote::Member { number: usize::from(port - 7000), started: false, received: Vec::new() },
        };
        self.routers[router].remotes.insert(id, remote);
        let name = self.name(router, id);
        self.record(router, &format!("connects to {name}"));
        match self.below(40) {
            0 => self.schedule_within(router, 5, Scheduled::ConnectDenied(id)),
            1 => self.schedule_within(router, 5, Scheduled::Closed(id)),
            // Late, or never within the router's limit.
            2 => self.schedule_within(router, 600, Scheduled::Connected(id)),
            _ => self.schedule_within(router, 3, Scheduled::Connected(id)),
        }
    }

    fn write(&mut self, router: usize, id: ConnectionId) {
        let connected = self.routers[router].remotes.contains_key(&id);
        let bytes = self.routers[router].reducer.outgoing(id).to_vec();
        if bytes.is_empty() || !connected {
            return;
        }
        // Now and then a socket takes a part, or nothing for a while.
        let count = match self.below(60) {
            0 => return self.handle(router, Event::WriteBlocked(id)),
            1 => bytes.len().div_ceil(2),
            _ => bytes.len(),
        };
        let name = self.name(router, id);
        let mut shown = bytes[..count].to_vec();
        if name.starts_with("client") {
            mask_cancel_key(&mut shown);
        }
        self.record(router, &format!("to {name}: {}", shown.escape_ascii()));
        self.received(router, id, &bytes[..count]);
        self.handle(router, Event::Written(id, count));
        if count < bytes.len() {
            self.write(router, id);
        }
    }

    /// Bytes have reached the other end.
    fn received(&mut self, router: usize, id: ConnectionId, bytes: &[u8]) {
        match self.routers[router].remotes.get_mut(&id) {
            Some(Remote::Client { received, .. }) => {
                received.extend_from_slice(bytes);
                let idle = received.ends_with(READY);
                if idle {
                    self.schedule_within(router, 40, Scheduled::ClientSends(id));
                }
            }
            Some(Remote::Member { received, .. }) => {
                received.extend_from_slice(bytes);
                self.member_reads(router, id);
            }
            Some(Remote::Discovery { received }) => {
                received.extend_from_slice(bytes);
                if received.ends_with(b"\r\n\r\n") {
                    received.clear();
                    self.discovery_answers(router, id, true);
                }
            }
            None => {}
        }
    }

    fn member_reads(&mut self, router: usize, id: ConnectionId) {
        let Some(Remote::Member { number, started, received }) = self.routers[router].remotes.get_mut(&id)
        else {
            return;
        };
        let number = *number;
        if !*started {
            let length = received.first_chunk().map_or(usize::MAX, |head| u32::from_be_bytes(*head) as usize);
            if received.len() < length {
                return;
            }
            received.drain(..length);
            *started = true;
            self.schedule_within(router, 2, Scheduled::Bytes(id, welcome()));
            return;
        }
        let (queries, used) = frames(received);
        received.drain(..used);
        for (_, body) in queries {
            let text = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
            self.member_answers(router, id, number, &text);
        }
    }

    fn member_answers(&mut self, router: usize, id: ConnectionId, number: usize, query: &str) {
        if query.is_empty() {
            // Answered in order: behind the answer before it, which takes at most 30 ms.
            return self.schedule(
                router,
                Span::from_millis(31),
                Scheduled::Bytes(id, empty_query_response()),
            );
        }
        let now_ms = self.now.nanos() as u64 / 1_000_000;
        let lag_ms = if number == 0 { 0 } else { u64::from(self.below(1200)) };
        let role = if number == 0 { "leader" } else { "follower" };
        let position = now_ms - lag_ms;
        let answer = if query == "SHOW server_load" {
            let report =
                format!("x0={}.{:03},x1={}", position / 1000, position % 1000, u8::from(number == 0));
            row(report.as_bytes(), role, position)
        } else {
            match self.below(30) {
                0 => error_response("53300"),
                1 => error_response("25006"),
                2 => error_response("72000"),
                3 => error_response("XX000"),
                4 => return self.schedule_within(router, 20, Scheduled::Closed(id)),
                5 => return,
                6 => frame(b'D', b"\0\x02"),
                _ => row(id_and_rest(query).0.as_bytes(), role, position),
            }
        };
        self.schedule_within(router, 30, Scheduled::Bytes(id, answer));
    }

    /// The watch's next answer; `first`: its head comes before that.
    fn discovery_answers(&mut self, router: usize, id: ConnectionId, first: bool) {
        self.generation += 1;
        let lifecycle = ["SERVING", "SERVING", "DRAINING", "DELETED"][self.below(4) as usize];
        let number = self.below(MEMBERS as u32) as usize;
        let changed = instance(number, &format!("127.0.0.1:{}", 7000 + number), lifecycle);
        let all: Vec<String> =
            (0..MEMBERS).map(|n| instance(n, &format!("127.0.0.1:{}", 7000 + n), "SERVING")).collect();
        let entries = if first { all.join(",") } else { changed };
        let line =
            format!("{{\"generation\":{},\"reset\":{first},\"instances\":[{entries}]}}\n", self.generation);
        let chunk = format!("{:x}\r\n{line}\r\n", line.len()).into_bytes();
        let bytes = if first { [HTTP_HEAD, &chunk].concat() } else { chunk };
        self.schedule_within(router, 30, Scheduled::Bytes(id, bytes));
    }

    fn happens(&mut self, router: usize, event: Scheduled) {
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
                    match self.below(8) {
                        0 => self.schedule_within(router, 900, Scheduled::Closed(id)),
                        1 => {}
                        2 => self.schedule_within(router, 700, Scheduled::Bytes(id, b"1\r\n\n\r\n".to_vec())),
                        _ => self.discovery_answers_later(router, id),
                    }
                }
            }
            Scheduled::Datagram(from, bytes) => {
                let from = ([127, 0, 0, 1], router_port(from)).into();
                self.handle(router, Event::DatagramReceived(from, bytes));
            }
            Scheduled::ClientArrives => self.client_arrives(router),
            Scheduled::ClientSends(id) => self.client_sends(router, id),
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

    fn discovery_answers_later(&mut self, router: usize, id: ConnectionId) {
        if self.routers[router].remotes.contains_key(&id) {
            let line = b"1\r\n\n\r\n".to_vec();
            self.schedule_within(router, 300, Scheduled::Bytes(id, line));
            if self.below(3) == 0 {
                self.discovery_answers(router, id, false);
            }
        }
    }

    fn accept(&mut self, router: usize) -> ConnectionId {
        let id = self.routers[router].reducer.next_id();
        self.clients += 1;
        let remote = Remote::Client { number: self.clients, received: Vec::new() };
        self.routers[router].remotes.insert(id, remote);
        self.handle(router, Event::Accepted(id));
        id
    }

    fn client_arrives(&mut self, router: usize) {
        self.schedule_within(router, 60, Scheduled::ClientArrives);
        if !self.routers[router].reducer.accepts_clients() {
            return;
        }
        let id = self.accept(router);
        self.feed(router, id, &startup());
    }

    fn client_sends(&mut self, router: usize, id: ConnectionId) {
        if !matches!(self.routers[router].remotes.get(&id), Some(Remote::Client { .. })) {
            return;
        }
        self.rpcs += 1;
        let rpc = format!("{:x}", 256 + self.rpcs);
        let method = if self.below(3) == 0 { "write" } else { "read" };
        let deadline_ms = u64::from(20 + self.below(700));
        let text = statement(&rpc, method, deadline_ms, "1");
        let bytes = match self.below(40) {
            0 => return self.schedule_within(router, 1, Scheduled::Closed(id)),
            1 => query("SELECT 1"),
            2 => query(&statement(&rpc, "unknown", deadline_ms, "1")),
            3 => query(&statement(&rpc, method, deadline_ms, "77")),
            4 => query(&text.replace("cluster=1", "cluster=1,retry=1")),
            5 => frame(b'P', b"\0\0\0\0"),
            6 => [query(&text), query(&statement(&format!("{rpc}f"), "read", deadline_ms, "1"))].concat(),
            _ => query(&text),
        };
        match self.below(60) {
            0 => self.schedule_within(router, 20, Scheduled::Closed(id)),
            1 => {
                if let Some(Remote::Client { received, .. }) = self.routers[router].remotes.get(&id) {
                    let (process, secret) = cancel_key(&frames(received).0);
                    self.schedule_within(router, 20, Scheduled::ClientCancels(process, secret));
                }
            }
            _ => {}
        }
        self.feed(router, id, &bytes);
    }

    fn sample(&mut self, router: usize) {
        self.schedule(router, Span::from_millis(50), Scheduled::Sample);
        // For a while each second the process looks short of memory.
        let millis = (self.now - START).nanos() / 1_000_000 % 1000;
        let resident_bytes = if (500..800).contains(&millis) { 185 << 20 } else { 40 << 20 };
        let sample =
            ResourceSample { wall: Span::from_millis(50), resident_bytes, ..ResourceSample::default() };
        self.handle(router, Event::ResourcesSampled(sample));
        let busy = Span::from_nanos(i64::from(self.below(3000)) * 1000);
        let ready_sockets = self.below(20) as usize;
        self.handle(router, Event::IterationWorked(busy, ready_sockets));
    }

    /// Bytes come in, as far as there is room for them; what has no room is lost with this simulation.
    fn feed(&mut self, router: usize, id: ConnectionId, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.routers[router].remotes.contains_key(&id) {
            let pieces = 1 + self.below(4) as usize;
            let most = bytes.len().div_ceil(pieces);
            let buffer = self.routers[router].reducer.read_buffer(id);
            let count = buffer.len().min(most);
            if count == 0 {
                return;
            }
            let (now, later) = bytes.split_at(count);
            buffer[..count].copy_from_slice(now);
            bytes = later;
            self.handle(router, Event::Received(id, count, Span::ZERO));
        }
    }
}

/// The secret by which a client may cancel is drawn anew for each process.
fn mask_cancel_key(bytes: &mut [u8]) {
    let head = b"K\0\0\0\x0c";
    if let Some(at) = bytes.windows(head.len()).position(|window| window == head) {
        let end = bytes.len().min(at + 13);
        bytes[at + 9..end].fill(b'*');
    }
}

fn transcript(seed: u64, length: Span) -> String {
    let mut simulation = Simulation::new(seed);
    simulation.run(length);
    simulation.transcript
}

/// FNV-1a.
fn digest(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

fn matches_recording(name: &str, text: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/recorded").join(name);
    if std::env::var_os("LADDERPASS_RECORD").is_some() {
        return std::fs::write(&path, text).expect("writes");
    }
    let recorded = std::fs::read_to_string(&path).expect("the recording is there");
    let differs = text.lines().zip(recorded.lines()).position(|(now, before)| now != before);
    let line = differs.unwrap_or_else(|| text.lines().count().min(recorded.lines().count()));
    let (now, before) = (text.lines().nth(line), recorded.lines().nth(line));
    assert!(text == recorded, "{name}, line {}:\nnow    {now:?}\nbefore {before:?}", line + 1);
}

#[test]
fn a_short_run_writes_what_was_recorded() {
    matches_recording("first_run.txt", &transcript(1, FIRST_RUN));
}

#[test]
fn many_runs_write_what_was_recorded() {
    let digests: Vec<String> = (2..2 + SEEDS)
        .map(|seed| {
            let text = transcript(seed, LONG_RUN);
            format!("{seed} {} lines {:016x}\n", text.lines().count(), digest(&text))
        })
        .collect();
    matches_recording("digests.txt", &digests.concat());
}

/// A run that is played twice is the same, and holds what the recordings are for.
#[test]
fn a_run_is_repeatable_and_meets_each_kind_of_message() {
    let first = transcript(1, FIRST_RUN);
    assert_eq!(first, transcript(1, FIRST_RUN));
    for wanted in [
        "user\\x00ladderpass\\x00",
        "GET /",
        "SHOW server_load",
        "SELECT payload",
        "INSERT INTO",
        "C53300\\x00",
        "C58000\\x00",
        "C42601\\x00",
        "is told to end",
        "exits",
        "to 127.0.0.1:7401: !",
    ] {
        assert!(first.contains(wanted), "{wanted}");
    }
}
