//! Deliberate faults that the tests must detect.

/// A deliberate fault. No release can switch one on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Faulty {
    /// No fault.
    #[default]
    NotFaulty,
    /// Grants every retry.
    GrantsEveryRetry,
    /// Ignores refunds, and never lowers its quota.
    NeverRefunds,
}
