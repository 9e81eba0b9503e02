//! Manages the connections to members: takes connections from the pool or opens them for a job, returns them to the
//! pool, and closes them if their member has another address, drains, has vanished or is no longer tracked by the
//! routing core (retired).

use crate::reducer::Reducer;
use crate::reducer::connection_id::ConnectionId;
use crate::reducer::event::Effect;
use crate::reducer::state::client_table::EvictionScope;
use crate::reducer::state::connections::Remote;
use crate::reducer::state::member_connection::{Job, MemberConnection};
use crate::reducer::state::query_answer::unanswered_result;
use ladderpass_routing::{AttemptOutcome, LoadReport, MemberId, Time};
use rustc_hash::FxHashSet;
use std::net::SocketAddr;

impl Reducer {
    /// Gives a job to an idle connection of a member, or to a new connection if none is idle. `assigned_at` is when the
    /// job was first assigned to a connection of the member, which is earlier than `now` for a job that moves. Returns
    /// the connection, or `None` if no connection can be opened.
    pub(super) fn assign_job(
        &mut self,
        now: Time,
        index: usize,
        job: Job,
        assigned_at: Time,
        deadline: Time,
    ) -> Option<ConnectionId> {
        let address = self.members.address(index)?;
        if let Some(id) = self.members.pop_idle(index) {
            self.set_job(assigned_at, id, job, deadline);
            return Some(id);
        }
        if !self.free_capacity_for_member_connection(now) {
            return None;
        }
        let id = self.next_id();
        self.members.add_connection(index);
        self.stats.count_connect();
        let connect_deadline = now + self.limits.connect_timeout;
        let member = MemberConnection::new(now, index, deadline, connect_deadline);
        self.add_connection(id, Some(connect_deadline), Remote::Member(member));
        self.effects.push(Effect::Connect(id, address));
        self.set_job(assigned_at, id, job, deadline);
        if let Job::Attempt(_) = job {
            self.members.push_connecting(index, id);
        }
        Some(id)
    }

    /// Makes sure that one more connection to a member may be opened. Members may use as many of `Limits::connections`
    /// as clients leave. If these connections are used up, the member connection that has been idle longest is closed,
    /// or else the connection of a client whose input has been awaited for the time in `Limits::eviction_ages`. Returns
    /// whether the new connection may be opened.
    fn free_capacity_for_member_connection(&mut self, now: Time) -> bool {
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
            self.close_after_final_read(now, client);
            return true;
        }
        false
    }

    /// Returns the member connection that has been idle longest.
    pub(super) fn longest_idle_connection(&self) -> Option<ConnectionId> {
        let since = |&id: &ConnectionId| {
            self.connections.member(id).map_or(Time::NEVER, |member| member.idle_since())
        };
        self.members.longest_idle().min_by_key(since)
    }

    /// Takes back an established connection that has no job. The connection gets the job of a connection to the same
    /// member that is not established yet, or becomes idle if there is no such job. If the member's address has changed
    /// since the connection was opened, the connection is closed instead.
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

    /// Closes those idle connections of a member on which nothing was received since the given time. This is called
    /// after a query on another connection of the member was not answered. A machine that vanished leaves its
    /// connections open, and a query on such a connection may never be answered.
    pub(super) fn close_silent_connections(&mut self, index: usize, since: Time) {
        let is_silent = |&&id: &&ConnectionId| {
            self.connections.member(id).is_some_and(|member| member.last_received_at() < since)
        };
        let silent: Vec<ConnectionId> = self.members.idle(index).iter().filter(is_silent).copied().collect();
        for id in silent {
            self.close_connection(id);
        }
    }

    fn close_idle_connections(&mut self, index: usize) {
        for id in self.members.take_idle(index) {
            self.close_connection(id);
        }
    }

    /// Sets a member's address. If the address has changed, connections to the old address are not used again. Jobs
    /// whose connections are not established move to the new address, where the member may already listen. This move
    /// does not count as a failure of the member.
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
            if self.assign_job(now, index, job, assigned_at, deadline).is_none() {
                let member = MemberId(index as u32);
                let result = unanswered_result(member, AttemptOutcome::NeverSent, now - assigned_at);
                self.on_job_ended(now, job, result, LoadReport::default());
            }
        }
    }

    /// Closes the idle connections of members that drain or have left, and ends the attempts of which no byte was sent
    /// to such members, so that they go to other members. The connections of these attempts might be established, or
    /// accept bytes again, only after the grace period in which a draining member still serves RPCs.
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

    /// Closes the idle connections of a member that the routing core has retired and no longer tracks, and frees the
    /// member's index if it has no other connections.
    pub(in crate::reducer) fn retire_member(&mut self, index: usize) {
        self.close_idle_connections(index);
        self.members.set_retired(index, true);
        self.release_member_index(index);
    }

    /// Frees the index of a member that the routing core no longer tracks (a retired member), once the member's last
    /// connection is closed. Until then a late answer of the member may arrive, which must not be taken for an answer
    /// of the next member with the index.
    pub(super) fn release_member_index(&mut self, index: usize) {
        if self.members.try_release(index) {
            self.gossip_codec.id_hashes.remove(index as u32);
        }
    }
}
