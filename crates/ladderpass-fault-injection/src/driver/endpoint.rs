//! The two sockets of a connection.

use crate::engine::ConnectionId;
use crate::plan::Side;
use mio::net::TcpStream;
use std::collections::VecDeque;

/// One socket of a connection.
pub struct Endpoint {
    pub stream: TcpStream,
    pub connection: ConnectionId,
    pub side: Side,
    /// Bytes to be written.
    pub output: VecDeque<u8>,
    /// Its write direction ends once the output is written.
    pub is_ending: bool,
    /// It has ended its read direction.
    pub has_ended: bool,
    /// It is not read because too much is held or delayed.
    pub is_paused: bool,
}

/// How both sockets of a connection are closed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Closing {
    /// What is still to be sent is written, as far as it can be.
    Normal,
    /// By a reset.
    Reset,
}

/// Both sockets of a connection.
#[derive(Default)]
pub struct EndpointPair {
    /// Tokens, by side.
    pub endpoints: [Option<usize>; 2],
    /// Delayed bytes, by the side that receives them.
    pub delayed_bytes: [usize; 2],
}

impl Endpoint {
    pub fn new(stream: TcpStream, connection: ConnectionId, side: Side) -> Endpoint {
        let output = VecDeque::new();
        Endpoint { stream, connection, side, output, is_ending: false, has_ended: false, is_paused: false }
    }
}
