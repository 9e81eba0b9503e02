//! The clock that the emulator and its observers share, so that their timestamps can be compared. The model never reads
//! a clock: each call of the model passes the time as an argument.
//!
//! The wall clock is read only once in a process. All later times follow from the monotonic clock, so that neither a
//! step of the wall clock nor a thread that is suspended between two readings can put them out of order.

use ladderpass_routing::{Span, Time};
use std::sync::LazyLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The wall clock's reading, with the reading of the monotonic clock that belongs to it.
static ORIGIN: LazyLock<Origin> = LazyLock::new(Origin::read);

struct Origin {
    wall: Time,
    monotonic: Instant,
}

impl Origin {
    fn read() -> Origin {
        let monotonic = Instant::now();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Origin { wall: Time::from_nanos(wall.as_nanos() as i64), monotonic }
    }
}

/// Returns the current Unix time.
pub fn now() -> Time {
    time_of(Instant::now())
}

/// Returns the Unix time of a reading of the monotonic clock.
pub fn time_of(instant: Instant) -> Time {
    let origin = &*ORIGIN;
    let after = Span::from_nanos(instant.saturating_duration_since(origin.monotonic).as_nanos() as i64);
    let before = Span::from_nanos(origin.monotonic.saturating_duration_since(instant).as_nanos() as i64);
    origin.wall + after - before
}
