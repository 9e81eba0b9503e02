//! Answers statements that do not become RPCs, and therefore have no effect. Such a statement is rejected because the
//! router lacks time, memory or capacity for it or because the client has sent too much ahead, or it is answered with
//! an error that the client itself has made.

use super::rpc_answers::retry_after_ms;
use crate::pg;
use crate::reducer::Reducer;
use crate::reducer::connection_id::ConnectionId;
use crate::reducer::event::Effect;
use crate::reducer::state::client::AwaitedInput;
use crate::reducer::state::connections::Remote;
use crate::reducer::state::stats::Count;
use ladderpass_routing::{Span, Time};

/// The answer to an RPC that is rejected at its arrival. "Pushed back" means rejected. Clients may depend on the text.
const OVERLOADED: &str = "pushed back: the router has too much to do";
/// The maximum number of times that the pause after a client's errors doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// Why a statement is rejected. The client may try the statement again.
#[derive(Clone, Copy, Debug)]
pub(super) enum Rejection {
    /// The process is about to end, so that no RPC begins any more.
    Stopping,
    /// The client has sent more than its input buffer has space for.
    SentAhead,
    /// Too many RPCs are in flight.
    Full,
    Memory,
    /// Too many clients are connected.
    Crowded,
    /// The client's connection is closing.
    Closing,
}

/// An error that a client has made in a statement, with the SQLSTATE code and the text of the answer.
pub(super) struct StatementError {
    code: &'static str,
    text: String,
}

impl StatementError {
    pub(super) fn new(code: &'static str, text: impl Into<String>) -> StatementError {
        StatementError { code, text: text.into() }
    }
}

/// The content of an ErrorResponse to a statement.
struct ErrorAnswer<'a> {
    code: &'a str,
    text: &'a str,
    retry_after_ms: Option<i64>,
}

impl Rejection {
    fn answer(self, retry_after_ms: Option<i64>) -> ErrorAnswer<'static> {
        let (code, text) = match self {
            Rejection::Stopping => ("57P03", "the router stops"),
            Rejection::SentAhead => ("53300", "too much is sent ahead"),
            // The word "held" in this text means in flight. Clients may depend on the text.
            Rejection::Full => ("53300", "too many RPCs are held"),
            Rejection::Memory => ("53300", "memory is short"),
            Rejection::Crowded => ("53300", "too many connections"),
            Rejection::Closing => ("53300", "the connection is being closed"),
        };
        ErrorAnswer { code, text, retry_after_ms }
    }
}

impl Reducer {
    /// Rejects an RPC at its arrival. The router stores nothing about the RPC, so that many rejections stay cheap.
    pub(super) fn reject_at_arrival(&mut self, id: ConnectionId, length: usize, retry_after: Span) {
        let mut answer = std::mem::take(&mut self.scratch);
        answer.clear();
        pg::put_recoverable_error(&mut answer, "53300", OVERLOADED, retry_after_ms(retry_after));
        self.consume_input(id, length);
        self.write(id, &answer);
        self.scratch = answer;
    }

    /// Rejects a statement, and tells the client after how long it may retry.
    pub(super) fn reject_statement(&mut self, id: ConnectionId, length: usize, rejection: Rejection) {
        let retry_after_ms = retry_after_ms(self.router.retry_after());
        self.answer_error(id, length, rejection.answer(retry_after_ms));
    }

    fn answer_error(&mut self, id: ConnectionId, length: usize, answer: ErrorAnswer<'_>) {
        let ErrorAnswer { code, text, retry_after_ms } = answer;
        let mut out = Vec::new();
        pg::put_recoverable_error(&mut out, code, text, retry_after_ms);
        self.consume_input(id, length);
        self.write(id, &out);
    }

    /// Begins to close a client's connection. Statements that the client has sent, whether they are read already or not,
    /// are rejected first. The connection is closed once the client was idle for
    /// `Limits::rejected_client_idle_timeout`, or after `Limits::message_timeout` if the client sends without a pause.
    pub(super) fn begin_closing(&mut self, now: Time, id: ConnectionId) {
        let closes_by = now + self.limits.message_timeout;
        let Some(connection) = self.connections.get_mut(id) else { return };
        let Remote::Client(client) = &mut connection.remote else { return };
        client.begin_closing(closes_by);
        connection.resume_reading();
        self.effects.push(Effect::Read(id));
    }

    /// Answers a statement in which the client has made an error. What the client sends next is read after a pause.
    /// After `Limits::client_errors` such errors in a row, the connection is closed behind the next error. So a client
    /// that sends errors as fast as they are answered does not take the router's time from other clients.
    pub(super) fn answer_client_error(
        &mut self,
        now: Time,
        id: ConnectionId,
        length: usize,
        error: &StatementError,
    ) {
        let Some(client) = self.connections.client_mut(id) else { return };
        if client.closes_by().is_some() {
            return self.answer_counted_error(id, length, error);
        }
        let errors = client.record_error(self.limits.client_errors);
        let is_last = !client.is_backing_off();
        if is_last {
            return self.answer_last_error(now, id, length, error);
        }
        let doublings = (errors - 1).min(MAX_BACKOFF_DOUBLINGS);
        let pause = self.limits.client_error_backoff * f64::from(1u32 << doublings);
        self.answer_counted_error(id, length, error);
        self.set_awaited(id, Some((AwaitedInput::StatementRest, now)));
        self.connections.set_deadline(id, Some(now + pause));
    }

    /// Answers a statement in which the client has made an error, and begins to close the client's connection.
    pub(super) fn answer_last_error(
        &mut self,
        now: Time,
        id: ConnectionId,
        length: usize,
        error: &StatementError,
    ) {
        self.answer_counted_error(id, length, error);
        self.begin_closing(now, id);
    }

    fn answer_counted_error(&mut self, id: ConnectionId, length: usize, error: &StatementError) {
        self.stats.count(Count::ClientError);
        let (code, text) = (error.code, error.text.as_str());
        self.answer_error(id, length, ErrorAnswer { code, text, retry_after_ms: None });
    }
}
