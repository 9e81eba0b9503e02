//! System calls that failed temporarily, for example because the kernel had no memory, and that the next iteration of
//! the event loop makes again.

use crate::reducer::ConnectionId;
use std::net::TcpStream;

/// The system calls that the next iteration of the event loop makes again.
#[derive(Default)]
pub(super) struct DeferredCalls {
    pub(super) reads: Vec<ConnectionId>,
    pub(super) writes: Vec<ConnectionId>,
    /// Accepted clients whose sockets could not be registered with epoll.
    pub(super) registrations: Vec<AcceptedClient>,
}

/// A client that was accepted from the listener.
pub(super) struct AcceptedClient {
    pub(super) id: ConnectionId,
    pub(super) stream: TcpStream,
}

impl DeferredCalls {
    pub(super) fn is_empty(&self) -> bool {
        self.reads.is_empty() && self.writes.is_empty() && self.registrations.is_empty()
    }
}
