//! State of one connection to a member. The connection carries one job at a time. An empty query follows each query,
//! and the connection is used again only once the member has answered the empty query. If any other result arrives
//! between the answer to the query and the answer to the empty query, the connection is closed.

use super::query_answer::{QueryAnswer, unanswered_result};
use crate::pg;
use ladderpass_routing::{AttemptOutcome, AttemptResult, MemberId, RpcId, Span, Time};

/// What a connection to a member is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::reducer) enum Job {
    Attempt(RpcId),
    HealthCheck,
    /// The empty query that is written behind each query. Once the query's own answer is complete, the next result must
    /// be the answer to the empty query. If a different result comes first, it belongs to no query, and the connection
    /// can't be used any more.
    SyncQuery,
}

/// The state of a connection to a member, without its buffers.
pub(in crate::reducer) struct MemberConnection {
    /// The index of the connection's member.
    member: usize,
    /// Whether the connection is established: the member has completed the startup that the protocol requires.
    is_established: bool,
    connect_deadline: Time,
    job: Option<Job>,
    assigned_at: Time,
    /// When the connection's job times out.
    job_deadline: Time,
    /// Number of bytes of the output, up to the end of the job's query, that are not written to the socket yet. The
    /// empty query behind the job's query is not counted.
    unwritten: usize,
    /// Whether a query was put into the output buffer and no byte was written since then.
    has_written_nothing: bool,
    /// When the job's query was put into the output buffer.
    write_began_at: Time,
    /// Time from when the job's query was put into the output buffer until the whole query was written to the socket.
    write_delay: Span,
    /// How long the bytes that were read last from the member had waited in the kernel.
    read_delay: Span,
    /// Number of bytes at the front of the input that belong to the answer to the job's query and are parsed.
    scanned: usize,
    answer: QueryAnswer,
    /// Whether bytes of the answer to the job's query have arrived.
    has_answer_begun: bool,
    idle_since: Time,
    last_received_at: Time,
    /// Whether the member's address has changed, so that the connection must not be used again.
    has_old_address: bool,
}

/// A job that has ended and was removed from its connection.
pub(in crate::reducer) struct EndedJob {
    pub(in crate::reducer) job: Option<Job>,
    pub(in crate::reducer) member: MemberId,
    pub(in crate::reducer) assigned_at: Time,
    answer: QueryAnswer,
}

impl EndedJob {
    /// Returns the result of the job, which ended with this outcome at the time `now`. Of an answer that is not
    /// complete nothing is used: its role and its position may be as invalid as the bytes that were to follow.
    pub(in crate::reducer) fn result(&self, now: Time, outcome: AttemptOutcome) -> AttemptResult {
        let latency = now - self.assigned_at;
        match self.answer.is_complete() {
            true => self.answer.to_result(self.member, outcome, latency),
            false => unanswered_result(self.member, outcome, latency),
        }
    }
}

/// A job whose answer from the member is complete.
pub(in crate::reducer) struct AnsweredJob {
    pub(in crate::reducer) job: Job,
    pub(in crate::reducer) member: MemberId,
    pub(in crate::reducer) answer: QueryAnswer,
    /// Number of bytes that the answer occupies at the front of the connection's input.
    pub(in crate::reducer) input_bytes: usize,
    /// How long the job took from its assignment to its complete answer, without the time that the query waited in this
    /// router before it was written and the time that the answer waited before it was read.
    pub(in crate::reducer) latency: Span,
    pub(in crate::reducer) waited_for_router: Span,
}

/// How much of a job's query was already written to the socket when the query is withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::reducer) enum Withdrawal {
    /// The connection is not established, so the query is not in the output.
    NotBegun,
    /// No byte of the query was written. The caller must remove the query from the output.
    Unwritten,
    PartlyWritten,
    /// There is nothing to withdraw, because the query is fully written or there is none.
    Written,
}

/// The consequence of a member's message for its connection.
pub(in crate::reducer) enum MessageEffect {
    Continue,
    /// The member has completed its startup, so the connection can take a query.
    Established,
    AnswerComplete,
    /// The connection can't be used any more, and its job has ended with this outcome.
    Ended(AttemptOutcome),
    Malformed,
}

