//! All state of the router on sockets, and every change of it: the core's `Router`, RPCs, client connections,
//! pools of connections by member, the watch of the list, and stopping.
//!
//! `apply(now, Event)` changes the state and returns the effects that it asks for. State with invariants of its own
//! stands in the files behind it, and is changed nowhere else. It must never make a syscall, read a clock or hold a
//! socket; and it must never decide where or when an RPC goes: the core does.

use crate::buffer::Buffer;
use crate::discovery::{self, Listing, Reader};
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

mod clients;
mod discovery_watch;
mod member_pools;
mod overload;
mod peer_links;
mod rpcs;
mod stats;

use clients::{AwaitedInput, CancelKeys, Client, ClientPhase, RpcIds};
use member_pools::{Answer, Job, MemberConnection, MemberPool};
use overload::OverloadMonitor;
use peer_links::PeerLinks;
use rpcs::{RpcInFlight, retry_after_ms};
use stats::{Stats, count_outcome};

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
struct Connection {
    input: Buffer,
    output: Buffer,
    deadline: Option<Time>,
    /// When it is looked at for that: no later than its deadline. One that moves back is looked at in vain once, which
    /// costs less than keeping the order at each step of an RPC.
    scheduled_at: Option<Time>,
    /// Reading stopped for want of room.
    paused: bool,
    /// It had stopped before what is read next.
    was_paused: bool,
    /// Not all that its socket holds was read: its end may stand there unseen.
    unread: bool,
    /// Closes once all is written.
    closing: bool,
    /// How often there was no descriptor for it.
    denials: u8,
    /// Memory of its rings, as last counted.
    held: usize,
    remote: Remote,
}

enum Remote {
    Client(Client),
    Member(MemberConnection),
    Discovery(Reader),
}

/// What the figures tell since they were told last.
#[derive(Default)]
struct OverloadCounts {
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
    bounds_staleness: Vec<bool>,
    writes: Vec<bool>,
    /// By method: may it be repeated within a window alone?
    uses_idempotency_key: Vec<bool>,
    /// Names of the values in a load report.
    columns: Vec<String>,
    ids: RpcIds,
    keys: CancelKeys,
    session_methods: bool,
    carried: bool,
    discovery: SocketAddr,
    /// Its own ids, and the core's handles: nobody can choose them so that they collide.
    connections: FxHashMap<ConnectionId, Connection>,
    last_id: u64,
    /// When connections are looked at for their deadlines.
    deadlines: BTreeSet<(Time, ConnectionId)>,
    rpcs: FxHashMap<RpcId, RpcInFlight>,
    members: Vec<MemberPool>,
    names: NameIndex,
    kinds: NameIndex,
    /// Zones of the list, where they are used; its own has the index zero.
    zones: NameIndex,
    uses_zones: bool,
    /// Weights of the list are sizes.
    sizes: bool,
    gossip_codec: GossipCodec,
    /// None: there is nobody to talk to.
    peers: Option<Box<PeerLinks>>,
    groups: HashMap<u64, u32>,
    generation: u64,
    /// Since when a watch that had answered is silent, until another says something.
    silent_since: Option<Time>,
    /// When the list here, or a later one, was told last; and whether what discovery told after that is older.
    listed_at: Time,
    list_is_older: bool,
    watch: Option<ConnectionId>,
    /// When it was asked for.
    asked_at: Time,
    /// A call without an answer so far, beside which the next has been made, or is about to be.
    late_watch: Option<ConnectionId>,
    /// The watch of the address that discovery had before: it serves until the new one has answered.
    old_watch: Option<ConnectionId>,
    /// Discovery has another address, which has not answered yet.
    is_moving: bool,
    fixed: Fixed,
    clients: usize,
    links: usize,
    /// Clients that are waited for: by `AwaitedInput`, the longest first.
    waiting: [BTreeSet<(Time, ConnectionId)>; 3],
    /// Clients that are to go, unless something of theirs is still found at the socket.
    evicting: Vec<(ConnectionId, Option<(AwaitedInput, Time)>)>,
    accepting: bool,
    /// Connections that were denied, for which a client makes place; the watch, if nothing could.
    denied: Vec<ConnectionId>,
    denied_watch: Option<ConnectionId>,
    /// Memory of all rings.
    buffer_bytes: usize,
    /// Connections that could not read for want of memory.
    waiting_for_memory: BTreeSet<ConnectionId>,
    /// Clients with something to be looked at.
    ready: VecDeque<ConnectionId>,
    stopping: Option<Time>,
    deaf: bool,
    /// How long what is read now may have waited.
    behind: Span,
    router_wake_at: Option<Time>,
    /// Clients with more to be looked at than one look allows, or behind what was just answered: the next turn's.
    again: Vec<ConnectionId>,
    /// Bytes in the rings of clients that were not looked at, or whose RPC is under way.
    unread_client_bytes: usize,
    /// None: the router does not watch itself.
    overload: Option<Box<OverloadMonitor>>,
    overload_counts: OverloadCounts,
    faulty: Faulty,
    /// Where answers of the router's own are put together.
    scratch: Vec<u8>,
    effects: Vec<Effect>,
    stats: Stats,
}

