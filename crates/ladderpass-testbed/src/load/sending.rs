//! Sending of RPCs: the choice of a connection for a due RPC, the RPCs of connections that don't wait for arrivals,
//! and the SQL statement of an RPC.

use super::generator::{ClientConnection, ClientKind, InFlightRpc, LoadGenerator, QueuedRpc};
use super::outcome::RpcRecord;
use super::plan::Arrivals;
use ladderpass_emulator::proto;
use ladderpass_routing::{Span, Time};
use rand::Rng;

/// Maximum number of connections that are searched for an idle connection. A search of all connections for each RPC
/// would cost more than the RPC.
const MAX_IDLE_SEARCH: usize = 16;
/// Maximum number of RPCs that a slow reader has in flight.
const SLOW_READER_DEPTH: usize = 64;
/// Time between a slow reader's RPCs. A burst would put the router under pressure by the RPCs and not by the unread
/// answers.
const SLOW_READER_INTERVAL: Span = Span::from_millis(50);

impl LoadGenerator<'_> {
    /// Creates an RPC with a method drawn by share, and counts the RPC as due.
    pub fn draw_rpc(&mut self, due: Time) -> QueuedRpc {
        let total_share: f64 = self.method_shares.iter().sum();
        let mut remaining = self.rng.random::<f64>() * total_share;
        let method = self.method_shares.iter().position(|share| {
            remaining -= share;
            remaining < 0.0
        });
        let method = method.unwrap_or(0);
        self.count(due, method, |counts| counts.due += 1);
        QueuedRpc { due, method, deadline: due + self.plan.deadline, retries: 0 }
    }

    /// Sends queued RPCs until no connection is free. Counts queued RPCs whose deadline has passed as unsent.
    pub fn send_queued(&mut self, now: Time) {
        while let Some(first) = self.queue.front() {
            if first.deadline <= now {
                let rpc = self.queue.pop_front().expect("the queue is not empty");
                self.count(rpc.due, rpc.method, |counts| counts.unsent += 1);
                continue;
            }
            let Some(client) = self.next_free_client() else { return };
            let rpc = self.queue.pop_front().expect("the queue is not empty");
            self.outcome.max_send_delay = self.outcome.max_send_delay.max(now - rpc.due);
            self.send(now, client, rpc, false);
        }
    }

    /// Returns the next idle connection in round robin order, or else the next connection that can take another RPC
    /// in flight.
    fn next_free_client(&mut self) -> Option<usize> {
        let connections = self.plan.connections;
        for (depth, searched) in [(1, connections.min(MAX_IDLE_SEARCH)), (self.plan.pipeline, connections)] {
            for _ in 0..searched {
                self.last_client = (self.last_client + 1) % connections.max(1);
                // With several routers, a connection that is not ready yet may lead to a router that is down.
                let is_single = self.balancer.is_single();
                let is_free =
                    |client: &ClientConnection| client.in_flight.len() < depth && (is_single || client.ready);
                if self.clients[self.last_client].as_ref().is_some_and(is_free) {
                    return Some(self.last_client);
                }
            }
        }
        None
    }

    /// Sends RPCs on connections that don't wait for arrivals. These are all connections in a closed load, and those of
    /// flooding clients and slow readers in an open load.
    pub fn send_self_paced(&mut self, now: Time) {
        if now >= self.ends || now < self.began {
            return;
        }
        let is_closed = matches!(self.plan.arrivals, Arrivals::Closed(_));
        for index in 0..self.clients.len() {
            let Some(client) = &self.clients[index] else { continue };
            let depth = match client.kind {
                ClientKind::Normal if is_closed => self.plan.pipeline,
                ClientKind::Normal => continue,
                ClientKind::Flood => self.plan.flood_depth,
                ClientKind::SlowReader => {
                    let intervals = (now - self.began).nanos() / SLOW_READER_INTERVAL.nanos();
                    SLOW_READER_DEPTH.min(1 + intervals as usize)
                }
            };
            let (kind, missing) = (client.kind, depth.saturating_sub(client.in_flight.len()));
            for _ in 0..missing {
                let rpc = match kind {
                    ClientKind::Normal => self.draw_rpc(now),
                    ClientKind::Flood | ClientKind::SlowReader => {
                        self.outcome.flood.due += u64::from(kind == ClientKind::Flood);
                        self.largest_read(now)
                    }
                };
                self.send(now, index, rpc, kind != ClientKind::Normal);
            }
        }
    }

    /// Creates an RPC of the read method with the largest values.
    fn largest_read(&self, due: Time) -> QueuedRpc {
        let method = (0..self.scenario.methods.len())
            .filter(|&method| !self.scenario.methods[method].writes)
            .max_by_key(|&method| self.scenario.methods[method].value_bytes)
            .unwrap_or(0);
        QueuedRpc { due, method, deadline: due + self.plan.deadline, retries: 0 }
    }

    /// Adds an RPC to a connection's output and to its RPCs in flight.
    fn send(&mut self, now: Time, index: usize, rpc: QueuedRpc, background: bool) {
        let statement = self.statement(now, &rpc, self.last_number + 1);
        let Some(client) = self.clients[index].as_mut() else { return };
        self.last_number += 1;
        let number = self.last_number;
        proto::put_query(&mut client.output, &statement);
        client.has_output = true;
        let QueuedRpc { due, method, deadline, retries } = rpc;
        if self.plan.journal && !background {
            self.outcome.journal.push(RpcRecord {
                number,
                router: client.router,
                method,
                sent: now,
                deadline,
                answered: None,
                lost: None,
                connection_end: None,
                refused: false,
            });
        }
        client.in_flight.push_back(InFlightRpc {
            number,
            method,
            due,
            deadline,
            retries,
            background,
            abandoned: false,
        });
        if !background {
            self.in_flight += 1;
        }
    }

    /// Returns the SQL statement of an RPC. Its comment gives the router the id, the method, the remaining
    /// milliseconds, the group, and whether the RPC is a client's retry.
    fn statement(&self, now: Time, rpc: &QueuedRpc, number: u64) -> String {
        let method = &self.scenario.methods[rpc.method];
        let group = number % u64::from(self.scenario.groups);
        let remaining_ms = ((rpc.deadline - now).nanos() / 1_000_000).max(1);
        let retry = if rpc.retries > 0 { ",r=1" } else { "" };
        let seed = self.plan.seed;
        let comment =
            format!("/* id={seed:x}-{number:x},c={},d={remaining_ms},cluster={group}{retry} */", method.name);
        if method.writes {
            format!(
                "INSERT INTO entries (ref, payload) VALUES ('k{number}', '\\x6161616161616161') RETURNING payload {comment}"
            )
        } else {
            format!("SELECT payload FROM entries WHERE ref = 'k{number}' {comment}")
        }
    }
}