impl MemberConnection {
    pub(in crate::reducer) fn new(
        now: Time,
        member: usize,
        job_deadline: Time,
        connect_deadline: Time,
    ) -> MemberConnection {
        MemberConnection {
            member,
            is_established: false,
            connect_deadline,
            job: None,
            assigned_at: now,
            job_deadline,
            unwritten: 0,
            has_written_nothing: false,
            write_began_at: now,
            write_delay: Span::ZERO,
            read_delay: Span::ZERO,
            scanned: 0,
            answer: QueryAnswer::default(),
            has_answer_begun: false,
            idle_since: now,
            last_received_at: Time::NEVER,
            has_old_address: false,
        }
    }

    /// The index of the connection's member.
    pub(in crate::reducer) fn member(&self) -> usize {
        self.member
    }

    pub(in crate::reducer) fn is_established(&self) -> bool {
        self.is_established
    }

    pub(in crate::reducer) fn connect_deadline(&self) -> Time {
        self.connect_deadline
    }

    pub(in crate::reducer) fn job(&self) -> Option<Job> {
        self.job
    }

    pub(in crate::reducer) fn assigned_at(&self) -> Time {
        self.assigned_at
    }

    pub(in crate::reducer) fn job_deadline(&self) -> Time {
        self.job_deadline
    }

    pub(in crate::reducer) fn unwritten(&self) -> usize {
        self.unwritten
    }

    /// Assigns a job with this deadline to the connection. Returns the new deadline of the connection, which is earlier
    /// than the job's if the connection must be established earlier.
    pub(in crate::reducer) fn assign(&mut self, assigned_at: Time, job: Job, deadline: Time) -> Time {
        (self.job, self.assigned_at, self.job_deadline) = (Some(job), assigned_at, deadline);
        self.write_delay = Span::ZERO;
        if self.is_established { deadline } else { deadline.min(self.connect_deadline) }
    }

    /// Removes and returns the connection's job. What has arrived of the job's answer stays stored.
    pub(in crate::reducer) fn take_job(&mut self) -> Option<Job> {
        self.job.take()
    }

    /// Drops what has arrived of the answer to the job's query.
    pub(in crate::reducer) fn discard_answer(&mut self) {
        self.answer = QueryAnswer::default();
    }

    /// Removes and returns the connection's job, with what has arrived of the job's answer.
    pub(in crate::reducer) fn end_job(&mut self) -> EndedJob {
        EndedJob {
            job: self.job.take(),
            member: MemberId(self.member as u32),
            assigned_at: self.assigned_at,
            answer: std::mem::take(&mut self.answer),
        }
    }

    /// Removes and returns the connection's job, whose answer must be complete, together with that answer.
    pub(in crate::reducer) fn take_answered_job(&mut self, now: Time) -> Option<AnsweredJob> {
        let job = self.job.take()?;
        let waited_for_router = self.write_delay + self.read_delay;
        self.has_answer_begun = false;
        Some(AnsweredJob {
            job,
            member: MemberId(self.member as u32),
            answer: std::mem::take(&mut self.answer),
            input_bytes: std::mem::take(&mut self.scanned),
            latency: (now - self.assigned_at - waited_for_router).max(Span::from_nanos(1)),
            waited_for_router,
        })
    }

    pub(in crate::reducer) fn set_idle(&mut self, now: Time) {
        self.idle_since = now;
    }

    pub(in crate::reducer) fn idle_since(&self) -> Time {
        self.idle_since
    }

    /// Records that the member's address has changed.
    pub(in crate::reducer) fn set_old_address(&mut self) {
        self.has_old_address = true;
    }

    pub(in crate::reducer) fn has_old_address(&self) -> bool {
        self.has_old_address
    }

    pub(in crate::reducer) fn set_read_delay(&mut self, delay: Span) {
        self.read_delay = delay;
    }

    pub(in crate::reducer) fn record_received(&mut self, now: Time) {
        self.last_received_at = now;
    }

    pub(in crate::reducer) fn last_received_at(&self) -> Time {
        self.last_received_at
    }

    pub(in crate::reducer) fn has_established_job(&self) -> bool {
        self.is_established && self.job.is_some()
    }

    /// Returns whether the first bytes of an answer have just arrived, given that the input now has `input_bytes`. The
    /// result is true only once for each answer.
    pub(in crate::reducer) fn begins_answer(&mut self, input_bytes: usize) -> bool {
        input_bytes > self.scanned
            && self.has_established_job()
            && !std::mem::replace(&mut self.has_answer_begun, true)
    }

    pub(in crate::reducer) fn has_answer_begun(&self) -> bool {
        self.has_answer_begun
    }

