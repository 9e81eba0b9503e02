//! Rates of first attempts and retries.

/// Weight of the latest counts in the moving averages.
const COUNT_WEIGHT: f64 = 0.4;
/// A shorter step counts as this long: its counts are too few for a rate.
const MIN_STEP_SECS: f64 = 0.05;

/// What one router reports of a group: attempts a second. Also counts of a step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryRates {
    /// First attempts.
    pub first_attempts: f64,
    /// Retries that RPCs could have used.
    pub retries_wanted: f64,
    /// Retries that the budget granted.
    pub retries_granted: f64,
    /// Retries that succeeded.
    pub retries_succeeded: f64,
}

/// What another router reports of a group, with the weight of its report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedRates {
    /// Attempts a second.
    pub rates: RetryRates,
    /// From 0 to 1: less for an older report.
    pub weight: f64,
}

impl RetryRates {
    /// The rates in the order in which reports carry them: first attempts; retries wanted, granted, succeeded.
    pub fn to_array(self) -> [f64; 4] {
        [self.first_attempts, self.retries_wanted, self.retries_granted, self.retries_succeeded]
    }

    /// The inverse of [`RetryRates::to_array`].
    pub fn from_array([first_attempts, wanted, granted, succeeded]: [f64; 4]) -> RetryRates {
        RetryRates {
            first_attempts,
            retries_wanted: wanted,
            retries_granted: granted,
            retries_succeeded: succeeded,
        }
    }

    /// Adds the rates of another router, each times this weight.
    pub(crate) fn add_weighted(&mut self, other: RetryRates, weight: f64) {
        self.first_attempts += other.first_attempts * weight;
        self.retries_wanted += other.retries_wanted * weight;
        self.retries_granted += other.retries_granted * weight;
        self.retries_succeeded += other.retries_succeeded * weight;
    }

    /// The moving averages after a step with these counts, of this length in seconds.
    pub(crate) fn smoothed(self, counts: RetryRates, secs: f64) -> RetryRates {
        let smooth = |rate: f64, count: f64| rate + (count / secs.max(MIN_STEP_SECS) - rate) * COUNT_WEIGHT;
        RetryRates {
            first_attempts: smooth(self.first_attempts, counts.first_attempts),
            retries_wanted: smooth(self.retries_wanted, counts.retries_wanted),
            retries_granted: smooth(self.retries_granted, counts.retries_granted),
            retries_succeeded: smooth(self.retries_succeeded, counts.retries_succeeded),
        }
    }
}
