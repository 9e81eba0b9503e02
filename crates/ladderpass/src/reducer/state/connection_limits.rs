//! Whether clients are accepted, and which outgoing connects are waiting for a file descriptor.

use crate::reducer::connection_id::ConnectionId;

/// Whether clients are accepted, and which outgoing connects wait because the system had no descriptor, memory or local
/// port for them.
pub(in crate::reducer) struct ConnectionLimits {
    accepts_clients: bool,
    /// Connects that failed because the system had no descriptor, memory or local port, and for each of which another
    /// connection is being closed to free a descriptor. These connects are retried in the next tick.
    denied_connects: Vec<ConnectionId>,
}

impl ConnectionLimits {
    pub(in crate::reducer) fn new() -> ConnectionLimits {
        ConnectionLimits { accepts_clients: true, denied_connects: Vec::new() }
    }

    pub(in crate::reducer) fn has_denied_connects(&self) -> bool {
        !self.denied_connects.is_empty()
    }

    pub(in crate::reducer) fn accepts_clients(&self) -> bool {
        self.accepts_clients
    }

    /// Sets whether clients are accepted. Returns whether the value has changed.
    pub(in crate::reducer) fn set_accepts_clients(&mut self, accepts: bool) -> bool {
        std::mem::replace(&mut self.accepts_clients, accepts) != accepts
    }

    pub(in crate::reducer) fn push_denied_connect(&mut self, id: ConnectionId) {
        self.denied_connects.push(id);
    }

    pub(in crate::reducer) fn take_denied_connects(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.denied_connects)
    }
}
