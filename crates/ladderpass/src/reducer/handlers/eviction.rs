//! Closes the connections of clients that wait for no answer, each after a final read of its socket. These are clients
//! whose timeout has passed and, if there are too many clients, those whose input has been awaited longest (eviction).

use crate::reducer::Reducer;
use crate::reducer::connection_id::ConnectionId;
use crate::reducer::event::Effect;
use crate::reducer::state::client::{Awaited, AwaitedInput, Client};
use crate::reducer::state::connections::Remote;
use ladderpass_routing::Time;

impl Reducer {
    pub(in crate::reducer) fn on_accepted(&mut self, now: Time, id: ConnectionId) {
        self.clients.add();
        let deadline = now + self.limits.message_timeout;
        self.add_connection(id, Some(deadline), Remote::Client(Client::new()));
        self.set_awaited(id, Some((AwaitedInput::Startup, now)));
        self.evict_excess_clients(now);
        let connections = self.clients.len() + self.members.connection_count();
        if connections > self.limits.connections
            && let Some(idle) = self.longest_idle_connection()
        {
            self.close_connection(idle);
        }
        let connections = self.clients.len() + self.members.connection_count();
        let is_full =
            self.clients.len() >= self.limits.clients_accepted || connections >= self.limits.connections;
        if is_full && self.accepts_clients() {
            self.update_accepting();
        }
    }

    pub(super) fn set_awaited(&mut self, id: ConnectionId, awaited: Option<Awaited>) {
        if let Some(client) = self.connections.client_mut(id) {
            self.clients.set_awaited(id, client, awaited);
        }
    }

    /// While there are more clients than `Limits::clients_before_eviction`, evicts clients whose input has been awaited
    /// for the time in `Limits::eviction_ages` (the eviction age): first clients that have not completed their startup,
    /// whose eviction age is the shortest, then clients in the middle of a statement, then idle clients. Idle clients
    /// have an eviction age too because a client that was just answered is likely to send another statement, which
    /// could arrive just as the connection is closed.
    pub(in crate::reducer) fn evict_excess_clients(&mut self, now: Time) {
        let (limit, ages) = (self.limits.clients_before_eviction, self.limits.eviction_ages);
        while let Some(id) = self.clients.next_in_excess(now, limit, &ages) {
            self.close_after_final_read(now, id);
        }
    }

    /// Evicts clients in excess of `Limits::clients_before_eviction`, and returns whether there are still more clients
    /// than `Limits::clients`. Clients that are being evicted, starting up, or in the middle of a statement are not
    /// counted.
    pub(super) fn evict_and_check_client_limit(&mut self, now: Time) -> bool {
        self.evict_excess_clients(now);
        let uncounted = self.clients.evicting_count() + self.clients.awaiting_startup_or_rest();
        self.clients.len() > self.limits.clients + uncounted
    }

    /// Begins to close a client's connection. The client's socket is read now and once more right before the close,
    /// because a statement may have arrived that was not read yet. If a statement has arrived, the connection stays
    /// open.
    ///
    /// In the pause after a client's error nothing is read, and statements behind the error may wait in the client's
    /// input or socket. The pause ends then, and these statements are rejected before the close.
    pub(super) fn close_after_final_read(&mut self, now: Time, id: ConnectionId) {
        let Some(client) = self.connections.client_mut(id) else { return };
        if client.is_backing_off() {
            client.end_backoff();
            self.set_awaited(id, None);
            self.clients.defer(id);
            return self.begin_closing(now, id);
        }
        self.clients.begin_eviction(id, client.awaited());
        self.effects.push(Effect::Read(id));
    }

    /// Requests the final read of each client that is being evicted, right before its close.
    pub(in crate::reducer) fn request_final_reads(&mut self) {
        self.effects.extend(self.clients.evicting().map(Effect::CloseIfQuiet));
    }

    /// Closes a client's connection after the final read of its socket. The read has found nothing, since bytes that it
    /// found would have cancelled the eviction.
    pub(in crate::reducer) fn on_read_to_end(&mut self, now: Time, id: ConnectionId) {
        if !self.clients.is_evicting(id) {
            return;
        }
        let Some(connection) = self.connections.get(id) else { return };
        // The final read of the socket failed temporarily, so the read is requested again.
        if connection.has_unread_bytes() && !connection.is_read_paused() {
            return;
        }
        let awaited_before = self.clients.take_eviction(id);
        if let Remote::Client(client) = &connection.remote
            && client.awaited().is_some()
            && client.awaited() == awaited_before
        {
            self.close_when_written(now, id);
        }
    }
}
