//! Queue of the routers whose state is still to be disseminated, with the number of times that each state was sent.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of pending updates, which limits the memory that other routers can make this router use.
const MAX_PENDING_UPDATES: usize = 4096;

/// An update that is to be sent. The order of the fields puts updates that were sent least often first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PendingUpdate {
    pub transmissions: u32,
    pub router: SocketAddr,
}

/// The routers about which there are updates to send, with the number of transmissions so far.
#[derive(Default)]
pub(crate) struct UpdateQueue {
    transmissions: BTreeMap<SocketAddr, u32>,
}

impl UpdateQueue {
    /// Queues the current state of a router, with no transmissions so far.
    pub fn push(&mut self, router: SocketAddr) {
        self.transmissions.insert(router, 0);
    }

    /// Drops updates until no more than `MAX_PENDING_UPDATES` are pending.
    pub fn enforce_limit(&mut self) {
        while self.transmissions.len() > MAX_PENDING_UPDATES {
            self.transmissions.pop_first();
        }
    }

    /// Returns up to `max` updates, those that were sent least often first.
    pub fn least_transmitted(&self, max: usize) -> Vec<PendingUpdate> {
        let pending = self.transmissions.iter();
        let mut pending: Vec<PendingUpdate> =
            pending.map(|(&router, &transmissions)| PendingUpdate { transmissions, router }).collect();
        // Only the updates that can fit into a datagram need to be sorted.
        if pending.len() > max {
            pending.select_nth_unstable(max);
            pending.truncate(max);
        }
        pending.sort_unstable();
        pending
    }

    /// Counts one transmission of an update. An update that was sent `limit` times is removed.
    pub fn record_transmission(&mut self, sent: PendingUpdate, limit: u32) {
        let transmissions = sent.transmissions + 1;
        if transmissions >= limit {
            self.transmissions.remove(&sent.router);
        } else {
            self.transmissions.insert(sent.router, transmissions);
        }
    }

    /// Counts `transmissions` more transmissions for the updates about each router for which `is_covered` is true. An
    /// update that was sent `limit` times is removed.
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
