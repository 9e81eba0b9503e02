//! Identifies connections between the event loop and the reducer.

/// The id of a connection. An id is not reused during the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);
