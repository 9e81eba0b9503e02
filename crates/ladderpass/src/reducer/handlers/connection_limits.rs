//! Enforces the limit of connections: if no file descriptors are left, closes some connections so that others can be
//! opened, and decides whether clients are accepted.

use crate::reducer::Reducer;
use crate::reducer::connection_id::ConnectionId;
use crate::reducer::event::Effect;
use crate::reducer::state::client_table::EvictionScope;
use crate::reducer::state::connections::Remote;
use ladderpass_routing::{AttemptOutcome, Time};

impl Reducer {
    /// Returns whether another client may be accepted.
    pub fn accepts_clients(&self) -> bool {
        self.connection_limits.accepts_clients()
    }

    /// Handles a connect that failed because the system had no descriptor, memory or local port. A different connection
    /// is closed and the connect is retried, at most `Limits::evictions_per_denial` times, so that clients can't take
    /// all descriptors from discovery, health checks and attempts. The failure does not count against the member,
    /// because this router lacks the resource.
    pub(in crate::reducer) fn on_connect_denied(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let may_evict = connection.record_connect_denial() <= self.limits.evictions_per_denial;
        if may_evict && self.free_descriptor_after_denial(now) {
            return self.connection_limits.push_denied_connect(id);
        }
        match self.connections.get(id).map(|connection| &connection.remote) {
            Some(Remote::Member(_)) => self.end_member_connection(now, id, AttemptOutcome::NeverSent),
            Some(Remote::Discovery(_)) => {
                self.discovery.set_denied(id);
                self.connections.set_deadline(id, Some(now + self.limits.denied_connect_backoff));
            }
            _ => self.on_closed(now, id),
        }
    }

    /// Closes one connection to free its descriptor: the connection of a client whose input has been awaited for the
    /// time in `Limits::eviction_ages`, else the member connection that has been idle longest, else the connection of
    /// any client that waits for no answer. Returns false if there is no such connection.
    fn free_descriptor_after_denial(&mut self, now: Time) -> bool {
        let ages = self.limits.eviction_ages;
        if let Some(client) = self.clients.first_evictable(EvictionScope::Overdue(now), &ages) {
            self.close_after_final_read(now, client);
        } else if let Some(idle) = self.longest_idle_connection() {
            self.close_connection(idle);
        } else if let Some(client) = self.clients.first_evictable(EvictionScope::All, &ages) {
            self.close_after_final_read(now, client);
        } else {
            return false;
        }
        true
    }

    /// Retries the connects that failed for lack of a descriptor, now that other connections were closed to free
    /// descriptors.
    pub(in crate::reducer) fn retry_denied_connects(&mut self) {
        for id in self.connection_limits.take_denied_connects() {
            let address = match self.connections.get(id).map(|connection| &connection.remote) {
                Some(Remote::Member(member)) => self.members.address(member.member()),
                Some(Remote::Discovery(_)) => Some(self.discovery.address()),
                _ => None,
            };
            self.effects.extend(address.map(|address| Effect::Connect(id, address)));
        }
    }

    /// Sets that clients are accepted while fewer than `Limits::clients_accepted` are connected, and there are fewer
    /// connections of clients and members than `Limits::connections`. The limit of connections does not apply while a
    /// member connection is idle, because an idle member connection can be closed for a new client.
    pub(in crate::reducer) fn update_accepting(&mut self) {
        let connections = self.clients.len() + self.members.connection_count();
        let has_capacity = connections < self.limits.connections || self.members.has_idle();
        let accepts = has_capacity && self.clients.len() < self.limits.clients_accepted;
        if self.connection_limits.set_accepts_clients(accepts) {
            self.effects.push(Effect::Accept(accepts));
        }
    }

    /// Accepts clients again after a client's connection was closed.
    pub(super) fn resume_accepting(&mut self) {
        if self.connection_limits.set_accepts_clients(true) {
            self.effects.push(Effect::Accept(true));
        }
    }
}
