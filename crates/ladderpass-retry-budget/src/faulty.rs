//! Deliberate faults that the tests must detect.

/// A deliberate fault. No release build can enable a deliberate fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Faulty {
    /// No fault.
    #[default]
    NotFaulty,
    /// Grants every retry.
    GrantsEveryRetry,
    /// Ignores refunds, and never lowers a quota.
    NeverRefunds,
}
