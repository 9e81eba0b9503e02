//! The state that all iterations of the event loop share, and the functions that pass events to the reducer.

use super::clock::{Clock, span};
use super::datagrams::{MAX_DATAGRAM_BYTES, PeerSocket};
use super::deferred::DeferredCalls;
use super::listener::{Listener, RegisteredListener};
use super::reload::ConfigurationReload;
use super::resource_usage::ResourceUsage;
use crate::connection_table::{ConnectionTable, EventSource};
use crate::launch::Launch;
use crate::limits::Limits;
use crate::reducer::{ConnectionId, Effect, Event, Reducer};
use calloop::LoopHandle;
use std::collections::VecDeque;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// A running router: its sockets, its reducer, and its pending work.
pub(super) struct Server {
    pub(super) clock: Clock,
    pub(super) reducer: Reducer,
    pub(super) connections: ConnectionTable,
    pub(super) listener: Listener<Server>,
    /// The socket for messages between routers, or `None` if the operator's file names no peers.
    pub(super) peer_socket: Option<PeerSocket>,
    pub(super) reload: ConfigurationReload,
    pub(super) usage: ResourceUsage,
    pub(super) limits: EventLoopLimits,
    /// System calls that failed temporarily and are made again.
    pub(super) deferred: DeferredCalls,
    /// Effects that the reducer has returned and that have not been carried out.
    pub(super) effects: Vec<Effect>,
    /// Whether the reducer has handled an event since its last tick. The events that `sample_usage` passes do not
    /// count.
    pub(super) has_pending_events: bool,
    /// Connections that are ready and have not been handled: first those that this router opened, then those of
    /// clients.
    pub(super) ready: VecDeque<ConnectionId>,
    /// Connections that a call of `read` left before their sockets were empty, because it had made as many reads as one
    /// event allows.
    pub(super) partly_read: Vec<ConnectionId>,
    /// Whether the connections were polled for events in this iteration of the event loop.
    pub(super) polled: bool,
    /// The latest time at which the event loop should have woken from its wait.
    pub(super) wake_by: Option<Instant>,
    /// Whether the reducer has requested the end of the process.
    pub(super) is_exiting: bool,
}

/// The sockets that the router opens at its start.
pub(super) struct Sockets {
    pub(super) connections: ConnectionTable,
    pub(super) listener: RegisteredListener,
    pub(super) peer_socket: Option<PeerSocket>,
}

/// How much work one iteration does, and how long the event loop waits.
pub(super) struct EventLoopLimits {
    /// How many reads are made from one connection before other connections are read.
    pub(super) reads_per_event: usize,
    /// How many ready connections, or datagrams, are handled before the reducer's next tick.
    pub(super) sockets_per_iteration: usize,
    pub(super) max_wait: Duration,
    pub(super) stall_threshold: Duration,
    /// The maximum age of the last poll of connections. If the last poll is older, the connections are polled again
    /// before any deadline is checked.
    pub(super) max_poll_age: Duration,
    pub(super) failed_call_backoff: Duration,
    pub(super) failure_timeout: Duration,
}

impl EventLoopLimits {
    fn of(limits: &Limits) -> EventLoopLimits {
        EventLoopLimits {
            reads_per_event: limits.reads_per_event,
            sockets_per_iteration: limits.sockets_per_iteration,
            max_wait: limits.max_poll_wait,
            stall_threshold: limits.stall_threshold,
            max_poll_age: limits.max_poll_age,
            failed_call_backoff: limits.failed_call_backoff,
            failure_timeout: limits.event_loop_failure_timeout,
        }
    }
}

impl Server {
    pub(super) fn start(
        launch: Launch,
        operator_file: Option<PathBuf>,
        handle: LoopHandle<'static, Server>,
        sockets: Sockets,
    ) -> Server {
        let denied_connect_backoff =
            Duration::from_nanos(launch.limits.denied_connect_backoff.nanos().max(0) as u64);
        let limits = EventLoopLimits::of(&launch.limits);
        let reload = ConfigurationReload::new(operator_file, launch.limits.reload_retry);
        let clock = Clock::start(launch.clock_offset);
        let reducer = Reducer::start(clock.now(), launch);
        Server {
            clock,
            reducer,
            connections: sockets.connections,
            listener: Listener::new(handle, sockets.listener, denied_connect_backoff),
            peer_socket: sockets.peer_socket,
            reload,
            usage: ResourceUsage::start(),
            limits,
            deferred: DeferredCalls::default(),
            effects: Vec::new(),
            has_pending_events: false,
            ready: VecDeque::new(),
            partly_read: Vec::new(),
            polled: false,
            wake_by: None,
            is_exiting: false,
        }
    }

    /// Passes an event to the reducer, and stores the effects that the reducer returns.
    pub(super) fn apply(&mut self, event: Event) {
        let now = self.clock.now();
        self.has_pending_events = !matches!(event, Event::Tick);
        let effects = self.reducer.handle(now, event);
        self.effects.extend(effects);
    }

    /// Reports a stall if the event loop woke long after the end of its wait, and marks the event loop as awake. This
    /// method is called both before connections are polled and before clients are accepted. Each call clears `wake_by`,
    /// so only the first call after a wait can report a stall.
    pub(super) fn check_stall(&mut self) {
        self.usage.mark_awake();
        let late = self.wake_by.take().map(|by| Instant::now().saturating_duration_since(by));
        if let Some(late) = late.filter(|&late| late >= self.limits.stall_threshold) {
            self.apply(Event::Stalled(span(late + self.limits.max_wait)));
        }
    }

    /// Handles the event loop's notification that connections are ready.
    pub(super) fn on_connections_ready(&mut self) {
        self.check_stall();
        self.poll_connections();
    }

    /// Queues the connections that are ready. Connections that this router opened go to the front of the queue, because
    /// members' answers finish RPCs while clients' statements start new RPCs. A connection that its client has closed
    /// is handled at once, before the queue: the client's statements do not become RPCs, so that members don't work on
    /// RPCs whose clients have left.
    pub(super) fn poll_connections(&mut self) {
        self.polled = true;
        let mut closed_clients = Vec::new();
        let ready = &mut self.ready;
        let polled = self.connections.poll(|id, source| match source {
            EventSource::Member => ready.push_front(id),
            EventSource::Client => ready.push_back(id),
            EventSource::ClosedClient => closed_clients.push(id),
        });
        if let Err(error) = polled {
            tracing::error!(%error, "connections can't be polled");
        }
        for id in closed_clients {
            self.apply(Event::Closed(id));
        }
    }

    /// Receives a limited number of datagrams, so that a flood of them can't block the event loop. The reducer decides
    /// which senders it accepts.
    pub(super) fn receive_datagrams(&mut self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..self.limits.sockets_per_iteration {
            let Some(socket) = &self.peer_socket else { return };
            let Some(datagram) = socket.receive(&mut buffer) else { return };
            self.apply(Event::DatagramReceived(datagram.from, datagram.bytes));
        }
    }

    /// Reads the configuration again after SIGHUP, and passes it to the reducer if it is valid.
    pub(super) fn reload_configuration(&mut self) {
        let launch = self.reload.reload();
        self.on_configuration_read(launch);
    }

    /// Retries a failed reload if the next attempt is due.
    pub(super) fn retry_reload(&mut self) {
        let launch = self.reload.retry_if_due();
        self.on_configuration_read(launch);
    }

    fn on_configuration_read(&mut self, launch: Option<Launch>) {
        if let Some(launch) = launch {
            self.apply(Event::ConfigurationReloaded(Box::new(launch)));
        }
    }
}
