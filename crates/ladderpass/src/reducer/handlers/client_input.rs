//! Handles what clients have sent: startup messages and statements. The messages of each client are handled up to the
//! client's next RPC.

use super::rejections::{Rejection, StatementError};
use super::rpc_answers::front_message_length;
use crate::buffer::Buffer;
use crate::pg;
use crate::reducer::Reducer;
use crate::reducer::connection_id::ConnectionId;
use crate::reducer::event::Effect;
use crate::reducer::state::cancel_keys::CancelKey;
use crate::reducer::state::client::{AwaitedInput, Client, ClientPhase};
use crate::reducer::state::connections::Remote;
use crate::reducer::state::stats::Count;
use ladderpass_routing::Time;

/// The buffers of a client that becomes idle are freed if the buffers of all connections take more memory than
/// `Limits::pause_clients_at_buffer_bytes` divided by this number.
const IDLE_BUFFER_RELEASE_DIVISOR: usize = 4;

/// Whether to go on handling a client's messages in this iteration of the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Continue,
    Stop,
}

/// A message from a client, by the way in which the message is handled.
enum ClientMessage {
    /// The client's message has not arrived completely.
    Incomplete,
    /// The message is answered with the bytes in `answer`, which may be empty. If `close` is set, the connection is
    /// closed after the answer.
    Answered {
        length: usize,
        answer: Vec<u8>,
        close: bool,
    },
    Invalid {
        length: usize,
        error: StatementError,
    },
    /// An invalid message behind which the connection is closed.
    LastInvalid {
        length: usize,
        error: StatementError,
    },
    Cancel(CancelKey),
    Statement {
        length: usize,
    },
}

impl ClientMessage {
    fn fatal(length: usize, code: &str, text: &str) -> ClientMessage {
        let mut answer = Vec::new();
        pg::put_error(&mut answer, "FATAL", code, text, None);
        ClientMessage::Answered { length, answer, close: true }
    }

    fn invalid(length: usize, code: &'static str, text: &str) -> ClientMessage {
        ClientMessage::Invalid { length, error: StatementError::new(code, text) }
    }
}

impl Reducer {
    pub(in crate::reducer) fn read_ready_clients(&mut self, now: Time) {
        while let Some(id) = self.clients.pop_ready() {
            self.read_client(now, id);
        }
    }

    /// Handles the messages that a client has sent, up to the client's next RPC. After
    /// `Limits::statements_per_iteration` messages the rest is left for the next iteration, so that other clients are
    /// not delayed.
    fn read_client(&mut self, now: Time, id: ConnectionId) {
        for _ in 0..self.limits.statements_per_iteration {
            if self.read_client_message(now, id) == Progress::Stop {
                return;
            }
        }
        self.clients.defer(id);
    }

    fn read_client_message(&mut self, now: Time, id: ConnectionId) -> Progress {
        let Some(connection) = self.connections.get_mut(id) else { return Progress::Stop };
        let is_closing = connection.is_closing();
        let Remote::Client(client) = &mut connection.remote else { return Progress::Stop };
        if is_closing || !client.is_ready() {
            return Progress::Stop;
        }
        if client.closes_by().is_some_and(|closes_by| closes_by <= now) {
            self.close_when_written(now, id);
            return Progress::Stop;
        }
        // A statement that is skipped for lack of memory is answered once its last byte has arrived.
        match client.skipping() {
            Some(0) => {
                client.stop_skipping();
                self.reject_statement(id, 0, Rejection::Memory);
                return Progress::Continue;
            }
            Some(_) => return Progress::Stop,
            None => {}
        }
        // No further message is handled for a client that does not read its answers.
        if connection.output.len() > self.limits.buffer_initial_bytes {
            let deadline = connection.deadline().or(Some(now + self.limits.unread_answer_timeout));
            self.connections.set_deadline(id, deadline);
            return Progress::Stop;
        }
        let message = if client.phase() == ClientPhase::Startup {
            let key = self.cancel_keys.key(id);
            parse_startup(&mut connection.input, client, key, self.limits.startup_message_bytes)
        } else {
            parse_message(&mut connection.input, client, self.limits.statement_bytes)
        };
        self.on_client_message(now, id, message)
    }

