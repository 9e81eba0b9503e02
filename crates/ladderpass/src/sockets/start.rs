//! The start of the router, which opens everything that the event loop waits for, and retries each step that fails
//! temporarily.

use super::datagrams::{self, PeerSocket};
use super::listener::{self, RegisteredListener};
use super::server::{Server, Sockets};
use super::signals;
use crate::connection_table::ConnectionTable;
use crate::io_errors::is_transient_at_start;
use crate::launch::Launch;
use crate::limits::Limits;
use calloop::generic::Generic;
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The step at which a start of the router failed, with the error.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The event loop or the epoll set of connections could not be created, or the epoll set could not be registered
    /// with the event loop.
    #[error("event loop: {0}")]
    EventLoop(#[source] io::Error),
    /// The handler of SIGTERM, SIGINT and SIGHUP could not be set up.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The UDP socket for messages between routers could not be opened or registered.
    #[error("peers.listen: {address}: {source}")]
    PeerSocket {
        /// The address that the UDP socket was to be bound to.
        address: SocketAddr,
        /// The system's error for the socket.
        source: io::Error,
    },
    /// The socket that clients connect to could not be opened.
    #[error("RELAY_LISTEN: {address}: {source}")]
    Listen {
        /// The address that the socket was to listen at.
        address: SocketAddr,
        /// The system's error for the socket.
        source: io::Error,
    },
    /// The socket that clients connect to could not be registered with the event loop.
    #[error("listener: {0}")]
    Listener(#[source] io::Error),
}

impl StartError {
    /// Returns whether a start that failed with this error may succeed a little later.
    fn is_transient(&self) -> bool {
        match self {
            StartError::EventLoop(error)
            | StartError::Signals(error)
            | StartError::Listener(error)
            | StartError::PeerSocket { source: error, .. }
            | StartError::Listen { source: error, .. } => is_transient_at_start(error),
        }
    }
}

/// The event loop, and the sockets for whose events the loop waits.
pub(super) struct StartedSockets {
    pub(super) event_loop: EventLoop<'static, Server>,
    pub(super) sockets: Sockets,
}

/// Opens all sockets of the router. If a step fails with a transient error, retries the step for a while, for example
/// because the address may still belong to a process that is about to end.
///
/// The listening socket accepts connections only after every other step has succeeded: if a later step failed, the
/// kernel would reset the clients that had connected.
pub(super) fn open_with_retries(launch: &Launch) -> Result<StartedSockets, StartError> {
    let retries = StartRetries::begin(&launch.limits);
    let event_loop = retries.run(open_event_loop)?;
    let handle = event_loop.handle();
    let connections = retries.run(|| open_connection_table(&handle))?;
    let peer_address = launch.operator.peers.as_ref().map(|peers| peers.listen);
    let peer_socket =
        peer_address.map(|address| retries.run(|| open_peer_socket(&handle, address))).transpose()?;
    let listener = retries.run(|| bind_listener(&handle, launch.fixed.listen))?;
    let mut signals = Some(retries.run(|| signals::open().map_err(StartError::Signals))?);
    retries.run(|| signals::register(&handle, &mut signals).map_err(StartError::Signals))?;
    retries.run(|| start_listening(&listener, launch))?;
    Ok(StartedSockets { event_loop, sockets: Sockets { connections, listener, peer_socket } })
}

/// The retries of the steps of a start that fail with transient errors.
struct StartRetries {
    give_up_at: Instant,
    interval: Duration,
}

impl StartRetries {
    fn begin(limits: &Limits) -> StartRetries {
        StartRetries {
            give_up_at: Instant::now() + limits.start_retry_timeout,
            interval: limits.start_retry_interval,
        }
    }

    /// Runs a step of the start until the step succeeds, fails with a lasting error, or the time for retries is over.
    fn run<T>(&self, mut step: impl FnMut() -> Result<T, StartError>) -> Result<T, StartError> {
        loop {
            match step() {
                Err(error) if error.is_transient() && Instant::now() < self.give_up_at => {
                    tracing::warn!(%error, "start failed, retrying");
                    std::thread::sleep(self.interval);
                }
                done => return done,
            }
        }
    }
}

fn open_event_loop() -> Result<EventLoop<'static, Server>, StartError> {
    EventLoop::try_new().map_err(system_error).map_err(StartError::EventLoop)
}

fn open_connection_table(handle: &LoopHandle<'static, Server>) -> Result<ConnectionTable, StartError> {
    let connections = ConnectionTable::new().map_err(StartError::EventLoop)?;
    watch(handle, connections.epoll(), Server::on_connections_ready).map_err(StartError::EventLoop)?;
    Ok(connections)
}

fn open_peer_socket(
    handle: &LoopHandle<'static, Server>,
    address: SocketAddr,
) -> Result<PeerSocket, StartError> {
    let open = || -> io::Result<PeerSocket> {
        let socket = Rc::new(datagrams::bind(address)?);
        watch(handle, socket.clone(), Server::receive_datagrams)?;
        Ok(PeerSocket::new(socket))
    };
    open().map_err(|source| StartError::PeerSocket { address, source })
}

/// Binds the socket for clients, and registers the socket with the event loop. Clients can't connect to the socket yet.
fn bind_listener(
    handle: &LoopHandle<'static, Server>,
    address: SocketAddr,
) -> Result<RegisteredListener, StartError> {
    let socket = listener::bind(address).map_err(|source| StartError::Listen { address, source })?;
    let socket = Rc::new(socket);
    let token = watch(handle, socket.clone(), Server::accept_clients).map_err(StartError::Listener)?;
    Ok(RegisteredListener { socket, token })
}

fn start_listening(listener: &RegisteredListener, launch: &Launch) -> Result<(), StartError> {
    let address = launch.fixed.listen;
    listener::listen(&listener.socket, launch.limits.backlog)
        .map_err(|source| StartError::Listen { address, source })
}

/// Registers `source` with the event loop, which calls `on_ready` whenever there is something to read.
fn watch<F: AsFd + 'static>(
    handle: &LoopHandle<'static, Server>,
    source: F,
    on_ready: fn(&mut Server),
) -> io::Result<RegistrationToken> {
    let source = Generic::new(source, Interest::READ, Mode::Level);
    let inserted = handle.insert_source(source, move |_, _, server: &mut Server| {
        on_ready(server);
        Ok(PostAction::Continue)
    });
    inserted.map_err(|failure| system_error(failure.error))
}

/// Extracts the system's error from an error of the event loop. If the error contains no system error, wraps the error
/// itself.
pub(super) fn system_error(error: calloop::Error) -> io::Error {
    match error {
        calloop::Error::IoError(error) => error,
        other => io::Error::other(other),
    }
}