impl Reducer {
    pub fn start(now: Time, launch: Launch) -> Reducer {
        let peers = PeerLinks::new(now, &launch).map(Box::new);
        let facts = launch.settings;
        let own = OverloadMonitor::new(
            now,
            &launch.operator,
            launch.resource_limits,
            facts.deployment.methods.len(),
        );
        let mut zones = NameIndex::default();
        zones.intern(launch.operator.zone.as_deref().unwrap_or_default());
        let is_bounded = |method: &Method| {
            matches!(method.consistency, Consistency::BoundedStaleness(_) | Consistency::Session)
        };
        let is_tokened = |method: &Method| {
            matches!(method.idempotency, ladderpass_routing::Idempotency::IdempotencyKey { .. })
        };
        let mut reducer = Reducer {
            bounds_staleness: facts.deployment.methods.iter().map(is_bounded).collect(),
            uses_idempotency_key: facts.deployment.methods.iter().map(is_tokened).collect(),
            writes: facts
                .deployment
                .methods
                .iter()
                .map(|method| method.consistency == Consistency::Write)
                .collect(),
            columns: facts.report_columns,
            ids: RpcIds::default(),
            keys: CancelKeys::default(),
            session_methods: facts.deployment.methods.iter().any(|m| m.consistency == Consistency::Session),
            carried: facts.deployment.session_write_age_carried,
            reference_clock: ReferenceClock::new(
                facts.deployment.health_checks && facts.deployment.health_checks_report_position,
            ),
            router: Router::start(now, launch.seed, facts.deployment),
            limits: launch.limits,
            methods: facts.method_names.into_iter().zip(0..).collect(),
            discovery: launch.discovery,
            connections: FxHashMap::default(),
            last_id: 0,
            deadlines: BTreeSet::new(),
            rpcs: FxHashMap::default(),
            members: Vec::new(),
            names: NameIndex::default(),
            kinds: NameIndex::default(),
            uses_zones: launch.operator.zone.is_some(),
            sizes: launch.operator.weights_are_concurrency,
            zones,
            gossip_codec: GossipCodec::new(
                Time::default(),
                launch.operator.zone.as_deref().unwrap_or_default(),
            ),
            peers,
            groups: HashMap::new(),
            generation: 0,
            silent_since: None,
            listed_at: now,
            list_is_older: false,
            watch: None,
            asked_at: now,
            late_watch: None,
            old_watch: None,
            is_moving: false,
            fixed: launch.fixed,
            clients: 0,
            links: 0,
            waiting: Default::default(),
            evicting: Vec::new(),
            accepting: true,
            denied: Vec::new(),
            denied_watch: None,
            buffer_bytes: 0,
            waiting_for_memory: BTreeSet::new(),
            ready: VecDeque::new(),
            stopping: None,
            deaf: false,
            behind: Span::ZERO,
            router_wake_at: None,
            again: Vec::new(),
            unread_client_bytes: 0,
            overload: own.map(Box::new),
            overload_counts: OverloadCounts::default(),
            faulty: launch.faulty,
            scratch: Vec::new(),
            effects: Vec::new(),
            stats: Stats { listed_at: now, ..Stats::default() },
        };
        reducer.router.set_clock_difference(reducer.reference_clock.difference(now));
        if let Err(fault) = reducer.apply_listing(now, &launch.cached_endpoints, true, false) {
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
        let Some(connection) = self.connections.get_mut(&id) else { return &mut [] };
        let limits = &self.limits;
        let bound = match connection.remote {
            Remote::Client(ref client) if connection.closing || client.resting => 0,
            Remote::Client(_) => limits.client_buffer_bytes,
            Remote::Member(_) => limits.member_buffer_bytes,
            Remote::Discovery(_) => limits.discovery_buffer_bytes,
        };
        // Where memory is short, statements wait before answers do; either way their time goes on.
        let memory = match connection.remote {
            Remote::Client(_) => limits.client_buffers_total_bytes,
            _ => limits.all_buffers_total_bytes,
        };
        let grown = connection.input.len() == connection.input.capacity()
            && connection.input.len() >= limits.buffer_initial_bytes;
        let short = grown && self.buffer_bytes >= memory;
        connection.paused = short || connection.input.spare(limits.buffer_initial_bytes, bound).is_empty();
        if short {
            self.waiting_for_memory.insert(id);
        }
        if connection.paused {
            (connection.was_paused, connection.unread) = (true, true);
            if let Remote::Client(client) = &mut connection.remote
                && !connection.closing
                && !client.resting
            {
                client.overran = true;
                self.ready.push_back(id);
            }
            return &mut [];
        }
        self.update_buffer_bytes(id);
        match self.connections.get_mut(&id) {
            Some(connection) => connection.input.spare(0, 0),
            None => &mut [],
        }
    }

    /// What is to be written on a connection next.
    pub fn outgoing(&self, id: ConnectionId) -> &[u8] {
        self.connections.get(&id).map_or(&[], |connection| connection.output.front())
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

    /// RpcInFlight-outs that are out, and connections that carry one or come up for one: as many at all times.
    pub fn attempts_in_flight(&self) -> (usize, usize) {
        let carries = |connection: &&Connection| match &connection.remote {
            Remote::Member(link) => matches!(link.job, Some(Job::Attempt(_))),
            _ => false,
        };
        let out = self.rpcs.values().filter(|entry| entry.out.is_some()).count();
        (out, self.connections.values().filter(carries).count())
    }

    /// RpcInFlight-outs that members answered well since the log told of them last, and the time that these took there.
    pub fn answered_attempts(&self) -> (u32, Span) {
        (self.stats.ended[AttemptOutcome::Ok as usize], self.stats.answer_time)
    }

    /// Is there room for a further client?
    pub fn accepts_clients(&self) -> bool {
        self.accepting
    }

    /// When `Turn` is due at the latest.
    pub fn wake_at(&self) -> Option<Time> {
        let first = self.deadlines.first().map(|&(at, _)| at);
        let deaf_at =
            self.stopping.filter(|_| !self.deaf).map(|since| since + self.limits.shutdown_accept_time);
        let at_once = !self.evicting.is_empty()
            || !self.denied.is_empty()
            || !self.again.is_empty()
            || !self.ready.is_empty();
        let evicting = at_once.then_some(Time::NEVER);
        let spans = self.limits.eviction_ages.iter();
        let longest = self.waiting.iter().zip(spans).filter_map(|(set, &span)| Some(set.first()?.0 + span));
        let place = longest.min().filter(|_| self.clients > self.limits.clients_before_eviction);
        let peers = self.peers.as_ref().map(|peers| peers.wake());
        [first, self.router_wake_at, deaf_at, evicting, place, peers].into_iter().flatten().min()
    }

    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        match event {
            Event::Accepted(id) => self.on_accepted(now, id),
            Event::Connected(id) => self.on_connected(id),
            Event::Received(id, count, waited) => self.on_received(now, id, count, waited),
            Event::MoreToRead(id) => self.on_more_to_read(id),
            Event::Drained(id) => self.on_drained(now, id),
            Event::ReadToEnd(id) => self.on_read_to_end(now, id),
            Event::Written(id, count) => self.on_written(now, id, count),
            Event::Closed(id) => self.on_closed(now, id),
            Event::ConnectDenied(id) => self.on_connect_denied(now, id),
            Event::WriteBlocked(id) => {
                self.on_query_write_blocked(id);
                self.on_client_write_blocked(now, id);
            }
            Event::ResourcesSampled(sample) => self.on_resources_sampled(now, sample),
            Event::IterationWorked(busy, waiting) => self.on_iteration_worked(now, busy, waiting),
            Event::ListenerClosed => self.deaf = true,
            Event::Stalled(span) => {
                if let Some(own) = &mut self.overload {
                    own.governor.record_stall(now);
                }
                tracing::warn!("stalled for {:.0} ms", span.secs() * 1e3);
                self.behind = span;
            }
            Event::DatagramReceived(from, bytes) => self.on_datagram(now, from, &bytes),
            Event::ConfigurationReloaded(launch) => self.on_configuration_reloaded(now, *launch),
            Event::Terminate => self.begin_shutdown(now),
            Event::Tick => {
                self.tick(now);
                self.behind = Span::ZERO;
            }
        }
        if self.stopping.is_some() && self.deaf && self.clients == 0 {
            self.effects.push(Effect::Exit);
        }
        std::mem::take(&mut self.effects)
    }

    fn tick(&mut self, now: Time) {
        // Guards against statements begun for clients that have left: all that the batch read, ends too, comes first.
        self.read_ready_clients(now);
        self.request_final_reads();
        self.retry_denied_connects();
        while let Some(&(at, id)) = self.deadlines.first()
            && at <= now
        {
            self.deadlines.pop_first();
            let Some(connection) = self.connections.get_mut(&id) else { continue };
            connection.scheduled_at = None;
            match connection.deadline.take() {
                Some(deadline) if deadline > now => self.set_deadline(id, Some(deadline)),
                Some(_) => self.on_deadline(now, id),
                None => {}
            }
        }
        self.evict_excess_clients(now);
        if let Some(since) = self.stopping {
            self.tick_shutdown(now, since);
        }
        self.tick_peers(now);
        self.router.set_clock_difference(self.reference_clock.difference(now));
        let upkeep = self.router.tick(now);
        for (rpc, decision) in upkeep.decisions {
            self.apply_decision(now, rpc, decision);
        }
        for member in upkeep.health_checks {
            self.start_health_check(now, member);
        }
        if !upkeep.gossip.is_empty() {
            self.publish_updates(now, &upkeep.gossip);
        }
        if upkeep.poll_endpoints {
            self.start_watch(now);
        }
        for member in upkeep.retired_members {
            self.retire_member(member.0 as usize);
        }
        for note in upkeep.log_messages {
            tracing::info!("{}", self.names.expand_names(&note));
        }
        self.record_exceptions(upkeep.exceptions);
        self.router_wake_at = upkeep.wake_at;
        self.update_accepting();
        // Not before what the sockets tell next: a client may have left while it was answered.
        for id in std::mem::take(&mut self.again) {
            if let Some(Connection { remote: Remote::Client(client), .. }) = self.connections.get_mut(&id) {
                client.just_answered = false;
                self.ready.push_back(id);
            }
        }
        if now - self.stats.listed_at >= self.limits.stats_interval {
            self.log_stats(now);
        }
    }

    // ---- connections of any kind

    fn add_connection(&mut self, id: ConnectionId, deadline: Option<Time>, remote: Remote) {
        let connection = Connection {
            input: Buffer::default(),
            output: Buffer::default(),
            deadline: None,
            scheduled_at: None,
            paused: false,
            was_paused: false,
            unread: false,
            closing: false,
            denials: 0,
            held: 0,
            remote,
        };
        self.connections.insert(id, connection);
        self.set_deadline(id, deadline);
    }

    fn set_deadline(&mut self, id: ConnectionId, deadline: Option<Time>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.deadline == deadline {
            return;
        }
        connection.deadline = deadline;
        let Some(at) =
            deadline.filter(|&at| connection.scheduled_at.is_none_or(|scheduled_at| at < scheduled_at))
        else {
            return;
        };
        if let Some(later) = connection.scheduled_at.replace(at) {
            self.deadlines.remove(&(later, id));
        }
        self.deadlines.insert((at, id));
    }

    fn on_connected(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else { return };
        let mut out = Vec::new();
        match &connection.remote {
            Remote::Client(_) => return,
            Remote::Member(_) => pg::put_startup(&mut out, USER, DATABASE),
            Remote::Discovery(_) => {
                // Where its list is older than the one here, the whole of it is wanted.
                let from = if self.list_is_older { 0 } else { self.generation };
                let call = discovery::call(&self.discovery.to_string(), from);
                out.extend_from_slice(call.as_bytes());
            }
        }
        self.write(id, &out);
    }

    /// Puts bytes on a connection's way out.
    fn write(&mut self, id: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.output.push(bytes, self.limits.buffer_initial_bytes, usize::MAX);
        self.effects.push(Effect::Write(id));
        self.update_buffer_bytes(id);
    }

    /// Forgets a connection; nothing is told to anyone but the core's front.
    fn close_connection(&mut self, id: ConnectionId) {
        self.set_awaited(id, None);
        let Some(connection) = self.connections.remove(&id) else { return };
        if let Some(at) = connection.scheduled_at {
            self.deadlines.remove(&(at, id));
        }
        self.effects.push(Effect::Close(id));
        self.release_buffer_bytes(connection.held);
        match &connection.remote {
            Remote::Client(_) => {
                self.unread_client_bytes = self.unread_client_bytes.saturating_sub(connection.input.len());
                self.evicting.retain(|&(evicting, _)| evicting != id);
                self.clients -= 1;
                if !self.accepting {
                    self.accepting = true;
                    self.effects.push(Effect::Accept(true));
                }
            }
            Remote::Member(link) => {
                self.links -= 1;
                if let Some(member) = self.members.get_mut(link.member) {
                    member.idle.retain(|&other| other != id);
                    member.coming.retain(|&other| other != id);
                    member.links = member.links.saturating_sub(1);
                }
                self.release_member_index(link.member);
            }
            Remote::Discovery(_) => {
                self.watch = self.watch.filter(|&watch| watch != id);
                self.late_watch = self.late_watch.filter(|&watch| watch != id);
                self.old_watch = self.old_watch.filter(|&watch| watch != id);
            }
        }
    }

    /// The rings of a connection may have grown or shrunk.
    fn update_buffer_bytes(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let held = connection.input.capacity() + connection.output.capacity();
        let before = std::mem::replace(&mut connection.held, held);
        self.buffer_bytes += held.saturating_sub(before);
        if held < before {
            self.release_buffer_bytes(before - held);
        }
    }

    /// Memory of rings came free.
    fn release_buffer_bytes(&mut self, bytes: usize) {
        self.buffer_bytes = self.buffer_bytes.saturating_sub(bytes);
        if bytes > 0 && self.buffer_bytes < self.limits.client_buffers_total_bytes {
            self.effects.extend(std::mem::take(&mut self.waiting_for_memory).into_iter().map(Effect::Read));
        }
    }

    fn on_received(&mut self, now: Time, id: ConnectionId, count: usize, waited: Span) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.input.filled(count);
        let paused = std::mem::take(&mut connection.was_paused);
        match &mut connection.remote {
            Remote::Client(client) => {
                self.unread_client_bytes += count;
                self.evicting.retain(|&(evicting, _)| evicting != id);
                // Its kernel had kept something back, and may have more.
                let refill = now + self.limits.refill_quiet_time;
                client.refill = client.refill.map(|until| if now < until { refill } else { until });
                // What waited for room of its own tells nothing of this router's pace.
                client.came(if paused { now } else { now - waited.max(self.behind) }, count);
                let passed_over = client.passes_over(count);
                connection.input.consume(passed_over);
                self.unread_client_bytes = self.unread_client_bytes.saturating_sub(passed_over);
                self.ready.push_back(id);
            }
            Remote::Member(link) => {
                link.kept = waited;
                self.read_member(now, id);
            }
            Remote::Discovery(_) => self.read_watch(now, id),
        }
    }

