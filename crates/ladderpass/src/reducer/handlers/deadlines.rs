//! Handles the deadlines of connections. A connection has at most one deadline, which depends on what the connection is
//! used for at the moment.

use crate::reducer::Reducer;
use crate::reducer::connection_id::ConnectionId;
use crate::reducer::log_target;
use crate::reducer::state::client::{AwaitedInput, ClientPhase};
use crate::reducer::state::connections::Remote;
use ladderpass_routing::{AttemptOutcome, Decision, Time};

impl Reducer {
    /// Handles all deadlines of connections that have passed.
    pub(in crate::reducer) fn handle_deadlines(&mut self, now: Time) {
        while let Some(id) = self.connections.pop_expired(now) {
            self.on_deadline(now, id);
        }
    }

    fn on_deadline(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else { return };
        match &connection.remote {
            Remote::Client(_) => self.on_client_deadline(now, id),
            Remote::Member(_) => self.on_member_deadline(now, id),
            Remote::Discovery(_) => self.on_discovery_deadline(now, id),
        }
    }

    fn on_client_deadline(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else { return };
        let Remote::Client(client) = &connection.remote else { return };
        match client.phase() {
            ClientPhase::InRpc(rpc) => {
                // The client's deadline has almost passed, so the RPC is answered now regardless of what the routing
                // core does.
                tracing::debug!(target: log_target::DEADLINES, "RPC unanswered at its deadline");
                self.answer_unserved(now, rpc, Decision::Fail);
                rpc.abandon(&mut self.router);
            }
            _ if client.is_backing_off() => self.resume_after_error(now, id),
            _ if !connection.is_closing() && client.is_refill_over(now) => {
                self.on_refill_timeout(now, id);
            }
            _ if self.connections.is_waiting_for_memory(id) => self.skip_statement(now, id),
            // The client's statement waited for buffer memory, and memory has been freed in the meantime. So the
            // timeout of the statement is `Limits::message_timeout`, as for any other statement.
            _ if let Some((AwaitedInput::StatementRest, since)) = client.awaited()
                && now < since + self.limits.message_timeout =>
            {
                self.connections.set_deadline(id, Some(since + self.limits.message_timeout));
            }
            _ if client.awaited().is_some() => self.close_after_final_read(now, id),
            _ => self.close_connection(id),
        }
    }

    fn on_member_deadline(&mut self, now: Time, id: ConnectionId) {
        let Some(member) = self.connections.member(id) else { return };
        match member.job() {
            None => self.end_member_connection(now, id, AttemptOutcome::Unreachable),
            Some(_) if !member.is_established() && now < member.connect_deadline() => {
                // The deadline of a job has passed while its connection was being established. The job ends, and its
                // query is not sent. The connection may still be established and used for another job.
                self.release_job(now, id, AttemptOutcome::Unreachable);
            }
            // The query was not fully sent, so the outcome is `Unreachable`. This is so even if the deadline is that of
            // the RPC's client and the member had little time.
            Some(_) if !member.is_query_sent() => {
                self.end_member_connection(now, id, AttemptOutcome::Unreachable);
            }
            // An answer that has begun and does not end in time would use up the time for another attempt, so the
            // connection is closed as after a malformed message.
            Some(_) if member.has_answer_begun() => {
                self.on_malformed_message(now, id);
            }
            Some(_) => self.end_member_connection(now, id, AttemptOutcome::TimedOut),
        }
    }
}
