//! Progress of the graceful shutdown.

use ladderpass_routing::{Span, Time};

/// Progress of the graceful shutdown.
#[derive(Default)]
pub(in crate::reducer) struct Shutdown {
    began_at: Option<Time>,
    is_listener_closed: bool,
}

impl Shutdown {
    pub(in crate::reducer) fn has_begun(&self) -> bool {
        self.began_at.is_some()
    }

    pub(in crate::reducer) fn begin(&mut self, now: Time) {
        self.began_at = Some(now);
    }

    pub(in crate::reducer) fn is_listener_closed(&self) -> bool {
        self.is_listener_closed
    }

    pub(in crate::reducer) fn set_listener_closed(&mut self) {
        self.is_listener_closed = true;
    }

    /// Returns whether the shutdown has begun, and neither the listener nor a client keeps the process running.
    pub(in crate::reducer) fn is_complete(&self, clients: usize) -> bool {
        self.began_at.is_some() && self.is_listener_closed && clients == 0
    }

    /// Returns when the listener must be closed, which is `accept_time` after the shutdown began. Returns `None` if no
    /// shutdown has begun or the listener is already closed.
    pub(in crate::reducer) fn close_listener_at(&self, accept_time: Span) -> Option<Time> {
        self.began_at.filter(|_| !self.is_listener_closed).map(|began_at| began_at + accept_time)
    }

    /// Returns whether the shutdown began at least `span` ago.
    pub(in crate::reducer) fn has_lasted(&self, now: Time, span: Span) -> bool {
        self.began_at.is_some_and(|began_at| now - began_at >= span)
    }
}
