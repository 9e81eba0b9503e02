//! The budget of all routers, from their rates, and this router's quota of it.

use crate::rates::{RetryRates, WeightedRates};

/// Retries that all routers may spend while all retries succeed, as a share of their first attempts.
const MAX_RATIO: f64 = 0.5;
/// The same while no retry succeeds: enough to detect that they succeed again.
const MIN_RATIO: f64 = 0.02;
/// Weight of the prior estimate of the success share, in granted retries a second.
const PRIOR_WEIGHT_PER_SECOND: f64 = 4.0;
/// What a router needs beside the retries that it wants, as a share of its first attempts: one that never wanted a
/// retry has some quota at once.
const NEED_SHARE_OF_FIRST_ATTEMPTS: f64 = 0.05;
/// A quota follows from the totals once this share of the other routers reports, or so many.
const MIN_REPORTING_SHARE: f64 = 0.5;
const ENOUGH_REPORTING_PEERS: f64 = 8.0;
/// Prevents divisions by zero. Attempts a second.
const MIN_RATE: f64 = 1e-9;

/// Rates of all routers, and how many of them reported.
pub(crate) struct FleetRates {
    /// This router's own rates.
    pub own: RetryRates,
    /// The sum of the rates of all that reported, by weight, this router included.
    pub total: RetryRates,
    /// Sum of the weights of the reports.
    reporting_peers: f64,
    /// How many other routers are alive.
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

    /// Factor from the routers that reported to all that are alive.
    fn scale(&self) -> f64 {
        if self.reporting_peers > 0.0 {
            (self.peers + 1.0).max(self.reporting_peers + 1.0) / (self.reporting_peers + 1.0)
        } else {
            1.0
        }
    }

    /// Share of the retries that succeed, from 0 to 1. Where few were granted recently, the share of first attempts
    /// that succeed counts more.
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

    /// This router's quota of the budget, by its need of retries. Retries a second.
    pub fn own_quota(&self, ratio: f64) -> f64 {
        let scale = self.scale();
        let budget = ratio * self.total.first_attempts * scale;
        let needed_by_all = needed_retries(self.total) * scale;
        budget * needed_retries(self.own) / needed_by_all.max(MIN_RATE)
    }

    /// Do enough routers report for a quota to follow from the totals?
    pub fn has_enough_reports(&self) -> bool {
        self.reporting_peers >= (self.peers * MIN_REPORTING_SHARE).min(ENOUGH_REPORTING_PEERS)
    }
}

/// The retries a second that a router needs.
fn needed_retries(rates: RetryRates) -> f64 {
    rates.retries_wanted + NEED_SHARE_OF_FIRST_ATTEMPTS * rates.first_attempts
}
