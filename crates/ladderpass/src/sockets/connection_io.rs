//! Connects, reads, writes and closes connections. Reads and writes use the reducer's buffers directly.

use super::server::Server;
use crate::connection_table::{Connection, ReceivedBytes, RegisterError};
use crate::io_errors::{is_resource_exhausted, is_transient};
use crate::reducer::{ConnectionId, Effect, Event};
use ladderpass_routing::Span;
use nix::errno::Errno;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

/// When a socket counts as read until it was empty.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadMode {
    /// The socket counts as empty after a read that has not filled its buffer. The kernel reports bytes that arrive
    /// later.
    UntilShortRead,
    /// The socket counts as empty only after a read that would block. A read that has not filled its buffer does not
    /// show whether the other side closed the connection behind the bytes.
    UntilBlocked,
}

/// The next step after a single read of a connection.
enum ReadStep {
    /// The socket may hold more bytes to read.
    Continue,
    /// The socket is empty. The read that showed this began at the given time.
    SocketEmpty(Instant),
    /// Nothing more can be read from the connection now, since the connection is closed or not established, the reducer
    /// has no space for more bytes, or the call failed.
    Stop,
}

impl Server {
    /// Starts to connect to `address`. If the connect fails at once, the failure is reported to the reducer as an
    /// event.
    pub(super) fn connect(&mut self, id: ConnectionId, address: SocketAddr) {
        let registered = begin_connect(address)
            .and_then(|stream| self.register(id, stream, true).map_err(|error| error.source));
        if let Err(error) = registered {
            tracing::debug!(%address, %error, "connect failed");
            let exhausted = is_resource_exhausted(&error);
            self.apply(if exhausted { Event::ConnectDenied(id) } else { Event::Closed(id) });
        }
    }

    /// Sets the options of a connection's socket, and adds the connection to the connection table.
    pub(super) fn register(
        &mut self,
        id: ConnectionId,
        stream: TcpStream,
        is_outbound: bool,
    ) -> Result<(), RegisterError> {
        if let Err(source) = stream.set_nonblocking(true) {
            return Err(RegisterError { stream, source });
        }
        // Without TCP_NODELAY some answers arrive a little later, which is no reason to fail.
        if let Err(error) = stream.set_nodelay(true) {
            tracing::debug!(%error, "TCP_NODELAY not set");
        }
        let last_empty_at = if is_outbound { Instant::now() } else { self.listener.empty_at() };
        self.connections.add(id, Connection::new(stream, is_outbound, last_empty_at))
    }

    /// Handles a limited number of ready connections, because a large batch would delay timers, deadlines and members'
    /// answers. The remaining connections are handled after the reducer's next tick.
    pub(super) fn handle_ready_connections(&mut self) {
        for _ in 0..self.limits.sockets_per_iteration {
            let Some(id) = self.ready.pop_front() else { return };
            self.handle_ready_connection(id);
        }
    }

    fn handle_ready_connection(&mut self, id: ConnectionId) {
        let Some((ready, connection)) = self.connections.take_readiness(id) else { return };
        let is_outbound = connection.is_outbound;
        if connection.connecting {
            match connection.stream.take_error() {
                Ok(None) if ready.writable => {
                    connection.connecting = false;
                    self.apply(Event::Connected(id));
                }
                Ok(None) => return,
                Ok(Some(_)) | Err(_) => return self.apply(Event::Closed(id)),
            }
        }
        // `poll_connections` has already reported that the client closed the connection.
        if ready.closed && !is_outbound {
            return;
        }
        if ready.writable {
            self.write(id);
        }
        if ready.readable || ready.closed {
            self.read(id, if ready.closed { ReadMode::UntilBlocked } else { ReadMode::UntilShortRead });
        }
    }

    /// Reads the bytes that are available on a connection while the reducer has space for them. The number of reads is
    /// limited, so that a client that sends without pause does not starve the others. If bytes stay unread, the reducer
    /// gets `Event::SocketEmpty` once the socket has been read to its end.
    pub(super) fn read(&mut self, id: ConnectionId, mode: ReadMode) {
        for _ in 0..self.limits.reads_per_event {
            match self.read_once(id, mode) {
                ReadStep::Continue => {}
                ReadStep::SocketEmpty(read_began_at) => return self.on_socket_empty(id, read_began_at),
                ReadStep::Stop => return,
            }
        }
        if let Some(connection) = self.connections.get_mut(id) {
            connection.unread = true;
            self.apply(Event::MoreToRead(id));
            self.partly_read.push(id);
        }
    }

