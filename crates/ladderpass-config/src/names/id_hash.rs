//! Hashes of member names, by which all routers know a member.

use ladderpass_routing::fnv1a;
use std::collections::HashMap;

/// Bits of a hash: two of a hundred names have the same one in one of two hundred thousand deployments.
pub const ID_HASH_BITS: u32 = 30;

/// Indices of members by the hashes of their names. A hash that two known names share gives none, so that an update
/// never counts for the wrong member.
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

    /// The index of the one name with this hash.
    pub fn get(&self, hash: u32) -> Option<u32> {
        self.0.get(&hash).copied().flatten()
    }

    /// Removes an index that is no longer used. A hash that two names shared keeps giving none.
    pub fn remove(&mut self, index: u32) {
        self.0.retain(|_, known| *known != Some(index));
    }
}

/// The first bits of a name's FNV-1a hash.
pub fn id_hash(name: &str) -> u32 {
    let hash = fnv1a::hash(name.as_bytes());
    ((hash ^ hash >> 32) & ((1 << ID_HASH_BITS) - 1)) as u32
}
