//! State of one client's connection.
//!
//! - *Overrun*: the client has sent more than its input buffer holds, so reading from its socket was paused.
//! - *Refill*: after an overrun, the client's kernel may still send bytes that it held back while the router's socket
//!   was full. The socket counts as read to its end only after it was empty for `Limits::refill_quiet_time`.
//! - *Skipping*: the router had no memory for a statement, so the statement's remaining bytes are dropped as they
//!   arrive.
//! - *Closing*: the client's connection will be closed. Statements that the client has already sent are rejected first,
//!   so that each of them has an answer.

use super::input_arrivals::{Arrived, InputArrivals};
use ladderpass_overload::ClientUsage;
use ladderpass_routing::{RpcId, Span, Time};

/// The state of a client in PostgreSQL's wire protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::reducer) enum ClientPhase {
    /// The client's startup message has not been answered.
    Startup,
    Idle,
    /// The client waits for the answer to this RPC. The statement is at the front of the client's input.
    InRpc(RpcId),
}

/// The input that the router waits for from a client, while the client waits for no answer. Clients are evicted in the
/// order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::reducer) enum AwaitedInput {
    Startup,
    /// The rest of a statement that has begun, or the end of the pause after an error.
    StatementRest,
    NextStatement,
}

/// Whether a client is one of those that the router serves, of which there are at most `Limits::clients`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::reducer) enum Admission {
    /// The client has sent no statement that could be served.
    Undecided,
    /// The client's last statement was rejected because too many clients are connected.
    Rejected,
    Admitted,
}

/// An input that is awaited from a client, and the time since which the input is awaited.
pub(in crate::reducer) type Awaited = (AwaitedInput, Time);

/// The state of one client, without its buffers.
pub(in crate::reducer) struct Client {
    phase: ClientPhase,
    /// Number of errors that the client itself has made since its last statement that was counted as accepted.
    errors: u32,
    /// Whether reading from the client is paused after an error of the client.
    is_backing_off: bool,
    /// Whether all messages up to the next Sync are ignored, because an extended-protocol message was rejected.
    ignores_until_sync: bool,
    /// The input that is awaited from the client. Only `ClientTable` changes this field, together with the table's sets
    /// of clients by awaited input. During an eviction the client is in none of the sets, although this field is still
    /// set.
    awaited: Option<Awaited>,
    has_sent_statement: bool,
    admission: Admission,
    /// By when the client's connection is closed, if it is closing.
    closes_by: Option<Time>,
    /// Whether the client has sent more than its input buffer holds since its socket was last found empty.
    has_overrun: bool,
    /// Set after the client had sent more than its input buffer holds: if the client's socket stays empty until this
    /// time, the socket counts as read to its end.
    refill_until: Option<Time>,
    /// Whether the client's RPC was answered in this iteration. Input after that RPC's statement is read in the next
    /// iteration, because writing the answer may show that the client has left.
    is_just_answered: bool,
    /// The client's recent use of the router.
    usage: ClientUsage,
    arrivals: InputArrivals,
    /// Number of bytes still to come of a statement for which there is no memory. These bytes are dropped as they
    /// arrive.
    skipping: Option<usize>,
}

impl Client {
    pub(in crate::reducer) fn new() -> Client {
        Client {
            phase: ClientPhase::Startup,
            errors: 0,
            is_backing_off: false,
            ignores_until_sync: false,
            awaited: None,
            has_sent_statement: false,
            admission: Admission::Undecided,
            closes_by: None,
            has_overrun: false,
            refill_until: None,
            is_just_answered: false,
            usage: ClientUsage::default(),
            arrivals: InputArrivals::default(),
            skipping: None,
        }
    }

    pub(in crate::reducer) fn phase(&self) -> ClientPhase {
        self.phase
    }

    /// Returns whether the client's next message may be read in this iteration.
    pub(in crate::reducer) fn is_ready(&self) -> bool {
        !self.is_backing_off && !self.is_just_answered && !matches!(self.phase, ClientPhase::InRpc(_))
    }

    pub(in crate::reducer) fn complete_startup(&mut self) {
        self.phase = ClientPhase::Idle;
    }

    pub(in crate::reducer) fn begin_rpc(&mut self, rpc: RpcId) {
        self.phase = ClientPhase::InRpc(rpc);
    }

    pub(in crate::reducer) fn finish_rpc(&mut self) {
        self.phase = ClientPhase::Idle;
        self.is_just_answered = true;
    }

    /// Records the end of the iteration in which the client's RPC was answered.
    pub(in crate::reducer) fn end_iteration(&mut self) {
        self.is_just_answered = false;
    }

    /// Records that the client has sent a statement.
    pub(in crate::reducer) fn record_statement(&mut self) {
        self.has_sent_statement = true;
    }

    pub(in crate::reducer) fn admission(&self) -> Admission {
        self.admission
    }

    pub(in crate::reducer) fn set_admission(&mut self, admission: Admission) {
        self.admission = admission;
    }

    pub(in crate::reducer) fn has_sent_statement(&self) -> bool {
        self.has_sent_statement
    }

