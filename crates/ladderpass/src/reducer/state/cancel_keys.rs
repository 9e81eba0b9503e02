//! Secret keys that allow clients to cancel their RPCs.

use crate::reducer::connection_id::ConnectionId;
use std::hash::{BuildHasher, RandomState};

/// Computes the secret keys of cancel requests. A secret is a keyed hash (SipHash) of the connection's id, with a
/// random key of this process. So no state is stored per connection, and knowing some secrets does not reveal others.
#[derive(Default)]
pub(in crate::reducer) struct CancelKeys(RandomState);

/// The key that a client receives in BackendKeyData and sends in a cancel request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::reducer) struct CancelKey {
    pub(in crate::reducer) process_id: u32,
    pub(in crate::reducer) secret: u32,
}

impl CancelKeys {
    pub(in crate::reducer) fn key(&self, id: ConnectionId) -> CancelKey {
        CancelKey { process_id: id.0 as u32, secret: (self.0.hash_one(id.0) >> 32) as u32 }
    }

    /// Returns whether a secret belongs to a connection. The comparison takes the same time whichever bits differ, so
    /// that the secret can't be guessed bit by bit.
    pub(in crate::reducer) fn is_valid(&self, id: ConnectionId, secret: u32) -> bool {
        let differs = std::hint::black_box(self.key(id).secret ^ secret);
        differs == 0
    }
}
