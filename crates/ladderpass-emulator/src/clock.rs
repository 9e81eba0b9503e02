//! The clock that the emulator and its observers share, so that their timestamps can be compared. The model never reads
//! a clock: each call of the model passes the time as an argument.

use ladderpass_routing::Time;
use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the current Unix time.
pub fn now() -> Time {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time::from_nanos(wall.as_nanos() as i64)
}
