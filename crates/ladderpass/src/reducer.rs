//! All state of the router on sockets, and every change of it: the core's `Router`, RPCs, client connections,
//! pools of connections by member, the watch of the list, and stopping.
//!
//! `apply(now, Event)` changes the state and returns the effects that it asks for. State with invariants of its own
//! stands in the files behind it, and is changed nowhere else. It must never make a syscall, read a clock or hold a
//! socket; and it must never decide where or when an RPC goes: the core does.

use crate::buffer::Buffer;
use crate::discovery::{self, Listing, WatchReader};
use crate::faulty::Faulty;
use crate::launch::{Fixed, Launch};
use crate::limits::Limits;
use crate::pg;
use ladderpass_config::names::{NameIndex, group_index};
use ladderpass_config::{IN_FLIGHT_COLUMN, POSITION_COLUMN, PRIMARY_COLUMN, gossip::GossipCodec};
use ladderpass_overload::{ClientUsage, ResourceSample};
use ladderpass_routing::reference_clock::ReferenceClock;
use ladderpass_routing::{
    Arrival, AttemptOutcome, AttemptResult, Consistency, Decision, Endpoint, EndpointState, EndpointUpdate,
    LoadReport, MemberId, Method, Role, Router, RpcId, Span, Time,
};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

#[path = "reducer/calls.rs"]
mod calls;
#[path = "reducer/clients.rs"]
mod clients;
#[path = "reducer/members.rs"]
mod members;
#[path = "reducer/own.rs"]
mod own;
#[path = "reducer/peers.rs"]
mod peers;
#[path = "reducer/tally.rs"]
mod tally;
#[path = "reducer/watch.rs"]
mod watch;

use calls::{Call, after};
use clients::{Client, Ids, Keys, Phase, Waiting};
use members::{Answer, Job, Link, Member};
use own::Own;
use peers::Peers;
use tally::{Tally, count};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

#[derive(Debug)]
pub enum Event {
    /// A client's connection, by an id from `next_id`.
    Accepted(ConnectionId),
    /// A connection that was asked for is up.
    Connected(ConnectionId),
    /// So many bytes were read into what `room` gave; the last of them had waited so long to be read.
    Received(ConnectionId, usize, Span),
    /// There is more at its socket than one go reads; and, once that or a full ring was so, it was read to its end.
    MoreToRead(ConnectionId),
    Drained(ConnectionId),
    /// It was read once more for `CloseIfQuiet`; what it held was told before.
    ReadToEnd(ConnectionId),
    /// So many bytes of `outgoing` were written.
    Written(ConnectionId, usize),
    /// It was ended by the other side, or never came up.
    Closed(ConnectionId),
    /// There was no descriptor, or no memory, for one that was asked for.
    ConnectDenied(ConnectionId),
    /// The socket takes no more of `outgoing` for now.
    WriteBlocked(ConnectionId),
    /// A look at the process, and what a turn of the loop took with so many sockets still to be looked at.
    ResourcesSampled(ResourceSample),
    IterationWorked(Span, usize),
    /// The listener took all that waited, and is closed.
    ListenerClosed,
    /// The process did not run for so long: what is read in this batch may have waited since.
    Stalled(Span),
    /// A datagram to this router from there.
    DatagramReceived(SocketAddr, Vec<u8>),
    /// What the router is told was read anew.
    ConfigurationReloaded(Box<Launch>),
    Terminate,
    /// The batch of events is over, or the time that `wake` named has come.
    Tick,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Connect(ConnectionId, SocketAddr),
    /// There are bytes in `outgoing`.
    Write(ConnectionId),
    /// There is room again.
    Read(ConnectionId),
    Close(ConnectionId),
    /// Read it to its end, say `Quiet`, and close it at once where that asks for it.
    CloseIfQuiet(ConnectionId),
    Accept(bool),
    /// There is something in `datagrams` for other routers.
    SendDatagrams,
    /// Take what waits at the listener, close it, and say `Deaf`.
    StopListening,
    Exit,
}

