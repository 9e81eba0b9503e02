//! What a run leaves behind.

use crate::engine::Passed;
use crate::record::Decision;
use ladderpass_routing::Time;

/// What a run leaves behind.
#[derive(Default)]
pub struct Left {
    /// All decisions.
    pub record: Vec<Decision>,
    /// Names of the rules that never acted.
    pub never_fired: Vec<String>,
    /// Attempts of RPCs since the command `watch`; times since the tool's start.
    pub passed: Vec<Passed>,
    /// When the tool started, as Unix time.
    pub began: Time,
}
