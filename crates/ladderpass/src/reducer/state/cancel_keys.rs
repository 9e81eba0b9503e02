//! Secret keys by which clients may cancel their RPCs.

use crate::reducer::connection_id::ConnectionId;
use std::hash::{BuildHasher, RandomState};

/// Secret keys by which clients may cancel: a keyed hash (SipHash) of the connection's id, with a random key of this
/// process. There is no state per connection, and some keys reveal no other.
#[derive(Default)]
pub(in crate::reducer) struct CancelKeys(RandomState);

/// What a client got in its BackendKeyData, and names in a cancel request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::reducer) struct CancelKey {
    pub(in crate::reducer) process_id: u32,
    pub(in crate::reducer) secret: u32,
}

impl CancelKeys {
    pub(in crate::reducer) fn key(&self, id: ConnectionId) -> CancelKey {
        CancelKey { process_id: id.0 as u32, secret: (self.0.hash_one(id.0) >> 32) as u32 }
    }

    /// Compares in the same time wherever the secrets differ, so that nobody can find one bit by bit.
    pub(in crate::reducer) fn is_valid(&self, id: ConnectionId, secret: u32) -> bool {
        let differs = std::hint::black_box(self.key(id).secret ^ secret);
        differs == 0
    }
}