/// A connection, whoever is on its other side.
struct Conn {
    input: Buffer,
    output: Buffer,
    deadline: Option<Time>,
    /// When it is looked at for that: no later than its deadline. One that moves back is looked at in vain once, which
    /// costs less than keeping the order at each step of an RPC.
    looked_at: Option<Time>,
    /// Reading stopped for want of room.
    paused: bool,
    /// It had stopped before what is read next.
    waited_for_room: bool,
    /// Not all that its socket holds was read: its end may stand there unseen.
    unread: bool,
    /// Closes once all is written.
    closing: bool,
    /// How often there was no descriptor for it.
    denials: u8,
    /// Memory of its rings, as last counted.
    held: usize,
    peer: Peer,
}

enum Peer {
    Client(Client),
    Member(Link),
    Discovery(WatchReader),
}

/// What the figures tell since they were told last.
#[derive(Default)]
struct Figured {
    taken: u32,
    shed: u32,
}

const USER: &str = "ladderpass";
const DATABASE: &str = "orders";
const LOAD: &str = "SHOW server_load";

pub struct Reducer {
    router: Router,
    /// How far its clock differs from the members'.
    reference_clock: ReferenceClock,
    limits: Limits,
    methods: HashMap<String, u32, foldhash::fast::RandomState>,
    /// By method: must its data be as new at the send as it was decided (a bound on its age, or what its session
    /// wrote), and does it write?
    bounded: Vec<bool>,
    writes: Vec<bool>,
    /// By method: may it be repeated within a window alone?
    tokened: Vec<bool>,
    /// Names of the values in a load report.
    columns: Vec<String>,
    ids: Ids,
    keys: Keys,
    session_methods: bool,
    carried: bool,
    discovery: SocketAddr,
    /// Its own ids, and the core's handles: nobody can choose them so that they collide.
    conns: FxHashMap<ConnectionId, Conn>,
    last_id: u64,
    /// When connections are looked at for their deadlines.
    looks: BTreeSet<(Time, ConnectionId)>,
    calls: FxHashMap<RpcId, Call>,
    members: Vec<Member>,
    names: NameIndex,
    kinds: NameIndex,
    /// Zones of the list, where they are used; its own has the index zero.
    zones: NameIndex,
    zoned: bool,
    /// Weights of the list are sizes.
    sizes: bool,
    circle: GossipCodec,
    /// None: there is nobody to talk to.
    peers: Option<Box<Peers>>,
    groups: HashMap<u64, u32>,
    generation: u64,
    /// Since when a watch that had answered is silent, until another says something.
    silent_since: Option<Time>,
    /// When the list here, or a later one, was told last; and whether what discovery told after that is older.
    told_at: Time,
    older: bool,
    watch: Option<ConnectionId>,
    /// When it was asked for.
    asked_at: Time,
    /// A call without an answer so far, beside which the next has been made, or is about to be.
    late_watch: Option<ConnectionId>,
    /// The watch of the address that discovery had before: it serves until the new one has answered.
    old_watch: Option<ConnectionId>,
    /// Discovery has another address, which has not answered yet.
    moved_watch: bool,
    fixed: Fixed,
    clients: usize,
    links: usize,
    /// Clients that are waited for: by `Waiting`, the longest first.
    waiting: [BTreeSet<(Time, ConnectionId)>; 3],
    /// Clients that are to go, unless something of theirs is still found at the socket.
    parting: Vec<(ConnectionId, Option<(Waiting, Time)>)>,
    accepting: bool,
    /// Connections that were denied, for which a client makes place; the watch, if nothing could.
    denied: Vec<ConnectionId>,
    denied_watch: Option<ConnectionId>,
    /// Memory of all rings.
    rings: usize,
    /// Connections that could not read for want of memory.
    starved: BTreeSet<ConnectionId>,
    /// Clients with something to be looked at.
    ready: VecDeque<ConnectionId>,
    stopping: Option<Time>,
    deaf: bool,
    /// How long what is read now may have waited.
    behind: Span,
    core_wake: Option<Time>,
    /// Clients with more to be looked at than one look allows, or behind what was just answered: the next turn's.
    again: Vec<ConnectionId>,
    /// Bytes in the rings of clients that were not looked at, or whose RPC is under way.
    unlooked: usize,
    /// None: the router does not watch itself.
    own: Option<Box<Own>>,
    figured: Figured,
    faulty: Faulty,
    /// Where answers of the router's own are put together.
    scratch: Vec<u8>,
    effects: Vec<Effect>,
    tally: Tally,
}

