//! Calls that failed for a moment, as for want of memory, and are made again in the next iteration.

use crate::reducer::ConnectionId;
use std::net::TcpStream;

/// What is still to be done once a call no longer fails.
#[derive(Default)]
pub(super) struct DeferredCalls {
    pub(super) reads: Vec<ConnectionId>,
    pub(super) writes: Vec<ConnectionId>,
    /// Accepted clients whose sockets could not be registered with epoll.
    pub(super) registrations: Vec<AcceptedClient>,
}

/// A client that the listener gave out.
pub(super) struct AcceptedClient {
    pub(super) id: ConnectionId,
    pub(super) stream: TcpStream,
}

impl DeferredCalls {
    pub(super) fn is_empty(&self) -> bool {
        self.reads.is_empty() && self.writes.is_empty() && self.registrations.is_empty()
    }
}
