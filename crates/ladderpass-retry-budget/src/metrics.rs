//! What the log shows of a group.

use crate::rates::RetryRates;

/// The budget of a group, as of the last step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupMetrics {
    /// The id of the group.
    pub group: u32,
    /// Attempts a second of all routers that reported.
    pub fleet: RetryRates,
    /// Retries that all routers may spend, as a share of their first attempts.
    pub ratio: f64,
    /// Retries a second that this router may spend.
    pub quota: f64,
    /// Retries that this router has saved.
    pub balance: f64,
    /// Retries denied by this router since the start.
    pub denied: u64,
}
