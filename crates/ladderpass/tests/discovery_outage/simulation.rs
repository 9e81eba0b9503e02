//! The reducer and a discovery service that can be unreachable, on a simulated clock.

use crate::common::{SIMULATION_START, WATCH_HEAD, chunk, instance, simulated_members};
use crate::scenario::Ending::{
    ConnectHangs, EndlessEmptyLines, EndlessList, ErrorStatus, HeadThenClose, HeadThenSilence, InvalidLine,
    NoAnswer, NoDescriptor, NotChunked, OlderList, Random, Refused, Reset, UnfinishedList,
};
use crate::scenario::{ENDINGS, Ending, Mode, NEW_PORT, OLD_PORT, outage_launch};
use ladderpass::reducer::{ConnectionId, Effect, Event, Reducer};
use ladderpass_routing::{Span, Time};
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;

/// The longest time until a reachable discovery answers a watch, in milliseconds. Discovery answers or rejects each
/// watch within 2 s.
const MAX_ANSWER_MS: u64 = 1950;
/// The longest time until a reachable discovery answers a watch, in milliseconds, where watches end with an older
/// list that is accepted and followed by silence (`Ending::OlderList`). With the 1950 ms of `MAX_ANSWER_MS` the worst
/// of 60 seeds takes 6.1 s until the router has read the change, and 6 s are allowed.
const MAX_ANSWER_OF_OLDER_LIST_MS: u64 = 1400;

/// The response with which discovery turns a poll away.
const ERROR_STATUS: &[u8] = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

/// How discovery turns a poll away.
#[derive(Clone, Copy, Debug)]
pub enum TurnedAway {
    /// Discovery's response has the status 503.
    ErrorStatus,
    /// Discovery closes the connection without a response.
    Reset,
}

/// What discovery does on the connection of a watch.
#[derive(Clone, Debug)]
enum DiscoveryEvent {
    /// Discovery accepts the connection.
    Connected,
    Bytes(Vec<u8>),
    /// Discovery sends the endpoint list that it has.
    AnswerWithList,
    /// Discovery sends the same bytes again and again at this interval.
    Repeat(Vec<u8>, Span),
    /// Discovery refuses or closes the connection.
    Closed,
    /// The router has no descriptor for the connection.
    NoDescriptor,
}

/// The reducer, and the discovery service that it watches.
pub struct Simulation {
    reducer: Reducer,
    pub now: Time,
    random: WyRand,
    pub ending: Ending,
    pub max_answer_ms: u64,
    /// The generation of the endpoint list that discovery has after its return from the outage.
    pub generation_after_return: u64,
    /// Whether discovery sends its complete list to every watch, also to a watch that asks for changes.
    pub sends_whole_list: bool,
    /// The generation from which the last watch asked for changes.
    requested_from: u64,
    /// The port of discovery that is unreachable, and the times at which the port becomes unreachable and reachable
    /// again.
    pub unreachable: (u16, Time, Time),
    /// The open watches, each with the port of discovery.
    watches: BTreeMap<ConnectionId, u16>,
    events: BTreeMap<(Time, u64), (ConnectionId, DiscoveryEvent)>,
    last_event_number: u64,
    /// When each watch was opened, and the port of discovery that the watch connects to.
    pub opened: Vec<(Time, u16)>,
    /// When the router had read the change that discovery has after its return, or None if the router has not read it
    /// yet.
    pub read_at: Option<Time>,
    /// Whether discovery can be reached, but leaves each poll unanswered until the test answers it.
    pub holds_polls: bool,
    /// The polls that discovery leaves unanswered, in the order in which they were made.
    pub held_polls: Vec<ConnectionId>,
}

/// A span in milliseconds.
pub fn ms(ms: i64) -> Span {
    Span::from_millis(ms)
}

/// A chunk of discovery's response with an endpoint list of `count` members. The change that discovery has after its
/// return is a fourth member.
fn list(generation: u64, count: usize, whole: bool) -> Vec<u8> {
    let members = simulated_members(count);
    let entries: Vec<String> = (0..count).map(|n| instance(n, &members[n], "SERVING")).collect();
    let entries = entries.join(",");
    chunk(format!("{{\"generation\":{generation},\"reset\":{whole},\"instances\":[{entries}]}}\n").as_bytes())
}

/// The event in which discovery sends the response head and this chunk.
fn answer_with(chunk: &[u8]) -> DiscoveryEvent {
    DiscoveryEvent::Bytes([WATCH_HEAD, chunk].concat())
}

