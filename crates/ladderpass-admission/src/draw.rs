//! The random draw of a session. Where only a share of the RPCs at the threshold's priority is rejected, the draw
//! decides which sessions this share consists of, and all routers reject the same ones.

use ladderpass_routing::{Span, Time, fnv1a};

/// The draw of a session is the same throughout an epoch of this length.
const EPOCH: Span = Span::from_millis(10_000);

/// The random number of a session, from 0 to 1. The number is the same at all routers, and changes with each epoch.
pub fn admission_draw(session: &[u8], now: Time) -> f64 {
    let epoch = (now.nanos() / EPOCH.nanos()) as u64;
    let mut z = fnv1a::hash_with_seed(epoch.rotate_left(32), session);
    // The finalizer of splitmix64 spreads the differences that FNV leaves in the low bits over all bits.
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (z >> 11) as f64 / (1u64 << 53) as f64
}
