//! The summary of a run.

use crate::engine::AttemptEvent;
use crate::record::Decision;
use std::time::Instant;

/// The summary of a run: its decisions, its recorded attempts, and the rules that never acted.
pub struct RunSummary {
    /// All decisions of the engine, in the order in which they were made.
    pub record: Vec<Decision>,
    /// Names of the rules that never acted.
    pub never_fired: Vec<String>,
    /// Attempts of RPCs since the command `watch`. Their times are counted from the tool's start.
    pub attempts: Vec<AttemptEvent>,
    /// The tool's start. This is a reading of the monotonic clock: the wall clock, read separately, could differ.
    pub started_at: Instant,
}

impl RunSummary {
    /// The summary of a tool that started at `started_at` and recorded nothing.
    pub(super) fn empty(started_at: Instant) -> RunSummary {
        RunSummary { record: Vec::new(), never_fired: Vec::new(), attempts: Vec::new(), started_at }
    }
}
