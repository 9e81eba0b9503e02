//! The connections of the router to clients, members and discovery: their buffers, their deadlines, and the memory of
//! all buffers.
//!
//! Deadlines are scheduled in an ordered set. A deadline that is postponed stays scheduled at its earlier time, and is
//! checked once too early. This costs less than reordering the set at each step of an RPC.

use super::client::Client;
use super::member_connection::MemberConnection;
use crate::buffer::Buffer;
use crate::discovery::WatchReader;
use crate::reducer::connection_id::ConnectionId;
use ladderpass_routing::Time;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// The state of a connection. `input`, `output` and `remote` are open to the handlers, which need to borrow all three
/// at the same time.
pub(in crate::reducer) struct Connection {
    /// Bytes that were received on the connection and are not handled yet.
    pub(in crate::reducer) input: Buffer,
    /// Bytes that are still to be written on the connection.
    pub(in crate::reducer) output: Buffer,
    /// The other side of the connection, with the state that belongs to it.
    pub(in crate::reducer) remote: Remote,
    /// Whether reading from the connection has stopped, because its input buffer has no space or no memory to grow,
    /// because the router is closing the connection of a client, or because the router pauses after an error of a
    /// client.
    is_read_paused: bool,
    /// Whether reading from the connection had stopped at some time since the last bytes were received. The bytes that
    /// are received next may have waited in the socket because of this stop.
    was_read_paused: bool,
    /// Whether bytes may be left in the socket, because the last read did not empty it. The close by the other side may
    /// then be behind these bytes, and not be known yet.
    has_unread_bytes: bool,
    /// Whether the connection is closed once its output is written.
    is_closing: bool,
    /// How often the connect of this connection failed because the system lacked a descriptor, memory or a local port,
    /// since the count was last cleared.
    connect_denials: u8,
    deadline: Option<Time>,
    /// The time at which the connection's deadline is checked next. This is no later than the deadline itself.
    scheduled_at: Option<Time>,
    /// Memory of the connection's input and output buffers in bytes, when it was last counted.
    buffer_bytes: usize,
}

/// The other side of a connection, with the state that belongs to it.
pub(in crate::reducer) enum Remote {
    Client(Client),
    Member(MemberConnection),
    Discovery(WatchReader),
}

/// All connections by id. The router assigns the ids itself, so nobody can choose ids that collide in the map.
#[derive(Default)]
pub(in crate::reducer) struct Connections {
    by_id: FxHashMap<ConnectionId, Connection>,
    last_id: u64,
    deadlines: BTreeSet<(Time, ConnectionId)>,
    /// Memory of the buffers of all connections, in bytes.
    buffer_bytes: usize,
    /// Connections whose input was not read because the memory of all buffers had reached
    /// `Limits::pause_clients_at_buffer_bytes` (for clients) or `Limits::pause_members_at_buffer_bytes` (for others).
    waiting_for_memory: BTreeSet<ConnectionId>,
}

impl Connection {
    fn new(remote: Remote) -> Connection {
        Connection {
            input: Buffer::default(),
            output: Buffer::default(),
            remote,
            is_read_paused: false,
            was_read_paused: false,
            has_unread_bytes: false,
            is_closing: false,
            connect_denials: 0,
            deadline: None,
            scheduled_at: None,
            buffer_bytes: 0,
        }
    }

    pub(in crate::reducer) fn deadline(&self) -> Option<Time> {
        self.deadline
    }

    /// Returns whether reading from the connection has stopped (see the field of this name).
    pub(in crate::reducer) fn is_read_paused(&self) -> bool {
        self.is_read_paused
    }

    pub(in crate::reducer) fn set_read_paused(&mut self, is_paused: bool) {
        self.is_read_paused = is_paused;
    }

    /// Records that reading from the connection continues. Returns whether reading had stopped.
    pub(in crate::reducer) fn resume_reading(&mut self) -> bool {
        std::mem::take(&mut self.is_read_paused)
    }

    /// Records that bytes may stay in the connection's socket because reading has stopped.
    pub(in crate::reducer) fn record_paused_read(&mut self) {
        (self.was_read_paused, self.has_unread_bytes) = (true, true);
    }

