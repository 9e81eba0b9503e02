//! What the event loop and the reducer tell each other: an event goes in, effects come out.

use super::connection_id::ConnectionId;
use crate::launch::Launch;
use ladderpass_overload::ResourceSample;
use ladderpass_routing::Span;
use std::net::SocketAddr;

/// What happened at a socket, to the process or to its configuration.
#[derive(Debug)]
pub enum Event {
    /// A client has connected; the id is one from `Reducer::next_id`.
    Accepted(ConnectionId),
    /// A connection that `Effect::Connect` asked for is established.
    Connected(ConnectionId),
    /// So many bytes were read into `Reducer::read_buffer`; the last of them had waited that long in the kernel.
    Received(ConnectionId, usize, Span),
    /// The socket holds more than one event may read.
    MoreToRead(ConnectionId),
    /// After `MoreToRead`, or a full buffer: the socket was read until it was empty.
    SocketEmpty(ConnectionId),
    /// The socket was read once more for `Effect::CloseIfQuiet`; its bytes were reported before this.
    ReadToEnd(ConnectionId),
    /// So many bytes of `Reducer::outgoing` were written.
    Written(ConnectionId, usize),
    /// The other side has closed the connection, or it was never established.
    Closed(ConnectionId),
    /// The system had no descriptor or memory for a connection that was asked for.
    ConnectDenied(ConnectionId),
    /// The socket accepts no more of `Reducer::outgoing` for now.
    WriteBlocked(ConnectionId),
    /// The process's resource usage was sampled.
    ResourcesSampled(ResourceSample),
    /// An iteration of the event loop took that long, with so many sockets still to be read.
    IterationWorked(Span, usize),
    /// All connections that waited at the listener were accepted, and it is closed.
    ListenerClosed,
    /// The process did not run for that long: what is read in this batch may have waited since.
    Stalled(Span),
    /// A datagram has arrived from that address.
    DatagramReceived(SocketAddr, Vec<u8>),
    /// The configuration was read again.
    ConfigurationReloaded(Box<Launch>),
    /// SIGTERM.
    Terminate,
    /// The batch of events is over, or the time of `Reducer::wake_at` has come.
    Tick,
}

/// What the event loop is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Connect to the address, and report `Connected`, `Closed` or `ConnectDenied`.
    Connect(ConnectionId, SocketAddr),
    /// Write what `Reducer::outgoing` holds.
    Write(ConnectionId),
    /// Read on: the buffer has space again.
    Read(ConnectionId),
    /// Close the connection.
    Close(ConnectionId),
    /// Read the socket until it is empty, report `ReadToEnd`, and close it at once if the answer asks for that.
    CloseIfQuiet(ConnectionId),
    /// Start or stop accepting clients.
    Accept(bool),
    /// Send what `Reducer::take_datagrams` holds.
    SendDatagrams,
    /// Accept what waits at the listener, close it, and report `ListenerClosed`.
    StopListening,
    /// End the process.
    Exit,
}
