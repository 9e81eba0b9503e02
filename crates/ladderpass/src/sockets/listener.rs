//! The listening socket, and whether the event loop watches that socket.
//!
//! The event loop does not watch the socket while the reducer has no capacity for another client. After an accept
//! failed for lack of descriptors or memory, the listener is suspended until a connection closes or a backoff has
//! passed.

use calloop::{LoopHandle, RegistrationToken};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The listening socket, registered in an event loop with the shared data `D`.
pub(super) struct Listener<D: 'static> {
    handle: LoopHandle<'static, D>,
    /// The listening socket with its registration, or `None` once the socket is closed.
    socket: Option<RegisteredListener>,
    /// Whether the reducer has capacity for new clients.
    wanted: bool,
    /// Whether the event loop watches the listening socket.
    enabled: bool,
    /// The time of the failed accept for which the listener is suspended. The accept failed for lack of descriptors or
    /// memory. `None` if the listener is not suspended.
    exhausted_at: Option<Instant>,
    /// The longest time for which the listener is suspended after an accept failed for lack of descriptors or memory.
    denied_connect_backoff: Duration,
    /// When an accept last found no client waiting at the listener.
    empty_at: Instant,
}

/// A listening socket with its registration in the event loop.
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

    /// Returns the listening socket, or `None` once the socket is closed.
    pub(super) fn socket(&self) -> Option<Rc<TcpListener>> {
        self.socket.as_ref().map(|registered| registered.socket.clone())
    }

    pub(super) fn is_enabled(&self) -> bool {
        self.enabled
    }

    /// Sets whether the reducer has capacity for new clients.
    pub(super) fn set_wanted(&mut self, wanted: bool) {
        self.wanted = wanted;
        self.update();
    }

    /// Makes the event loop watch the listening socket, or stop watching it, as the listener's state requires. Each
    /// iteration of the event loop calls this method, because an earlier change may have failed.
    pub(super) fn update(&mut self) {
        self.set_enabled(self.wanted && self.exhausted_at.is_none());
    }

    /// Suspends the listener. The listening socket stays ready during the suspension, so watching the socket would wake
    /// the event loop again and again.
    pub(super) fn suspend(&mut self) {
        self.exhausted_at = Some(Instant::now());
        self.set_enabled(false);
    }

    /// Ends a suspension of the listener whose backoff has passed. Other processes may have used up the descriptors and
    /// released them again, without a close of any of this process's connections.
    pub(super) fn end_expired_suspension(&mut self) {
        if self.exhausted_at.is_some_and(|since| since.elapsed() >= self.denied_connect_backoff) {
            self.exhausted_at = None;
        }
    }

    /// Ends a suspension of the listener, because the close of a connection has released a descriptor.
    pub(super) fn on_descriptor_released(&mut self) {
        if self.exhausted_at.take().is_some() {
            self.set_enabled(self.wanted);
        }
    }

    /// Records that no client was waiting at the listener at the time `at`.
    pub(super) fn record_empty(&mut self, at: Instant) {
        self.empty_at = at;
    }

    /// Returns when an accept last found no client waiting. A client that is accepted afterwards has connected later
    /// than this time, so the client had sent nothing before.
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
            // The next iteration of the event loop retries the change.
            Err(error) => tracing::error!(%error, enabled, "listener not updated in the event loop"),
        }
    }
}

/// Opens a non-blocking TCP socket that is bound to `address`. Clients can connect only after a call of [`listen`].
pub(super) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}

/// Lets clients connect to a socket that [`bind`] has opened. The kernel queues up to `backlog` of them.
pub(super) fn listen(socket: &TcpListener, backlog: i32) -> io::Result<()> {
    SockRef::from(socket).listen(backlog)
}
