//! Updates that are still to be disseminated, by the router they are about, with how often each was sent.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Bounds what other routers can make this one store.
const MAX_PENDING_UPDATES: usize = 4096;

/// An update to send: the least sent go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PendingUpdate {
    pub transmissions: u32,
    pub router: SocketAddr,
}

/// The routers that there are new updates about.
#[derive(Default)]
pub(crate) struct UpdateQueue {
    transmissions: BTreeMap<SocketAddr, u32>,
}

impl UpdateQueue {
    /// Queues the present state of a router anew.
    pub fn push(&mut self, router: SocketAddr) {
        self.transmissions.insert(router, 0);
    }

    /// Drops updates beyond the limit.
    pub fn enforce_limit(&mut self) {
        while self.transmissions.len() > MAX_PENDING_UPDATES {
            self.transmissions.pop_first();
        }
    }

    /// Up to `max` of the least sent updates, in order.
    pub fn least_transmitted(&self, max: usize) -> Vec<PendingUpdate> {
        let pending = self.transmissions.iter();
        let mut pending: Vec<PendingUpdate> =
            pending.map(|(&router, &transmissions)| PendingUpdate { transmissions, router }).collect();
        // Only those that fit into a datagram need an order.
        if pending.len() > max {
            pending.select_nth_unstable(max);
            pending.truncate(max);
        }
        pending.sort_unstable();
        pending
    }

    /// Counts one transmission; an update that was sent `limit` times is done.
    pub fn record_transmission(&mut self, sent: PendingUpdate, limit: u32) {
        let transmissions = sent.transmissions + 1;
        if transmissions >= limit {
            self.transmissions.remove(&sent.router);
        } else {
            self.transmissions.insert(sent.router, transmissions);
        }
    }

    /// Counts `transmissions` more for the updates about the routers that `is_covered` accepts; an update that was sent
    /// `limit` times is done.
    pub fn add_transmissions(
        &mut self,
        transmissions: u32,
        limit: u32,
        mut is_covered: impl FnMut(SocketAddr) -> bool,
    ) {
        self.transmissions.retain(|&router, sent| {
            if is_covered(router) {
                *sent += transmissions;
            }
            *sent < limit
        });
    }
}
