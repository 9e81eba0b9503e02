//! What crosses the model's boundary: inputs of connections and members, and the replies to them.

use ladderpass_routing::{Span, Time};

/// A connection to a member, by a number that the driver assigns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// One request on a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// An empty query.
    EmptyQuery,
    /// A health check: asks for the load report.
    LoadReport,
    /// A statement of an RPC.
    Statement {
        /// Id of the RPC.
        id: Box<str>,
        /// Index of the method in the scenario.
        method: u32,
        /// How long it may wait in the member's queue.
        wait: Span,
        /// The position that the member's data must have reached.
        min_position: Option<Time>,
    },
}

/// What happens to a member.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A connection's startup message has arrived.
    ConnectionOpened(ConnectionId),
    /// A request has arrived on a connection.
    RequestReceived(ConnectionId, Request),
    /// A connection was closed by its client.
    ConnectionClosed(ConnectionId),
    /// The member crashes, and its connections with it, until `Restart`.
    Crash,
    /// The member accepts connections again.
    Restart,
    /// The member becomes the primary of its group; the primary before becomes a replica.
    BecomePrimary,
}

/// What a member answers to one request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The connection is open.
    ConnectionReady,
    /// The answer to an empty query.
    EmptyQueryResponse,
    /// The load report.
    LoadReport {
        /// Position of the member's data.
        position: Time,
        /// Whether it is the primary of its group.
        primary: bool,
        /// Statements in its queue.
        queued: usize,
    },
    /// The result of a statement.
    Row {
        /// Id of the RPC.
        id: Box<str>,
        /// Index of the method in the scenario.
        method: u32,
        /// Whether the member is the primary of its group.
        primary: bool,
        /// Position of the member's data.
        position: Time,
    },
    /// An error with this SQLSTATE; the connection stays open.
    Error(&'static str),
    /// An error with this SQLSTATE that ends the connection.
    FatalError(&'static str),
}

/// A reply on its connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// Where the reply goes.
    pub connection: ConnectionId,
    /// The reply.
    pub reply: Reply,
}
