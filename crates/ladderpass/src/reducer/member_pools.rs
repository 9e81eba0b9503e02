//! Members with their addresses and pools of connections.
//!
//! A connection to a member is idle in its pool, or has a job, or is being established. A member's index stands for it
//! until the routing core has retired it and its last connection is closed; then the index serves another member.

use super::Reducer;
use super::client_table::EvictionScope;
use super::connection_id::ConnectionId;
use super::connections::Remote;
use super::event::Effect;
use super::member_connection::{Job, MemberConnection};
use super::query_answer::unanswered_result;
use ladderpass_config::names::NameIndex;
use ladderpass_routing::{AttemptOutcome, LoadReport, MemberId, Time};
use rustc_hash::FxHashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// All members by index, and their ids.
#[derive(Default)]
pub(super) struct MemberPools {
    pools: Vec<MemberPool>,
    names: NameIndex,
    /// Connections of all members.
    connection_count: usize,
}

struct MemberPool {
    address: SocketAddr,
    /// Connections that can take a job, the one used last at the end.
    idle: Vec<ConnectionId>,
    /// Connections that are being established for an attempt.
    connecting: VecDeque<ConnectionId>,
    connection_count: usize,
    /// The routing core has retired the member: it no longer tracks it.
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
    /// How many indexes are in use, or were.
    pub(super) fn len(&self) -> usize {
        self.pools.len()
    }

    /// Connections of all members.
    pub(super) fn connection_count(&self) -> usize {
        self.connection_count
    }

    pub(super) fn names(&self) -> &NameIndex {
        &self.names
    }

    /// Adds a member, and gives its index.
    pub(super) fn add(&mut self, id: &str, address: SocketAddr) -> u32 {
        let index = self.names.intern(id);
        let pool = MemberPool::new(address);
        match self.pools.get_mut(index as usize) {
            Some(old) => *old = pool,
            None => self.pools.push(pool),
        }
        index
    }

    pub(super) fn address(&self, index: usize) -> Option<SocketAddr> {
        Some(self.pools.get(index)?.address)
    }

    /// True where the member had another address.
    fn set_address(&mut self, index: usize, address: SocketAddr) -> bool {
        let Some(pool) = self.pools.get_mut(index) else { return false };
        std::mem::replace(&mut pool.address, address) != address
    }

    pub(super) fn set_retired(&mut self, index: usize, is_retired: bool) {
        if let Some(pool) = self.pools.get_mut(index) {
            pool.is_retired = is_retired;
        }
    }

    /// Frees the index of a retired member, if it has no connections left. Returns whether the index was freed.
    fn try_release(&mut self, index: usize) -> bool {
        let is_free = |pool: &MemberPool| pool.is_retired && pool.connection_count == 0;
        let is_free = self.pools.get(index).is_some_and(is_free);
        if is_free {
            self.names.release(index as u32);
        }
        is_free
    }

    fn add_connection(&mut self, index: usize) {
        self.connection_count += 1;
        if let Some(pool) = self.pools.get_mut(index) {
            pool.connection_count += 1;
        }
    }

    pub(super) fn remove_connection(&mut self, index: usize, id: ConnectionId) {
        self.connection_count -= 1;
        if let Some(pool) = self.pools.get_mut(index) {
            pool.idle.retain(|&other| other != id);
            pool.connecting.retain(|&other| other != id);
            pool.connection_count = pool.connection_count.saturating_sub(1);
        }
    }

    fn push_idle(&mut self, index: usize, id: ConnectionId) {
        if let Some(pool) = self.pools.get_mut(index) {
            pool.idle.push(id);
        }
    }

    fn pop_idle(&mut self, index: usize) -> Option<ConnectionId> {
        self.pools.get_mut(index)?.idle.pop()
    }

    fn take_idle(&mut self, index: usize) -> Vec<ConnectionId> {
        self.pools.get_mut(index).map(|pool| std::mem::take(&mut pool.idle)).unwrap_or_default()
    }

    fn idle(&self, index: usize) -> &[ConnectionId] {
        self.pools.get(index).map_or(&[], |pool| &pool.idle)
    }

    /// Of each member the connection that has been idle longest.
    fn longest_idle(&self) -> impl Iterator<Item = ConnectionId> {
        self.pools.iter().filter_map(|pool| pool.idle.first().copied())
    }

    pub(super) fn has_idle(&self) -> bool {
        self.pools.iter().any(|pool| !pool.idle.is_empty())
    }

    fn push_connecting(&mut self, index: usize, id: ConnectionId) {
        if let Some(pool) = self.pools.get_mut(index) {
            pool.connecting.push_back(id);
        }
    }

    fn pop_connecting(&mut self, index: usize) -> Option<ConnectionId> {
        self.pools.get_mut(index)?.connecting.pop_front()
    }

    pub(super) fn remove_connecting(&mut self, index: usize, id: ConnectionId) {
        if let Some(pool) = self.pools.get_mut(index) {
            pool.connecting.retain(|&other| other != id);
        }
    }
}

impl Reducer {
    /// Gives a job to a connection of a member: an idle one, else a new one. None if there can be none.
    pub(super) fn assign_job(
        &mut self,
        now: Time,
        index: usize,
        job: Job,
        deadline: Time,
    ) -> Option<ConnectionId> {
        let address = self.members.address(index)?;
        if let Some(id) = self.members.pop_idle(index) {
            self.set_job(now, id, job, deadline);
            return Some(id);
        }
        if !self.make_room_for_member_connection(now) {
            return None;
        }
        let id = self.next_id();
        self.members.add_connection(index);
        self.stats.count_connect();
        let connect_deadline = now + self.limits.connect_timeout;
        let member = MemberConnection::new(now, index, deadline, connect_deadline);
        self.add_connection(id, Some(connect_deadline), Remote::Member(member));
        self.effects.push(Effect::Connect(id, address));
        self.set_job(now, id, job, deadline);
        if let Job::Attempt(_) = job {
            self.members.push_connecting(index, id);
        }
        Some(id)
    }

