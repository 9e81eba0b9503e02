//! Shuts down gracefully after SIGTERM. The router goes on serving for `Limits::shutdown_accept_time`, and closes each
//! client's connection behind the client's next answer. A connection is not closed while it is idle, because a statement
//! could cross that close, and its client would have to send it again. After that time the router closes the listener
//! and the idle connections, and begins no RPC. The process ends once all clients have their answers.

use crate::faulty::Faulty;
use crate::reducer::Reducer;
use crate::reducer::connection_id::ConnectionId;
use crate::reducer::event::Effect;
use crate::reducer::log_target;
use crate::reducer::state::client::AwaitedInput;
use ladderpass_routing::Time;

impl Reducer {
    pub(in crate::reducer) fn begin_shutdown(&mut self, now: Time) {
        if self.shutdown.has_begun() {
            return;
        }
        let (clients, rpcs) = (self.clients.len(), self.rpcs.len());
        tracing::info!(target: log_target::SHUTDOWN, clients, rpcs, "stopping");
        self.shutdown.begin(now);
        self.leave_fleet(now);
        if self.faulty.is(Faulty::DropsRequestsAtStop) {
            self.effects.push(Effect::Exit);
        }
    }

    pub(in crate::reducer) fn tick_shutdown(&mut self, now: Time) {
        if !self.is_past_accept_time(now) {
            return;
        }
        if !self.shutdown.is_listener_closed() {
            self.effects.push(Effect::StopListening);
        }
        // A client in the middle of a message may complete the message within the message's timeout. A statement that
        // is completed then is rejected.
        let awaiting = self.clients.awaiting(AwaitedInput::Startup);
        let awaiting = awaiting.chain(self.clients.awaiting(AwaitedInput::NextStatement));
        let has_sent_nothing = |&id: &ConnectionId| {
            self.connections.get(id).is_some_and(|connection| connection.input.is_empty())
        };
        let idle: Vec<ConnectionId> = awaiting.map(|(_, id)| id).filter(has_sent_nothing).collect();
        idle.into_iter().for_each(|id| self.close_after_final_read(now, id));
    }

    /// Returns whether the shutdown has lasted for so long that no RPC begins any more.
    pub(super) fn is_past_accept_time(&self, now: Time) -> bool {
        self.shutdown.has_lasted(now, self.limits.shutdown_accept_time)
    }
}
