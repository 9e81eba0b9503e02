//! Clients of simulated routers. Each statement is sent on an idle connection, or on a new one if none is idle.

use super::counts::Subject;
use super::simulation::{Connection, Peer, Simulation};
use ladderpass::reducer::{ConnectionId, Event};
use ladderpass_emulator::proto;
use rand::Rng;

/// Maximum number of client connections to one router.
const MAX_CLIENTS: usize = 256;
const READ_METHOD: &str = "board";
const WRITE_METHOD: &str = "move";

impl Simulation {
    /// Sends a statement of a random method for a random group to a router.
    pub(super) fn send_random_statement(&mut self, router: usize) {
        let group = self.rng.random_range(0..self.shape.groups);
        let is_write = self.rng.random_range(0.0..1.0) < self.shape.writes;
        self.send_statement(router, if is_write { WRITE_METHOD } else { READ_METHOD }, group);
    }

    /// Sends a statement to a router, unless the router is down or has no client connection free.
    pub fn send_statement(&mut self, router: usize, method: &str, group: usize) {
        if self.routers[router].reducer.is_none() {
            return;
        }
        let Some(client) = self.routers[router].idle_clients.pop().or_else(|| self.open_client(router))
        else {
            self.counts[router].unsent += 1;
            return;
        };
        self.last_statement += 1;
        let comment =
            format!("/* id={router:x}-{:x},c={method},d=1000,cluster={group} */", self.last_statement);
        let statement = if method == WRITE_METHOD {
            format!("INSERT INTO entries (ref, payload) VALUES ('k', '\\x9f03') RETURNING payload {comment}")
        } else {
            format!("SELECT payload FROM entries WHERE ref = 'k' {comment}")
        };
        let mut query = Vec::new();
        proto::put_query(&mut query, &statement);
        self.counts[router].statements += 1;
        self.deliver(router, client, &query);
    }

    /// Opens a client connection, unless the router already has [`MAX_CLIENTS`].
    fn open_client(&mut self, router: usize) -> Option<ConnectionId> {
        let connections = &mut self.routers[router].connections;
        let is_client = |connection: &&Connection| matches!(connection.peer, Peer::Client { .. });
        if connections.values().filter(is_client).count() >= MAX_CLIENTS {
            return None;
        }
        let id = self.routers[router].reducer.as_mut()?.next_id();
        let peer = Peer::Client { startup_done: false, input: Vec::new() };
        let connection = Connection { peer, unread: Vec::new() };
        self.routers[router].connections.insert(id, connection);
        self.apply(router, Event::Accepted(id), Subject::Connections);
        let mut startup = Vec::new();
        proto::put_startup(&mut startup);
        self.deliver(router, id, &startup);
        self.tick(router);
        // The new connection does not count as idle, as the caller sends a statement on it.
        self.routers[router].idle_clients.retain(|&idle| idle != id);
        Some(id)
    }
}
