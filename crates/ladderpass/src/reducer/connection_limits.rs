//! The limit of connections: which give their descriptors up where there are none left, and whether clients are accepted.

use super::Reducer;
use super::client_table::EvictionScope;
use super::connection_id::ConnectionId;
use super::connections::Remote;
use super::event::Effect;
use ladderpass_routing::{AttemptOutcome, Time};

/// Whether clients are accepted, and connects that were denied a descriptor.
pub(super) struct ConnectionLimits {
    accepts_clients: bool,
    /// Connects for which another connection gives its descriptor up; they are retried in the next iteration.
    denied_connects: Vec<ConnectionId>,
}

impl ConnectionLimits {
    pub(super) fn new() -> ConnectionLimits {
        ConnectionLimits { accepts_clients: true, denied_connects: Vec::new() }
    }

    pub(super) fn has_denied_connects(&self) -> bool {
        !self.denied_connects.is_empty()
    }
}

impl Reducer {
    /// May a further client be accepted?
    pub fn accepts_clients(&self) -> bool {
        self.connection_limits.accepts_clients
    }

    /// There was no descriptor for a connect. Something else gives one up, so that clients can't take all of them from
    /// discovery, health checks and attempts. A member is not blamed for what this router lacks.
    pub(super) fn on_connect_denied(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        connection.connect_denials = connection.connect_denials.saturating_add(1);
        let may_evict = connection.connect_denials <= self.limits.evictions_per_denial;
        if may_evict && self.free_a_descriptor(now) {
            return self.connection_limits.denied_connects.push(id);
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

    /// A client that has been idle for long gives its descriptor up, else an idle member connection, else any client that
    /// waits for no answer.
    fn free_a_descriptor(&mut self, now: Time) -> bool {
        let ages = self.limits.eviction_ages;
        if let Some(client) = self.clients.first_evictable(EvictionScope::Overdue(now), &ages) {
            self.close_after_final_read(client);
        } else if let Some(idle) = self.longest_idle_connection() {
            self.close_connection(idle);
        } else if let Some(client) = self.clients.first_evictable(EvictionScope::All, &ages) {
            self.close_after_final_read(client);
        } else {
            return false;
        }
        true
    }

    /// Retries connects that were denied, now that others have given their descriptors up.
    pub(super) fn retry_denied_connects(&mut self) {
        for id in std::mem::take(&mut self.connection_limits.denied_connects) {
            let address = match self.connections.get(id).map(|connection| &connection.remote) {
                Some(Remote::Member(member)) => self.members.address(member.member()),
                Some(Remote::Discovery(_)) => Some(self.discovery.address()),
                _ => None,
            };
            self.effects.extend(address.map(|address| Effect::Connect(id, address)));
        }
    }

    /// Accepts clients while there are connections for them; idle member connections count as such, as they are closed for
    /// newcomers.
    pub(super) fn update_accepting(&mut self) {
        let connections = self.clients.len() + self.members.connection_count();
        let has_room = connections < self.limits.connections || self.members.has_idle();
        let accepts = has_room && self.clients.len() < self.limits.clients_accepted;
        if accepts != self.connection_limits.accepts_clients {
            self.connection_limits.accepts_clients = accepts;
            self.effects.push(Effect::Accept(accepts));
        }
    }

    /// A client has gone: another one may be accepted.
    pub(super) fn resume_accepting(&mut self) {
        if !self.connection_limits.accepts_clients {
            self.connection_limits.accepts_clients = true;
            self.effects.push(Effect::Accept(true));
        }
    }
}
