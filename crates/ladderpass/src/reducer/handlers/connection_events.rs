//! Handles the events of single connections: bytes received and written, and connections established and closed.

use crate::faulty::Faulty;
use crate::pg;
use crate::reducer::Reducer;
use crate::reducer::connection_id::ConnectionId;
use crate::reducer::event::Effect;
use crate::reducer::state::connections::Remote;
use ladderpass_routing::{AttemptOutcome, Span, Time};

const STARTUP_USER: &str = "ladderpass";
const STARTUP_DATABASE: &str = "orders";

impl Reducer {
    /// Returns the buffer to read a connection's next bytes into. The buffer is empty if nothing is to be read from the
    /// connection now, because the input buffer has no space or no memory to grow, the connection is closing, or the
    /// router pauses after an error of the client.
    pub fn read_buffer(&mut self, id: ConnectionId) -> &mut [u8] {
        let is_memory_short = self.is_memory_short(id);
        let limits = &self.limits;
        let Some(connection) = self.connections.get_mut(id) else { return &mut [] };
        let max_bytes = match connection.remote {
            Remote::Client(ref client) if connection.is_closing() || client.is_backing_off() => 0,
            Remote::Client(_) => limits.client_buffer_bytes,
            Remote::Member(_) => limits.member_buffer_bytes,
            Remote::Discovery(_) => limits.discovery_buffer_bytes,
        };
        let initial_bytes = limits.buffer_initial_bytes;
        let is_paused = is_memory_short || connection.input.free_space(initial_bytes, max_bytes).is_empty();
        connection.set_read_paused(is_paused);
        if is_memory_short {
            self.connections.wait_for_memory(id);
        }
        if is_paused {
            self.on_read_paused(id);
            return &mut [];
        }
        self.update_buffer_bytes(id);
        match self.connections.get_mut(id) {
            Some(connection) => connection.input.free_space(0, 0),
            None => &mut [],
        }
    }

    /// Returns whether a connection's input buffer is full and can't grow, because the buffers of all connections take
    /// too much memory: `Limits::pause_clients_at_buffer_bytes` or more for a client's connection, and the larger
    /// `Limits::pause_members_at_buffer_bytes` or more for other connections, so that statements wait before answers
    /// do. The connection's deadline still applies while its buffer waits for memory.
    fn is_memory_short(&self, id: ConnectionId) -> bool {
        let Some(connection) = self.connections.get(id) else { return false };
        let limit = match connection.remote {
            Remote::Client(_) => self.limits.pause_clients_at_buffer_bytes,
            _ => self.limits.pause_members_at_buffer_bytes,
        };
        let input = &connection.input;
        let must_grow = input.len() == input.capacity() && input.len() >= self.limits.buffer_initial_bytes;
        must_grow && self.connections.buffer_bytes() >= limit
    }

    fn on_read_paused(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        connection.record_paused_read();
        let is_closing = connection.is_closing();
        if let Remote::Client(client) = &mut connection.remote
            && !is_closing
            && !client.is_backing_off()
        {
            client.record_overrun();
            self.clients.push_ready(id);
        }
    }

    /// Returns the bytes to write on a connection next.
    pub fn outgoing(&self, id: ConnectionId) -> &[u8] {
        self.connections.get(id).map_or(&[], |connection| connection.output.first_slice())
    }

    pub(super) fn add_connection(&mut self, id: ConnectionId, deadline: Option<Time>, remote: Remote) {
        self.connections.insert(id, remote);
        self.connections.set_deadline(id, deadline);
    }

    pub(in crate::reducer) fn on_connected(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else { return };
        let mut startup = Vec::new();
        match &connection.remote {
            Remote::Client(_) => return,
            Remote::Member(_) => pg::put_startup(&mut startup, STARTUP_USER, STARTUP_DATABASE),
            Remote::Discovery(_) => startup.extend_from_slice(self.discovery.request().as_bytes()),
        }
        self.write(id, &startup);
    }

    /// Appends bytes to a connection's output, and requests that the event loop writes them.
    pub(super) fn write(&mut self, id: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        connection.output.append(bytes, self.limits.buffer_initial_bytes, usize::MAX);
        self.effects.push(Effect::Write(id));
        self.update_buffer_bytes(id);
    }

    /// Closes a connection once its output is written, or after `Limits::unread_answer_timeout` if the other side does
    /// not read the output.
    pub(super) fn close_when_written(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        connection.set_closing();
        if connection.output.is_empty() {
            self.close_connection(id);
        } else {
            self.connections.set_deadline(id, Some(now + self.limits.unread_answer_timeout));
        }
    }

