//! Connections, and the operations on them that the engine asks the driver for.

use crate::plan::Side;
use ladderpass_routing::Time;

/// A connection of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId {
    /// Index of the link in the plan.
    pub link: usize,
    /// Number of the connection among those of the link, counted from 1.
    pub number: u64,
}

/// An operation on a connection, with the time at which it is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledOperation {
    /// The connection that the operation acts on.
    pub connection: ConnectionId,
    /// The earliest time at which the operation may be executed.
    pub at: Time,
    /// What the driver does to the connection.
    pub operation: Operation,
}

impl ScheduledOperation {
    pub(super) fn new(connection: ConnectionId, at: Time, operation: Operation) -> ScheduledOperation {
        ScheduledOperation { connection, at, operation }
    }
}

/// A connection that was accepted on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedConnection {
    /// The accepted connection.
    pub connection: ConnectionId,
    /// Whether the driver opens a connection to the link's target and forwards bytes.
    pub forwarded: bool,
    /// Operations on the new connection.
    pub operations: Vec<ScheduledOperation>,
}

/// An operation on a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Sends the bytes to the given side of the connection.
    Send(Side, Vec<u8>),
    /// Ends the direction towards the given side of the connection.
    EndDirection(Side),
    /// Closes both sockets of the connection.
    Close,
    /// Resets both sockets of the connection.
    Reset,
}