    fn on_client_message(&mut self, now: Time, id: ConnectionId, message: ClientMessage) -> Progress {
        match message {
            ClientMessage::Incomplete => {
                self.consume_input(id, 0);
                self.await_client_input(now, id);
                Progress::Stop
            }
            ClientMessage::Answered { length, answer, close } => {
                self.consume_input(id, length);
                if !answer.is_empty() {
                    self.write(id, &answer);
                }
                if close {
                    self.close_when_written(now, id);
                    return Progress::Stop;
                }
                Progress::Continue
            }
            ClientMessage::Invalid { length, error } => {
                self.answer_client_error(now, id, length, &error);
                Progress::Continue
            }
            ClientMessage::LastInvalid { length, error } => {
                self.answer_last_error(now, id, length, &error);
                Progress::Continue
            }
            // By the protocol a cancel request gets no reply, whether the request has an effect or not.
            ClientMessage::Cancel(key) => {
                self.close_when_written(now, id);
                self.cancel_rpc(now, key);
                Progress::Stop
            }
            ClientMessage::Statement { length } => self.on_statement(now, id, length),
        }
    }

    /// Handles a statement that has arrived completely. The statement becomes an RPC only once the client's socket has
    /// been read until it was empty. If the client closed the connection behind the statement, the close is known by
    /// then, so that no attempt is made for a client that has left.
    fn on_statement(&mut self, now: Time, id: ConnectionId, length: usize) -> Progress {
        let is_past_accept_time = self.is_past_accept_time(now);
        let Some(connection) = self.connections.get_mut(id) else { return Progress::Stop };
        let (is_read_paused, has_unread_bytes) = (connection.is_read_paused(), connection.has_unread_bytes());
        let Remote::Client(client) = &mut connection.remote else { return Progress::Stop };
        // No RPC begins so late in a shutdown that SIGKILL could come before the RPC's answer.
        if is_past_accept_time {
            self.reject_statement(id, length, Rejection::Stopping);
            return Progress::Continue;
        }
        if client.closes_by().is_some() {
            self.stats.count(Count::Full);
            self.reject_statement(id, length, Rejection::Closing);
            return Progress::Continue;
        }
        // The client has sent more than its input buffer has space for, so a close of its connection can't be seen yet.
        // The statement is rejected to make space for the rest of the input, and the rejection is counted as
        // `Count::Full`.
        if is_read_paused {
            self.stats.count(Count::Full);
            self.reject_statement(id, length, Rejection::SentAhead);
            return Progress::Continue;
        }
        let refill_until = client.refill_pending(now);
        if has_unread_bytes || refill_until.is_some() {
            let deadline = if has_unread_bytes { None } else { refill_until };
            self.set_awaited(id, None);
            self.connections.set_deadline(id, deadline);
            return Progress::Stop;
        }
        client.clear_refill();
        self.accept_rpc(now, id, length);
        Progress::Continue
    }

