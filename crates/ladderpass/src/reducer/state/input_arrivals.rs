//! When the bytes of a client's input arrived, and for how much of the time since their arrival the router itself,
//! rather than a member, kept these bytes waiting.

use ladderpass_routing::{Span, Time};
use std::collections::VecDeque;

/// Maximum number of batches of bytes whose arrival times are recorded for one client. Bytes that arrive after these
/// batches count as arrived with the last of them. The error is on the safe side, because the client's statement is
/// given less time, not more.
const MAX_BATCHES: usize = 64;

/// Arrival times of the bytes that a client has sent and that are not consumed yet.
#[derive(Default)]
pub(super) struct InputArrivals {
    /// Number of bytes received, and of bytes consumed, since the connection was opened.
    received: u64,
    consumed: u64,
    batches: VecDeque<Batch>,
    /// Sum of `RpcInFlight::time_with_members` over this client's answered RPCs. This sum includes the time of the RPCs
    /// in the routing core's queue and for connecting. Input that the client sent behind an RPC does not count as
    /// waiting for the router during that RPC's time.
    time_with_members: Span,
}

/// Bytes of a client's input that arrived together.
struct Batch {
    /// Number of bytes received on the connection up to the end of this batch.
    end: u64,
    arrived_at: Time,
    /// Value of `InputArrivals::time_with_members` when the batch arrived.
    time_with_members: Span,
}

/// When a byte arrived, and how long the router, rather than a member, has kept the byte waiting since its arrival.
pub(in crate::reducer) struct Arrived {
    pub(in crate::reducer) at: Time,
    pub(in crate::reducer) waited_for_router: Span,
}

impl InputArrivals {
    pub(super) fn record(&mut self, at: Time, count: usize) {
        self.received += count as u64;
        let (end, time_with_members) = (self.received, self.time_with_members);
        let is_full = self.batches.len() >= MAX_BATCHES;
        match self.batches.back_mut().filter(|_| is_full) {
            Some(batch) => batch.end = end,
            None => self.batches.push_back(Batch { end, arrived_at: at, time_with_members }),
        }
    }

    /// Returns when the last of the next `count` bytes to be consumed arrived, and how long the router has kept this
    /// byte waiting. Returns `None` if the byte was not received yet.
    pub(super) fn arrival_of(&self, now: Time, count: usize) -> Option<Arrived> {
        let end = self.consumed + count as u64;
        let batch = self.batches.iter().find(|batch| batch.end >= end)?;
        let waited = now - batch.arrived_at - (self.time_with_members - batch.time_with_members);
        Some(Arrived { at: batch.arrived_at, waited_for_router: waited.max(Span::ZERO) })
    }

    pub(super) fn consume(&mut self, count: usize) {
        self.consumed += count as u64;
        while self.batches.front().is_some_and(|batch| batch.end <= self.consumed) {
            self.batches.pop_front();
        }
    }

    pub(super) fn add_time_with_members(&mut self, span: Span) {
        self.time_with_members += span;
    }
}
