//! Maps the protocol's names of members, zones, sessions and groups to small numbers: to indices within one router, and
//! to hashes that all routers share.

mod id_hash;
mod name_index;

pub use id_hash::{ID_HASH_BITS, IdHashes, id_hash};
pub use name_index::{NameIndex, group_index};
