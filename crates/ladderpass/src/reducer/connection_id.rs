//! The ids by which the event loop and the reducer refer to connections.

/// The id of a connection. An id is not reused during the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);
