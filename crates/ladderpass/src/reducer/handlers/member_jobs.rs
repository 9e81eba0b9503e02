//! Runs the jobs of member connections: writes and withdraws their queries, and ends each job with an outcome.

use crate::faulty::Faulty;
use crate::pg;
use crate::reducer::Reducer;
use crate::reducer::connection_id::ConnectionId;
use crate::reducer::state::member_connection::{Job, Withdrawal};
use ladderpass_routing::{AttemptOutcome, LoadReport, MemberId, RpcId, Span, Time};

/// The query that a health check sends to a member, which answers with a load report.
const HEALTH_CHECK_QUERY: &str = "SHOW server_load";

impl Reducer {
    pub(super) fn set_job(&mut self, assigned_at: Time, id: ConnectionId, job: Job, deadline: Time) {
        let Some(member) = self.connections.member_mut(id) else { return };
        let next = member.assign(assigned_at, job, deadline);
        self.connections.set_deadline(id, Some(next));
        if let Job::Attempt(rpc) = job
            && let Some(entry) = self.rpcs.get_mut(rpc)
        {
            entry.set_connection(id);
        }
    }

    /// Writes the query of a connection's job, and an empty query (the sync query) behind it. The connection is used
    /// again only once the member has answered the sync query and has sent nothing else between the answers to the two
    /// queries. Otherwise a second answer to the job's query, or invalid bytes, would go to the next RPC's client.
    pub(super) fn send_query(&mut self, now: Time, id: ConnectionId) {
        let Some(member) = self.connections.member(id) else { return };
        let mut query = Vec::new();
        match member.job() {
            // There is nothing to write for a sync query (an empty query behind another query): it was written together
            // with the query of the job before.
            None | Some(Job::SyncQuery) => return,
            Some(Job::HealthCheck) => pg::put_query(&mut query, &[HEALTH_CHECK_QUERY]),
            Some(Job::Attempt(rpc)) => {
                if let Err(outcome) = self.put_attempt_query(now, id, rpc, &mut query) {
                    return outcome.into_iter().for_each(|outcome| self.release_job(now, id, outcome));
                }
            }
        }
        let length = query.len();
        if !self.faulty.is(Faulty::ReusesBusyConnections) {
            pg::put_query(&mut query, &[""]);
        }
        self.write(id, &query);
        let Some(connection) = self.connections.get(id) else { return };
        let unwritten = connection.output.len() + length - query.len();
        if let Some(member) = self.connections.member_mut(id) {
            member.begin_query(now, unwritten);
        }
    }

    /// Puts the statement of an RPC into `query`, with the client's wait replaced by the time that is left. An attempt
    /// that has waited for its connection is put only if the routing core would still allow it. If the attempt can't be
    /// sent, returns an error with the attempt's outcome, or with `None` if the RPC or the connection does not exist any
    /// more.
    fn put_attempt_query(
        &mut self,
        now: Time,
        id: ConnectionId,
        rpc: RpcId,
        query: &mut Vec<u8>,
    ) -> Result<(), Option<AttemptOutcome>> {
        let (Some(member), Some(entry)) = (self.connections.member(id), self.rpcs.get(rpc)) else {
            return Err(None);
        };
        let (member_id, deadline) = (MemberId(member.member() as u32), member.job_deadline());
        let description = entry.description();
        // What was true when this member was selected may have changed while the attempt waited: the member's role, how
        // new its data is, and whether a further attempt may still have no second effect.
        let has_waited = now - member.assigned_at() > self.limits.max_decision_age;
        if has_waited && !self.router.may_still_attempt(now, rpc, member_id) {
            return Err(Some(AttemptOutcome::DecisionExpired));
        }
        let client = entry.client().and_then(|client| self.connections.get_mut(client));
        let client = client.ok_or(Some(AttemptOutcome::Cancelled))?;
        // The client may have left while the connection to the member was being established: its close can't be seen
        // while reading from the client is paused.
        if client.is_read_paused() {
            return Err(Some(AttemptOutcome::NeverSent));
        }
        let frame = pg::parse_frame(client.input.make_contiguous(), self.limits.statement_bytes);
        let statement = frame.ok().flatten().and_then(|frame| pg::parse_query(frame.body).ok());
        let wait_at = &description.wait_at;
        let parts = statement.and_then(|text| Some((text.get(..wait_at.start)?, text.get(wait_at.end..)?)));
        let (before, after) = parts.ok_or(Some(AttemptOutcome::NeverSent))?;
        let wait_ms = ((deadline - now).nanos() / 1_000_000).max(1).to_string();
        pg::put_query(query, &[before, &wait_ms, after]);
        Ok(())
    }