    /// Records that the client's connection is closing, and is closed by the given time even if more arrives.
    pub(in crate::reducer) fn begin_closing(&mut self, closes_by: Time) {
        self.closes_by.get_or_insert(closes_by);
    }

    /// Returns by when the client's connection is closed, or `None` if it is not closing.
    pub(in crate::reducer) fn closes_by(&self) -> Option<Time> {
        self.closes_by
    }

    /// Returns whether the client's connection is to be closed soon after its last answer, because the client was
    /// rejected in a crowd or its connection is closing.
    pub(in crate::reducer) fn closes_when_idle(&self) -> bool {
        self.admission == Admission::Rejected || self.closes_by.is_some()
    }

    /// Counts an error that the client itself has made, and starts a pause in reading unless there were more than
    /// `max_errors` errors. Returns the number of errors so far.
    pub(in crate::reducer) fn record_error(&mut self, max_errors: u32) -> u32 {
        self.errors += 1;
        self.is_backing_off = self.errors <= max_errors;
        self.errors
    }

    pub(in crate::reducer) fn clear_errors(&mut self) {
        self.errors = 0;
    }

    pub(in crate::reducer) fn is_backing_off(&self) -> bool {
        self.is_backing_off
    }

    pub(in crate::reducer) fn end_backoff(&mut self) {
        self.is_backing_off = false;
    }

    pub(in crate::reducer) fn ignore_until_sync(&mut self) {
        self.ignores_until_sync = true;
    }

    pub(in crate::reducer) fn sync(&mut self) {
        self.ignores_until_sync = false;
    }

    pub(in crate::reducer) fn ignores_until_sync(&self) -> bool {
        self.ignores_until_sync
    }

    pub(in crate::reducer) fn awaited(&self) -> Option<Awaited> {
        self.awaited
    }

    /// Replaces the awaited input and returns the previous one. Only `ClientTable` may call this method, because it
    /// must update its sets of clients by awaited input at the same time.
    pub(super) fn replace_awaited(&mut self, awaited: Option<Awaited>) -> Option<Awaited> {
        std::mem::replace(&mut self.awaited, awaited)
    }

    /// Records that the client has sent more than its input buffer holds.
    pub(in crate::reducer) fn record_overrun(&mut self) {
        self.has_overrun = true;
    }

    /// Records that the client's socket was read until it was empty. If the client had sent more than its input buffer
    /// holds, the client's kernel may have held bytes back, so the router waits for them until `refill_until` (extended
    /// as bytes arrive).
    pub(in crate::reducer) fn record_socket_empty(&mut self, refill_until: Time) {
        if std::mem::take(&mut self.has_overrun) {
            self.refill_until = Some(refill_until);
        }
    }

    /// Returns the time until which the router waits for bytes that the client's kernel held back while the input
    /// buffer was full, or `None` if the router does not wait for such bytes.
    pub(in crate::reducer) fn refill_pending(&self, now: Time) -> Option<Time> {
        self.refill_until.filter(|&until| now < until)
    }

    /// Returns whether the router has waited for bytes that the client's kernel held back, and this wait is over.
    pub(in crate::reducer) fn is_refill_over(&self, now: Time) -> bool {
        self.refill_until.is_some_and(|until| until <= now)
    }

    pub(in crate::reducer) fn clear_refill(&mut self) {
        self.refill_until = None;
    }

    /// Records that `count` bytes from the client arrived at `arrived_at`. If the router is still waiting for bytes
    /// that the client's kernel held back (see *Refill* above), the wait is extended to `refill_until`.
    pub(in crate::reducer) fn record_received(
        &mut self,
        now: Time,
        arrived_at: Time,
        count: usize,
        refill_until: Time,
    ) {
        self.refill_until = self.refill_until.map(|until| if now < until { refill_until } else { until });
        self.arrivals.record(arrived_at, count);
    }

    pub(in crate::reducer) fn arrival_of(&self, now: Time, count: usize) -> Option<Arrived> {
        self.arrivals.arrival_of(now, count)
    }

    pub(in crate::reducer) fn consume(&mut self, count: usize) {
        self.arrivals.consume(count);
    }

    pub(in crate::reducer) fn add_time_with_members(&mut self, span: Span) {
        self.arrivals.add_time_with_members(span);
    }

    pub(in crate::reducer) fn usage_mut(&mut self) -> &mut ClientUsage {
        &mut self.usage
    }

    /// Starts to drop the next `count` bytes, which are the rest of a statement for which there is no memory.
    pub(in crate::reducer) fn start_skipping(&mut self, count: usize) {
        self.skipping = Some(count);
    }

    /// Number of bytes of a skipped statement that are still to come.
    pub(in crate::reducer) fn skipping(&self) -> Option<usize> {
        self.skipping
    }

    pub(in crate::reducer) fn stop_skipping(&mut self) {
        self.skipping = None;
    }

    /// Returns how many of `count` received bytes belong to a skipped statement, and counts them as dropped.
    pub(in crate::reducer) fn skip_received(&mut self, count: usize) -> usize {
        let Some(remaining) = &mut self.skipping else { return 0 };
        let skipped = count.min(*remaining);
        *remaining -= skipped;
        self.arrivals.consume(skipped);
        skipped
    }
}
