//! Ids that are derived from a router's address and are the same at all routers.

use std::net::{IpAddr, SocketAddr};

const VIEW_SALT: u64 = 0;
const ROUTER_HASH_SALT: u64 = 1;

/// The id by which other parts of the router, outside of this package, refer to a router.
pub fn router_hash(router: SocketAddr) -> u32 {
    salted_hash(router, ROUTER_HASH_SALT)
}

/// The hash of a router in the digest of [`crate::View`].
pub(crate) fn view_hash(router: SocketAddr) -> u32 {
    salted_hash(router, VIEW_SALT)
}

/// The id of a router in the list of those routers that have a suspicion.
pub(crate) fn suspecting_router_id(router: SocketAddr) -> u16 {
    salted_hash(router, VIEW_SALT) as u16
}

/// An evenly distributed hash of an address and a number (splitmix64).
pub(crate) fn salted_hash(router: SocketAddr, salt: u64) -> u32 {
    let ip = match router.ip() {
        IpAddr::V4(ip) => u128::from(u32::from(ip)),
        IpAddr::V6(ip) => u128::from(ip),
    };
    let parts = [(ip >> 64) as u64, ip as u64, u64::from(router.port()), salt];
    let mixed = parts.into_iter().fold(0u64, |hash, part| splitmix64_step(hash ^ part));
    (mixed >> 32) as u32
}

/// One step of splitmix64, with the constants of that generator.
fn splitmix64_step(state: u64) -> u64 {
    let mut z = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
