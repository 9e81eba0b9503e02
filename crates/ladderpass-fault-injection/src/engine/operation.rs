//! Connections, and the operations on them that the engine asks the driver for.

use crate::plan::Side;
use ladderpass_routing::Time;

/// A connection of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId {
    /// Index of the link in the plan.
    pub link: usize,
    /// Number of the connection on that link, from 1 on.
    pub number: u64,
}

/// An operation on a connection, at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledOperation {
    /// The connection.
    pub connection: ConnectionId,
    /// Not before.
    pub at: Time,
    /// The operation.
    pub operation: Operation,
}

impl ScheduledOperation {
    pub(super) fn new(connection: ConnectionId, at: Time, operation: Operation) -> ScheduledOperation {
        ScheduledOperation { connection, at, operation }
    }
}

/// A connection that was accepted on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opened {
    /// The connection.
    pub connection: ConnectionId,
    /// Whether it is forwarded.
    pub forwarded: bool,
    /// What is done to it.
    pub operations: Vec<ScheduledOperation>,
}

/// What is done to a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Bytes are sent to this side.
    Send(Side, Vec<u8>),
    /// The direction towards this side ends.
    EndDirection(Side),
    /// Both ends are closed.
    Close,
    /// Both ends are reset.
    Reset,
}