    /// Ends the job of a member connection with this outcome. The connection itself is kept for other jobs.
    pub(super) fn release_job(&mut self, now: Time, id: ConnectionId, outcome: AttemptOutcome) {
        let Some(member) = self.connections.member_mut(id) else { return };
        if member.job().is_none() {
            return;
        }
        let (is_established, connect_deadline) = (member.is_established(), member.connect_deadline());
        let index = member.member();
        let ended = member.end_job();
        let Some(job) = ended.job else { return };
        if is_established {
            self.return_to_pool(now, id);
        } else {
            self.connections.set_deadline(id, Some(connect_deadline));
            self.members.remove_connecting(index, id);
        }
        self.on_job_ended(now, job, ended.result(now, outcome), LoadReport::default());
    }

    /// Sets the deadline for writing a query of which the member connection's socket accepts no more bytes for now. If
    /// the member read the query late, the remaining time that the query states would be wrong, and the member's data
    /// might no longer be new enough.
    pub(super) fn on_query_write_blocked(&mut self, id: ConnectionId) {
        let Some(member) = self.connections.member(id) else { return };
        let requires_position = match member.job() {
            Some(Job::Attempt(rpc)) => {
                self.rpcs.get(rpc).is_some_and(|entry| entry.description().requires_position)
            }
            _ => false,
        };
        let timeout =
            if requires_position { self.limits.max_decision_age } else { self.limits.write_timeout };
        if let Some(deadline) = member.write_deadline(timeout) {
            self.connections.set_deadline(id, Some(deadline));
        }
    }

    pub(super) fn is_query_sent(&self, id: ConnectionId) -> bool {
        self.connections.member(id).is_some_and(|member| member.is_query_sent())
    }

    pub(super) fn is_established(&self, id: ConnectionId) -> bool {
        self.connections.member(id).is_some_and(|member| member.is_established())
    }

    /// Withdraws the query of a connection's job if the query is not fully written, because no client waits for its
    /// answer any more. A partly written query never runs at the member, and its connection is closed because the
    /// connection can't be used any more.
    pub(super) fn withdraw_job(&mut self, now: Time, id: ConnectionId) {
        let Some(member) = self.connections.member_mut(id) else { return };
        match member.withdraw_query() {
            Withdrawal::PartlyWritten => self.end_member_connection(now, id, AttemptOutcome::Cancelled),
            Withdrawal::Written => {}
            Withdrawal::Unwritten => {
                if let Some(connection) = self.connections.get_mut(id) {
                    connection.output.consume(connection.output.len());
                }
                self.release_job(now, id, AttemptOutcome::Cancelled);
            }
            Withdrawal::NotBegun => self.release_job(now, id, AttemptOutcome::Cancelled),
        }
    }

    /// Closes a connection to a member, and ends the connection's job with this outcome.
    pub(super) fn end_member_connection(&mut self, now: Time, id: ConnectionId, outcome: AttemptOutcome) {
        let Some(member) = self.connections.member_mut(id) else { return };
        let index = member.member();
        let ended = member.end_job();
        if outcome == AttemptOutcome::Ok
            && let Some(Job::Attempt(rpc)) = ended.job
        {
            self.forward_answer(now, id, rpc);
        }
        self.close_connection(id);
        // If the job timed out in less than `Limits::connect_timeout`, its deadline came from the RPC's client, which
        // is no reason to close the member's other connections.
        if outcome == AttemptOutcome::TimedOut && now - ended.assigned_at >= self.limits.connect_timeout {
            self.close_silent_connections(index, ended.assigned_at);
        }
        if let Some(job) = ended.job {
            self.on_job_ended(now, job, ended.result(now, outcome), LoadReport::default());
        }
    }

    pub(in crate::reducer) fn start_health_check(&mut self, now: Time, member: MemberId) {
        let deadline = now + self.limits.health_check_timeout;
        match self.assign_job(now, member.0 as usize, Job::HealthCheck, now, deadline) {
            Some(id) if self.is_established(id) => self.send_query(now, id),
            Some(_) => {}
            None => self.router.on_health_check_ended(
                now,
                member,
                AttemptOutcome::NeverSent,
                Span::ZERO,
                LoadReport::default(),
            ),
        }
    }
}
