//! Holds the state of the router on sockets, and makes every change to it.
//!
//! `Reducer::handle` takes an event, changes the state and returns the effects that the event loop is to carry out. The
//! reducer makes no system call, reads no clock and owns no socket. The routing core, `Router`, decides where and when
//! an RPC goes, and the reducer carries out its decisions.
//!
//! - `state` has the tables that the reducer is composed of. Each table is in a module of its own, and its fields are
//!   private to that module. A table does not refer to `Reducer`. As an exception, the handlers may access the buffers
//!   of a `Connection` and the state of its other side directly.
//! - `handlers` has the methods of `Reducer` that handle events, with one module for each mechanism. They change the
//!   tables by the tables' methods.
//!
//! Imports go one way: the handlers import `Reducer` and the tables, and this module imports the tables but no handler.

pub mod connection_id;
mod event;
mod handlers;
mod load_report;
mod log_target;
mod peer_log;
mod state;
mod unix_time;

pub use connection_id::ConnectionId;
pub use event::{Effect, Event};

use crate::faulty::Faulty;
use crate::launch::{Fixed, Launch};
use crate::limits::Limits;
use ladderpass_config::gossip::GossipCodec;
use ladderpass_routing::reference_clock::ReferenceClock;
use ladderpass_routing::{KnownPosition, MemberId, Router, Span, Time};
use state::cancel_keys::CancelKeys;
use state::client_table::ClientTable;
use state::connection_limits::ConnectionLimits;
use state::connections::Connections;
use state::discovery_watch::DiscoveryWatch;
use state::endpoint_indexes::EndpointIndexes;
use state::member_connection::Job;
use state::member_pools::MemberPools;
use state::methods::MethodTable;
use state::overload_monitor::OverloadMonitor;
use state::peer_links::PeerLinks;
use state::rpc_table::RpcTable;
use state::shutdown::Shutdown;
use state::stats::Stats;

/// A wake-up time for the event loop that is earlier than any other time, so that the loop does not wait.
const AT_ONCE: Time = Time::NEVER;

/// The number of attempts in flight, counted by RPCs and by connections to members. The two counts always agree.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptsInFlight {
    /// The number of RPCs that have an attempt in flight.
    pub rpcs: usize,
    /// The number of connections that carry an attempt or are being established for one.
    pub connections: usize,
}

/// The state of the router on sockets, with the methods that change the state.
pub struct Reducer {
    /// The routing core.
    router: Router,
    /// Estimates how far this router's clock differs from the members' clock.
    reference_clock: ReferenceClock,
    limits: Limits,
    /// The part of the configuration that only a restart of the process can change.
    fixed: Fixed,
    faulty: Faulty,
    methods: MethodTable,
    /// The names of the columns that a load report must contain.
    report_columns: Vec<String>,
    connections: Connections,
    connection_limits: ConnectionLimits,
    clients: ClientTable,
    cancel_keys: CancelKeys,
    rpcs: RpcTable,
    members: MemberPools,
    endpoints: EndpointIndexes,
    discovery: DiscoveryWatch,
    gossip_codec: GossipCodec,
    /// The links to the other routers, or `None` if the operator's file has no `peers` section.
    peers: Option<Box<PeerLinks>>,
    overload: OverloadMonitor,
    shutdown: Shutdown,
    /// How long the process stalled before this iteration of the event loop. Bytes that are read in this iteration may
    /// have waited as long as the stall.
    stall: Span,
    /// When the routing core needs its next tick, or `None` if it needs none.
    router_wake_at: Option<Time>,
    stats: Stats,
    /// A buffer that is reused for each rejection of an RPC at its arrival.
    scratch: Vec<u8>,
    effects: Vec<Effect>,
}

