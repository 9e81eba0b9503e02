//! The connections of the router, whoever is on the other side: buffers, deadlines, and memory of all buffers.
//!
//! A deadline is scheduled in an ordered set. One that moves back stays scheduled at its earlier time and is checked
//! there in vain once, which costs less than reordering the set at each step of an RPC.

use super::client::Client;
use super::member_connection::MemberConnection;
use crate::buffer::Buffer;
use crate::discovery::WatchReader;
use crate::reducer::connection_id::ConnectionId;
use ladderpass_routing::Time;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// One connection. Handlers borrow its buffers and its other side at the same time, so these are open to them.
pub(in crate::reducer) struct Connection {
    /// Bytes that were received and not yet handled.
    pub(in crate::reducer) input: Buffer,
    /// Bytes that are still to be written.
    pub(in crate::reducer) output: Buffer,
    /// The other side, and the state that goes with it.
    pub(in crate::reducer) remote: Remote,
    /// Reading has stopped, as there was no space or no memory for more.
    is_read_paused: bool,
    /// Reading had stopped before the bytes that are read next.
    was_read_paused: bool,
    /// The socket was not read until it was empty: the end of the connection may be there unseen.
    has_unread_bytes: bool,
    /// It is closed once its output is written.
    is_closing: bool,
    /// How often the system denied it a descriptor.
    connect_denials: u8,
    deadline: Option<Time>,
    /// When the deadline is checked next: no later than the deadline itself.
    scheduled_at: Option<Time>,
    /// Memory of both buffers, as last counted.
    buffer_bytes: usize,
}

/// The other side of a connection.
pub(in crate::reducer) enum Remote {
    Client(Client),
    Member(MemberConnection),
    Discovery(WatchReader),
}

/// All connections by id. Ids are the router's own, so that nobody can choose them to collide in the map.
#[derive(Default)]
pub(in crate::reducer) struct Connections {
    by_id: FxHashMap<ConnectionId, Connection>,
    last_id: u64,
    deadlines: BTreeSet<(Time, ConnectionId)>,
    /// Memory of all buffers.
    buffer_bytes: usize,
    /// Connections that could not be read for want of memory.
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

    /// Has reading stopped, as there was no space or no memory for more?
    pub(in crate::reducer) fn is_read_paused(&self) -> bool {
        self.is_read_paused
    }

    pub(in crate::reducer) fn set_read_paused(&mut self, is_paused: bool) {
        self.is_read_paused = is_paused;
    }

    /// Reading goes on; true where it had stopped.
    pub(in crate::reducer) fn resume_reading(&mut self) -> bool {
        std::mem::take(&mut self.is_read_paused)
    }

    /// Bytes stay in the socket, as reading has stopped.
    pub(in crate::reducer) fn record_paused_read(&mut self) {
        (self.was_read_paused, self.has_unread_bytes) = (true, true);
    }

    /// Had reading stopped before the bytes that were just read? True only once.
    pub(in crate::reducer) fn take_was_read_paused(&mut self) -> bool {
        std::mem::take(&mut self.was_read_paused)
    }

    /// Is the socket known to hold more than was read?
    pub(in crate::reducer) fn has_unread_bytes(&self) -> bool {
        self.has_unread_bytes
    }

    /// The socket holds more than was read.
    pub(in crate::reducer) fn record_unread_bytes(&mut self) {
        self.has_unread_bytes = true;
    }

    /// The socket was read until it was empty; true where it was known to hold more than was read.
    pub(in crate::reducer) fn record_socket_empty(&mut self) -> bool {
        self.is_read_paused = false;
        std::mem::take(&mut self.has_unread_bytes)
    }

    /// Is it closed once its output is written?
    pub(in crate::reducer) fn is_closing(&self) -> bool {
        self.is_closing
    }

    pub(in crate::reducer) fn set_closing(&mut self) {
        self.is_closing = true;
    }

    /// The system denied it a descriptor; gives how often so far.
    pub(in crate::reducer) fn record_connect_denial(&mut self) -> u8 {
        self.connect_denials = self.connect_denials.saturating_add(1);
        self.connect_denials
    }

    pub(in crate::reducer) fn clear_connect_denials(&mut self) {
        self.connect_denials = 0;
    }

    /// Memory of both buffers, as last counted.
    pub(in crate::reducer) fn buffer_bytes(&self) -> usize {
        self.buffer_bytes
    }
}

impl Connections {
    pub(in crate::reducer) fn next_id(&mut self) -> ConnectionId {
        self.last_id += 1;
        ConnectionId(self.last_id)
    }

    /// The id that was given out last.
    pub(in crate::reducer) fn last_id(&self) -> ConnectionId {
        ConnectionId(self.last_id)
    }

    pub(in crate::reducer) fn insert(&mut self, id: ConnectionId, remote: Remote) {
        self.by_id.insert(id, Connection::new(remote));
    }

    /// Removes a connection with its deadline, and its buffers from the memory that is counted.
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

    /// All connections to members, in no order.
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

    /// When a deadline is to be checked next.
    pub(in crate::reducer) fn next_check_at(&self) -> Option<Time> {
        self.deadlines.first().map(|&(at, _)| at)
    }

    /// A connection whose deadline has passed; the deadline is taken from it.
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

    /// Memory of all buffers.
    pub(in crate::reducer) fn buffer_bytes(&self) -> usize {
        self.buffer_bytes
    }

    /// Counts the memory of a connection's buffers again; true where it has shrunk.
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

    /// Takes all that wait for memory, in the order of their ids.
    pub(in crate::reducer) fn take_waiting_for_memory(&mut self) -> BTreeSet<ConnectionId> {
        std::mem::take(&mut self.waiting_for_memory)
    }
}
