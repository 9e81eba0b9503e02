//! Reads what members send: the end of their startup, and answers to queries. A message that can't be parsed is not
//! used as an answer or as information about the member, and the connection on which it arrived is closed.

use crate::faulty::Faulty;
use crate::pg;
use crate::reducer::Reducer;
use crate::reducer::connection_id::ConnectionId;
use crate::reducer::load_report::read_load_report;
use crate::reducer::log_target;
use crate::reducer::state::connections::{Connection, Remote};
use crate::reducer::state::member_connection::{AnsweredJob, Job, MessageEffect};
use ladderpass_routing::{AttemptOutcome, LoadReport, Time};

impl Reducer {
    /// Handles the messages that a member has sent on a connection.
    pub(super) fn read_member(&mut self, now: Time, id: ConnectionId) {
        while self.read_member_message(now, id) {}
    }

    /// Handles the next message that a member has sent on a connection. Returns false if no complete message is left,
    /// or if the connection has ended.
    fn read_member_message(&mut self, now: Time, id: ConnectionId) -> bool {
        let Some(Connection { input, remote: Remote::Member(member), .. }) = self.connections.get_mut(id)
        else {
            return false;
        };
        member.record_received(now);
        let has_job = member.has_established_job();
        if self.faulty.is(Faulty::ReusesBusyConnections) && member.is_established() && member.job().is_none()
        {
            return false;
        }
        let input_bytes = input.len();
        if member.begins_answer(input_bytes) {
            let deadline = member.job_deadline().min(now + self.limits.partial_answer_timeout);
            self.connections.set_deadline(id, Some(deadline));
            return true;
        }
        let bytes = input.make_contiguous().get(member.scanned()..).unwrap_or_default();
        let pg::Frame { kind, body, length } = match pg::parse_frame(bytes, self.limits.member_buffer_bytes) {
            Ok(Some(frame)) => frame,
            Ok(None) => return false,
            Err(_) if self.faulty.is(Faulty::TrustsLengths) && member.force_complete(input_bytes) => {
                self.on_answer_complete(now, id);
                return false;
            }
            Err(_) => return self.on_malformed_message(now, id),
        };
        match member.on_message(kind, body, self.faulty.is(Faulty::ForwardsTornRows)) {
            MessageEffect::Continue if has_job => member.add_scanned(length),
            MessageEffect::Continue => input.consume(length),
            MessageEffect::Established => {
                input.consume(length);
                self.on_member_established(now, id);
            }
            MessageEffect::AnswerComplete => {
                member.add_scanned(length);
                self.on_answer_complete(now, id);
            }
            MessageEffect::Ended(outcome) => {
                self.end_member_connection(now, id, outcome);
                return false;
            }
            MessageEffect::Malformed => return self.on_malformed_message(now, id),
        }
        true
    }

    /// Closes a connection on which a message is malformed, arrives out of place or does not end in time. Nothing of the
    /// answer to which the message belongs is used. Returns false, because there is nothing more to read.
    pub(super) fn on_malformed_message(&mut self, now: Time, id: ConnectionId) -> bool {
        let Some(member) = self.connections.member_mut(id) else { return false };
        member.discard_answer();
        let outcome =
            if member.is_query_sent() { AttemptOutcome::ConnectionLost } else { AttemptOutcome::Unreachable };
        tracing::warn!(
            target: log_target::MEMBER_ANSWERS,
            member = self.members.names().name(member.member() as u32),
            job = ?member.job(),
            unwritten_bytes = member.unwritten(),
            "malformed message from a member: connection closed"
        );
        self.end_member_connection(now, id, outcome);
        false
    }

    /// Handles the end of the startup on a connection to a member, which is now established.
    fn on_member_established(&mut self, now: Time, id: ConnectionId) {
        let Some(member) = self.connections.member(id) else { return };
        let connect_began_at = member.connect_deadline() - self.limits.connect_timeout;
        self.stats.add_established_connect(now - connect_began_at);
        self.members.remove_connecting(member.member(), id);
        if member.job().is_some() {
            let deadline = member.job_deadline();
            self.connections.set_deadline(id, Some(deadline));
            self.send_query(now, id);
        } else {
            self.return_to_pool(now, id);
        }
    }

    /// Handles a complete answer to the query of a connection's job. After this answer the member can handle the next
    /// query on the connection.
    fn on_answer_complete(&mut self, now: Time, id: ConnectionId) {
        let Some(member) = self.connections.member_mut(id) else { return };
        let Some(answered) = member.take_answered_job(now) else { return };
        let AnsweredJob { job, member, mut answer, input_bytes, latency, waited_for_router } = answered;
        if let Job::Attempt(rpc) = job
            && let Some(entry) = self.rpcs.get_mut(rpc)
        {
            entry.add_wait_for_router(waited_for_router);
        }
        let outcome = answer.outcome();
        let mut report = LoadReport::default();
        match job {
            Job::Attempt(rpc) if outcome == AttemptOutcome::Ok => self.forward_answer(now, id, rpc),
            Job::Attempt(_) | Job::SyncQuery => {}
            Job::HealthCheck => report = self.load_report(id),
        }
        if self.faulty.is(Faulty::IgnoresLag) {
            report.position = report.position.map(|_| now);
            answer.override_position(now);
        }
        self.consume_member_input(id, input_bytes);
        if job == Job::SyncQuery {
            return self.return_to_pool(now, id);
        }
        let result = answer.to_result(member, outcome, latency);
        match self.faulty.is(Faulty::ReusesBusyConnections) {
            true => self.return_to_pool(now, id),
            false => {
                let deadline = now + self.limits.partial_answer_timeout;
                self.set_job(now, id, Job::SyncQuery, deadline);
            }
        }
        self.on_job_ended(now, job, result, report);
    }

    /// Returns the load report in the answer at the front of a member connection's input.
    fn load_report(&mut self, id: ConnectionId) -> LoadReport {
        let Some(connection) = self.connections.get_mut(id) else { return LoadReport::default() };
        let max_bytes = self.limits.member_buffer_bytes;
        read_load_report(connection.input.make_contiguous(), max_bytes, &self.report_columns)
    }

    fn consume_member_input(&mut self, id: ConnectionId, count: usize) {
        if let Some(connection) = self.connections.get_mut(id) {
            connection.input.consume(count);
            connection.input.shrink_if_empty(self.limits.buffer_initial_bytes);
        }
        self.update_buffer_bytes(id);
    }
}
