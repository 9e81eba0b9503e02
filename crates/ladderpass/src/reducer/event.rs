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
    /// This number of bytes was read into `Reducer::read_buffer`. The span is how long the last of them had waited in
    /// the kernel, or zero if the kernel gave no timestamp.
    Received(ConnectionId, usize, Span),
    /// The socket may hold more bytes: either it was read as often as one event allows, or a read failed temporarily.
    MoreToRead(ConnectionId),
    /// The socket was read until it was empty, after an earlier `MoreToRead` or an empty `Reducer::read_buffer`.
    SocketEmpty(ConnectionId),
    /// The read that `Effect::CloseIfQuiet` requested is over. The bytes that it found were reported before this event.
    ReadToEnd(ConnectionId),
    /// This number of bytes of `Reducer::outgoing` was written.
    Written(ConnectionId, usize),
    /// The connection was closed by the other side, has failed, or was never established.
    Closed(ConnectionId),
    /// The system had no descriptor or no memory for a connection that `Effect::Connect` requested.
    ConnectDenied(ConnectionId),
    /// The socket accepts no more of `Reducer::outgoing` for now.
    WriteBlocked(ConnectionId),
    /// The process's resource usage was sampled.
    ResourcesSampled(ResourceSample),
    /// An iteration of the event loop is over. The fields are how long it was busy, and how many ready sockets it left
    /// for the next iteration.
    IterationEnded(Span, usize),
    /// All connections that waited at the listener were accepted, and it is closed.
    ListenerClosed,
    /// The process did not run for this span. Bytes that are read in this batch may have waited for as long.
    Stalled(Span),
    /// A datagram has arrived from this address.
    DatagramReceived(SocketAddr, Vec<u8>),
    /// The configuration was reloaded.
    ConfigurationReloaded(Box<Launch>),
    /// The process has received SIGTERM.
    Terminate,
    /// The batch of events is over, or the time of `Reducer::wake_at` has come.
    Tick,
}

/// Something that the event loop is to do for the reducer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Connect to the address, and report `Connected`, `Closed` or `ConnectDenied`.
    Connect(ConnectionId, SocketAddr),
    /// Write the bytes that `Reducer::outgoing` returns.
    Write(ConnectionId),
    /// Read the connection, because its buffer may take more bytes again or its client is about to be evicted.
    Read(ConnectionId),
    /// Close the connection.
    Close(ConnectionId),
    /// Read the socket until it is empty, report `ReadToEnd`, and close the connection at once if the reducer still
    /// requests that.
    CloseIfQuiet(ConnectionId),
    /// Start or stop accepting clients.
    Accept(bool),
    /// Send the datagrams that `Reducer::take_datagrams` returns.
    SendDatagrams,
    /// Accept the clients that wait at the listener, close it, and report `ListenerClosed`. If not all of them can be
    /// accepted yet, the reducer requests this again.
    StopListening,
    /// End the process.
    Exit,
}
