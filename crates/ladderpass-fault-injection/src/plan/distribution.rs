//! Distributions of random delays.

use serde::{Deserialize, Serialize};

/// Distribution of a random delay with a given mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Distribution {
    /// Every delay is the mean.
    Constant,
    /// Delays are uniformly distributed from 0 to twice the mean.
    Uniform,
    /// Delays are exponentially distributed.
    Exponential,
}

impl Distribution {
    /// Returns the distribution that a delay has if the plan names none.
    pub(super) fn constant() -> Distribution {
        Distribution::Constant
    }
}
