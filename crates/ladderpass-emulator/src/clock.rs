//! The one clock of the emulator and of all that observe it. The model never reads it: the time is an input there.

use ladderpass_routing::Time;
use std::time::{SystemTime, UNIX_EPOCH};

/// The time now, as Unix time.
pub fn now() -> Time {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time::from_nanos(wall.as_nanos() as i64)
}
