//! The retry budget of all routers, computed from the routers' rates of first attempts and retries, and this router's
//! quota of that budget.

use crate::rates::{RetryRates, WeightedRates};

/// The retries that all routers may spend while all retries succeed, as a share of their first attempts.
const MAX_RATIO: f64 = 0.5;
/// The retries that all routers may spend while no retry succeeds, as a share of their first attempts. The share is
/// large enough to detect that retries succeed again.
const MIN_RATIO: f64 = 0.02;
/// Weight of the prior estimate of the share of retries that succeed, in granted retries a second.
const PRIOR_WEIGHT_PER_SECOND: f64 = 4.0;
/// A router's need of retries is the rate of the retries that it requests plus this share of its first attempts. The
/// share gives some quota at once to a router that has not requested a retry yet.
const NEED_SHARE_OF_FIRST_ATTEMPTS: f64 = 0.05;
/// A quota is computed from the totals of all routers only while at least `MIN_REPORTING_SHARE` of the other routers
/// report, or at least `ENOUGH_REPORTING_PEERS` of them. A router counts by the weight of its report, from 0 to 1.
const MIN_REPORTING_SHARE: f64 = 0.5;
const ENOUGH_REPORTING_PEERS: f64 = 8.0;
/// The least divisor of rates, in attempts a second. This minimum prevents divisions by zero.
const MIN_RATE: f64 = 1e-9;

/// Rates of all routers, and how many of them reported.
pub(crate) struct FleetRates {
    /// This router's own rates of first attempts and retries.
    pub own: RetryRates,
    /// This router's own rates plus those that other routers reported, each multiplied by the weight of its report (0
    /// to 1, lower for older reports).
    pub total: RetryRates,
    /// Sum of the weights of the other routers' reports, each from 0 to 1.
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

    /// The ratio of the number of all live routers to the number of routers that reported, with this router counted in
    /// both.
    fn scale(&self) -> f64 {
        if self.reporting_peers > 0.0 {
            (self.peers + 1.0).max(self.reporting_peers + 1.0) / (self.reporting_peers + 1.0)
        } else {
            1.0
        }
    }

    /// Estimate of the share of retries that succeed, from 0 to 1. The fewer retries were granted recently, the more a
    /// prior estimate counts, which is the share of attempts that needed no retry.
    fn success_share(&self) -> f64 {
        let total = &self.total;
        let attempts = total.first_attempts + total.retries_granted;
        let first_attempt_success = (1.0 - total.retries_wanted / attempts.max(MIN_RATE)).clamp(0.0, 1.0);
        let succeeded = total.retries_succeeded + PRIOR_WEIGHT_PER_SECOND * first_attempt_success;
        let granted = total.retries_granted.max(total.retries_succeeded) + PRIOR_WEIGHT_PER_SECOND;
        (succeeded / granted).min(1.0)
    }

    /// Retries that all routers may spend, as a share of their first attempts.
    pub fn ratio(&self) -> f64 {
        let success = self.success_share();
        MIN_RATIO + (MAX_RATIO - MIN_RATIO) * success * success
    }

    /// This router's quota of the budget in retries a second, in proportion to this router's need of retries.
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

/// The retries a second that a router needs.
fn needed_retries(rates: RetryRates) -> f64 {
    rates.retries_wanted + NEED_SHARE_OF_FIRST_ATTEMPTS * rates.first_attempts
}