impl Reducer {
    /// Returns the state at the start of the process, with the endpoint list that is cached in the configuration.
    pub fn start(now: Time, launch: Launch) -> Reducer {
        let peers = PeerLinks::new(now, &launch).map(Box::new);
        let operator = &launch.operator;
        let settings = launch.settings;
        let methods = MethodTable::new(&settings);
        let reports_position =
            settings.deployment.health_checks && settings.deployment.health_checks_report_position;
        let zone = operator.zone.as_deref().unwrap_or_default();
        let mut reducer = Reducer {
            reference_clock: ReferenceClock::new(reports_position),
            router: Router::start(now, launch.seed, settings.deployment),
            limits: launch.limits,
            fixed: launch.fixed,
            faulty: launch.faulty,
            report_columns: settings.report_columns,
            connections: Connections::default(),
            connection_limits: ConnectionLimits::new(),
            clients: ClientTable::default(),
            cancel_keys: CancelKeys::default(),
            rpcs: RpcTable::default(),
            members: MemberPools::default(),
            endpoints: EndpointIndexes::new(operator),
            discovery: DiscoveryWatch::new(now, launch.discovery),
            gossip_codec: GossipCodec::new(Time::default(), zone),
            peers,
            overload: OverloadMonitor::new(now, operator, launch.resource_limits, methods.len()),
            methods,
            shutdown: Shutdown::default(),
            stall: Span::ZERO,
            router_wake_at: None,
            stats: Stats::new(now),
            scratch: Vec::new(),
            effects: Vec::new(),
        };
        reducer.router.set_clock_difference(reducer.reference_clock.difference(now));
        if let Err(error) = reducer.apply_listing(now, &launch.cached_endpoints, true, false) {
            tracing::warn!(%error, "cached endpoint list refused: started without one");
        }
        reducer
    }

    /// Returns an id for a connection that is about to be accepted or opened.
    pub fn next_id(&mut self) -> ConnectionId {
        self.connections.next_id()
    }

    /// Returns the number of member indexes that the reducer has state for, including the free indexes of retired
    /// members.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Returns the newest replication position that the member with this id has proven to have reached, and whether the
    /// member is known as the primary of its group.
    pub fn known_position(&self, id: &str) -> Option<KnownPosition> {
        self.router.known_position(MemberId(self.members.names().get(id)?))
    }

    /// Returns the number of attempts in flight, counted by RPCs and by connections.
    pub fn attempts_in_flight(&self) -> AttemptsInFlight {
        let carries_attempt = |job: Option<Job>| matches!(job, Some(Job::Attempt(_)));
        let connections = self.connections.members().filter(|(_, member)| carries_attempt(member.job()));
        AttemptsInFlight { rpcs: self.rpcs.attempts_in_flight(), connections: connections.count() }
    }

    /// Returns the number of attempts that ended with `AttemptOutcome::Ok` since the stats were last logged, and the
    /// sum of their latencies.
    pub fn answered_attempts(&self) -> (u32, Span) {
        self.stats.answered_attempts()
    }

    /// Returns when `Event::Tick` is due at the latest, or `None` if nothing is scheduled.
    pub fn wake_at(&self) -> Option<Time> {
        let has_pending_work =
            self.clients.has_pending_work() || self.connection_limits.has_denied_connects();
        let at_once = has_pending_work.then_some(AT_ONCE);
        let eviction_at = self
            .clients
            .next_eviction_at(&self.limits.eviction_ages)
            .filter(|_| self.clients.len() > self.limits.clients_before_eviction);
        let times = [
            self.connections.next_check_at(),
            self.router_wake_at,
            self.shutdown.close_listener_at(self.limits.shutdown_accept_time),
            at_once,
            eviction_at,
            self.peers.as_ref().map(|peers| peers.wake_at()),
        ];
        times.into_iter().flatten().min()
    }