    /// Number of bytes at the front of the input that belong to the answer to the job's query and are parsed.
    pub(in crate::reducer) fn scanned(&self) -> usize {
        self.scanned
    }

    pub(in crate::reducer) fn add_scanned(&mut self, count: usize) {
        self.scanned += count;
    }

    /// Used only with the fault `TrustsLengths`. If a row description has arrived, treats all input as a complete
    /// answer and returns true. Otherwise changes nothing and returns false.
    pub(in crate::reducer) fn force_complete(&mut self, input_bytes: usize) -> bool {
        let has_description = self.answer.has_description();
        if has_description {
            self.answer.force_complete();
            self.scanned = input_bytes;
        }
        has_description
    }

    /// Returns when the job's query must be fully written: by the job's deadline, and at most `timeout` after the query
    /// was put into the output buffer. Returns `None` if the query is fully written or the connection is not
    /// established.
    pub(in crate::reducer) fn write_deadline(&self, timeout: Span) -> Option<Time> {
        let is_writing = self.is_established && self.unwritten > 0;
        is_writing.then(|| self.job_deadline.min(self.write_began_at + timeout))
    }

    /// Returns whether the connection carries an attempt of which no byte was sent to the member.
    pub(in crate::reducer) fn has_unsent_attempt(&self) -> bool {
        let is_unsent = !self.is_established || self.has_written_nothing && self.unwritten > 0;
        matches!(self.job, Some(Job::Attempt(_))) && is_unsent
    }

    /// Withdraws the job's query if no byte of it was written. Returns how much of the query was written.
    pub(in crate::reducer) fn withdraw_query(&mut self) -> Withdrawal {
        match (self.is_established, self.has_written_nothing) {
            (true, false) if self.unwritten > 0 => Withdrawal::PartlyWritten,
            (true, false) => Withdrawal::Written,
            (true, true) => {
                (self.unwritten, self.has_written_nothing) = (0, false);
                Withdrawal::Unwritten
            }
            (false, _) => Withdrawal::NotBegun,
        }
    }

    /// Records that the job's query was put into the output. The query ends at the byte number `unwritten` of the
    /// output.
    pub(in crate::reducer) fn begin_query(&mut self, now: Time, unwritten: usize) {
        (self.unwritten, self.scanned, self.answer) = (unwritten, 0, QueryAnswer::default());
        (self.write_began_at, self.write_delay, self.has_written_nothing) = (now, Span::ZERO, true);
        self.has_answer_begun = false;
    }

    /// Records that `count` bytes of the output were written to the socket. Returns whether the job's query is now
    /// fully written.
    pub(in crate::reducer) fn record_written(&mut self, now: Time, count: usize) -> bool {
        if self.unwritten == 0 {
            return false;
        }
        self.has_written_nothing &= count == 0;
        self.unwritten = self.unwritten.saturating_sub(count);
        if self.unwritten == 0 {
            self.write_delay += now - self.write_began_at;
        }
        self.unwritten == 0
    }

    /// Returns whether the job's query is fully written, so that the member may run the query.
    pub(in crate::reducer) fn is_query_sent(&self) -> bool {
        self.is_established && self.unwritten == 0
    }

    /// Returns the outcome that the job has if the connection ends now. A complete answer counts even if the member's
    /// ReadyForQuery has not arrived.
    pub(in crate::reducer) fn outcome_on_close(&self) -> AttemptOutcome {
        if self.is_established && self.answer.is_complete() {
            return self.answer.outcome();
        }
        match self.job {
            // The member has rejected the connection with an error message, so the member is reachable.
            Some(Job::HealthCheck) if self.answer.has_error() => AttemptOutcome::Rejected,
            Some(_) if self.is_query_sent() => AttemptOutcome::ConnectionLost,
            _ => AttemptOutcome::Unreachable,
        }
    }

    /// Handles a message that the member has sent. `accepts_torn_rows` is set only with the fault `ForwardsTornRows`,
    /// and then a row with a wrong length is accepted.
    pub(in crate::reducer) fn on_message(
        &mut self,
        kind: u8,
        body: &[u8],
        accepts_torn_rows: bool,
    ) -> MessageEffect {
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

    /// Handles an error that the member has sent. A fatal error ends the connection. An error that does not answer a
    /// fully written query ends the connection too, because a partly written query can't be withdrawn from the
    /// connection.
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