impl Reducer {
    pub fn start(now: Time, launch: Launch) -> Reducer {
        let peers = Peers::new(now, &launch).map(Box::new);
        let facts = launch.settings;
        let own = Own::new(now, &launch.operator, launch.resource_limits, facts.deployment.methods.len());
        let mut zones = NameIndex::default();
        zones.intern(launch.operator.zone.as_deref().unwrap_or_default());
        let is_bounded = |method: &Method| {
            matches!(method.consistency, Consistency::BoundedStaleness(_) | Consistency::Session)
        };
        let is_tokened = |method: &Method| {
            matches!(method.idempotency, ladderpass_routing::Idempotency::IdempotencyKey { .. })
        };
        let mut reducer = Reducer {
            bounded: facts.deployment.methods.iter().map(is_bounded).collect(),
            tokened: facts.deployment.methods.iter().map(is_tokened).collect(),
            writes: facts
                .deployment
                .methods
                .iter()
                .map(|method| method.consistency == Consistency::Write)
                .collect(),
            columns: facts.report_columns,
            ids: Ids::default(),
            keys: Keys::default(),
            session_methods: facts.deployment.methods.iter().any(|m| m.consistency == Consistency::Session),
            carried: facts.deployment.session_write_age_carried,
            reference_clock: ReferenceClock::new(
                facts.deployment.health_checks && facts.deployment.health_checks_report_position,
            ),
            router: Router::start(now, launch.seed, facts.deployment),
            limits: launch.limits,
            methods: facts.method_names.into_iter().zip(0..).collect(),
            discovery: launch.discovery,
            conns: FxHashMap::default(),
            last_id: 0,
            looks: BTreeSet::new(),
            calls: FxHashMap::default(),
            members: Vec::new(),
            names: NameIndex::default(),
            kinds: NameIndex::default(),
            zoned: launch.operator.zone.is_some(),
            sizes: launch.operator.weights_are_concurrency,
            zones,
            circle: GossipCodec::new(Time::default(), launch.operator.zone.as_deref().unwrap_or_default()),
            peers,
            groups: HashMap::new(),
            generation: 0,
            silent_since: None,
            told_at: now,
            older: false,
            watch: None,
            asked_at: now,
            late_watch: None,
            old_watch: None,
            moved_watch: false,
            fixed: launch.fixed,
            clients: 0,
            links: 0,
            waiting: Default::default(),
            parting: Vec::new(),
            accepting: true,
            denied: Vec::new(),
            denied_watch: None,
            rings: 0,
            starved: BTreeSet::new(),
            ready: VecDeque::new(),
            stopping: None,
            deaf: false,
            behind: Span::ZERO,
            core_wake: None,
            again: Vec::new(),
            unlooked: 0,
            own: own.map(Box::new),
            figured: Figured::default(),
            faulty: launch.faulty,
            scratch: Vec::new(),
            effects: Vec::new(),
            tally: Tally { told_at: now, ..Tally::default() },
        };
        reducer.router.set_clock_difference(reducer.reference_clock.difference(now));
        if let Err(fault) = reducer.listed(now, &launch.cached_endpoints, true, false) {
            tracing::warn!("known: {fault}; started without a list");
        }
        reducer
    }

    /// An id for a connection that is about to be accepted.
    pub fn next_id(&mut self) -> ConnectionId {
        self.last_id += 1;
        ConnectionId(self.last_id)
    }

