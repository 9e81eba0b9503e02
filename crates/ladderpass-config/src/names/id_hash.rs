//! Hashes of member names. A hash identifies a member at all routers, where indices differ between routers.

use ladderpass_routing::fnv1a;
use std::collections::HashMap;

/// The number of bits of a hash. With a hundred names, the probability that two of them have the same hash is about 1
/// in 200,000.
pub const ID_HASH_BITS: u32 = 30;

/// The indices of members by the hashes of their names. A hash that two inserted names share stands for no index, so
/// that an update is never applied to the wrong member.
#[derive(Default)]
pub struct IdHashes(HashMap<u32, Option<u32>>);

impl IdHashes {
    /// Adds a name with its index, and returns the name's hash.
    pub fn insert(&mut self, name: &str, index: u32) -> u32 {
        let hash = id_hash(name);
        let known = self.0.entry(hash).or_insert(Some(index));
        *known = known.filter(|&other| other == index);
        hash
    }

    /// Returns the index of the name with this hash, or `None` if no name or more than one name has this hash.
    pub fn get(&self, hash: u32) -> Option<u32> {
        self.0.get(&hash).copied().flatten()
    }

    /// Removes an index that is no longer used. A hash that two names share still stands for no index after one of the
    /// two is removed.
    pub fn remove(&mut self, index: u32) {
        self.0.retain(|_, known| *known != Some(index));
    }
}

/// Returns the hash of a name: the two halves of the name's 64-bit FNV-1a hash XORed, cut to the lowest
/// [`ID_HASH_BITS`] bits.
pub fn id_hash(name: &str) -> u32 {
    let hash = fnv1a::hash(name.as_bytes());
    ((hash ^ hash >> 32) & ((1 << ID_HASH_BITS) - 1)) as u32
}
