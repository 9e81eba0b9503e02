//! Connections of a load: opens, writes and reads them, and replaces those that a router ends.

use super::closed_connections::ClosedConnection;
use super::generator::{ClientConnection, ClientKind, InFlightRpc, LoadGenerator, PartialAnswer, Reconnect};
use super::outcome::ConnectionEnd;
use ladderpass_emulator::{now, proto};
use ladderpass_routing::{Span, Time};
use mio::net::TcpStream;
use mio::{Interest, Token};
use rand::Rng;
use rand_distr::Exp1;
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;

/// `EINPROGRESS`, which a non-blocking connect returns while the connection is being established.
const CONNECT_IN_PROGRESS: i32 = 115;
/// Delay before a lost connection is reopened, if there are several routers. With a single router it is reopened at
/// once.
const RECONNECT_DELAY: Span = Span::from_millis(50);
/// Size of the receive buffer of a slow reader. The buffer is small so that unread answers wait in the router and not
/// in the kernel.
const SLOW_READER_RECEIVE_BYTES: usize = 4096;

/// What showed a client that its connection has ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LostBy {
    EndOfStream,
    Refusal,
    Reset,
}

impl LostBy {
    fn of_error(error: &io::Error) -> LostBy {
        if error.kind() == ErrorKind::ConnectionRefused { LostBy::Refusal } else { LostBy::Reset }
    }

    fn connection_end(self) -> Option<ConnectionEnd> {
        match self {
            LostBy::EndOfStream => Some(ConnectionEnd::Closed),
            LostBy::Refusal => None,
            LostBy::Reset => Some(ConnectionEnd::Reset),
        }
    }
}

impl LoadGenerator<'_> {
    /// Reopens lost connections that are due, and reconnects idle roaming connections whose stay is over. The load
    /// balancer draws the router of each connection, which may be the same router as before.
    pub fn reconnect_due(&mut self, now: Time) -> io::Result<()> {
        while let Some(first) = self.reconnects.first_entry()
            && first.key().0 <= now
        {
            let Reconnect { index, kind } = first.remove();
            self.clients[index] = Some(self.connect(kind, index)?);
        }
        for index in 0..self.clients.len() {
            let moves = |client: &ClientConnection| {
                client.in_flight.is_empty() && client.moves_at.is_some_and(|moves_at| moves_at <= now)
            };
            if self.clients[index].as_ref().is_some_and(moves) {
                self.clients[index] = Some(self.connect(ClientKind::Normal, index)?);
            }
        }
        Ok(())
    }

    /// Opens a client's connection to a router that the load balancer draws.
    pub fn connect(&mut self, kind: ClientKind, index: usize) -> io::Result<ClientConnection> {
        let several = self.balancer.routers.len() > 1;
        let router = self.balancer.draw_router(&mut self.rng);
        let roams = several && (index as f64) < self.balancer.roaming * self.plan.connections as f64;
        let stay: f64 = if roams { self.rng.sample(Exp1) } else { 0.0 };
        let moves_at = roams.then(|| now() + self.balancer.mean_stay * stay);
        let mut stream = connect_stream(self.balancer.routers[router], kind)?;
        self.poll.registry().register(&mut stream, Token(index), Interest::READABLE | Interest::WRITABLE)?;
        let mut output = Vec::new();
        proto::put_startup(&mut output);
        Ok(ClientConnection {
            stream,
            kind,
            router,
            moves_at,
            ready: false,
            in_flight: VecDeque::new(),
            answer: PartialAnswer::default(),
            input: Vec::new(),
            output,
            written: 0,
            has_output: true,
        })
    }

    /// Writes a connection's pending output, as far as the socket accepts it.
    pub fn write(&mut self, index: usize) {
        let Some(client) = self.clients[index].as_mut() else { return };
        while client.written < client.output.len() {
            match client.stream.write(&client.output[client.written..]) {
                Ok(count) => client.written += count,
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                    client.has_output = false;
                    return;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return self.connection_lost(index, LostBy::of_error(&error)),
            }
        }
        client.output.clear();
        (client.written, client.has_output) = (0, false);
    }

    /// Reads and handles a connection's input. `closed` tells whether the router has closed its side of the connection.
    /// As long as the router has not, slow readers read nothing.
    pub fn read(&mut self, index: usize, closed: bool) {
        let mut buffer = std::mem::take(&mut self.read_buffer);
        self.read_with(index, closed, &mut buffer);
        self.read_buffer = buffer;
    }

    fn read_with(&mut self, index: usize, closed: bool, buffer: &mut [u8]) {
        loop {
            let Some(client) = self.clients[index].as_mut() else { return };
            if client.kind == ClientKind::SlowReader && !closed {
                return;
            }
            match client.stream.read(buffer) {
                Ok(0) => return self.connection_lost(index, LostBy::EndOfStream),
                Ok(count) => {
                    client.input.extend_from_slice(&buffer[..count]);
                    self.handle_input(index);
                    if count < buffer.len() && !closed {
                        return;
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return self.connection_lost(index, LostBy::of_error(&error)),
            }
        }
    }

    /// Handles the end of a connection. Counts the RPCs in flight on the connection as unanswered, and reopens the
    /// connection unless the client is a slow reader or the load has ended.
    fn connection_lost(&mut self, index: usize, lost_by: LostBy) {
        let Some(client) = self.clients[index].take() else { return };
        let now = now();
        let unanswered: Vec<InFlightRpc> =
            client.in_flight.into_iter().filter(|rpc| !rpc.background).collect();
        for rpc in &unanswered {
            if let Some(entry) = self.journal_entry(rpc.number) {
                (entry.lost, entry.refused) = (Some(now), lost_by == LostBy::Refusal);
                entry.connection_end = lost_by.connection_end();
            }
            self.in_flight -= 1;
            if !rpc.abandoned {
                self.count(rpc.due, rpc.method, |counts| counts.unanswered += 1);
            }
        }
        if lost_by == LostBy::EndOfStream && !unanswered.is_empty() {
            let mut stream = client.stream;
            // A failure is ignored: events of this socket for the index of another connection have no effect.
            let _ = self.poll.registry().deregister(&mut stream);
            self.closed_connections.push(ClosedConnection { stream, unanswered, closed_at: now });
        }
        if now >= self.ends || client.kind == ClientKind::SlowReader {
            return;
        }
        if self.balancer.is_single() {
            self.clients[index] = self.connect(client.kind, index).ok();
        } else {
            self.last_number += 1;
            let reconnect = Reconnect { index, kind: client.kind };
            self.reconnects.insert((now + RECONNECT_DELAY, self.last_number), reconnect);
        }
    }
}

/// Starts a non-blocking connect to a router.
fn connect_stream(router: SocketAddr, kind: ClientKind) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(router), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    if kind == ClientKind::SlowReader {
        socket.set_recv_buffer_size(SLOW_READER_RECEIVE_BYTES)?;
    }
    match socket.connect(&router.into()) {
        Err(error) if error.raw_os_error() != Some(CONNECT_IN_PROGRESS) => return Err(error),
        _ => {}
    }
    let stream = TcpStream::from_std(socket.into());
    stream.set_nodelay(true)?;
    Ok(stream)
}
