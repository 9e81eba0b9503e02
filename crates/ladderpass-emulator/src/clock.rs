//! The clock of the fleet and of all that watch it.
//!
//! It owns one reading of the time. It must never be read by the model.

use ladderpass_routing::Time;
use std::time::{SystemTime, UNIX_EPOCH};

/// Unix time, as all clocks of the fleet read it.
pub fn now() -> Time {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Time::from_nanos(wall.as_nanos() as i64)
}