    /// Where the next bytes of a connection may be read to; empty where it must wait.
    pub fn read_buffer(&mut self, id: ConnectionId) -> &mut [u8] {
        let Some(conn) = self.conns.get_mut(&id) else { return &mut [] };
        let limits = &self.limits;
        let bound = match conn.peer {
            Peer::Client(ref client) if conn.closing || client.resting => 0,
            Peer::Client(_) => limits.client_buffer_bytes,
            Peer::Member(_) => limits.member_buffer_bytes,
            Peer::Discovery(_) => limits.discovery_buffer_bytes,
        };
        // Where memory is short, statements wait before answers do; either way their time goes on.
        let memory = match conn.peer {
            Peer::Client(_) => limits.client_buffers_total_bytes,
            _ => limits.all_buffers_total_bytes,
        };
        let grown =
            conn.input.len() == conn.input.capacity() && conn.input.len() >= limits.buffer_initial_bytes;
        let short = grown && self.rings >= memory;
        conn.paused = short || conn.input.free_space(limits.buffer_initial_bytes, bound).is_empty();
        if short {
            self.starved.insert(id);
        }
        if conn.paused {
            (conn.waited_for_room, conn.unread) = (true, true);
            if let Peer::Client(client) = &mut conn.peer
                && !conn.closing
                && !client.resting
            {
                client.overran = true;
                self.ready.push_back(id);
            }
            return &mut [];
        }
        self.recount(id);
        match self.conns.get_mut(&id) {
            Some(conn) => conn.input.free_space(0, 0),
            None => &mut [],
        }
    }

    /// What is to be written on a connection next.
    pub fn outgoing(&self, id: ConnectionId) -> &[u8] {
        self.conns.get(&id).map_or(&[], |conn| conn.output.first_slice())
    }

    /// Members that it keeps in mind.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// The list that it goes by, as discovery counts them.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The newest proven position of a member, by its id, and whether it is known as a primary.
    pub fn known_position(&self, id: &str) -> Option<(Time, bool)> {
        self.router.known_position(MemberId(self.names.get(id)?))
    }

    /// Call-outs that are out, and connections that carry one or come up for one: as many at all times.
    pub fn attempts_in_flight(&self) -> (usize, usize) {
        let carries = |conn: &&Conn| match &conn.peer {
            Peer::Member(link) => matches!(link.job, Some(Job::Call(_))),
            _ => false,
        };
        let out = self.calls.values().filter(|call| call.out.is_some()).count();
        (out, self.conns.values().filter(carries).count())
    }

    /// Call-outs that members answered well since the log told of them last, and the time that these took there.
    pub fn answered_attempts(&self) -> (u32, Span) {
        (self.tally.ended[AttemptOutcome::Ok as usize], self.tally.answer_time)
    }

    /// Is there room for a further client?
    pub fn accepts_clients(&self) -> bool {
        self.accepting
    }

