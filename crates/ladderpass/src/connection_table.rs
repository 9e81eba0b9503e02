//! The sockets of all connections, by connection id, in one epoll set that the event loop watches as a single source.
//!
//! The table owns the sockets and records which of them are ready. It doesn't interpret bytes, and doesn't decide when
//! to read or write.

use crate::reducer::ConnectionId;
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt, sockopt};
use rustc_hash::FxHashMap;
use std::io::{self, IoSliceMut};
use std::net::TcpStream;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The number of events that one call to the kernel returns at most.
const EVENTS_PER_CALL: usize = 1024;

/// The epoll set, as an event source of the event loop.
pub struct EpollSet(Epoll);

impl AsFd for EpollSet {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.0.as_fd()
    }
}

/// A connection to a client, a member or discovery.
pub struct Connection {
    /// The connection's socket.
    pub stream: TcpStream,
    /// Whether the connect of the socket is in progress. The connect's result is known when the socket first becomes
    /// writable.
    pub connecting: bool,
    /// Whether this router opened the connection, to a member or to discovery.
    pub is_outbound: bool,
    /// Whether the last read from the socket may have left bytes in it.
    pub unread: bool,
    /// The latest time at which the socket is known to have been empty.
    pub last_empty_at: Instant,
    /// Readiness of the connection that the kernel has reported and the event loop has not handled yet. While this
    /// field is set, the connection is in the event loop's queue exactly once.
    pending: Option<Readiness>,
    /// Buffer for the control message in which the kernel passes the receive timestamp of the bytes that are read.
    timestamp_space: Vec<u8>,
}

/// The result of a read from a connection.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedBytes {
    /// The number of bytes that were read. It is 0 at the end of the stream.
    pub count: usize,
    /// When the last of the bytes that were read arrived, by the kernel's wall clock, or `None` if the kernel gave no
    /// timestamp.
    pub timestamp: Option<Duration>,
}

/// The kind of a connection that has become ready to read or write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventSource {
    /// A connection that this router opened to a member or to discovery.
    Member,
    /// A connection that a client opened.
    Client,
    /// A connection that its client has closed. The close is reported immediately, even if the connection is already
    /// queued.
    ClosedClient,
}

/// The operations that a connection's socket is ready for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Readiness {
    /// Whether the socket has bytes to read.
    pub readable: bool,
    /// Whether the socket accepts bytes to write.
    pub writable: bool,
    /// Whether the other side has closed the connection, or the connection has failed. The socket then has to be read
    /// to its end.
    pub closed: bool,
}

/// The error for a TCP stream that could not be registered in the epoll set.
#[derive(Debug, thiserror::Error)]
#[error("connection can't be registered: {source}")]
pub struct RegisterError {
    /// The TCP stream, which is still open.
    pub stream: TcpStream,
    /// The system's error for the failed registration.
    pub source: io::Error,
}

/// The sockets of all connections, by connection id, with the epoll set that watches them.
pub struct ConnectionTable {
    epoll: Rc<EpollSet>,
    // A fast hash without protection against chosen keys is safe here: the router assigns the ids itself, so no other
    // party can make them collide.
    connections: FxHashMap<ConnectionId, Connection>,
    /// When the last poll of the epoll set began that took all events that the kernel had.
    polled_at: Instant,
    events: Vec<EpollEvent>,
}

impl Connection {
    /// Creates a connection whose socket was empty at `last_empty_at`.
    pub fn new(stream: TcpStream, is_outbound: bool, last_empty_at: Instant) -> Connection {
        // Without timestamps, the time that bytes wait in the kernel counts as zero.
        if let Err(error) = setsockopt(&stream, sockopt::ReceiveTimestampns, &true) {
            tracing::debug!(%error, "receive timestamps not enabled");
        }
        Connection {
            stream,
            connecting: is_outbound,
            is_outbound,
            unread: false,
            last_empty_at,
            pending: None,
            timestamp_space: nix::cmsg_space!(nix::sys::time::TimeSpec),
        }
    }

    /// Makes one system call to read from the connection into `buffer`.
    ///
    /// # Errors
    ///
    /// Returns the system's error, including `WouldBlock` if there is nothing to read yet.
    pub fn read(&mut self, buffer: &mut [u8]) -> io::Result<ReceivedBytes> {
        let mut parts = [IoSliceMut::new(buffer)];
        let fd = self.stream.as_raw_fd();
        let message = recvmsg::<()>(fd, &mut parts, Some(&mut self.timestamp_space), MsgFlags::empty())?;
        // The bytes have been read even if the control messages can't be parsed, so a failure to parse them is not an
        // error.
        let timestamps = message.cmsgs().into_iter().flatten().filter_map(|control| match control {
            ControlMessageOwned::ScmTimestampns(timestamp) => Some(Duration::from(timestamp)),
            _ => None,
        });
        Ok(ReceivedBytes { count: message.bytes, timestamp: timestamps.last() })
    }

