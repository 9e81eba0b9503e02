//! The connections' sockets, by connection id, in one epoll set that the event loop watches as a single source.
//!
//! The table owns the sockets and knows which of them are ready. It doesn't look into bytes, and doesn't decide when to
//! read or write.

use crate::reducer::ConnectionId;
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use nix::sys::socket::{ControlMessageOwned, MsgFlags, recvmsg, setsockopt, sockopt};
use rustc_hash::FxHashMap;
use std::io::{self, IoSliceMut};
use std::net::TcpStream;
use std::os::fd::{AsFd, AsRawFd, BorrowedFd};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Events taken from the kernel by one call.
const EVENTS_PER_CALL: usize = 1024;

/// The epoll set, as a source of the event loop.
pub struct EpollSet(Epoll);

impl AsFd for EpollSet {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.0.0.as_fd()
    }
}

/// A client's, a member's or discovery's connection.
pub struct Connection {
    /// Its socket.
    pub stream: TcpStream,
    /// The connect is under way: the first time that it is writable shows how that went.
    pub connecting: bool,
    /// Opened by this router: to a member, or to discovery.
    pub is_outbound: bool,
    /// The last read did not empty the socket.
    pub unread: bool,
    /// The latest time at which its socket is known to have been empty.
    pub last_empty_at: Instant,
    /// What the kernel reported and is still to be handled. While there is any, the connection is queued once.
    pending: Option<Readiness>,
    /// Space for the kernel's receive timestamp.
    timestamp_space: Vec<u8>,
}

/// Bytes that were read from a connection.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedBytes {
    /// How many; none at the end of the stream.
    pub count: usize,
    /// When the last of them came, by the kernel's wall clock.
    pub timestamp: Option<Duration>,
}

/// Whose connection has become ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventSource {
    /// One that this router opened.
    Member,
    /// One that a client opened.
    Client,
    /// A client that has closed its side. Reported at once, also when the connection is queued already.
    ClosedClient,
}

/// What a connection is ready for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Readiness {
    /// There are bytes to read.
    pub readable: bool,
    /// There is space to write.
    pub writable: bool,
    /// The other side has closed it, or it is broken: it is to be read to its end.
    pub closed: bool,
}

/// A stream that epoll could not watch, and why.
#[derive(Debug, thiserror::Error)]
#[error("connection can't be watched: {source}")]
pub struct RegisterError {
    /// The stream, which is still open.
    pub stream: TcpStream,
    /// Why it can't be watched.
    pub source: io::Error,
}

/// All connections, by their ids.
pub struct ConnectionTable {
    epoll: Rc<EpollSet>,
    // The ids are this router's own: nobody can choose them so that they collide.
    connections: FxHashMap<ConnectionId, Connection>,
    /// When the kernel was asked last, and gave all events that it had.
    polled_at: Instant,
    events: Vec<EpollEvent>,
}

impl Connection {
    /// A connection whose socket was empty at `last_empty_at`.
    pub fn new(stream: TcpStream, is_outbound: bool, last_empty_at: Instant) -> Connection {
        // Without timestamps the time in the kernel counts as zero.
        if let Err(error) = setsockopt(&stream, sockopt::ReceiveTimestampns, &true) {
            tracing::debug!(%error, "no receive timestamps");
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

    /// Reads once.
    ///
    /// # Errors
    ///
    /// The system's error, also where there is nothing to read yet.
    pub fn read(&mut self, buffer: &mut [u8]) -> io::Result<ReceivedBytes> {
        let mut parts = [IoSliceMut::new(buffer)];
        let fd = self.stream.as_raw_fd();
        let message = recvmsg::<()>(fd, &mut parts, Some(&mut self.timestamp_space), MsgFlags::empty())?;
        // The bytes have been read, whether or not the timestamp can be.
        let timestamps = message.cmsgs().into_iter().flatten().filter_map(|control| match control {
            ControlMessageOwned::ScmTimestampns(timestamp) => Some(Duration::from(timestamp)),
            _ => None,
        });
        Ok(ReceivedBytes { count: message.bytes, timestamp: timestamps.last() })
    }

    /// Adds what the kernel reported; the event's source if the connection has to be queued for it.
    fn record_event(&mut self, flags: EpollFlags, polled_at: Instant) -> Option<EventSource> {
        // Had what is reported now been there at the last poll, it would have been reported then.
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
    /// An empty table.
    ///
    /// # Errors
    ///
    /// The system's error where there can be no epoll set.
    pub fn new() -> io::Result<ConnectionTable> {
        Ok(ConnectionTable {
            epoll: Rc::new(EpollSet(Epoll::new(EpollCreateFlags::EPOLL_CLOEXEC)?)),
            connections: FxHashMap::default(),
            polled_at: Instant::now(),
            events: vec![EpollEvent::empty(); EVENTS_PER_CALL],
        })
    }

    /// The epoll set, to be watched by the event loop.
    pub fn epoll(&self) -> Rc<EpollSet> {
        self.epoll.clone()
    }

    /// Has a connection watched.
    ///
    /// # Errors
    ///
    /// The stream and the system's error where it can't be watched.
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

    /// How many connections there are.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// The connection with this id.
    pub fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    /// The connection with this id.
    pub fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(&id)
    }

    /// Closes a connection, which takes it out of the epoll set too.
    pub fn remove(&mut self, id: ConnectionId) -> bool {
        self.connections.remove(&id).is_some()
    }

    /// When all that the kernel had to report was known last.
    pub fn polled_at(&self) -> Instant {
        self.polled_at
    }

    /// The kernel had nothing to report at that time.
    pub fn record_no_events(&mut self, at: Instant) {
        self.polled_at = self.polled_at.max(at);
    }

    /// Hands each connection that has become ready to `enqueue`, without waiting. One that is queued already is not
    /// queued again, or busy connections would fill the queue. All events that the kernel has are taken, but no more
    /// than there are sockets: a close behind a thousand other events is known as soon as those.
    ///
    /// # Errors
    ///
    /// The system's error where the kernel can't be asked.
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

    /// Takes what a connection is ready for, with the connection.
    pub fn take_readiness(&mut self, id: ConnectionId) -> Option<(Readiness, &mut Connection)> {
        let connection = self.connections.get_mut(&id)?;
        Some((connection.pending.take()?, connection))
    }
}