    /// When `Turn` is due at the latest.
    pub fn wake_at(&self) -> Option<Time> {
        let first = self.looks.first().map(|&(at, _)| at);
        let deaf_at =
            self.stopping.filter(|_| !self.deaf).map(|since| since + self.limits.shutdown_accept_time);
        let at_once = !self.parting.is_empty()
            || !self.denied.is_empty()
            || !self.again.is_empty()
            || !self.ready.is_empty();
        let parting = at_once.then_some(Time::NEVER);
        let spans = self.limits.eviction_ages.iter();
        let longest = self.waiting.iter().zip(spans).filter_map(|(set, &span)| Some(set.first()?.0 + span));
        let place = longest.min().filter(|_| self.clients > self.limits.clients_before_eviction);
        let peers = self.peers.as_ref().map(|peers| peers.wake());
        [first, self.core_wake, deaf_at, parting, place, peers].into_iter().flatten().min()
    }

    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        match event {
            Event::Accepted(id) => self.accepted(now, id),
            Event::Connected(id) => self.connected(id),
            Event::Received(id, count, waited) => self.received(now, id, count, waited),
            Event::MoreToRead(id) => self.unread(id),
            Event::Drained(id) => self.drained(now, id),
            Event::ReadToEnd(id) => self.quiet(now, id),
            Event::Written(id, count) => self.written(now, id, count),
            Event::Closed(id) => self.closed(now, id),
            Event::ConnectDenied(id) => self.denied(now, id),
            Event::WriteBlocked(id) => {
                self.link_is_stuck(id);
                self.stuck(now, id);
            }
            Event::ResourcesSampled(sample) => self.looked(now, sample),
            Event::IterationWorked(busy, waiting) => self.worked(now, busy, waiting),
            Event::ListenerClosed => self.deaf = true,
            Event::Stalled(span) => {
                if let Some(own) = &mut self.own {
                    own.governor.record_stall(now);
                }
                tracing::warn!("stalled for {:.0} ms", span.secs() * 1e3);
                self.behind = span;
            }
            Event::DatagramReceived(from, bytes) => self.whispered(now, from, &bytes),
            Event::ConfigurationReloaded(launch) => self.told(now, *launch),
            Event::Terminate => self.terminate(now),
            Event::Tick => {
                self.turn(now);
                self.behind = Span::ZERO;
            }
        }
        if self.stopping.is_some() && self.deaf && self.clients == 0 {
            self.effects.push(Effect::Exit);
        }
        std::mem::take(&mut self.effects)
    }

    fn turn(&mut self, now: Time) {
        // Guards against statements begun for clients that have left: all that the batch read, ends too, comes first.
        self.look_at_ready(now);
        self.see_off();
        self.connect_again();
        while let Some(&(at, id)) = self.looks.first()
            && at <= now
        {
            self.looks.pop_first();
            let Some(conn) = self.conns.get_mut(&id) else { continue };
            conn.looked_at = None;
            match conn.deadline.take() {
                Some(deadline) if deadline > now => self.set_deadline(id, Some(deadline)),
                Some(_) => self.expired(now, id),
                None => {}
            }
        }
        self.make_place(now);
        if let Some(since) = self.stopping {
            self.keep_stopping(now, since);
        }
        self.tend_peers(now);
        self.router.set_clock_difference(self.reference_clock.difference(now));
        let upkeep = self.router.tick(now);
        for (rpc, decision) in upkeep.decisions {
            self.carry_out(now, rpc, decision);
        }
        for member in upkeep.health_checks {
            self.probe(now, member);
        }
        if !upkeep.gossip.is_empty() {
            self.whisper(now, &upkeep.gossip);
        }
        if upkeep.poll_endpoints {
            self.ask_list(now);
        }
        for member in upkeep.retired_members {
            self.forget_member(member.0 as usize);
        }
        for note in upkeep.log_messages {
            tracing::info!("{}", self.names.expand_names(&note));
        }
        self.tell_exceptions(upkeep.exceptions);
        self.core_wake = upkeep.wake_at;
        self.mind_the_door();
        // Not before what the sockets tell next: a client may have left while it was answered.
        for id in std::mem::take(&mut self.again) {
            if let Some(Conn { peer: Peer::Client(client), .. }) = self.conns.get_mut(&id) {
                client.just_answered = false;
                self.ready.push_back(id);
            }
        }
        if now - self.tally.told_at >= self.limits.stats_interval {
            self.tell_tally(now);
        }
    }

    // ---- connections of any kind

    fn open(&mut self, id: ConnectionId, deadline: Option<Time>, peer: Peer) {
        let conn = Conn {
            input: Buffer::default(),
            output: Buffer::default(),
            deadline: None,
            looked_at: None,
            paused: false,
            waited_for_room: false,
            unread: false,
            closing: false,
            denials: 0,
            held: 0,
            peer,
        };
        self.conns.insert(id, conn);
        self.set_deadline(id, deadline);
    }

    fn set_deadline(&mut self, id: ConnectionId, deadline: Option<Time>) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if conn.deadline == deadline {
            return;
        }
        conn.deadline = deadline;
        let Some(at) = deadline.filter(|&at| conn.looked_at.is_none_or(|looked_at| at < looked_at)) else {
            return;
        };
        if let Some(later) = conn.looked_at.replace(at) {
            self.looks.remove(&(later, id));
        }
        self.looks.insert((at, id));
    }

    fn connected(&mut self, id: ConnectionId) {
        let Some(conn) = self.conns.get(&id) else { return };
        let mut out = Vec::new();
        match &conn.peer {
            Peer::Client(_) => return,
            Peer::Member(_) => pg::put_startup(&mut out, USER, DATABASE),
            Peer::Discovery(_) => {
                // Where its list is older than the one here, the whole of it is wanted.
                let from = if self.older { 0 } else { self.generation };
                let call = discovery::watch_request(&self.discovery.to_string(), from);
                out.extend_from_slice(call.as_bytes());
            }
        }
        self.write(id, &out);
    }

    /// Puts bytes on a connection's way out.
    fn write(&mut self, id: ConnectionId, bytes: &[u8]) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.output.append(bytes, self.limits.buffer_initial_bytes, usize::MAX);
        self.effects.push(Effect::Write(id));
        self.recount(id);
    }

    /// Forgets a connection; nothing is told to anyone but the core's front.
    fn drop_conn(&mut self, id: ConnectionId) {
        self.wait_for(id, None);
        let Some(conn) = self.conns.remove(&id) else { return };
        if let Some(at) = conn.looked_at {
            self.looks.remove(&(at, id));
        }
        self.effects.push(Effect::Close(id));
        self.give_back(conn.held);
        match &conn.peer {
            Peer::Client(_) => {
                self.unlooked = self.unlooked.saturating_sub(conn.input.len());
                self.parting.retain(|&(parting, _)| parting != id);
                self.clients -= 1;
                if !self.accepting {
                    self.accepting = true;
                    self.effects.push(Effect::Accept(true));
                }
            }
            Peer::Member(link) => {
                self.links -= 1;
                if let Some(member) = self.members.get_mut(link.member) {
                    member.idle.retain(|&other| other != id);
                    member.coming.retain(|&other| other != id);
                    member.links = member.links.saturating_sub(1);
                }
                self.release_member(link.member);
            }
            Peer::Discovery(_) => {
                self.watch = self.watch.filter(|&watch| watch != id);
                self.late_watch = self.late_watch.filter(|&watch| watch != id);
                self.old_watch = self.old_watch.filter(|&watch| watch != id);
            }
        }
    }

    /// The rings of a connection may have grown or shrunk.
    fn recount(&mut self, id: ConnectionId) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let held = conn.input.capacity() + conn.output.capacity();
        let before = std::mem::replace(&mut conn.held, held);
        self.rings += held.saturating_sub(before);
        if held < before {
            self.give_back(before - held);
        }
    }

    /// Memory of rings came free.
    fn give_back(&mut self, bytes: usize) {
        self.rings = self.rings.saturating_sub(bytes);
        if bytes > 0 && self.rings < self.limits.client_buffers_total_bytes {
            self.effects.extend(std::mem::take(&mut self.starved).into_iter().map(Effect::Read));
        }
    }

    fn received(&mut self, now: Time, id: ConnectionId, count: usize, waited: Span) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.input.commit(count);
        let paused = std::mem::take(&mut conn.waited_for_room);
        match &mut conn.peer {
            Peer::Client(client) => {
                self.unlooked += count;
                self.parting.retain(|&(parting, _)| parting != id);
                // Its kernel had kept something back, and may have more.
                let refill = now + self.limits.refill_quiet_time;
                client.refill = client.refill.map(|until| if now < until { refill } else { until });
                // What waited for room of its own tells nothing of this router's pace.
                client.came(if paused { now } else { now - waited.max(self.behind) }, count);
                let passed_over = client.passes_over(count);
                conn.input.consume(passed_over);
                self.unlooked = self.unlooked.saturating_sub(passed_over);
                self.ready.push_back(id);
            }
            Peer::Member(link) => {
                link.kept = waited;
                self.look_at_link(now, id);
            }
            Peer::Discovery(_) => self.look_at_watch(now, id),
        }
    }

    fn written(&mut self, now: Time, id: ConnectionId, count: usize) {
        let start = self.limits.buffer_initial_bytes;
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.output.consume(count);
        conn.output.shrink_if_empty(start);
        let (done, closing) = (conn.output.is_empty(), conn.closing);
        let mut out_until = None;
        match &mut conn.peer {
            Peer::Member(link) if link.unwritten > 0 => {
                link.unsent &= count == 0;
                link.unwritten = link.unwritten.saturating_sub(count);
                if link.unwritten == 0 {
                    link.own += now - link.asked;
                    out_until = Some(link.until);
                }
            }
            // Its next statement is looked at in the next turn: what was written may show that it has left.
            Peer::Client(_) if done && !closing => self.again.push(id),
            _ => {}
        }
        let client = matches!(conn.peer, Peer::Client(_));
        if out_until.is_some() {
            self.set_deadline(id, out_until);
        }
        self.recount(id);
        if client {
            self.took_some(now, id, done);
        }
        if done && closing {
            self.drop_conn(id);
        }
    }

    fn closed(&mut self, now: Time, id: ConnectionId) {
        let Some(conn) = self.conns.get(&id) else { return };
        match &conn.peer {
            Peer::Client(_) => self.client_gone(now, id),
            Peer::Member(link) => {
                // A whole answer before the end counts, also without the member's ready.
                let mut ended = link.ended_by_close();
                if self.faulty.is(Faulty::Resends) && ended == AttemptOutcome::ConnectionLost {
                    ended = AttemptOutcome::Unreachable;
                }
                self.link_over(now, id, ended);
            }
            Peer::Discovery(_) => self.watch_failed(now, id, "the connection has ended"),
        }
    }

    /// Guards the call to discovery, probes and call-outs against clients that fill the descriptors: one that
    /// rests makes place, or an idle link. Guards members against blame for what this router is short of.
    fn denied(&mut self, now: Time, id: ConnectionId) {
        let most = self.limits.evictions_per_denial;
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.denials = conn.denials.saturating_add(1);
        if conn.denials <= most && self.make_room(now) {
            return self.denied.push(id);
        }
        match self.conns.get(&id).map(|conn| &conn.peer) {
            Some(Peer::Member(_)) => self.link_over(now, id, AttemptOutcome::NeverSent),
            Some(Peer::Discovery(_)) => {
                self.denied_watch = Some(id);
                self.set_deadline(id, Some(now + self.limits.denied_connect_backoff));
            }
            _ => self.closed(now, id),
        }
    }

    /// Something gives its descriptor up: a client that has rested for long, else an idle link, else any that
    /// rests.
    fn make_room(&mut self, now: Time) -> bool {
        if let Some(client) = self.rested(Some(now)) {
            self.part_with(client);
        } else if let Some(link) = self.longest_idle() {
            self.drop_conn(link);
        } else if let Some(client) = self.rested(None) {
            self.part_with(client);
        } else {
            return false;
        }
        true
    }

    /// What was denied is tried again, now that others have made place.
    fn connect_again(&mut self) {
        for id in std::mem::take(&mut self.denied) {
            let address = match self.conns.get(&id).map(|conn| &conn.peer) {
                Some(Peer::Member(link)) => self.members.get(link.member).map(|member| member.address),
                Some(Peer::Discovery(_)) => Some(self.discovery),
                _ => None,
            };
            self.effects.extend(address.map(|address| Effect::Connect(id, address)));
        }
    }

    /// Guards newcomers against links that rest, which make place for them, and against a door that stays
    /// shut once links, not clients, have gone.
    fn mind_the_door(&mut self) {
        let rests = |member: &Member| !member.idle.is_empty();
        let room = self.clients + self.links < self.limits.connections || self.members.iter().any(rests);
        let wanted = room && self.clients < self.limits.clients_accepted;
        if wanted != self.accepting {
            self.accepting = wanted;
            self.effects.push(Effect::Accept(wanted));
        }
    }

    fn expired(&mut self, now: Time, id: ConnectionId) {
        let Some(conn) = self.conns.get(&id) else { return };
        match &conn.peer {
            Peer::Client(client) => match client.phase {
                Phase::Busy(rpc) => {
                    // Guards rule 1 whatever the core says: the client's time is all but up.
                    tracing::debug!("an RPC was still held at its deadline");
                    self.finish(now, rpc, Decision::Fail);
                    rpc.abandon(&mut self.router);
                }
                _ if client.resting => self.read_on(now, id),
                _ if !conn.closing && client.refill.is_some_and(|until| until <= now) => {
                    self.refilled(now, id);
                }
                _ if self.starved.contains(&id) => self.pass_over(now, id),
                // Memory came free while it waited for that: it has the time of any other.
                _ if let Some((Waiting::Begun, since)) = client.waiting
                    && now < since + self.limits.message_timeout =>
                {
                    self.set_deadline(id, Some(since + self.limits.message_timeout));
                }
                _ if client.waiting.is_some() => self.part_with(id),
                _ => self.drop_conn(id),
            },
            Peer::Member(link) => match link.job {
                None => self.link_over(now, id, AttemptOutcome::Unreachable),
                Some(_) if !link.up && now < link.connect_until => {
                    // The job is given up unsent; the connection may still come up for another.
                    self.release(now, id, AttemptOutcome::Unreachable);
                }
                Some(_) if !link.up || link.unwritten > 0 => {
                    self.link_over(now, id, AttemptOutcome::Unreachable)
                }
                // Guards the time left for another call-out against an answer that begins and does not end.
                Some(_) if link.answering => self.malformed(now, id),
                Some(_) => self.link_over(now, id, AttemptOutcome::TimedOut),
            },
            Peer::Discovery(_) if self.denied_watch.take() == Some(id) => {
                if let Some(conn) = self.conns.get_mut(&id) {
                    conn.denials = 0;
                }
                self.set_deadline(id, Some(now + self.limits.watch_answer_timeout));
                self.effects.push(Effect::Connect(id, self.discovery));
            }
            Peer::Discovery(_) => self.watch_is_silent(now, id),
        }
    }

    // ---- stopping

    /// Goes on serving what comes, and closes each connection once it is idle.
    fn terminate(&mut self, now: Time) {
        if self.stopping.is_some() {
            return;
        }
        tracing::info!("stopping: {} clients, {} rpcs", self.clients, self.calls.len());
        self.stopping = Some(now);
        self.leave_peers(now);
        if self.faulty.is(Faulty::DropsRequestsAtStop) {
            self.effects.push(Effect::Exit);
        }
        // One just answered is likely to write again, which would cross the close: it is served, or rests first.
        let [.., idle] = &self.waiting;
        for (since, id) in idle.clone() {
            self.set_deadline(id, Some(since + self.limits.shutdown_idle_time));
        }
    }

    fn keep_stopping(&mut self, now: Time, since: Time) {
        if !self.deaf && now - since >= self.limits.shutdown_accept_time {
            self.effects.push(Effect::StopListening);
        }
        // Guards what is owed to clients with more time than that: only who is owed nothing is closed. Who is in the middle
        // of a message has its time to end it, and is told no.
        if self.is_ending(now) {
            let [opening, _, idle] = &self.waiting;
            let nothing_sent =
                |id: &ConnectionId| self.conns.get(id).is_some_and(|conn| conn.input.is_empty());
            let rest: Vec<ConnectionId> =
                opening.iter().chain(idle).map(|&(_, id)| id).filter(nothing_sent).collect();
            rest.into_iter().for_each(|id| self.part_with(id));
        }
    }

    /// It has been stopping for so long that nothing new is begun.
    fn is_ending(&self, now: Time) -> bool {
        self.stopping.is_some_and(|since| now - since >= self.limits.shutdown_accept_time)
    }
}

/// A position: Unix time in milliseconds.
fn moment(ms: f64) -> Time {
    Time::from_nanos((ms * 1e6) as i64)
}