    /// Closes a connection and drops its state. The caller must end the job of a member's connection, or the RPC of a
    /// client.
    pub(super) fn close_connection(&mut self, id: ConnectionId) {
        self.set_awaited(id, None);
        let Some(connection) = self.connections.remove(id) else { return };
        self.effects.push(Effect::Close(id));
        if connection.buffer_bytes() > 0 {
            self.resume_reads();
        }
        match &connection.remote {
            Remote::Client(_) => {
                self.clients.remove(id, connection.input.len());
                self.resume_accepting();
            }
            Remote::Member(member) => {
                self.members.remove_connection(member.member(), id);
                self.release_member_index(member.member());
            }
            Remote::Discovery(_) => self.discovery.remove_connection(id),
        }
    }

    /// Counts the memory of a connection's buffers again, because they may have grown or shrunk.
    pub(super) fn update_buffer_bytes(&mut self, id: ConnectionId) {
        if self.connections.update_buffer_bytes(id) {
            self.resume_reads();
        }
    }

    /// Requests reads from the connections whose input buffers wait for memory, if enough memory is free again.
    fn resume_reads(&mut self) {
        if self.connections.buffer_bytes() < self.limits.pause_clients_at_buffer_bytes {
            let waiting = self.connections.take_waiting_for_memory();
            self.effects.extend(waiting.into_iter().map(Effect::Read));
        }
    }

    pub(in crate::reducer) fn on_received(
        &mut self,
        now: Time,
        id: ConnectionId,
        count: usize,
        waited: Span,
    ) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        connection.input.commit(count);
        let was_paused = connection.take_was_read_paused();
        match &mut connection.remote {
            Remote::Client(client) => {
                self.clients.add_unread_bytes(count);
                self.clients.cancel_eviction(id);
                let refill_until = now + self.limits.refill_quiet_time;
                // Bytes that waited in the socket because the client's own input buffer was full were not delayed by
                // this router, so their wait does not count.
                let arrived_at = if was_paused { now } else { now - waited.max(self.stall) };
                client.record_received(now, arrived_at, count, refill_until);
                let skipped = client.skip_received(count);
                connection.input.consume(skipped);
                self.clients.subtract_unread_bytes(skipped);
                self.clients.push_ready(id);
            }
            Remote::Member(member) => {
                member.set_read_delay(waited);
                self.read_member(now, id);
            }
            Remote::Discovery(_) => self.read_watch(now, id),
        }
    }

    pub(in crate::reducer) fn on_more_to_read(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.record_unread_bytes();
        }
    }

    pub(in crate::reducer) fn on_socket_empty(&mut self, now: Time, id: ConnectionId) {
        let refill_until = now + self.limits.refill_quiet_time;
        let Some(connection) = self.connections.get_mut(id) else { return };
        if !connection.record_socket_empty() {
            return;
        }
        if let Remote::Client(client) = &mut connection.remote {
            client.record_socket_empty(refill_until);
            self.clients.push_ready(id);
        }
    }

    pub(in crate::reducer) fn on_written(&mut self, now: Time, id: ConnectionId, count: usize) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        connection.output.consume(count);
        connection.output.shrink_if_empty(self.limits.buffer_initial_bytes);
        let (all_written, is_closing) = (connection.output.is_empty(), connection.is_closing());
        let mut is_client = false;
        match &mut connection.remote {
            Remote::Member(member) => {
                if member.record_written(now, count) {
                    let deadline = member.job_deadline();
                    self.connections.set_deadline(id, Some(deadline));
                }
            }
            Remote::Client(_) => {
                is_client = true;
                // The client's next statement is handled in the next iteration of the event loop, because the write may
                // show that the client has left.
                if all_written && !is_closing {
                    self.clients.defer(id);
                }
            }
            Remote::Discovery(_) => {}
        }
        self.update_buffer_bytes(id);
        if is_client {
            self.overload.record_client_read(now, id, all_written);
        }
        if all_written && is_closing {
            self.close_connection(id);
        }
    }

    pub(in crate::reducer) fn on_write_blocked(&mut self, now: Time, id: ConnectionId) {
        self.on_query_write_blocked(id);
        if self.connections.client(id).is_some() {
            self.overload.record_write_blocked(now, id);
        }
    }

    pub(in crate::reducer) fn on_closed(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else { return };
        match &connection.remote {
            Remote::Client(_) => self.on_client_closed(now, id),
            Remote::Member(member) => {
                let mut outcome = member.outcome_on_close();
                if self.faulty.is(Faulty::Resends) && outcome == AttemptOutcome::ConnectionLost {
                    outcome = AttemptOutcome::Unreachable;
                }
                self.end_member_connection(now, id, outcome);
            }
            Remote::Discovery(_) => self.on_watch_failed(now, id, "the connection has ended"),
        }
    }
}
