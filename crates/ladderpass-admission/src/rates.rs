//! Moving averages of the rates of RPCs that this router was offered for a group, and of their outcomes.

use std::collections::BTreeMap;

/// In the moving averages, the weight of a step's counts is the step's length in seconds times this factor, but at most
/// `MAX_COUNT_WEIGHT`. Rates then follow the counts within about a second.
const COUNT_WEIGHT_PER_SECOND: f64 = 2.4;
const MAX_COUNT_WEIGHT: f64 = 0.8;
/// A priority is removed from the offered rates when its offered rate is no higher than this, in RPCs a second.
const MIN_RATE: f64 = 0.005;
/// The least number of seconds by which counts are divided to compute a rate. The minimum prevents a division by zero.
const MIN_STEP_SECS: f64 = 1e-3;

/// Rates of this router in RPCs a second, or counts of RPCs in the current step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rates {
    /// RPCs that this router was offered, by priority.
    pub offered: BTreeMap<u8, f64>,
    pub served: f64,
    pub unplaced: f64,
}

impl Rates {
    pub fn total_offered(&self) -> f64 {
        self.offered.values().sum()
    }

    /// Updates the moving averages of the rates with the counts of a step that took `secs` seconds.
    pub fn update(&mut self, counts: &Rates, secs: f64) {
        let weight = (secs * COUNT_WEIGHT_PER_SECOND).clamp(0.0, MAX_COUNT_WEIGHT);
        let smooth = |rate: f64, count: f64| rate + (count / secs.max(MIN_STEP_SECS) - rate) * weight;
        for priority in counts.offered.keys() {
            self.offered.entry(*priority).or_default();
        }
        for (priority, rate) in &mut self.offered {
            *rate = smooth(*rate, counts.offered.get(priority).copied().unwrap_or(0.0));
        }
        self.offered.retain(|_, rate| *rate > MIN_RATE);
        self.served = smooth(self.served, counts.served);
        self.unplaced = smooth(self.unplaced, counts.unplaced);
    }
}
