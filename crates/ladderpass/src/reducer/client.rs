//! State of one client's connection.

use super::input_arrivals::InputArrivals;
use ladderpass_overload::ClientUsage;
use ladderpass_routing::{RpcId, Time};

/// Where a client stands in the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientPhase {
    /// Its startup message has not been answered.
    Startup,
    Idle,
    /// It waits for this RPC; the statement is at the front of its input.
    InRpc(RpcId),
}

/// What the router waits for from a client that waits for no answer itself. Clients are evicted in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AwaitedInput {
    Startup,
    /// The rest of a statement that has begun, or the end of the pause after an error.
    StatementRest,
    NextStatement,
}

/// An awaited input, and since when it is awaited.
pub(super) type Awaited = (AwaitedInput, Time);

/// A client.
pub(super) struct Client {
    pub(super) phase: ClientPhase,
    /// Errors of its own since its last good statement.
    pub(super) errors: u32,
    /// After an error nothing is read from it for a while.
    pub(super) backing_off: bool,
    /// An extended-protocol message was rejected; all messages up to Sync are ignored.
    pub(super) ignores_until_sync: bool,
    pub(super) awaited: Option<Awaited>,
    /// It has sent at least one statement.
    pub(super) has_sent_statement: bool,
    /// It had sent more than its buffer holds.
    pub(super) overran: bool,
    /// After an overrun: from then on its socket, empty since, counts as read to its end.
    pub(super) refill_until: Option<Time>,
    /// In this iteration: what it sent behind its RPC waits for the next one, as writing the answer may show that the
    /// client has left.
    pub(super) just_answered: bool,
    /// What it used of the router lately.
    pub(super) usage: ClientUsage,
    pub(super) arrivals: InputArrivals,
    /// Bytes still to come of a statement for which there is no memory; none of it is kept.
    skipping: Option<usize>,
}

impl Client {
    pub(super) fn new() -> Client {
        Client {
            phase: ClientPhase::Startup,
            errors: 0,
            backing_off: false,
            ignores_until_sync: false,
            awaited: None,
            has_sent_statement: false,
            overran: false,
            refill_until: None,
            just_answered: false,
            usage: ClientUsage::default(),
            arrivals: InputArrivals::default(),
            skipping: None,
        }
    }

    /// From now on so many bytes are not kept: they are the rest of a statement for which there is no memory.
    pub(super) fn start_skipping(&mut self, count: usize) {
        self.skipping = Some(count);
    }

    /// Bytes of a skipped statement that are still to come.
    pub(super) fn skipping(&self) -> Option<usize> {
        self.skipping
    }

    pub(super) fn stop_skipping(&mut self) {
        self.skipping = None;
    }

    /// Of so many bytes that were received, how many belong to a skipped statement.
    pub(super) fn skip_received(&mut self, count: usize) -> usize {
        let Some(left) = &mut self.skipping else { return 0 };
        let skipped = count.min(*left);
        *left -= skipped;
        self.arrivals.consume(skipped);
        skipped
    }
}
