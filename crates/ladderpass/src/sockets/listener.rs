//! The listening socket, and whether the event loop watches it.
//!
//! It is disabled while the reducer has no room for another client. After an accept that failed for want of descriptors
//! or memory it is suspended until a connection closes, or a backoff has passed.

use calloop::{LoopHandle, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The listening socket in an event loop with the shared data `D`.
pub(super) struct Listener<D: 'static> {
    handle: LoopHandle<'static, D>,
    /// None once it is closed.
    socket: Option<RegisteredListener>,
    /// The reducer wants new connections.
    wanted: bool,
    /// The event loop watches it.
    enabled: bool,
    /// When accept found no descriptor, or no memory.
    exhausted_at: Option<Instant>,
    /// How long it stays suspended after that at most.
    denied_connect_backoff: Duration,
    /// When an accept last found no client waiting.
    empty_at: Instant,
}

/// A listening socket that the event loop knows.
pub(super) struct RegisteredListener {
    pub(super) socket: Rc<TcpListener>,
    pub(super) token: RegistrationToken,
}

impl<D: 'static> Listener<D> {
    pub(super) fn new(
        handle: LoopHandle<'static, D>,
        socket: RegisteredListener,
        denied_connect_backoff: Duration,
    ) -> Listener<D> {
        Listener {
            handle,
            socket: Some(socket),
            wanted: true,
            enabled: true,
            exhausted_at: None,
            denied_connect_backoff,
            empty_at: Instant::now(),
        }
    }

    /// The socket to accept from; None once it is closed.
    pub(super) fn socket(&self) -> Option<Rc<TcpListener>> {
        self.socket.as_ref().map(|registered| registered.socket.clone())
    }

    pub(super) fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Whether the reducer wants new connections.
    pub(super) fn set_wanted(&mut self, wanted: bool) {
        self.wanted = wanted;
        self.update();
    }

    /// Watches the socket, or stops watching it, as is due. Called in each iteration, as a call may have failed.
    pub(super) fn update(&mut self) {
        self.set_enabled(self.wanted && self.exhausted_at.is_none());
    }

    /// Stops watching the socket, which stays ready: it would wake the loop over and over.
    pub(super) fn suspend(&mut self) {
        self.exhausted_at = Some(Instant::now());
        self.set_enabled(false);
    }

    /// Ends a suspension that has lasted for its backoff: the descriptors may have been used up by other processes,
    /// while none of this process's connections closes.
    pub(super) fn end_expired_suspension(&mut self) {
        if self.exhausted_at.is_some_and(|since| since.elapsed() >= self.denied_connect_backoff) {
            self.exhausted_at = None;
        }
    }

    /// Ends a suspension, as a connection has closed.
    pub(super) fn on_descriptor_released(&mut self) {
        if self.exhausted_at.take().is_some() {
            self.set_enabled(self.wanted);
        }
    }

    /// No client waited at that time.
    pub(super) fn record_empty(&mut self, at: Instant) {
        self.empty_at = at;
    }

    /// When an accept last found no client waiting: a client accepted since then connected later, so it had sent nothing
    /// before.
    pub(super) fn empty_at(&self) -> Instant {
        self.empty_at
    }

    pub(super) fn close(&mut self) {
        if let Some(registered) = self.socket.take() {
            self.handle.remove(registered.token);
        }
    }

    fn set_enabled(&mut self, enabled: bool) {
        let Some(RegisteredListener { token, .. }) = &self.socket else { return };
        if enabled == self.enabled {
            return;
        }
        let done = if enabled { self.handle.enable(token) } else { self.handle.disable(token) };
        match done {
            Ok(()) => self.enabled = enabled,
            // The next iteration tries again.
            Err(error) => tracing::error!(%error, enabled, "listener not updated in the event loop"),
        }
    }
}

/// Opens a socket that listens at `address`.
pub(super) fn listen(address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    Ok(socket.into())
}
