//! The random draw by which all routers reject the same share of the sessions at the threshold's priority.

use ladderpass_routing::{Span, Time};

/// A session keeps its draw for so long.
const EPOCH: Span = Span::from_millis(10_000);
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// A number from 0 to 1 for a session: the same at all routers, and another in each epoch.
pub fn admission_draw(session: &[u8], now: Time) -> f64 {
    let epoch = (now.nanos() / EPOCH.nanos()) as u64;
    let fnv1a = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    let mut z = session.iter().fold(FNV_OFFSET_BASIS ^ epoch.rotate_left(32), fnv1a);
    // The finalizer of splitmix64 spreads what FNV leaves in the low bits.
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (z >> 11) as f64 / (1u64 << 53) as f64
}
