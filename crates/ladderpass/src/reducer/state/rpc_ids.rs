//! Ids of RPCs that are in flight or have ended recently. A statement with one of these ids is a duplicate.

use ladderpass_routing::Time;
use rustc_hash::FxHashSet;
use std::collections::BTreeMap;
use std::hash::BuildHasher;

/// The ids of RPCs expire in time steps of this width.
const EXPIRY_STEP_NANOS: i64 = 128_000_000;

/// The ids of RPCs, stored as hashes with a random key of this process, so that nobody can choose ids whose hashes
/// collide.
#[derive(Default)]
pub(super) struct RpcIds {
    key: foldhash::fast::RandomState,
    /// Ids of RPCs that have ended, which are kept until they expire.
    remembered: FxHashSet<u64>,
    /// Ids of RPCs in flight. Each id is kept until its RPC ends, however many RPCs end in the meantime.
    in_flight: FxHashSet<u64>,
    /// The remembered ids by the time step in which they expire. The order of ids within a step does not matter.
    expiring: BTreeMap<i64, Vec<u64>>,
}

impl RpcIds {
    pub(super) fn hash(&self, id: &str) -> u64 {
        self.key.hash_one(id)
    }

    pub(super) fn contains(&self, id: u64) -> bool {
        self.remembered.contains(&id) || self.in_flight.contains(&id)
    }

    /// Records that an RPC with this id begins.
    pub(super) fn begin(&mut self, id: u64) {
        self.in_flight.insert(id);
    }

    /// Records that the RPC with this id has ended, and forgets the id.
    pub(super) fn forget(&mut self, id: u64) {
        self.in_flight.remove(&id);
    }

    /// Records that the RPC with this id has ended, and remembers the id until `expires_at`. Ids that have expired are
    /// forgotten. If `max_remembered` or more unexpired ids remain, the ids that expire first are forgotten as well,
    /// until fewer remain.
    pub(super) fn remember(&mut self, now: Time, id: u64, expires_at: Time, max_remembered: usize) {
        self.in_flight.remove(&id);
        while let Some(mut step) = self.expiring.first_entry()
            && (step.key() * EXPIRY_STEP_NANOS <= now.nanos() || self.remembered.len() >= max_remembered)
        {
            match step.get_mut().pop() {
                Some(old) => {
                    self.remembered.remove(&old);
                }
                None => {
                    step.remove();
                }
            }
        }
        self.remembered.insert(id);
        self.expiring.entry(expires_at.nanos() / EXPIRY_STEP_NANOS + 1).or_default().push(id);
    }
}