    fn on_written(&mut self, now: Time, id: ConnectionId, count: usize) {
        let start = self.limits.buffer_initial_bytes;
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.output.consume(count);
        connection.output.shrink(start);
        let (done, closing) = (connection.output.is_empty(), connection.closing);
        let mut out_until = None;
        match &mut connection.remote {
            Remote::Member(link) if link.unwritten > 0 => {
                link.unsent &= count == 0;
                link.unwritten = link.unwritten.saturating_sub(count);
                if link.unwritten == 0 {
                    link.own += now - link.asked;
                    out_until = Some(link.until);
                }
            }
            // Its next statement is looked at in the next turn: what was written may show that it has left.
            Remote::Client(_) if done && !closing => self.again.push(id),
            _ => {}
        }
        let client = matches!(connection.remote, Remote::Client(_));
        if out_until.is_some() {
            self.set_deadline(id, out_until);
        }
        self.update_buffer_bytes(id);
        if client {
            self.on_client_wrote(now, id, done);
        }
        if done && closing {
            self.close_connection(id);
        }
    }

    fn on_closed(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else { return };
        match &connection.remote {
            Remote::Client(_) => self.on_client_closed(now, id),
            Remote::Member(link) => {
                // A whole answer before the end counts, also without the member's ready.
                let mut ended = link.outcome_on_close();
                if self.faulty.is(Faulty::Resends) && ended == AttemptOutcome::ConnectionLost {
                    ended = AttemptOutcome::Unreachable;
                }
                self.end_member_connection(now, id, ended);
            }
            Remote::Discovery(_) => self.watch_failed(now, id, "the connection has ended"),
        }
    }

