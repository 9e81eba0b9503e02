//! When the bytes of a client's input arrived, and how long of the time since then the router itself kept them waiting.

use ladderpass_routing::{Span, Time};
use std::collections::VecDeque;

/// Most batches that are recorded for one client. Bytes past them count as arrived with the batch before, which errs
/// on the side of less time.
const MAX_BATCHES: usize = 64;

/// Arrival times of the bytes that a client has sent and that are not yet consumed.
#[derive(Default)]
pub(super) struct InputArrivals {
    /// Bytes received and bytes consumed over the life of the connection.
    received: u64,
    consumed: u64,
    batches: VecDeque<Batch>,
    /// Sum of `RpcInFlight::time_with_members` over this client's RPCs, time in the queue and for connecting included:
    /// what was sent behind them has not waited for the router.
    time_with_members: Span,
}

/// Bytes that arrived together.
struct Batch {
    /// The count of received bytes with which it ends.
    end: u64,
    arrived_at: Time,
    /// `InputArrivals::time_with_members` by then.
    time_with_members: Span,
}

/// When a byte arrived, and for how long since then the router, not a member, kept it waiting.
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

    /// When the byte arrived that is `count` bytes from the front.
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
