//! The rates of first attempts and retries that routers report to each other.

/// Weight of the latest step's counts in the moving averages of the rates.
const COUNT_WEIGHT: f64 = 0.4;
/// A step that is shorter than this number of seconds counts as a step of this length, since the counts of a shorter
/// step are too low to compute a rate from.
const MIN_STEP_SECS: f64 = 0.05;

/// The rates that a router reports of a group, in attempts a second. The same type holds the counts of attempts in a
/// step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryRates {
    /// First attempts of RPCs.
    pub first_attempts: f64,
    /// Retries that were requested, whether the budget granted them or not.
    pub retries_wanted: f64,
    /// Retries that the budget granted.
    pub retries_granted: f64,
    /// Retries that succeeded.
    pub retries_succeeded: f64,
}

/// The rates that another router reports of a group, with the weight of its report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedRates {
    /// The reported rates, in attempts a second.
    pub rates: RetryRates,
    /// The weight of the report, from 0 to 1. An older report has a lower weight.
    pub weight: f64,
}

impl RetryRates {
    /// The rates in the order in which reports encode them: first attempts, then retries wanted, granted and succeeded.
    pub fn to_array(self) -> [f64; 4] {
        [self.first_attempts, self.retries_wanted, self.retries_granted, self.retries_succeeded]
    }

    /// Creates the rates from an array in the order of [`RetryRates::to_array`].
    pub fn from_array([first_attempts, wanted, granted, succeeded]: [f64; 4]) -> RetryRates {
        RetryRates {
            first_attempts,
            retries_wanted: wanted,
            retries_granted: granted,
            retries_succeeded: succeeded,
        }
    }

    /// Adds the rates of another router, multiplied by this weight.
    pub(crate) fn add_weighted(&mut self, other: RetryRates, weight: f64) {
        self.first_attempts += other.first_attempts * weight;
        self.retries_wanted += other.retries_wanted * weight;
        self.retries_granted += other.retries_granted * weight;
        self.retries_succeeded += other.retries_succeeded * weight;
    }

    /// Returns the moving averages of the rates after a step with these counts, which took `secs` seconds.
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
