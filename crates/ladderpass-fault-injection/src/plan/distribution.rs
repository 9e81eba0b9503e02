//! Distributions of random delays.

use serde::{Deserialize, Serialize};

/// Distribution of a random delay, by its mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Distribution {
    /// Always the mean.
    Constant,
    /// From 0 to twice the mean.
    Uniform,
    /// Exponential.
    Exponential,
}

impl Distribution {
    /// What holds where a plan does not say.
    pub(super) fn constant() -> Distribution {
        Distribution::Constant
    }
}
