//! Ends RPCs whose clients give up, by a cancel request or by the end of their connections.

use crate::reducer::Reducer;
use crate::reducer::connection_id::ConnectionId;
use crate::reducer::state::cancel_keys::CancelKey;
use crate::reducer::state::client::ClientPhase;
use crate::reducer::state::stats::Count;
use ladderpass_routing::{Decision, Time};

impl Reducer {
    /// Cancels the RPC that the client with this cancel key waits for. A key that belongs to no client is ignored. If
    /// the RPC's attempt is not fully sent, the attempt is withdrawn and the client is answered at once. If the attempt
    /// is fully sent, the attempt's outcome settles the RPC, and no further attempt is made.
    pub(super) fn cancel_rpc(&mut self, now: Time, key: CancelKey) {
        let id = self.newest_with_process_id(key.process_id);
        let is_valid = self.cancel_keys.is_valid(id, key.secret);
        let Some(client) = self.connections.client(id).filter(|_| is_valid) else { return };
        let ClientPhase::InRpc(rpc) = client.phase() else { return };
        let Some(entry) = self.rpcs.get_mut(rpc) else { return };
        entry.cancel();
        let is_write = self.methods.is_write(entry.description().method).unwrap_or(true);
        let decision =
            if entry.may_have_run() && is_write { Decision::Fail } else { Decision::AlreadyAnswered };
        let connection = entry.connection();
        if connection.is_some_and(|connection| self.is_query_sent(connection)) {
            return;
        }
        self.answer_unserved(now, rpc, decision);
        rpc.abandon(&mut self.router);
        if let Some(connection) = connection {
            self.withdraw_job(now, connection);
        }
    }

    /// Returns the newest connection id whose lower 32 bits are `process_id`, the number that a cancel request
    /// contains. Older connections with the same lower bits were closed long ago.
    fn newest_with_process_id(&self, process_id: u32) -> ConnectionId {
        let ConnectionId(last) = self.connections.last_id();
        let id = u64::from(process_id) | last & !u64::from(u32::MAX);
        ConnectionId(if id > last { id.wrapping_sub(1 << 32) } else { id })
    }

    /// Handles the end of a client's connection. If the attempt of the client's RPC is fully sent, the attempt goes on,
    /// because its outcome is information about the member. Otherwise the attempt is withdrawn.
    pub(super) fn on_client_closed(&mut self, now: Time, id: ConnectionId) {
        let Some(client) = self.connections.client(id) else { return };
        let phase = client.phase();
        self.close_connection(id);
        let ClientPhase::InRpc(rpc) = phase else { return };
        self.stats.count(Count::ClientLeft);
        rpc.abandon(&mut self.router);
        let Some(entry) = self.rpcs.get_mut(rpc) else { return };
        entry.take_client();
        match entry.connection() {
            None => self.rpcs.remove(now, rpc, &self.limits),
            Some(connection) => self.withdraw_job(now, connection),
        }
    }
}
