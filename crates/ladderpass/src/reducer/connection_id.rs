//! The id by which the event loop and the reducer name a connection.

/// Names one connection for the life of the process: ids are never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);