    /// Removes `count` handled bytes from the front of a client's input, and resumes reading from the client if reading
    /// was paused.
    pub(super) fn consume_input(&mut self, id: ConnectionId, count: usize) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        connection.input.consume(count);
        connection.input.shrink_if_empty(self.limits.buffer_initial_bytes);
        if let Remote::Client(client) = &mut connection.remote {
            client.consume(count);
            self.clients.subtract_unread_bytes(count);
        }
        if count > 0 && connection.resume_reading() {
            self.effects.push(Effect::Read(id));
        }
        self.update_buffer_bytes(id);
    }

    /// Begins to skip a statement whose rest has waited too long for buffer memory. The statement's bytes are dropped
    /// as they arrive, and the statement is rejected after its last byte. The timeout of a message still applies to the
    /// statement. If the client is not in the middle of a statement, the client's connection is closed instead.
    pub(super) fn skip_statement(&mut self, now: Time, id: ConnectionId) {
        self.connections.stop_waiting_for_memory(id);
        let Some(connection) = self.connections.get_mut(id) else { return };
        let received = connection.input.len();
        let length = front_message_length(&mut connection.input);
        let Remote::Client(client) = &mut connection.remote else { return };
        if client.phase() != ClientPhase::Idle || length <= received {
            return self.close_after_final_read(now, id);
        }
        client.start_skipping(length - received);
        let since = client.awaited().map_or(now, |(_, since)| since);
        self.consume_input(id, received);
        if let Some(connection) = self.connections.get_mut(id) {
            connection.input.shrink_if_empty(0);
        }
        self.update_buffer_bytes(id);
        self.connections.set_deadline(id, Some(since + self.limits.message_timeout));
    }

    /// Sets which input is awaited from a client, and until when. The client is idle or in the middle of a message, so
    /// that no complete message of the client is left to handle.
    fn await_client_input(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get(id) else { return };
        let Remote::Client(client) = &connection.remote else { return };
        if client.phase() == ClientPhase::Startup {
            return;
        }
        if !connection.input.is_empty() {
            // The timeout of a message runs from the arrival of the message's first byte.
            let since = match client.awaited() {
                Some((AwaitedInput::StatementRest, since)) => since,
                _ => now,
            };
            self.set_awaited(id, Some((AwaitedInput::StatementRest, since)));
            let waits_for_memory = self.connections.is_waiting_for_memory(id);
            let limits = &self.limits;
            let timeout = if waits_for_memory { limits.memory_wait_timeout } else { limits.message_timeout };
            return self.connections.set_deadline(id, Some(since + timeout));
        }
        // The client's connection is not closed before the client's answer is written. What the client sends in the
        // meantime is read.
        if !connection.output.is_empty() {
            let deadline = connection.deadline().or(Some(now + self.limits.unread_answer_timeout));
            self.set_awaited(id, None);
            return self.connections.set_deadline(id, deadline);
        }
        // The shutdown is past the time in which RPCs begin. A client that goes on sending must not delay the end of the
        // process for long.
        if self.is_past_accept_time(now)
            && let Some(client) = self.connections.client_mut(id)
        {
            client.begin_closing(now + self.limits.message_timeout);
        }
        self.await_next_statement(now, id);
    }

    /// Sets the timeout after which an idle client is closed, and frees the client's buffers if memory is short. During
    /// a shutdown the connection of a client that has sent a statement before is closed at once, after a final read.
    fn await_next_statement(&mut self, now: Time, id: ConnectionId) {
        let is_stopping = self.shutdown.has_begun();
        let timeout = if self.connections.client(id).is_some_and(Client::closes_when_idle) {
            self.limits.rejected_client_idle_timeout
        } else if is_stopping {
            self.limits.shutdown_accept_time
        } else {
            self.limits.client_idle_timeout
        };
        if self.connections.buffer_bytes()
            > self.limits.pause_clients_at_buffer_bytes / IDLE_BUFFER_RELEASE_DIVISOR
        {
            if let Some(connection) = self.connections.get_mut(id) {
                connection.input.shrink_if_empty(0);
                connection.output.shrink_if_empty(0);
            }
            self.update_buffer_bytes(id);
        }
        self.set_awaited(id, Some((AwaitedInput::NextStatement, now)));
        self.connections.set_deadline(id, Some(now + timeout));
        let client = self.connections.client(id);
        if is_stopping && client.is_some_and(|client| client.has_sent_statement()) {
            self.close_after_final_read(now, id);
        }
    }

    /// Handles a client's messages at the end of its refill time, which is the time for bytes that the client's kernel
    /// held back while the input buffer was full. The client's socket stayed empty for this time, so nothing follows
    /// the bytes that were read.
    pub(super) fn on_refill_timeout(&mut self, now: Time, id: ConnectionId) {
        if let Some(client) = self.connections.client_mut(id) {
            client.clear_refill();
        }
        self.read_client(now, id);
    }

    /// Reads from a client again at the end of the pause after the client's error.
    pub(super) fn resume_after_error(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else { return };
        let Remote::Client(client) = &mut connection.remote else { return };
        client.end_backoff();
        connection.resume_reading();
        self.effects.push(Effect::Read(id));
        self.read_client(now, id);
    }
}

