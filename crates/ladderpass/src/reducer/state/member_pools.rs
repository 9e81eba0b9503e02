//! Members, with their addresses and their pools of connections.
//!
//! A connection to a member is idle in the member's pool, has a job, or is being established. An index identifies a
//! member until the routing core has retired the member (no longer tracks it) and the member's last connection is
//! closed. The index is then free for another member.

use crate::reducer::connection_id::ConnectionId;
use ladderpass_config::names::NameIndex;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// All members by index, and their ids.
#[derive(Default)]
pub(in crate::reducer) struct MemberPools {
    pools: Vec<MemberPool>,
    names: NameIndex,
    /// Number of connections to all members.
    connection_count: usize,
}

struct MemberPool {
    address: SocketAddr,
    /// The member's idle connections, which can take a job. The connection that was used last is at the end.
    idle: Vec<ConnectionId>,
    /// Connections to the member that are being established for an attempt.
    connecting: VecDeque<ConnectionId>,
    connection_count: usize,
    /// Whether the routing core has retired the member, which means that the routing core no longer tracks it.
    is_retired: bool,
}

impl MemberPool {
    fn new(address: SocketAddr) -> MemberPool {
        MemberPool {
            address,
            idle: Vec::new(),
            connecting: VecDeque::new(),
            connection_count: 0,
            is_retired: false,
        }
    }
}

impl MemberPools {
    /// Number of member indexes, including those that are free for another member.
    pub(in crate::reducer) fn len(&self) -> usize {
        self.pools.len()
    }

    /// Number of connections to all members.
    pub(in crate::reducer) fn connection_count(&self) -> usize {
        self.connection_count
    }

    pub(in crate::reducer) fn names(&self) -> &NameIndex {
        &self.names
    }

    /// Adds a member with this id and address, and returns the member's index.
    pub(in crate::reducer) fn add(&mut self, id: &str, address: SocketAddr) -> u32 {
        let index = self.names.intern(id);
        let pool = MemberPool::new(address);
        match self.pools.get_mut(index as usize) {
            Some(old) => *old = pool,
            None => self.pools.push(pool),
        }
        index
    }

    pub(in crate::reducer) fn address(&self, index: usize) -> Option<SocketAddr> {
        Some(self.pools.get(index)?.address)
    }

    /// Sets a member's address. Returns whether the address has changed.
    pub(in crate::reducer) fn set_address(&mut self, index: usize, address: SocketAddr) -> bool {
        let Some(pool) = self.pools.get_mut(index) else { return false };
        std::mem::replace(&mut pool.address, address) != address
    }

    pub(in crate::reducer) fn set_retired(&mut self, index: usize, is_retired: bool) {
        if let Some(pool) = self.pools.get_mut(index) {
            pool.is_retired = is_retired;
        }
    }

    /// Frees the index of a member if the member is retired (no longer tracked by the routing core) and has no
    /// connections left. Returns whether the index was freed.
    pub(in crate::reducer) fn try_release(&mut self, index: usize) -> bool {
        let is_unused = |pool: &MemberPool| pool.is_retired && pool.connection_count == 0;
        let is_free = self.pools.get(index).is_some_and(is_unused);
        if is_free {
            self.names.release(index as u32);
        }
        is_free
    }

    pub(in crate::reducer) fn add_connection(&mut self, index: usize) {
        self.connection_count += 1;
        if let Some(pool) = self.pools.get_mut(index) {
            pool.connection_count += 1;
        }
    }

    pub(in crate::reducer) fn remove_connection(&mut self, index: usize, id: ConnectionId) {
        self.connection_count -= 1;
        if let Some(pool) = self.pools.get_mut(index) {
            pool.idle.retain(|&other| other != id);
            pool.connecting.retain(|&other| other != id);
            pool.connection_count = pool.connection_count.saturating_sub(1);
        }
    }

    pub(in crate::reducer) fn push_idle(&mut self, index: usize, id: ConnectionId) {
        if let Some(pool) = self.pools.get_mut(index) {
            pool.idle.push(id);
        }
    }

    pub(in crate::reducer) fn pop_idle(&mut self, index: usize) -> Option<ConnectionId> {
        self.pools.get_mut(index)?.idle.pop()
    }

    pub(in crate::reducer) fn take_idle(&mut self, index: usize) -> Vec<ConnectionId> {
        self.pools.get_mut(index).map(|pool| std::mem::take(&mut pool.idle)).unwrap_or_default()
    }

    pub(in crate::reducer) fn idle(&self, index: usize) -> &[ConnectionId] {
        self.pools.get(index).map_or(&[], |pool| &pool.idle)
    }

    /// Returns the connection of each member that has been idle longest, for the members with idle connections.
    pub(in crate::reducer) fn longest_idle(&self) -> impl Iterator<Item = ConnectionId> {
        self.pools.iter().filter_map(|pool| pool.idle.first().copied())
    }

    pub(in crate::reducer) fn has_idle(&self) -> bool {
        self.pools.iter().any(|pool| !pool.idle.is_empty())
    }

    pub(in crate::reducer) fn push_connecting(&mut self, index: usize, id: ConnectionId) {
        if let Some(pool) = self.pools.get_mut(index) {
            pool.connecting.push_back(id);
        }
    }

    pub(in crate::reducer) fn pop_connecting(&mut self, index: usize) -> Option<ConnectionId> {
        self.pools.get_mut(index)?.connecting.pop_front()
    }

    pub(in crate::reducer) fn remove_connecting(&mut self, index: usize, id: ConnectionId) {
        if let Some(pool) = self.pools.get_mut(index) {
            pool.connecting.retain(|&other| other != id);
        }
    }
}
