//! Names of the protocol (members, zones, sessions, groups) as small numbers: indices within one router, and hashes
//! that all routers share.

mod id_hash;
mod name_index;

pub use id_hash::{ID_HASH_BITS, IdHashes, id_hash};
pub use name_index::{NameIndex, group_index};