    /// Makes sure that one more connection to a member may be opened. Members may use what clients leave of
    /// `Limits::connections`; if that is used up, an idle member connection is closed, else a client evicted. Returns
    /// whether there is room.
    fn make_room_for_member_connection(&mut self, now: Time) -> bool {
        let limit = self.limits.connections;
        if self.members.connection_count() < limit.saturating_sub(self.clients.len()) {
            return true;
        }
        if let Some(idle) = self.longest_idle_connection() {
            self.close_connection(idle);
            return true;
        }
        let connections = self.clients.len() + self.members.connection_count();
        if connections < limit + self.limits.evicting_clients
            && let Some(client) =
                self.clients.first_evictable(EvictionScope::Overdue(now), &self.limits.eviction_ages)
        {
            self.close_after_final_read(client);
            return true;
        }
        false
    }

    /// The member connection that has been idle longest.
    pub(super) fn longest_idle_connection(&self) -> Option<ConnectionId> {
        let since = |&id: &ConnectionId| {
            self.connections.member(id).map_or(Time::NEVER, |member| member.idle_since())
        };
        self.members.longest_idle().min_by_key(since)
    }

    /// A connection that is established and has no job takes the job of one that is still being established, or becomes
    /// idle.
    pub(super) fn return_to_pool(&mut self, now: Time, id: ConnectionId) {
        let Some(member) = self.connections.member_mut(id) else { return };
        member.set_idle(now);
        if member.has_old_address() {
            return self.close_connection(id);
        }
        let index = member.member();
        if let Some(connecting) = self.members.pop_connecting(index)
            && let Some(other) = self.connections.member_mut(connecting)
            && let Some(job) = other.take_job()
        {
            let (assigned_at, deadline) = (other.assigned_at(), other.job_deadline());
            let connect_deadline = other.connect_deadline();
            self.connections.set_deadline(connecting, Some(connect_deadline));
            self.set_job(assigned_at, id, job, deadline);
            return self.send_query(now, id);
        }
        self.members.push_idle(index, id);
        self.connections.set_deadline(id, Some(now + self.limits.member_idle_timeout));
    }

    /// After silence on one connection, closes the idle ones of that member on which nothing was received since: a machine
    /// that vanished leaves them open, and a write into one may never be answered.
    pub(super) fn close_silent_connections(&mut self, index: usize, since: Time) {
        let is_silent = |&&id: &&ConnectionId| {
            self.connections.member(id).is_some_and(|member| member.last_received_at() < since)
        };
        let silent: Vec<ConnectionId> = self.members.idle(index).iter().filter(is_silent).copied().collect();
        for id in silent {
            self.close_connection(id);
        }
    }

    pub(super) fn close_idle_connections(&mut self, index: usize) {
        for id in self.members.take_idle(index) {
            self.close_connection(id);
        }
    }

    /// Connections to a member's old address are not used again. What was not sent goes to the new address: it is no
    /// failure of the member, which may listen there already.
    pub(super) fn change_member_address(&mut self, now: Time, index: usize, address: SocketAddr) {
        if !self.members.set_address(index, address) {
            return;
        }
        self.close_idle_connections(index);
        let mut connecting = Vec::new();
        for (id, member) in self.connections.members_mut().filter(|(_, member)| member.member() == index) {
            member.set_old_address();
            connecting.extend(Some(id).filter(|_| !member.is_established()));
        }
        connecting.sort();
        for id in connecting {
            let Some(member) = self.connections.member_mut(id) else { continue };
            let (job, deadline, assigned_at) =
                (member.take_job(), member.job_deadline(), member.assigned_at());
            self.close_connection(id);
            let Some(job) = job else { continue };
            if self.assign_job(now, index, job, deadline).is_none() {
                let member = MemberId(index as u32);
                let result = unanswered_result(member, AttemptOutcome::NeverSent, now - assigned_at);
                self.on_job_ended(now, job, result, LoadReport::default());
            }
        }
    }

    /// Some members drain or have left: attempts of which no byte was sent to them go elsewhere. Their connections might be
    /// established, or accept bytes again, only after the member's grace period.
    pub(super) fn withdraw_from_inactive_members(&mut self, now: Time) {
        let is_inactive = |&index: &usize| !self.router.is_active(MemberId(index as u32));
        let inactive: FxHashSet<usize> = (0..self.members.len()).filter(is_inactive).collect();
        inactive.iter().for_each(|&index| self.close_idle_connections(index));
        let is_unsent_attempt =
            |member: &MemberConnection| inactive.contains(&member.member()) && member.has_unsent_attempt();
        let unsent = self.connections.members().filter(|(_, member)| is_unsent_attempt(member));
        let mut unsent: Vec<ConnectionId> = unsent.map(|(id, _)| id).collect();
        unsent.sort();
        for id in unsent {
            self.end_member_connection(now, id, AttemptOutcome::Rejected);
        }
    }

    /// The routing core has retired the member: it no longer tracks it.
    pub(super) fn retire_member(&mut self, index: usize) {
        self.close_idle_connections(index);
        self.members.set_retired(index, true);
        self.release_member_index(index);
    }

    /// Frees the index of a retired member, not before its last connection is closed: a late answer would be taken for
    /// the next member's.
    pub(super) fn release_member_index(&mut self, index: usize) {
        if self.members.try_release(index) {
            self.gossip_codec.id_hashes.remove(index as u32);
        }
    }
}
