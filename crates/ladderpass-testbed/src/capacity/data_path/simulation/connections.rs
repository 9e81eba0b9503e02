//! The simulated peers of the router's connections: members, discovery and clients.

use super::counts::thread_cpu_s;
use super::shape::MEMBERS_PER_GROUP;
use super::state::{Client, LATENCY, OutboundConnection, ROUND_TRIP, Simulation, SimulationEvent};
use crate::capacity::data_path::statement::query;
use ladderpass::reducer::{ConnectionId, Event};
use ladderpass_emulator::proto;
use ladderpass_routing::Span;
use rand::Rng;
use rand_distr::Exp1;
use std::net::SocketAddr;

const HEALTH_CHECK: &str = "SHOW server_load";
/// The SQLSTATE too_many_connections.
const TOO_MANY_CONNECTIONS: &str = "53300";
const WRITE_FRACTION: f64 = 0.2;

impl Simulation {
    pub(super) fn connect(&mut self, id: ConnectionId, address: SocketAddr) {
        let member = self.members.get(&address).copied().filter(|_| address != self.discovery);
        if let Some(member) = member {
            self.counts.member_connections_opened += 1.0;
            self.connections_of_member[member] += 1;
        }
        self.connections.insert(id, OutboundConnection { member, ..OutboundConnection::default() });
        self.schedule(ROUND_TRIP, SimulationEvent::Connected(id));
    }

