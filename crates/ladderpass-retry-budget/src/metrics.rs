//! The metrics of a group for the log.

use crate::rates::RetryRates;

/// The retry budget of a group, as of the last step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupMetrics {
    /// The id of the group.
    pub group: u32,
    /// Rates of first attempts and retries of all routers that reported, this router included, in attempts a second.
    pub fleet: RetryRates,
    /// Retries that all routers together may spend, as a share of the routers' first attempts.
    pub ratio: f64,
    /// Retries a second that this router may spend.
    pub quota: f64,
    /// Retries that this router may withdraw from the budget now.
    pub balance: f64,
    /// Number of requested retries that this router's budget has not granted since the router started.
    pub denied: u64,
}
