//! The summary of a run.

use crate::engine::AttemptEvent;
use crate::record::Decision;
use ladderpass_routing::Time;

/// The summary of a run: its decisions, its recorded attempts, and the rules that never acted.
#[derive(Default)]
pub struct RunSummary {
    /// All decisions of the engine, in the order in which they were made.
    pub record: Vec<Decision>,
    /// Names of the rules that never acted.
    pub never_fired: Vec<String>,
    /// Attempts of RPCs since the command `watch`. Their times are counted from the tool's start.
    pub attempts: Vec<AttemptEvent>,
    /// Unix time of the tool's start.
    pub started_at: Time,
}
