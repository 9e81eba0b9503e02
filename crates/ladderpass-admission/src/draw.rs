//! The random draw by which all routers reject the same share of the sessions at the threshold's priority.

use ladderpass_routing::{Span, Time, fnv1a};

/// A session keeps its draw for so long.
const EPOCH: Span = Span::from_millis(10_000);

/// A number from 0 to 1 for a session: the same at all routers, and another in each epoch.
pub fn admission_draw(session: &[u8], now: Time) -> f64 {
    let epoch = (now.nanos() / EPOCH.nanos()) as u64;
    let mut z = fnv1a::hash_with_seed(epoch.rotate_left(32), session);
    // The finalizer of splitmix64 spreads what FNV leaves in the low bits.
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (z >> 11) as f64 / (1u64 << 53) as f64
}