    /// Returns whether reading had stopped before the bytes that were just received, and clears this flag.
    pub(in crate::reducer) fn take_was_read_paused(&mut self) -> bool {
        std::mem::take(&mut self.was_read_paused)
    }

    /// Returns whether bytes may be left in the socket, because the last read did not empty it.
    pub(in crate::reducer) fn has_unread_bytes(&self) -> bool {
        self.has_unread_bytes
    }

    /// Records that bytes may be left in the socket, because the last read did not empty it.
    pub(in crate::reducer) fn record_unread_bytes(&mut self) {
        self.has_unread_bytes = true;
    }

    /// Records that the socket was read until it was empty. Returns whether bytes had been left in the socket before.
    pub(in crate::reducer) fn record_socket_empty(&mut self) -> bool {
        self.is_read_paused = false;
        std::mem::take(&mut self.has_unread_bytes)
    }

    /// Returns whether the connection is closed once its output is written.
    pub(in crate::reducer) fn is_closing(&self) -> bool {
        self.is_closing
    }

    pub(in crate::reducer) fn set_closing(&mut self) {
        self.is_closing = true;
    }

    /// Records that the connect of this connection failed because the system lacked a descriptor, memory or a local
    /// port. Returns the number of such failures since the count was last cleared.
    pub(in crate::reducer) fn record_connect_denial(&mut self) -> u8 {
        self.connect_denials = self.connect_denials.saturating_add(1);
        self.connect_denials
    }

    pub(in crate::reducer) fn clear_connect_denials(&mut self) {
        self.connect_denials = 0;
    }

    /// Memory of the connection's input and output buffers in bytes, when it was last counted.
    pub(in crate::reducer) fn buffer_bytes(&self) -> usize {
        self.buffer_bytes
    }
}

impl Connections {
    pub(in crate::reducer) fn next_id(&mut self) -> ConnectionId {
        self.last_id += 1;
        ConnectionId(self.last_id)
    }

    /// Returns the connection id that was assigned last.
    pub(in crate::reducer) fn last_id(&self) -> ConnectionId {
        ConnectionId(self.last_id)
    }

    pub(in crate::reducer) fn insert(&mut self, id: ConnectionId, remote: Remote) {
        self.by_id.insert(id, Connection::new(remote));
    }

    /// Removes a connection and its deadline, and subtracts its buffers from the memory of all buffers.
    pub(in crate::reducer) fn remove(&mut self, id: ConnectionId) -> Option<Connection> {
        let connection = self.by_id.remove(&id)?;
        if let Some(at) = connection.scheduled_at {
            self.deadlines.remove(&(at, id));
        }
        self.buffer_bytes = self.buffer_bytes.saturating_sub(connection.buffer_bytes);
        Some(connection)
    }

    pub(in crate::reducer) fn contains(&self, id: ConnectionId) -> bool {
        self.by_id.contains_key(&id)
    }