    /// Handles an event, and returns the effects that the event loop is to carry out.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        match event {
            Event::Accepted(id) => self.on_accepted(now, id),
            Event::Connected(id) => self.on_connected(id),
            Event::Received(id, count, waited) => self.on_received(now, id, count, waited),
            Event::MoreToRead(id) => self.on_more_to_read(id),
            Event::SocketEmpty(id) => self.on_socket_empty(now, id),
            Event::ReadToEnd(id) => self.on_read_to_end(now, id),
            Event::Written(id, count) => self.on_written(now, id, count),
            Event::Closed(id) => self.on_closed(now, id),
            Event::ConnectDenied(id) => self.on_connect_denied(now, id),
            Event::WriteBlocked(id) => self.on_write_blocked(now, id),
            Event::ResourcesSampled(sample) => self.on_resources_sampled(now, sample),
            Event::IterationEnded(busy, unread_sockets) => {
                let unread_bytes = self.clients.unread_bytes();
                self.overload.end_iteration(now, busy, unread_sockets, unread_bytes, &self.connections);
            }
            Event::ListenerClosed => self.shutdown.set_listener_closed(),
            Event::Stalled(span) => self.on_stalled(now, span),
            Event::DatagramReceived(from, bytes) => self.on_datagram(now, from, &bytes),
            Event::ConfigurationReloaded(launch) => self.on_configuration_reloaded(now, *launch),
            Event::Terminate => self.begin_shutdown(now),
            Event::Tick => {
                self.tick(now);
                self.stall = Span::ZERO;
            }
        }
        if self.shutdown.is_complete(self.clients.len()) {
            self.effects.push(Effect::Exit);
        }
        std::mem::take(&mut self.effects)
    }

    fn on_stalled(&mut self, now: Time, span: Span) {
        self.overload.record_stall(now);
        tracing::warn!(stalled_ms = %format_args!("{:.0}", span.secs() * 1e3), "process stalled");
        self.stall = span;
    }

    /// Applies the parts of a reloaded configuration that can change while the process runs, and logs the changes that
    /// need a restart.
    fn on_configuration_reloaded(&mut self, now: Time, launch: Launch) {
        for key in self.fixed.differing(&launch.fixed) {
            tracing::warn!(key, "configuration change needs a restart");
        }
        tracing::info!(discovery = %launch.discovery, "configuration reloaded");
        self.limits = launch.limits;
        self.overload.reconfigure(now, &launch.operator, launch.resource_limits, self.methods.len());
        self.move_watch(now, launch.discovery);
    }

    /// Handles the work that the batch of events has left, such as unread input of clients, and everything whose time
    /// has come.
    fn tick(&mut self, now: Time) {
        // The whole batch has been read by now, including the ends of connections, so no RPC begins for a client that
        // is known to have left.
        self.read_ready_clients(now);
        self.request_final_reads();
        self.retry_denied_connects();
        self.handle_deadlines(now);
        self.evict_excess_clients(now);
        self.tick_shutdown(now);
        self.tick_peers(now);
        self.tick_router(now);
        self.update_accepting();
        // Deferred clients are read only after the next events, which may show that a client left while it was
        // answered.
        for id in self.clients.take_deferred() {
            if let Some(client) = self.connections.client_mut(id) {
                client.end_iteration();
                self.clients.push_ready(id);
            }
        }
        if now - self.stats.logged_at() >= self.limits.stats_interval {
            self.log_stats(now);
        }
    }

    /// Ticks the routing core, and carries out the decisions, health checks and other requests that it returns.
    fn tick_router(&mut self, now: Time) {
        self.router.set_clock_difference(self.reference_clock.difference(now));
        let output = self.router.tick(now);
        for (rpc, decision) in output.decisions {
            self.apply_decision(now, rpc, decision);
        }
        for member in output.health_checks {
            self.start_health_check(now, member);
        }
        if !output.gossip.is_empty() {
            self.publish_updates(now, &output.gossip);
        }
        if output.poll_endpoints {
            self.start_watch(now);
        }
        for member in output.retired_members {
            self.retire_member(member.0 as usize);
        }
        for message in output.log_messages {
            tracing::info!("{}", self.members.names().expand_names(&message));
        }
        self.record_exceptions(output.exceptions);
        self.router_wake_at = output.wake_at;
    }
}