    pub(super) fn close(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id) {
            if let Some(member) = connection.member {
                self.connections_of_member[member] -= 1;
            }
        } else if let Some(index) = self.client_of_connection.remove(&id) {
            let client = std::mem::take(&mut self.clients[index]);
            match client.sent_at {
                // The router closed the connection while a statement of the client was in flight. The client would have
                // to send that statement again.
                Some(_) => self.counts.failed += 1.0,
                None => self.counts.clients_closed += 1.0,
            }
        }
    }

    /// Passes the router's pending output on a connection to the peer. Returns whether output was pending.
    pub(super) fn write(&mut self, id: ConnectionId) -> bool {
        let bytes = self.reducer.outgoing(id).to_vec();
        if bytes.is_empty() {
            return false;
        }
        self.apply(Event::Written(id, bytes.len()));
        if let Some(&index) = self.client_of_connection.get(&id) {
            self.receive_as_client(index, &bytes);
        } else {
            self.receive_as_member(id, &bytes);
        }
        true
    }

    fn receive_as_client(&mut self, index: usize, bytes: &[u8]) {
        let client = &mut self.clients[index];
        client.input.extend_from_slice(bytes);
        let (mut parsed, mut served) = (0, false);
        while let Some((kind, _, length)) = proto::parse_frame(client.input.get(parsed..).unwrap_or_default())
        {
            parsed += length;
            served |= kind == b'D';
            match (kind, client.startup_done) {
                (b'Z', false) => {
                    client.startup_done = true;
                    if let (Some(query), Some(connection)) = (client.pending_query.take(), client.connection)
                    {
                        self.last_sequence_number += 1;
                        self.queue.insert(
                            (self.now + ROUND_TRIP, self.last_sequence_number),
                            SimulationEvent::Bytes(connection, query),
                        );
                    }
                }
                (b'Z', true) => {
                    if let Some(sent_at) = client.sent_at.take() {
                        let took = (self.now - sent_at).secs();
                        self.counts.total_latency_s += took;
                        self.counts.max_latency_s = self.counts.max_latency_s.max(took);
                        *(if served { &mut self.counts.served } else { &mut self.counts.failed }) += 1.0;
                    }
                    served = false;
                }
                _ => {}
            }
        }
        client.input.drain(..parsed);
    }

    pub(super) fn receive_as_member(&mut self, id: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Some(member) = connection.member else { return self.begin_watch(id) };
        connection.input.extend_from_slice(bytes);
        let mut parsed = 0;
        let mut answers = Vec::new();
        if !connection.startup_read {
            let Some(length) = proto::parse_startup(&connection.input) else { return };
            (connection.startup_read, parsed) = (true, length);
            if self.member_is_full.get(member).copied().unwrap_or(false) {
                connection.input.clear();
                return self.reject_connection(id);
            }
            let mut startup_response = Vec::new();
            proto::put_startup_response(&mut startup_response);
            answers.push((ROUND_TRIP, startup_response));
        }
        let mut input = std::mem::take(&mut connection.input);
        // The queries that arrive together are answered one after the other.
        let mut answered_after = ROUND_TRIP;
        while let Some((_, body, length)) = proto::parse_frame(input.get(parsed..).unwrap_or_default()) {
            parsed += length;
            self.counts.queries += 1.0;
            self.counts.query_bytes += length as f64;
            let statement = std::str::from_utf8(body).unwrap_or_default().trim_end_matches('\0');
            let answer = self.answer(member, statement, &mut answered_after);
            answers.push((answered_after, answer));
        }
        input.drain(..parsed);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.input = input;
        }
        answers
            .into_iter()
            .for_each(|(after, answer)| self.schedule(after, SimulationEvent::Bytes(id, answer)));
    }

    /// Returns the answer of a member to a statement. A read or a write adds its service time to `answered_after`.
    fn answer(&mut self, member: usize, statement: &str, answered_after: &mut Span) -> Vec<u8> {
        let is_primary = (member as u32).is_multiple_of(MEMBERS_PER_GROUP);
        let mut answer = Vec::new();
        match statement {
            "" => {
                proto::put_message(&mut answer, b'I', &[]);
                proto::put_ready(&mut answer);
            }
            HEALTH_CHECK => {
                self.counts.health_checks += 1.0;
                let position_s = self.now.nanos() as f64 / 1e9;
                let report = format!("x0={position_s:.6},x1={},q=0", u8::from(is_primary));
                proto::put_row(&mut answer, report.as_bytes(), false, is_primary, None);
            }
            _ => {
                let is_write = statement.starts_with("INSERT");
                if !is_write && is_primary {
                    self.counts.reads_at_primary += 1.0;
                }
                let service_time: f64 = self.rng.sample(Exp1);
                *answered_after += self.shape.answer_time * (0.9 * service_time);
                proto::put_row(&mut answer, &[b'x'; 64], is_write, is_primary, Some(self.now));
            }
        }
        answer
    }

    /// Discovery begins its response. The endpoint list does not change, so only heartbeats follow.
    fn begin_watch(&mut self, id: ConnectionId) {
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        self.schedule(ROUND_TRIP, SimulationEvent::Bytes(id, head));
        self.schedule(LATENCY * 3.0, SimulationEvent::WatchHeartbeat(id));
    }

    /// Rejects a connection of the router to a member that has no connection left for the router: sends an error, and closes
    /// the connection.
    fn reject_connection(&mut self, id: ConnectionId) {
        let mut error = Vec::new();
        proto::put_error(&mut error, "FATAL", TOO_MANY_CONNECTIONS);
        self.schedule(ROUND_TRIP, SimulationEvent::Bytes(id, error));
        self.schedule(ROUND_TRIP, SimulationEvent::Closed(id));
    }

    /// Delivers bytes from a peer to the router.
    pub(super) fn deliver(&mut self, id: ConnectionId, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let before = thread_cpu_s();
            let buffer = self.reducer.read_buffer(id);
            let took = thread_cpu_s() - before - self.clock_overhead_s;
            let (now, later) = bytes.split_at(buffer.len().min(bytes.len()));
            if now.is_empty() {
                // The router's read buffer is full, so the remaining bytes are delivered later.
                return self.schedule(LATENCY, SimulationEvent::Bytes(id, later.to_vec()));
            }
            buffer[..now.len()].copy_from_slice(now);
            self.counts.other_cpu_s += took.max(0.0);
            self.apply(Event::Received(id, now.len(), Span::ZERO));
            bytes = later;
        }
    }

    /// Opens a client's connection and sends its startup message.
    pub(super) fn open_client(&mut self, index: usize) -> ConnectionId {
        let id = self.reducer.next_id();
        self.client_of_connection.insert(id, index);
        self.clients[index] = Client { connection: Some(id), ..Client::default() };
        self.apply(Event::Accepted(id));
        let mut startup = Vec::new();
        proto::put_startup(&mut startup);
        self.deliver(id, &startup);
        id
    }

    /// Sends a statement from a random client. If that client still waits for an answer, the next client by index that does not
    /// wait sends the statement. No statement is sent if all clients wait.
    pub(super) fn send_statement(&mut self) {
        let from = self.rng.random_range(0..self.clients.len().max(1));
        let mut free = (0..self.clients.len()).map(|step| (from + step) % self.clients.len());
        let Some(index) = free.find(|&index| self.clients[index].sent_at.is_none()) else { return };
        let group = self.rng.random_range(0..self.shape.groups);
        let is_write = self.rng.random::<f64>() < WRITE_FRACTION;
        self.counts.statements += 1.0;
        self.counts.reads += f64::from(u8::from(!is_write));
        self.last_sequence_number += 1;
        let id = self.last_sequence_number;
        let query = query(id, u64::from(group), is_write);
        let connection = self.clients[index].connection.filter(|_| self.clients[index].startup_done);
        match connection {
            Some(connection) => self.deliver(connection, &query),
            None => {
                self.counts.clients_reopened += 1.0;
                self.open_client(index);
                self.clients[index].pending_query = Some(query);
            }
        }
        self.clients[index].sent_at = Some(self.now);
    }
}
