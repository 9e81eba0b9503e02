//! The interface between the event loop and the reducer: the event loop passes in events, and carries out the effects
//! that the reducer returns.

use super::connection_id::ConnectionId;
use crate::launch::Launch;
use ladderpass_overload::ResourceSample;
use ladderpass_routing::Span;
use std::net::SocketAddr;

/// Something that happened at a socket, to the process or to its configuration.
#[derive(Debug)]
pub enum Event {
    /// A client was accepted. The id was obtained from `Reducer::next_id`.
    Accepted(ConnectionId),
    /// A TCP connection that `Effect::Connect` requested is established.
    Connected(ConnectionId),
    /// This number of bytes was read from the connection into `Reducer::read_buffer`. The span is how long the last of
    /// these bytes had waited in the kernel, or zero if the kernel gave no timestamp.
    Received(ConnectionId, usize, Span),
    /// The connection's socket may hold more bytes. Either the socket was read as often as one event allows, or a read
    /// failed temporarily.
    MoreToRead(ConnectionId),
    /// The connection's socket was read until it was empty, after bytes had been left in the socket because of
    /// `MoreToRead` or an empty `Reducer::read_buffer`.
    SocketEmpty(ConnectionId),
    /// The read that `Effect::CloseIfQuiet` requested is over. Bytes that this read found were reported before this
    /// event.
    ReadToEnd(ConnectionId),
    /// This number of bytes of `Reducer::outgoing` was written to the connection.
    Written(ConnectionId, usize),
    /// The connection was closed by the other side, has failed, or was never established.
    Closed(ConnectionId),
    /// The system had no descriptor, memory or local port for a connection that `Effect::Connect` requested.
    ConnectDenied(ConnectionId),
    /// The connection's socket accepts no more of the bytes of `Reducer::outgoing` for now.
    WriteBlocked(ConnectionId),
    /// The resource usage of the process was sampled.
    ResourcesSampled(ResourceSample),
    /// An iteration of the event loop is over. The fields are how long the iteration was busy, and how many ready
    /// sockets it left for the next iteration.
    IterationEnded(Span, usize),
    /// All connections that waited at the listener were accepted, and the listener is closed.
    ListenerClosed,
    /// The process did not run for this span. Bytes that are read in this batch of events may have waited as long.
    Stalled(Span),
    /// A datagram with these bytes has arrived from this address.
    DatagramReceived(SocketAddr, Vec<u8>),
    /// The configuration was reloaded.
    ConfigurationReloaded(Box<Launch>),
    /// The process has received SIGTERM.
    Terminate,
    /// The batch of events is over, or the time of `Reducer::wake_at` has come.
    Tick,
}

/// An action that the event loop is to carry out for the reducer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Connect to the address, and report `Connected`, `Closed` or `ConnectDenied`.
    Connect(ConnectionId, SocketAddr),
    /// Write to the connection the bytes that `Reducer::outgoing` returns.
    Write(ConnectionId),
    /// Read from the connection, because its input buffer may have space again, because the pause after a client's
    /// error is over, or because its client is about to be evicted.
    Read(ConnectionId),
    /// Close the connection with this id.
    Close(ConnectionId),
    /// Read the connection's socket until it is empty, report `ReadToEnd`, and close the connection at once if the
    /// reducer then requests its close.
    CloseIfQuiet(ConnectionId),
    /// Start accepting clients if the value is true, or stop if it is false.
    Accept(bool),
    /// Send the datagrams that `Reducer::take_datagrams` returns.
    SendDatagrams,
    /// Accept the clients that wait at the listener, close the listener, and report `ListenerClosed`. If not all of
    /// these clients can be accepted yet, the listener stays open, and the reducer requests this effect again.
    StopListening,
    /// End the process.
    Exit,
}