impl Simulation {
    /// Creates a simulation of a router whose discovery is at the old port. `unreachable` is the port that cannot be
    /// reached, and the times at which it becomes unreachable and reachable again.
    pub fn new(mode: Mode, seed: u64, ending: Ending, unreachable: (u16, Time, Time)) -> Simulation {
        Simulation {
            reducer: Reducer::start(SIMULATION_START, outage_launch(mode, seed, OLD_PORT)),
            now: SIMULATION_START,
            random: WyRand::new_seed(seed),
            ending,
            max_answer_ms: if ending == Ending::OlderList {
                MAX_ANSWER_OF_OLDER_LIST_MS
            } else {
                MAX_ANSWER_MS
            },
            generation_after_return: 9,
            sends_whole_list: true,
            requested_from: 0,
            unreachable,
            watches: BTreeMap::new(),
            events: BTreeMap::new(),
            last_event_number: 0,
            opened: Vec::new(),
            read_at: None,
            holds_polls: false,
            held_polls: Vec::new(),
        }
    }

    /// Whether discovery cannot be reached at this port now.
    fn is_unreachable(&self, port: u16) -> bool {
        self.unreachable.0 == port && (self.unreachable.1..self.unreachable.2).contains(&self.now)
    }

    /// Schedules an event on a watch after the time `span`.
    fn schedule(&mut self, span: Span, id: ConnectionId, event: DiscoveryEvent) {
        self.last_event_number += 1;
        self.events.insert((self.now + span, self.last_event_number), (id, event));
    }

    fn apply(&mut self, event: Event) {
        for effect in self.reducer.handle(self.now, event) {
            match effect {
                Effect::Connect(id, address) => self.on_connect(id, address.port()),
                Effect::Close(id) => _ = self.watches.remove(&id),
                Effect::Write(id) => {
                    let text = String::from_utf8_lossy(self.reducer.outgoing(id)).into_owned();
                    let from = text.split_once("from=").and_then(|(_, rest)| rest.split(' ').next());
                    self.requested_from =
                        from.and_then(|from| from.parse().ok()).unwrap_or(self.requested_from);
                    let count = text.len();
                    if count > 0 {
                        self.apply(Event::Written(id, count));
                    }
                }
                _ => {}
            }
        }
    }

