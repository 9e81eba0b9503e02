//! The clock: wall-clock time that can't jump, and how long bytes had waited in the kernel before they were read.

use crate::wall_clock::WallClock;
use ladderpass_routing::{Span, Time};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Readings of two clocks within this count as simultaneous.
const SIMULTANEOUS_READINGS: Duration = Duration::from_millis(1);

/// One reading of the wall clock at start, advanced by the monotonic clock from there on.
pub(super) struct Clock {
    started_at: Time,
    started: Instant,
    wall_clock: WallClock,
}

impl Clock {
    /// Starts the clock. `offset` is how far the wall clock is off, in a build with the feature `faulty`.
    pub(super) fn start(offset: Span) -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock {
            started_at: Time::from_nanos(wall.as_nanos() as i64) + offset,
            started: Instant::now(),
            wall_clock: WallClock::default(),
        }
    }

    pub(super) fn now(&self) -> Time {
        self.started_at + span(self.started.elapsed())
    }

    /// How long bytes with this timestamp of the kernel had waited, on a connection that was last known to be empty at `last_empty_at`.
    pub(super) fn time_in_kernel(&mut self, timestamp: Duration, last_empty_at: Instant) -> Span {
        let before = self.started.elapsed();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = self.started.elapsed();
        // A pause of the process between the two readings would look like a step of the wall clock.
        if now - before < SIMULTANEOUS_READINGS {
            self.wall_clock.record_reading(before, wall);
        }
        span(self.wall_clock.time_in_kernel(now, timestamp, last_empty_at.elapsed()))
    }
}

pub(super) fn span(duration: Duration) -> Span {
    Span::from_nanos(duration.as_nanos() as i64)
}
