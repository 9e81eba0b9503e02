//! Random draws that depend only on a seed and on the parts that identify the draw, and not on other events.

use crate::plan::Distribution;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::Exp1;

/// An odd constant close to 2^64 over the golden ratio, as in Fibonacci hashing.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
const ROTATION: u32 = 29;

/// Mixes a number that identifies a random draw into a seed.
pub fn mix(seed: u64, part: u64) -> u64 {
    (seed ^ part).wrapping_mul(MULTIPLIER).rotate_left(ROTATION)
}

/// Returns a random generator that is determined by a seed and four numbers that identify the draw.
pub fn generator(seed: u64, parts: [u64; 4]) -> SmallRng {
    SmallRng::seed_from_u64(parts.into_iter().fold(seed, mix))
}

/// Draws a factor that a mean delay is multiplied by. The factor's mean is 1.
pub fn delay_factor(random: &mut SmallRng, distribution: Distribution) -> f64 {
    match distribution {
        Distribution::Constant => 1.0,
        Distribution::Uniform => random.random::<f64>() * 2.0,
        Distribution::Exponential => random.sample(Exp1),
    }
}
