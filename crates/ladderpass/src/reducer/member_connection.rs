//! State of one connection to a member. It carries one job at a time, and is used again only once the member has
//! answered an empty query with nothing before that answer.

use super::query_answer::QueryAnswer;
use crate::pg;
use ladderpass_routing::{AttemptOutcome, RpcId, Span, Time};

/// What a connection to a member is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Job {
    Attempt(RpcId),
    HealthCheck,
    /// The empty query that was written behind the last query. What arrives before its answer was sent on top of the
    /// answer to that query.
    SyncQuery,
}

/// A connection to a member.
pub(super) struct MemberConnection {
    /// The member's index.
    pub(super) member: usize,
    /// The member has completed its startup.
    pub(super) is_established: bool,
    pub(super) job: Option<Job>,
    pub(super) assigned_at: Time,
    /// When the job is given up.
    pub(super) job_deadline: Time,
    pub(super) connect_deadline: Time,
    /// Bytes of the query that are not yet written to the socket, without the empty query behind it.
    pub(super) unwritten: usize,
    /// No byte of the query has been written.
    pub(super) nothing_written: bool,
    /// When the query was handed over to be written.
    pub(super) queued_at: Time,
    /// How long this router kept the query from being written.
    pub(super) write_delay: Span,
    /// How long what was read last had waited to be read.
    pub(super) read_delay: Span,
    /// Bytes of the input that are already parsed.
    pub(super) scanned: usize,
    pub(super) answer: QueryAnswer,
    /// Bytes of the answer have arrived.
    pub(super) answer_has_begun: bool,
    pub(super) idle_since: Time,
    pub(super) last_received_at: Time,
    /// Not to be used again, as the member's address has changed.
    pub(super) is_retired: bool,
}

/// What a message from a member leads to.
pub(super) enum MessageEffect {
    Continue,
    /// The connection can take a query.
    Established,
    AnswerComplete,
    /// The connection is of no further use, and its job has ended so.
    Ended(AttemptOutcome),
    Malformed,
}

impl MemberConnection {
    pub(super) fn new(
        now: Time,
        member: usize,
        job_deadline: Time,
        connect_deadline: Time,
    ) -> MemberConnection {
        MemberConnection {
            member,
            is_established: false,
            job: None,
            assigned_at: now,
            job_deadline,
            connect_deadline,
            unwritten: 0,
            nothing_written: false,
            queued_at: now,
            write_delay: Span::ZERO,
            read_delay: Span::ZERO,
            scanned: 0,
            answer: QueryAnswer::default(),
            answer_has_begun: false,
            idle_since: now,
            last_received_at: Time::NEVER,
            is_retired: false,
        }
    }

    /// The query of its job is to be written; so many bytes of output end with it.
    pub(super) fn begin_query(&mut self, now: Time, unwritten: usize) {
        (self.unwritten, self.scanned, self.answer) = (unwritten, 0, QueryAnswer::default());
        (self.queued_at, self.write_delay, self.nothing_written) = (now, Span::ZERO, true);
        self.answer_has_begun = false;
    }

    /// So many bytes of output were written; true where they complete the query.
    pub(super) fn record_written(&mut self, now: Time, count: usize) -> bool {
        if self.unwritten == 0 {
            return false;
        }
        self.nothing_written &= count == 0;
        self.unwritten = self.unwritten.saturating_sub(count);
        if self.unwritten == 0 {
            self.write_delay += now - self.queued_at;
        }
        self.unwritten == 0
    }

    /// The query is written whole: it may run.
    pub(super) fn is_query_sent(&self) -> bool {
        self.is_established && self.unwritten == 0
    }

    /// What the end of the connection means for its job. A complete answer counts also without the member's
    /// ReadyForQuery.
    pub(super) fn outcome_on_close(&self) -> AttemptOutcome {
        if self.is_established && self.answer.is_complete() {
            return self.answer.outcome();
        }
        match self.job {
            // The member has refused the connection, so it is there.
            Some(Job::HealthCheck) if self.answer.has_error() => AttemptOutcome::Rejected,
            Some(_) if self.is_query_sent() => AttemptOutcome::ConnectionLost,
            _ => AttemptOutcome::Unreachable,
        }
    }

    /// Handles a message of the member. `accepts_torn_rows` is a switch of faulty builds.
    pub(super) fn on_message(&mut self, kind: u8, body: &[u8], accepts_torn_rows: bool) -> MessageEffect {
        if !self.is_established {
            return self.on_startup_message(kind, body);
        }
        let is_complete = self.answer.is_complete();
        match (kind, self.job) {
            (b'N', _) | (b'S', None) => {}
            (b'S', Some(_)) => match pg::parse_parameter_status(body) {
                Ok(pg::ParameterStatus { name, value }) => self.answer.set_parameter(&name, &value),
                Err(_) => return MessageEffect::Malformed,
            },
            (b'E', job) if job != Some(Job::SyncQuery) && !self.answer.has_error() => {
                return self.on_error(body);
            }
            (_, None) => return MessageEffect::Malformed,
            (b'Z', Some(_)) if is_complete && matches!(body, b"I" | b"T" | b"E") => {
                return MessageEffect::AnswerComplete;
            }
            (b'I', Some(Job::SyncQuery)) if self.unwritten == 0 && !is_complete => {
                self.answer.complete();
            }
            (_, Some(Job::SyncQuery)) => return MessageEffect::Malformed,
            (b'T', _) if self.unwritten > 0 => return MessageEffect::Malformed,
            _ if !self.answer.add_result_message(kind, body, accepts_torn_rows) => {
                return MessageEffect::Malformed;
            }
            _ => {}
        }
        MessageEffect::Continue
    }

    fn on_startup_message(&mut self, kind: u8, body: &[u8]) -> MessageEffect {
        match kind {
            b'N' | b'S' | b'K' => MessageEffect::Continue,
            b'R' if body == [0; 4] => MessageEffect::Continue,
            b'Z' => {
                self.is_established = true;
                MessageEffect::Established
            }
            b'E' if self.job != Some(Job::SyncQuery) && !self.answer.has_error() => self.on_error(body),
            _ => MessageEffect::Malformed,
        }
    }

    /// An error ends the connection where it does not answer a query that is written whole: the rest of that query could
    /// not be taken back.
    fn on_error(&mut self, body: &[u8]) -> MessageEffect {
        let Ok(error) = pg::parse_error_response(body) else { return MessageEffect::Malformed };
        let is_fatal = error.fatal;
        self.answer.set_error(error);
        let answers_query = self.is_established && self.job.is_some() && self.unwritten == 0;
        if is_fatal || !answers_query {
            return MessageEffect::Ended(self.outcome_on_close());
        }
        MessageEffect::Continue
    }
}
