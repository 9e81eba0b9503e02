//! Ids of RPCs that are in flight or have ended recently. A statement with one of these ids is a duplicate.

use ladderpass_routing::Time;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::VecDeque;
use std::hash::BuildHasher;

/// The ids of RPCs, stored as hashes with a random key of this process, so that nobody can choose ids whose hashes
/// collide.
#[derive(Default)]
pub(super) struct RpcIds {
    key: foldhash::fast::RandomState,
    /// Ids of RPCs that have ended, each with the time until which it is remembered.
    remembered: FxHashMap<u64, Time>,
    /// Ids of RPCs in flight. Each id is kept until its RPC ends, however many RPCs end in the meantime.
    in_flight: FxHashSet<u64>,
    /// The remembered ids in the order in which their RPCs ended, with the times until which they are remembered. An id
    /// that was remembered twice is in the queue twice.
    by_end: VecDeque<(u64, Time)>,
}

impl RpcIds {
    pub(super) fn hash(&self, id: &str) -> u64 {
        self.key.hash_one(id)
    }

    pub(super) fn contains(&self, now: Time, id: u64) -> bool {
        let is_remembered = self.remembered.get(&id).is_some_and(|&expires_at| expires_at > now);
        is_remembered || self.in_flight.contains(&id)
    }

    /// Records that an RPC with this id begins.
    pub(super) fn begin(&mut self, id: u64) {
        self.in_flight.insert(id);
    }

    /// Records that the RPC with this id has ended, and forgets the id.
    pub(super) fn forget(&mut self, id: u64) {
        self.in_flight.remove(&id);
    }

    /// Records that the RPC with this id has ended, and remembers the id until `expires_at`. If `max_remembered` or more
    /// ids are remembered, those whose RPCs ended first are forgotten, until fewer remain. The order is not that of
    /// expiry, which clients choose by their deadlines: with long deadlines, one client could have the ids of all others
    /// forgotten at once.
    pub(super) fn remember(&mut self, now: Time, id: u64, expires_at: Time, max_remembered: usize) {
        self.in_flight.remove(&id);
        while let Some(&(first, first_expires_at)) = self.by_end.front()
            && (first_expires_at <= now || self.by_end.len() >= max_remembered)
        {
            self.by_end.pop_front();
            if self.remembered.get(&first) == Some(&first_expires_at) {
                self.remembered.remove(&first);
            }
        }
        self.remembered.insert(id, expires_at);
        self.by_end.push_back((id, expires_at));
    }
}
