//! State of one client's connection.
//!
//! - *Overrun*: the client has sent more than its input buffer holds, so reading its socket was paused.
//! - *Refill*: after an overrun its kernel may send what it kept back; the socket counts as read to its end only after
//!   it was empty for `Limits::refill_quiet_time`.
//! - *Skipping*: there was no memory for a statement; its remaining bytes are dropped as they arrive.

use super::input_arrivals::{Arrived, InputArrivals};
use ladderpass_overload::ClientUsage;
use ladderpass_routing::{RpcId, Span, Time};

/// Where a client stands in the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::reducer) enum ClientPhase {
    /// Its startup message has not been answered.
    Startup,
    Idle,
    /// It waits for this RPC; the statement is at the front of its input.
    InRpc(RpcId),
}

/// What the router waits for from a client that waits for no answer itself. Clients are evicted in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::reducer) enum AwaitedInput {
    Startup,
    /// The rest of a statement that has begun, or the end of the pause after an error.
    StatementRest,
    NextStatement,
}

/// An awaited input, and since when it is awaited.
pub(in crate::reducer) type Awaited = (AwaitedInput, Time);

/// A client.
pub(in crate::reducer) struct Client {
    phase: ClientPhase,
    /// Errors of its own since its last good statement.
    errors: u32,
    /// After an error nothing is read from it for a while.
    is_backing_off: bool,
    /// An extended-protocol message was rejected; all messages up to Sync are ignored.
    ignores_until_sync: bool,
    /// In step with the sets of `ClientTable`, which alone changes it.
    awaited: Option<Awaited>,
    has_sent_statement: bool,
    /// Its input overran the buffer.
    has_overrun: bool,
    /// After an overrun: from then on its socket, empty since, counts as read to its end.
    refill_until: Option<Time>,
    /// In this iteration: what it sent behind its RPC waits for the next one, as writing the answer may show that the
    /// client has left.
    is_just_answered: bool,
    /// What it used of the router lately.
    usage: ClientUsage,
    arrivals: InputArrivals,
    /// Bytes still to come of a statement for which there is no memory: they are dropped.
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

    /// May its next message be read in this iteration?
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

    /// The iteration in which it was answered is over.
    pub(in crate::reducer) fn end_iteration(&mut self) {
        self.is_just_answered = false;
    }

    /// It has sent a statement; true for the first one.
    pub(in crate::reducer) fn record_statement(&mut self) -> bool {
        !std::mem::replace(&mut self.has_sent_statement, true)
    }

    pub(in crate::reducer) fn has_sent_statement(&self) -> bool {
        self.has_sent_statement
    }

    /// Counts an error of its own; it backs off unless there are too many. Gives the errors so far.
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

    /// For `ClientTable` alone, which has the sets.
    pub(super) fn replace_awaited(&mut self, awaited: Option<Awaited>) -> Option<Awaited> {
        std::mem::replace(&mut self.awaited, awaited)
    }

    /// It has sent more than its buffer holds.
    pub(in crate::reducer) fn record_overrun(&mut self) {
        self.has_overrun = true;
    }

    /// Its socket was read until it was empty. After an overrun its kernel may have kept something back until then.
    pub(in crate::reducer) fn record_socket_empty(&mut self, refill_until: Time) {
        if std::mem::take(&mut self.has_overrun) {
            self.refill_until = Some(refill_until);
        }
    }

    /// Until when more is expected at its socket after an overrun, if that is still to come.
    pub(in crate::reducer) fn refill_pending(&self, now: Time) -> Option<Time> {
        self.refill_until.filter(|&until| now < until)
    }

    /// Nothing more was found at its socket after an overrun.
    pub(in crate::reducer) fn is_refill_over(&self, now: Time) -> bool {
        self.refill_until.is_some_and(|until| until <= now)
    }

    pub(in crate::reducer) fn clear_refill(&mut self) {
        self.refill_until = None;
    }

    /// So many bytes were received; more may follow until `refill_until` where it had overrun its buffer.
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

    /// So many bytes that follow are dropped: they are the rest of a statement for which there is no memory.
    pub(in crate::reducer) fn start_skipping(&mut self, count: usize) {
        self.skipping = Some(count);
    }

    /// Bytes of a skipped statement that are still to come.
    pub(in crate::reducer) fn skipping(&self) -> Option<usize> {
        self.skipping
    }

    pub(in crate::reducer) fn stop_skipping(&mut self) {
        self.skipping = None;
    }

    /// Of so many bytes that were received, how many belong to a skipped statement.
    pub(in crate::reducer) fn skip_received(&mut self, count: usize) -> usize {
        let Some(remaining) = &mut self.skipping else { return 0 };
        let skipped = count.min(*remaining);
        *remaining -= skipped;
        self.arrivals.consume(skipped);
        skipped
    }
}
