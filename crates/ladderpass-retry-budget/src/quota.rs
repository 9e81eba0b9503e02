//! The retry budget of all routers, computed from the routers' rates of first attempts and retries, and this router's
//! quota of that budget.

use crate::rates::{RetryRates, WeightedRates};

/// The retries that all routers together may spend while all retries succeed, as a share of the routers' first
/// attempts.
const MAX_RATIO: f64 = 0.5;
/// The retries that all routers together may spend while no retry succeeds, as a share of the routers' first attempts.
/// The share is large enough to detect that retries succeed again.
const MIN_RATIO: f64 = 0.02;
/// Weight of the prior estimate (see `FleetRates::success_share`) of the share of retries that succeed, in granted
/// retries a second.
const PRIOR_WEIGHT_PER_SECOND: f64 = 4.0;
/// The need by which the retries are divided among the routers is a router's rate of requested retries plus this share
/// of its first attempts. The share gives some quota at once to a router that has not requested a retry yet.
const NEED_SHARE_OF_FIRST_ATTEMPTS: f64 = 0.05;
/// A quota is computed from the totals of all routers only while the other routers that report are at least
/// `MIN_REPORTING_SHARE` of all other live routers, or at least `ENOUGH_REPORTING_PEERS`. A reporting router counts by
/// the weight of its report, from 0 to 1.
const MIN_REPORTING_SHARE: f64 = 0.5;
const ENOUGH_REPORTING_PEERS: f64 = 8.0;
/// The least divisor of rates, in attempts a second. This minimum prevents divisions by zero.
const MIN_RATE: f64 = 1e-9;

/// Rates of all routers, and how many of them reported.
pub(crate) struct FleetRates {
    /// This router's own rates of first attempts and retries.
    pub own: RetryRates,
    /// This router's own rates plus the rates that the other routers reported. The rates in a report are multiplied by
    /// the report's weight, from 0 to 1 and lower for an older report.
    pub total: RetryRates,
    /// Sum of the weights of the other routers' reports. The weight of a report is from 0 to 1, and lower for an older
    /// report.
    reporting_peers: f64,
    /// Number of other routers that are alive.
    peers: f64,
}

impl FleetRates {
    pub fn sum(
        own: RetryRates,
        reports: impl Iterator<Item = WeightedRates>,
        alive_peers: usize,
    ) -> FleetRates {
        let mut total = own;
        let mut reporting_peers = 0.0;
        for WeightedRates { rates, weight } in reports {
            total.add_weighted(rates, weight);
            reporting_peers += weight;
        }
        FleetRates { own, total, reporting_peers, peers: alive_peers as f64 }
    }

    /// The number of all live routers, divided by the number of routers that reported. This router counts in both.
    fn scale(&self) -> f64 {
        if self.reporting_peers > 0.0 {
            (self.peers + 1.0).max(self.reporting_peers + 1.0) / (self.reporting_peers + 1.0)
        } else {
            1.0
        }
    }

    /// Estimate of the share of retries that succeed, from 0 to 1. The estimate is a weighted mean of the measured
    /// share and of a prior estimate, the share of attempts that needed no retry. The fewer retries were granted
    /// recently, the more the prior estimate counts.
    fn success_share(&self) -> f64 {
        let total = &self.total;
        let attempts = total.first_attempts + total.retries_granted;
        let first_attempt_success = (1.0 - total.retries_wanted / attempts.max(MIN_RATE)).clamp(0.0, 1.0);
        let succeeded = total.retries_succeeded + PRIOR_WEIGHT_PER_SECOND * first_attempt_success;
        let granted = total.retries_granted.max(total.retries_succeeded) + PRIOR_WEIGHT_PER_SECOND;
        (succeeded / granted).min(1.0)
    }

    /// Retries that all routers together may spend, as a share of the routers' first attempts.
    pub fn ratio(&self) -> f64 {
        let success = self.success_share();
        MIN_RATIO + (MAX_RATIO - MIN_RATIO) * success * success
    }

    /// This router's quota of the budget of all routers, in retries a second. The budget is divided in proportion to
    /// the routers' need of retries.
    pub fn own_quota(&self, ratio: f64) -> f64 {
        let scale = self.scale();
        let budget = ratio * self.total.first_attempts * scale;
        let needed_by_all = needed_retries(self.total) * scale;
        budget * needed_retries(self.own) / needed_by_all.max(MIN_RATE)
    }

    /// True if enough routers report to compute a quota from the totals.
    pub fn has_enough_reports(&self) -> bool {
        self.reporting_peers >= (self.peers * MIN_REPORTING_SHARE).min(ENOUGH_REPORTING_PEERS)
    }
}

/// The need by which the budget is divided: the rate of requested retries plus a small share of the first attempts.
fn needed_retries(rates: RetryRates) -> f64 {
    rates.retries_wanted + NEED_SHARE_OF_FIRST_ATTEMPTS * rates.first_attempts
}
