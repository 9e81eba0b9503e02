//! The interface of the model of the members: the inputs (requests on connections, and events at members) and the
//! replies to requests.

use ladderpass_routing::{Span, Time};

/// Id of a connection to a member, assigned by the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// One request on a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// An empty query.
    EmptyQuery,
    /// A health check, which asks for the load report.
    LoadReport,
    /// A statement of an RPC.
    Statement {
        /// Id of the RPC.
        id: Box<str>,
        /// Index of the method in the scenario.
        method: u32,
        /// How long the statement may wait in the member's queue before the member rejects it.
        wait: Span,
        /// The replication position that the member's data must have reached for the member to accept the statement, or
        /// `None` if any position will do.
        min_position: Option<Time>,
    },
}

/// An event that happens to a member.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A connection's startup message has arrived.
    ConnectionOpened(ConnectionId),
    /// A request has arrived on a connection.
    RequestReceived(ConnectionId, Request),
    /// A connection was closed by its client.
    ConnectionClosed(ConnectionId),
    /// The member crashes, loses its connections, and stays down until `Restart`.
    Crash,
    /// The member accepts connections again after a crash.
    Restart,
    /// The member becomes the primary of its group, and the previous primary becomes a replica.
    BecomePrimary,
}

/// The answer of a member to one request, or to the opening of a connection.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The connection is open.
    ConnectionReady,
    /// The answer to an empty query.
    EmptyQueryResponse,
    /// The answer to a health check.
    LoadReport {
        /// Position of the member's data.
        position: Time,
        /// Whether the member is the primary of its group.
        primary: bool,
        /// Number of statements in the member's queue.
        queued: usize,
    },
    /// The result of a statement that the member completed.
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
    /// The answer is an error with this SQLSTATE, and the connection stays open.
    Error(&'static str),
    /// The answer is an error with this SQLSTATE that ends the connection.
    FatalError(&'static str),
}

/// A reply together with its connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// The connection on which the reply is sent.
    pub connection: ConnectionId,
    /// The reply to send on the connection.
    pub reply: Reply,
}
