//! FNV-1a, a hash of bytes that is the same in every router and every program. It offers no protection against input
//! that is chosen to collide.

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// Returns the 64-bit FNV-1a hash of the bytes.
pub fn hash(bytes: &[u8]) -> u64 {
    hash_with_seed(0, bytes)
}

/// Returns the 64-bit FNV-1a hash of the bytes with a seed. The offset basis is combined with the seed, so that
/// the hash differs from seed to seed.
pub fn hash_with_seed(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(OFFSET_BASIS ^ seed, |hash, &byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