    pub(in crate::reducer) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.by_id.get(&id)
    }

    pub(in crate::reducer) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.by_id.get_mut(&id)
    }

    pub(in crate::reducer) fn pair_mut(
        &mut self,
        first: ConnectionId,
        second: ConnectionId,
    ) -> [Option<&mut Connection>; 2] {
        self.by_id.get_disjoint_mut([&first, &second])
    }

    pub(in crate::reducer) fn client(&self, id: ConnectionId) -> Option<&Client> {
        match &self.by_id.get(&id)?.remote {
            Remote::Client(client) => Some(client),
            _ => None,
        }
    }

    pub(in crate::reducer) fn client_mut(&mut self, id: ConnectionId) -> Option<&mut Client> {
        match &mut self.by_id.get_mut(&id)?.remote {
            Remote::Client(client) => Some(client),
            _ => None,
        }
    }

    pub(in crate::reducer) fn member(&self, id: ConnectionId) -> Option<&MemberConnection> {
        match &self.by_id.get(&id)?.remote {
            Remote::Member(member) => Some(member),
            _ => None,
        }
    }

    pub(in crate::reducer) fn member_mut(&mut self, id: ConnectionId) -> Option<&mut MemberConnection> {
        match &mut self.by_id.get_mut(&id)?.remote {
            Remote::Member(member) => Some(member),
            _ => None,
        }
    }

    pub(in crate::reducer) fn discovery(&self, id: ConnectionId) -> Option<&WatchReader> {
        match &self.by_id.get(&id)?.remote {
            Remote::Discovery(reader) => Some(reader),
            _ => None,
        }
    }

    /// Returns all connections to members, in no particular order.
    pub(in crate::reducer) fn members(&self) -> impl Iterator<Item = (ConnectionId, &MemberConnection)> {
        self.by_id.iter().filter_map(|(&id, connection)| match &connection.remote {
            Remote::Member(member) => Some((id, member)),
            _ => None,
        })
    }

    pub(in crate::reducer) fn members_mut(
        &mut self,
    ) -> impl Iterator<Item = (ConnectionId, &mut MemberConnection)> {
        self.by_id.iter_mut().filter_map(|(&id, connection)| match &mut connection.remote {
            Remote::Member(member) => Some((id, member)),
            _ => None,
        })
    }

    pub(in crate::reducer) fn set_deadline(&mut self, id: ConnectionId, deadline: Option<Time>) {
        let Some(connection) = self.by_id.get_mut(&id) else { return };
        if connection.deadline == deadline {
            return;
        }
        connection.deadline = deadline;
        let is_earlier = |&at: &Time| connection.scheduled_at.is_none_or(|scheduled_at| at < scheduled_at);
        let Some(at) = deadline.filter(is_earlier) else { return };
        if let Some(later) = connection.scheduled_at.replace(at) {
            self.deadlines.remove(&(later, id));
        }
        self.deadlines.insert((at, id));
    }

    /// Returns the earliest time at which the deadline of a connection must be checked, or `None` if no deadline is
    /// set.
    pub(in crate::reducer) fn next_check_at(&self) -> Option<Time> {
        self.deadlines.first().map(|&(at, _)| at)
    }

    /// Returns a connection whose deadline has passed, and clears that deadline.
    pub(in crate::reducer) fn pop_expired(&mut self, now: Time) -> Option<ConnectionId> {
        while let Some(&(at, id)) = self.deadlines.first()
            && at <= now
        {
            self.deadlines.pop_first();
            let Some(connection) = self.by_id.get_mut(&id) else { continue };
            connection.scheduled_at = None;
            match connection.deadline.take() {
                Some(deadline) if deadline > now => self.set_deadline(id, Some(deadline)),
                Some(_) => return Some(id),
                None => {}
            }
        }
        None
    }

    /// Memory of the buffers of all connections, in bytes.
    pub(in crate::reducer) fn buffer_bytes(&self) -> usize {
        self.buffer_bytes
    }

    /// Counts the memory of a connection's buffers again. Returns whether this memory has shrunk.
    pub(in crate::reducer) fn update_buffer_bytes(&mut self, id: ConnectionId) -> bool {
        let Some(connection) = self.by_id.get_mut(&id) else { return false };
        let bytes = connection.input.capacity() + connection.output.capacity();
        let before = std::mem::replace(&mut connection.buffer_bytes, bytes);
        self.buffer_bytes += bytes.saturating_sub(before);
        if bytes < before {
            self.buffer_bytes = self.buffer_bytes.saturating_sub(before - bytes);
        }
        bytes < before
    }

    pub(in crate::reducer) fn wait_for_memory(&mut self, id: ConnectionId) {
        self.waiting_for_memory.insert(id);
    }

    pub(in crate::reducer) fn is_waiting_for_memory(&self, id: ConnectionId) -> bool {
        self.waiting_for_memory.contains(&id)
    }

    pub(in crate::reducer) fn stop_waiting_for_memory(&mut self, id: ConnectionId) {
        self.waiting_for_memory.remove(&id);
    }

    /// Removes and returns all connections that are waiting for memory, in the order of their ids.
    pub(in crate::reducer) fn take_waiting_for_memory(&mut self) -> BTreeSet<ConnectionId> {
        std::mem::take(&mut self.waiting_for_memory)
    }
}