    fn read_once(&mut self, id: ConnectionId, mode: ReadMode) -> ReadStep {
        let Some(connection) = self.connections.get_mut(id).filter(|connection| !connection.connecting)
        else {
            return ReadStep::Stop;
        };
        let buffer = self.reducer.read_buffer(id);
        if buffer.is_empty() {
            connection.unread = true;
            return ReadStep::Stop;
        }
        let wanted = buffer.len();
        let read_began_at = Instant::now();
        match connection.read(buffer) {
            Ok(ReceivedBytes { count: 0, .. }) => self.apply(Event::Closed(id)),
            Ok(ReceivedBytes { count, timestamp }) => {
                let last_empty_at = connection.last_empty_at;
                let waited = timestamp.map_or(Span::ZERO, |at| self.clock.time_in_kernel(at, last_empty_at));
                self.apply(Event::Received(id, count, waited));
                let is_socket_empty = count < wanted && mode == ReadMode::UntilShortRead;
                return if is_socket_empty {
                    ReadStep::SocketEmpty(read_began_at)
                } else {
                    ReadStep::Continue
                };
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                return ReadStep::SocketEmpty(read_began_at);
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => return ReadStep::Continue,
            Err(error) if is_transient(&error) => {
                connection.unread = true;
                self.deferred.reads.push(id);
                self.apply(Event::MoreToRead(id));
            }
            Err(_) => self.apply(Event::Closed(id)),
        }
        ReadStep::Stop
    }

    /// Records that a read that began at `read_began_at` emptied the socket. Reports `Event::SocketEmpty` to the
    /// reducer if bytes had been left unread in the socket before.
    fn on_socket_empty(&mut self, id: ConnectionId, read_began_at: Instant) {
        let was_unread = self.connections.get_mut(id).is_some_and(|connection| {
            connection.last_empty_at = read_began_at;
            std::mem::take(&mut connection.unread)
        });
        if was_unread {
            self.apply(Event::SocketEmpty(id));
        }
    }

    /// Writes the outgoing bytes of a connection, as far as the socket accepts them.
    pub(super) fn write(&mut self, id: ConnectionId) {
        loop {
            let Some(connection) = self.connections.get_mut(id).filter(|connection| !connection.connecting)
            else {
                return;
            };
            let bytes = self.reducer.outgoing(id);
            if bytes.is_empty() {
                return;
            }
            match connection.stream.write(bytes) {
                Ok(count) => self.apply(Event::Written(id, count)),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return self.apply(Event::WriteBlocked(id));
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // The write failed temporarily. The kernel reports no event if the socket was writable all the time, so
                // the write is made again in the next iteration.
                Err(error) if is_transient(&error) => return self.deferred.writes.push(id),
                Err(_) => return self.apply(Event::Closed(id)),
            }
        }
    }

    /// Closes a connection. The close ends a suspension of the listener, because a descriptor is free again.
    pub(super) fn close(&mut self, id: ConnectionId) {
        if self.connections.remove(id) {
            self.listener.on_descriptor_released();
        }
    }

    /// Closes a connection before all other effects are carried out, if the reducer has requested the close.
    pub(super) fn close_if_requested(&mut self, id: ConnectionId) {
        if let Some(nth) = self.effects.iter().rposition(|effect| *effect == Effect::Close(id)) {
            self.effects.remove(nth);
            self.close(id);
        }
    }

    /// Reads a connection's socket until it is empty, and closes the connection if the reducer then requests the close.
    /// Nothing else happens between the last read and the close, so a statement that had already arrived is not lost.
    pub(super) fn close_if_quiet(&mut self, id: ConnectionId) {
        self.read(id, ReadMode::UntilBlocked);
        self.apply(Event::ReadToEnd(id));
        self.close_if_requested(id);
    }
}

/// Opens a TCP socket and starts a non-blocking connect to `address`.
fn begin_connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Err(error) if error.raw_os_error() != Some(Errno::EINPROGRESS as i32) => Err(error),
        _ => Ok(socket.into()),
    }
}
