//! The two sockets of a connection.

use crate::engine::ConnectionId;
use crate::plan::Side;
use mio::net::TcpStream;
use std::collections::VecDeque;

/// One socket of a connection.
pub struct Endpoint {
    pub stream: TcpStream,
    pub conn: ConnectionId,
    pub side: Side,
    pub output: VecDeque<u8>,
    /// Its write direction ends once the output is written.
    pub ending: bool,
    /// It has ended its read direction.
    pub ended: bool,
    /// It is not read because too much is held or delayed.
    pub paused: bool,
}

#[derive(Default)]
pub struct EndpointPair {
    /// Tokens, by side.
    pub endpoints: [Option<usize>; 2],
    /// Delayed bytes, by the side that receives them.
    pub delayed_bytes: [usize; 2],
}

impl Endpoint {
    pub fn new(stream: TcpStream, conn: ConnectionId, side: Side) -> Endpoint {
        let output = VecDeque::new();
        Endpoint { stream, conn, side, output, ending: false, ended: false, paused: false }
    }
}
