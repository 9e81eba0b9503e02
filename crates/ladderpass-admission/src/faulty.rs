//! Deliberate faults that the tests must detect.

/// A deliberate fault. No release build can enable a deliberate fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Faulty {
    /// No fault.
    #[default]
    NotFaulty,
    /// Admits every RPC.
    IgnoresThreshold,
    /// Reports ten times the load that the router was offered.
    ReportsTenfold,
    /// Counts the reports of dead routers for ever.
    KeepsReportsOfDeadRouters,
}