    /// Adds the readiness in `flags`, which the kernel has reported for this connection. Returns the kind of the
    /// connection if the connection has to be queued or, for a closed client, handled immediately.
    fn record_event(&mut self, flags: EpollFlags, polled_at: Instant) -> Option<EventSource> {
        // The last read left the socket empty, and no earlier report of the kernel is pending. So no bytes had arrived
        // by the previous poll (at `polled_at`).
        if self.pending.is_none() && !self.unread {
            self.last_empty_at = self.last_empty_at.max(polled_at);
        }
        let closed = flags.intersects(EpollFlags::EPOLLERR | EpollFlags::EPOLLHUP | EpollFlags::EPOLLRDHUP);
        let source = match self.is_outbound {
            false if closed => Some(EventSource::ClosedClient),
            _ if self.pending.is_some() => None,
            true => Some(EventSource::Member),
            false => Some(EventSource::Client),
        };
        let before = self.pending.unwrap_or_default();
        self.pending = Some(Readiness {
            readable: before.readable || flags.contains(EpollFlags::EPOLLIN),
            writable: before.writable || flags.contains(EpollFlags::EPOLLOUT),
            closed: before.closed || closed,
        });
        source
    }
}

impl ConnectionTable {
    /// Creates an empty table.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the epoll set can't be created.
    pub fn new() -> io::Result<ConnectionTable> {
        Ok(ConnectionTable {
            epoll: Rc::new(EpollSet(Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC)?)),
            connections: FxHashMap::default(),
            polled_at: Instant::now(),
            events: vec![EpollEvent::empty(); EVENTS_PER_CALL],
        })
    }

    /// Returns the epoll set, for the event loop to watch.
    pub fn epoll(&self) -> Rc<EpollSet> {
        self.epoll.clone()
    }

    /// Registers a connection with epoll and adds it to the table.
    ///
    /// # Errors
    ///
    /// Returns the stream and the system's error if the registration fails.
    pub fn add(&mut self, id: ConnectionId, connection: Connection) -> Result<(), RegisterError> {
        let flags = EpollFlags::EPOLLIN | EpollFlags::EPOLLOUT | EpollFlags::EPOLLRDHUP | EpollFlags::EPOLLET;
        match self.epoll.0.add(&connection.stream, EpollEvent::new(flags, id.0)) {
            Ok(()) => {
                self.connections.insert(id, connection);
                Ok(())
            }
            Err(error) => Err(RegisterError { stream: connection.stream, source: error.into() }),
        }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns the connection with this id.
    pub fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    /// Returns a mutable reference to the connection with this id.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(&id)
    }

    /// Closes a connection, which also removes the connection from the epoll set. Returns whether the connection was in
    /// the table.
    pub fn remove(&mut self, id: ConnectionId) -> bool {
        self.connections.remove(&id).is_some()
    }

    /// Returns when the last poll of the epoll set began that took all events that the kernel had.
    pub fn polled_at(&self) -> Instant {
        self.polled_at
    }

    /// Records that the kernel had no events of connections at the time `at`.
    pub fn record_no_events(&mut self, at: Instant) {
        self.polled_at = self.polled_at.max(at);
    }

    /// Passes each connection that has become ready to `enqueue`, without waiting. A connection that is already queued
    /// is not queued again; otherwise busy connections would fill the queue. The poll takes all events that the kernel
    /// has, so that a close behind a thousand other events is noticed together with them. The number of calls to the
    /// kernel is bounded by the number of sockets.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the call to the kernel fails.
    pub fn poll(&mut self, mut enqueue: impl FnMut(ConnectionId, EventSource)) -> io::Result<()> {
        let began = Instant::now();
        for _ in 0..=self.connections.len() / self.events.len() {
            let count = match self.epoll.0.wait(&mut self.events, EpollTimeout::ZERO) {
                Err(nix::errno::Errno::EINTR) => return Ok(()),
                count => count?,
            };
            for event in self.events.iter().take(count) {
                let id = ConnectionId(event.data());
                let Some(connection) = self.connections.get_mut(&id) else { continue };
                if let Some(source) = connection.record_event(event.events(), self.polled_at) {
                    enqueue(id, source);
                }
            }
            if count < self.events.len() {
                self.polled_at = began;
                break;
            }
        }
        Ok(())
    }

    /// Removes and returns the pending readiness of a connection, together with the connection.
    pub fn take_readiness(&mut self, id: ConnectionId) -> Option<(Readiness, &mut Connection)> {
        let connection = self.connections.get_mut(&id)?;
        Some((connection.pending.take()?, connection))
    }
}
