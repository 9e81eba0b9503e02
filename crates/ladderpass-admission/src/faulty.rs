//! Deliberate faults that the tests must detect.

/// A deliberate fault. No release can switch one on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Faulty {
    /// No fault.
    #[default]
    NotFaulty,
    /// Admits everything.
    IgnoresThreshold,
    /// Reports ten times the load that it was offered.
    ReportsTenfold,
    /// Reports of dead routers count for ever.
    KeepsReportsOfDeadRouters,
}
