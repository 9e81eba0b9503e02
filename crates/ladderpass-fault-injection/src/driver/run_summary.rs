//! What a run leaves behind.

use crate::engine::AttemptEvent;
use crate::record::Decision;
use ladderpass_routing::Time;

/// What a run leaves behind.
#[derive(Default)]
pub struct RunSummary {
    /// All decisions.
    pub record: Vec<Decision>,
    /// Names of the rules that never acted.
    pub never_fired: Vec<String>,
    /// Attempts of RPCs since the command `watch`; times since the tool's start.
    pub attempts: Vec<AttemptEvent>,
    /// When the tool started, as Unix time.
    pub started_at: Time,
}
