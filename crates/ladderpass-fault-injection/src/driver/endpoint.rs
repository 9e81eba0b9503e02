//! The state of the two sockets of a connection.

use crate::engine::ConnectionId;
use crate::plan::Side;
use mio::net::TcpStream;
use std::collections::VecDeque;

/// One socket of a connection.
pub struct Endpoint {
    pub stream: TcpStream,
    pub connection: ConnectionId,
    pub side: Side,
    /// Bytes that are yet to be written to the socket.
    pub output: VecDeque<u8>,
    /// The write direction of the socket is to be shut down once the output is written.
    pub shutdown_pending: bool,
    /// The write direction of the socket has been shut down.
    pub is_shut_down: bool,
    /// The peer has ended the read direction of the socket.
    pub read_ended: bool,
    /// The socket is not read, because too many of the bytes that were read from it are held or delayed.
    pub is_paused: bool,
}

/// The way in which both sockets of a connection are closed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum CloseMode {
    /// Remaining output is written first, as far as the sockets accept it at once.
    Normal,
    /// The sockets are reset, and remaining output is dropped.
    Reset,
}

/// The sockets of one connection: one to the client and one to the server.
#[derive(Default)]
pub struct EndpointPair {
    /// Poll token of the connection's socket on each side, or None where there is no socket.
    pub endpoints: [Option<usize>; 2],
    /// Number of bytes that wait in the event loop until they are due, by the side to which they will be sent.
    pub delayed_bytes: [usize; 2],
}

impl Endpoint {
    pub fn new(stream: TcpStream, connection: ConnectionId, side: Side) -> Endpoint {
        let output = VecDeque::new();
        Endpoint {
            stream,
            connection,
            side,
            output,
            shutdown_pending: false,
            is_shut_down: false,
            read_ended: false,
            is_paused: false,
        }
    }
}