fn parse_startup(input: &mut Buffer, client: &mut Client, key: CancelKey, max_bytes: usize) -> ClientMessage {
    let mut answer = Vec::new();
    let length = match pg::parse_initial_message(input.make_contiguous(), max_bytes) {
        Ok(None) => return ClientMessage::Incomplete,
        Ok(Some(pg::InitialFrame { message: pg::InitialMessage::Encryption, length })) => {
            answer.push(b'N');
            length
        }
        Ok(Some(pg::InitialFrame { message: pg::InitialMessage::Startup, length })) => {
            pg::put_startup_reply(&mut answer, key.process_id, key.secret);
            client.complete_startup();
            length
        }
        Ok(Some(pg::InitialFrame {
            message: pg::InitialMessage::Cancel { process: process_id, secret },
            ..
        })) => {
            return ClientMessage::Cancel(CancelKey { process_id, secret });
        }
        Err(_) => return ClientMessage::fatal(input.len(), "08P01", "malformed startup"),
    };
    ClientMessage::Answered { length, answer, close: false }
}

fn parse_message(input: &mut Buffer, client: &mut Client, max_bytes: usize) -> ClientMessage {
    match pg::parse_frame_header(input.make_contiguous()) {
        Ok(None) => ClientMessage::Incomplete,
        Err(_) => ClientMessage::fatal(input.len(), "08P01", "malformed message"),
        // A message that is too long is rejected by its header alone, and the message's body is not received.
        Ok(Some(pg::FrameHeader { length, .. })) if length > max_bytes => {
            ClientMessage::fatal(input.len(), "54000", "the message is too long")
        }
        Ok(Some(pg::FrameHeader { length, .. })) if input.len() < length => ClientMessage::Incomplete,
        Ok(Some(pg::FrameHeader { kind, length })) => {
            let body = input.make_contiguous().get(5..length).unwrap_or_default();
            handle_message(client, kind, body, length)
        }
    }
}

/// Handles a complete message that a client has sent after its startup. Of the protocol's queries, only simple queries
/// are served.
fn handle_message(client: &mut Client, kind: u8, body: &[u8], length: usize) -> ClientMessage {
    let mut answer = Vec::new();
    match (kind, pg::parse_query(body)) {
        (b'X', _) => return ClientMessage::Answered { length, answer, close: true },
        (b'S', _) => {
            client.sync();
            pg::put_ready(&mut answer);
        }
        _ if client.ignores_until_sync() => {}
        (b'Q', Ok(statement)) if statement.trim().trim_end_matches(';').is_empty() => {
            pg::put_frame(&mut answer, b'I', &[]);
            pg::put_ready(&mut answer);
        }
        (b'Q', Ok(_)) => return ClientMessage::Statement { length },
        (b'Q', Err(_)) => {
            return ClientMessage::invalid(length, "22021", "the statement is not UTF-8 ended by a zero");
        }
        (b'P' | b'B' | b'E' | b'D' | b'C' | b'H', _) => {
            pg::put_error(&mut answer, "ERROR", "0A000", "only simple queries are served", None);
            client.ignore_until_sync();
        }
        (b'F', _) => return ClientMessage::invalid(length, "0A000", "only simple queries are served"),
        (b'd' | b'c' | b'f', _) => {}
        _ => {
            let error = StatementError::new("08P01", "unknown message");
            return ClientMessage::LastInvalid { length, error };
        }
    }
    ClientMessage::Answered { length, answer, close: false }
}