    /// Handles that the router opens a watch: schedules how discovery answers the watch, or how the watch ends.
    fn on_connect(&mut self, id: ConnectionId, port: u16) {
        self.opened.push((self.now, port));
        self.watches.insert(id, port);
        let short_delay = ms(self.random.generate_range(0..40));
        if !self.is_unreachable(port) {
            self.schedule(short_delay, id, DiscoveryEvent::Connected);
            if self.holds_polls {
                return self.held_polls.push(id);
            }
            let within = ms(self.random.generate_range(40..self.max_answer_ms) as i64);
            self.schedule(within, id, DiscoveryEvent::AnswerWithList);
            return self.schedule(within, id, DiscoveryEvent::Repeat(chunk(b"\n"), ms(2000)));
        }
        let ending = match self.ending {
            Random => ENDINGS[self.random.generate_range(0..ENDINGS.len() - 1)],
            ending => ending,
        };
        let long_delay = short_delay + ms(self.random.generate_range(0..1400));
        if !matches!(ending, ConnectHangs | Refused | NoDescriptor) {
            self.schedule(short_delay, id, DiscoveryEvent::Connected);
        }
        let bytes = |bytes: &[u8]| DiscoveryEvent::Bytes(bytes.to_vec());
        match ending {
            ConnectHangs | NoAnswer | Random => {}
            Refused => self.schedule(short_delay, id, DiscoveryEvent::Closed),
            NoDescriptor => self.schedule(Span::ZERO, id, DiscoveryEvent::NoDescriptor),
            Reset => self.schedule(long_delay, id, DiscoveryEvent::Closed),
            ErrorStatus => self.schedule(long_delay, id, bytes(ERROR_STATUS)),
            NotChunked => {
                self.schedule(long_delay, id, bytes(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"))
            }
            InvalidLine => self.schedule(long_delay, id, answer_with(&chunk(b"{\"generation\":}\n"))),
            HeadThenClose => {
                self.schedule(short_delay, id, bytes(WATCH_HEAD));
                self.schedule(long_delay, id, DiscoveryEvent::Closed);
            }
            HeadThenSilence => self.schedule(long_delay, id, bytes(WATCH_HEAD)),
            EndlessEmptyLines => {
                self.schedule(short_delay, id, bytes(WATCH_HEAD));
                self.schedule(long_delay, id, DiscoveryEvent::Repeat(chunk(b"\n"), ms(700)));
            }
            UnfinishedList => self.schedule(long_delay, id, answer_with(&chunk(b"{\"generation\":9,\n"))),
            EndlessList => {
                self.schedule(short_delay, id, answer_with(&chunk(b"{\"generation\":9,\n")));
                self.schedule(long_delay, id, DiscoveryEvent::Repeat(chunk(b"\n"), ms(300)));
            }
            OlderList => self.schedule(long_delay, id, answer_with(&list(0, 3, true))),
        }
    }

    /// Carries out an event on a watch if the watch is still open.
    fn perform(&mut self, id: ConnectionId, event: DiscoveryEvent) {
        // Events that were scheduled on a watch are dropped once the watch is closed, even after discovery can be
        // reached again.
        let Some(&port) = self.watches.get(&id) else { return };
        match event {
            DiscoveryEvent::Connected => self.apply(Event::Connected(id)),
            DiscoveryEvent::Bytes(bytes) => {
                let buffer = self.reducer.read_buffer(id);
                buffer[..bytes.len()].copy_from_slice(&bytes);
                self.apply(Event::Received(id, bytes.len(), Span::ZERO));
            }
            DiscoveryEvent::AnswerWithList => {
                let (generation, count) = match port == self.unreachable.0 && self.now >= self.unreachable.2 {
                    true => (self.generation_after_return, 4),
                    false => (5, 3),
                };
                let whole = self.sends_whole_list || self.requested_from == 0;
                self.perform(id, answer_with(&list(generation, count, whole)));
            }
            DiscoveryEvent::Repeat(bytes, interval) => {
                self.perform(id, DiscoveryEvent::Bytes(bytes.clone()));
                self.schedule(interval, id, DiscoveryEvent::Repeat(bytes, interval));
            }
            DiscoveryEvent::Closed => {
                self.watches.remove(&id);
                self.apply(Event::Closed(id));
            }
            DiscoveryEvent::NoDescriptor => {
                self.watches.remove(&id);
                self.apply(Event::ConnectDenied(id));
            }
        }
    }

    /// Whether a poll that discovery has not answered is still open at the router.
    pub fn is_open(&self, id: ConnectionId) -> bool {
        self.watches.contains_key(&id)
    }

    /// Discovery answers a poll with the endpoint list that it has, and sends empty lines from then on.
    pub fn answer_poll(&mut self, id: ConnectionId) {
        self.schedule(Span::ZERO, id, DiscoveryEvent::AnswerWithList);
        self.schedule(Span::ZERO, id, DiscoveryEvent::Repeat(chunk(b"\n"), ms(2000)));
    }

    /// Discovery turns a poll away.
    pub fn turn_away(&mut self, id: ConnectionId, how: TurnedAway) {
        let event = match how {
            TurnedAway::ErrorStatus => DiscoveryEvent::Bytes(ERROR_STATUS.to_vec()),
            TurnedAway::Reset => DiscoveryEvent::Closed,
        };
        self.schedule(Span::ZERO, id, event);
    }

    /// Runs the simulation until the time `until`.
    pub fn run_until(&mut self, until: Time) {
        loop {
            self.apply(Event::Tick);
            if self.read_at.is_none() && self.reducer.member_count() > 3 {
                self.read_at = Some(self.now);
            }
            let event = self.events.first_key_value().map(|(&(at, _), _)| at);
            let next = [event, self.reducer.wake_at()].into_iter().flatten().min().unwrap_or(until);
            let next = next.max(self.now + if event == Some(next) { Span::ZERO } else { ms(1) });
            if next > until {
                self.now = until;
                return;
            }
            self.now = next;
            while let Some(((at, last_event_number), _)) =
                self.events.first_key_value().map(|(key, _)| (*key, ()))
                && at <= self.now
            {
                let (id, event) =
                    self.events.remove(&(at, last_event_number)).expect("the event is scheduled");
                self.perform(id, event);
            }
        }
    }

    /// Drops all scheduled events, so that discovery sends nothing more on open watches.
    fn silence_watches(&mut self) {
        self.events.clear();
    }

    /// Closes the open watches at this port of discovery.
    pub fn close_watches(&mut self, port: u16) {
        let open = self.watches.iter().filter(|(_, to)| **to == port).map(|(&id, _)| id);
        open.collect::<Vec<_>>().into_iter().for_each(|id| self.perform(id, DiscoveryEvent::Closed));
    }

    /// Closes the open watches at the old port or, if `silently` is set, only stops sending on all watches.
    pub fn take_discovery_down(&mut self, silently: bool) {
        if silently { self.silence_watches() } else { self.close_watches(OLD_PORT) }
    }

    /// Simulates SIGHUP with a configuration that has discovery at the new port.
    pub fn reload_with_new_address(&mut self, mode: Mode, seed: u64) {
        self.apply(Event::ConfigurationReloaded(Box::new(outage_launch(mode, seed, NEW_PORT))));
    }
}