    /// Guards the call to discovery, probes and call-outs against clients that fill the descriptors: one that
    /// rests makes place, or an idle link. Guards members against blame for what this router is short of.
    fn on_connect_denied(&mut self, now: Time, id: ConnectionId) {
        let most = self.limits.evictions_per_denial;
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.denials = connection.denials.saturating_add(1);
        if connection.denials <= most && self.free_a_descriptor(now) {
            return self.denied.push(id);
        }
        match self.connections.get(&id).map(|connection| &connection.remote) {
            Some(Remote::Member(_)) => self.end_member_connection(now, id, AttemptOutcome::NeverSent),
            Some(Remote::Discovery(_)) => {
                self.denied_watch = Some(id);
                self.set_deadline(id, Some(now + self.limits.denied_connect_backoff));
            }
            _ => self.on_closed(now, id),
        }
    }

    /// Something gives its descriptor up: a client that has rested for long, else an idle link, else any that
    /// rests.
    fn free_a_descriptor(&mut self, now: Time) -> bool {
        if let Some(client) = self.evictable_client(Some(now)) {
            self.evict(client);
        } else if let Some(link) = self.longest_idle_connection() {
            self.close_connection(link);
        } else if let Some(client) = self.evictable_client(None) {
            self.evict(client);
        } else {
            return false;
        }
        true
    }

