//! Graceful shutdown after SIGTERM: the router serves on for `Limits::shutdown_accept_time`, closes each connection once it
//! is idle, then begins nothing new, and ends once all clients have their answers.

use super::Reducer;
use super::client::AwaitedInput;
use super::connection_id::ConnectionId;
use super::event::Effect;
use crate::faulty::Faulty;
use ladderpass_routing::{Span, Time};

/// How far the shutdown has come.
#[derive(Default)]
pub(super) struct Shutdown {
    began_at: Option<Time>,
    is_listener_closed: bool,
}

impl Shutdown {
    pub(super) fn has_begun(&self) -> bool {
        self.began_at.is_some()
    }

    pub(super) fn set_listener_closed(&mut self) {
        self.is_listener_closed = true;
    }

    /// Neither the listener nor a client keeps the process running.
    pub(super) fn is_complete(&self, clients: usize) -> bool {
        self.began_at.is_some() && self.is_listener_closed && clients == 0
    }

    /// When the listener is to be closed.
    pub(super) fn close_listener_at(&self, accept_time: Span) -> Option<Time> {
        self.began_at.filter(|_| !self.is_listener_closed).map(|began_at| began_at + accept_time)
    }

    fn lasts(&self, now: Time, span: Span) -> bool {
        self.began_at.is_some_and(|began_at| now - began_at >= span)
    }
}

impl Reducer {
    pub(super) fn begin_shutdown(&mut self, now: Time) {
        if self.shutdown.has_begun() {
            return;
        }
        tracing::info!(clients = self.clients.len(), rpcs = self.rpcs.len(), "stopping");
        self.shutdown.began_at = Some(now);
        self.leave_fleet(now);
        if self.faulty.is(Faulty::DropsRequestsAtStop) {
            self.effects.push(Effect::Exit);
        }
        // A client just answered is likely to write again, which would cross the close: it is served, or idle first.
        for (since, id) in self.clients.awaiting(AwaitedInput::NextStatement) {
            self.connections.set_deadline(id, Some(since + self.limits.shutdown_idle_time));
        }
    }

    pub(super) fn tick_shutdown(&mut self, now: Time) {
        if !self.is_past_accept_time(now) {
            return;
        }
        if !self.shutdown.is_listener_closed {
            self.effects.push(Effect::StopListening);
        }
        // A client in the middle of a message has its time to end it, and is rejected then.
        let awaiting = self.clients.awaiting(AwaitedInput::Startup);
        let awaiting = awaiting.chain(self.clients.awaiting(AwaitedInput::NextStatement));
        let has_sent_nothing = |&id: &ConnectionId| {
            self.connections.get(id).is_some_and(|connection| connection.input.is_empty())
        };
        let idle: Vec<ConnectionId> = awaiting.map(|(_, id)| id).filter(has_sent_nothing).collect();
        idle.into_iter().for_each(|id| self.close_after_final_read(id));
    }

    /// The shutdown has lasted for so long that nothing new is begun.
    pub(super) fn is_past_accept_time(&self, now: Time) -> bool {
        self.shutdown.lasts(now, self.limits.shutdown_accept_time)
    }
}