    /// What was denied is tried again, now that others have made place.
    fn retry_denied_connects(&mut self) {
        for id in std::mem::take(&mut self.denied) {
            let address = match self.connections.get(&id).map(|connection| &connection.remote) {
                Some(Remote::Member(link)) => self.members.get(link.member).map(|member| member.address),
                Some(Remote::Discovery(_)) => Some(self.discovery),
                _ => None,
            };
            self.effects.extend(address.map(|address| Effect::Connect(id, address)));
        }
    }

    /// Guards newcomers against links that rest, which make place for them, and against a door that stays
    /// shut once links, not clients, have gone.
    fn update_accepting(&mut self) {
        let rests = |member: &MemberPool| !member.idle.is_empty();
        let room = self.clients + self.links < self.limits.connections || self.members.iter().any(rests);
        let wanted = room && self.clients < self.limits.clients_accepted;
        if wanted != self.accepting {
            self.accepting = wanted;
            self.effects.push(Effect::Accept(wanted));
        }
    }

    fn on_deadline(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else { return };
        match &connection.remote {
            Remote::Client(client) => match client.phase {
                ClientPhase::InRpc(rpc) => {
                    // Guards rule 1 whatever the core says: the client's time is all but up.
                    tracing::debug!("an RPC was still held at its deadline");
                    self.answer_unserved(now, rpc, Decision::Fail);
                    rpc.abandon(&mut self.router);
                }
                _ if client.resting => self.resume_reading(now, id),
                _ if !connection.closing && client.refill.is_some_and(|until| until <= now) => {
                    self.on_refill_timeout(now, id);
                }
                _ if self.waiting_for_memory.contains(&id) => self.skip_statement(now, id),
                // Memory came free while it waited for that: it has the time of any other.
                _ if let Some((AwaitedInput::StatementRest, since)) = client.waiting
                    && now < since + self.limits.message_timeout =>
                {
                    self.set_deadline(id, Some(since + self.limits.message_timeout));
                }
                _ if client.waiting.is_some() => self.evict(id),
                _ => self.close_connection(id),
            },
            Remote::Member(link) => match link.job {
                None => self.end_member_connection(now, id, AttemptOutcome::Unreachable),
                Some(_) if !link.up && now < link.connect_until => {
                    // The job is given up unsent; the connection may still come up for another.
                    self.release_job(now, id, AttemptOutcome::Unreachable);
                }
                Some(_) if !link.up || link.unwritten > 0 => {
                    self.end_member_connection(now, id, AttemptOutcome::Unreachable)
                }
                // Guards the time left for another call-out against an answer that begins and does not end.
                Some(_) if link.answering => self.on_malformed_message(now, id),
                Some(_) => self.end_member_connection(now, id, AttemptOutcome::TimedOut),
            },
            Remote::Discovery(_) if self.denied_watch.take() == Some(id) => {
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.denials = 0;
                }
                self.set_deadline(id, Some(now + self.limits.watch_answer_timeout));
                self.effects.push(Effect::Connect(id, self.discovery));
            }
            Remote::Discovery(_) => self.on_watch_timeout(now, id),
        }
    }

    // ---- stopping

    /// Goes on serving what comes, and closes each connection once it is idle.
    fn begin_shutdown(&mut self, now: Time) {
        if self.stopping.is_some() {
            return;
        }
        tracing::info!("stopping: {} clients, {} rpcs", self.clients, self.rpcs.len());
        self.stopping = Some(now);
        self.leave_fleet(now);
        if self.faulty.is(Faulty::LosesAtStop) {
            self.effects.push(Effect::Exit);
        }
        // One just answered is likely to write again, which would cross the close: it is served, or rests first.
        let [.., idle] = &self.waiting;
        for (since, id) in idle.clone() {
            self.set_deadline(id, Some(since + self.limits.shutdown_idle_time));
        }
    }

    fn tick_shutdown(&mut self, now: Time, since: Time) {
        if !self.deaf && now - since >= self.limits.shutdown_accept_time {
            self.effects.push(Effect::StopListening);
        }
        // Guards what is owed to clients with more time than that: only who is owed nothing is closed. Who is in the middle
        // of a message has its time to end it, and is told no.
        if self.is_past_accept_time(now) {
            let [opening, _, idle] = &self.waiting;
            let nothing_sent = |id: &ConnectionId| {
                self.connections.get(id).is_some_and(|connection| connection.input.is_empty())
            };
            let rest: Vec<ConnectionId> =
                opening.iter().chain(idle).map(|&(_, id)| id).filter(nothing_sent).collect();
            rest.into_iter().for_each(|id| self.evict(id));
        }
    }

    /// It has been stopping for so long that nothing new is begun.
    fn is_past_accept_time(&self, now: Time) -> bool {
        self.stopping.is_some_and(|since| now - since >= self.limits.shutdown_accept_time)
    }
}

/// A position: Unix time in milliseconds.
fn time_from_unix_ms(ms: f64) -> Time {
    Time::from_nanos((ms * 1e6) as i64)
}
