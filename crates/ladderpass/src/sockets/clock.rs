//! The router's clock. It gives wall-clock time that can't jump, and computes how long bytes had waited in the kernel
//! before they were read.

use crate::wall_clock::WallClock;
use ladderpass_routing::{Span, Time};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Readings of two clocks count as simultaneous if they were made less than this time apart.
const SIMULTANEOUS_READINGS: Duration = Duration::from_millis(1);

/// A clock that reads the wall clock once at the start and advances by the monotonic clock.
pub(super) struct Clock {
    wall_at_start: Time,
    started_at: Instant,
    wall_clock: WallClock,
}

impl Clock {
    /// Starts the clock. `offset` is added to the wall clock to simulate a machine whose clock is wrong. The offset is
    /// zero without the feature `faulty`.
    pub(super) fn start(offset: Span) -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock {
            wall_at_start: Time::from_nanos(wall.as_nanos() as i64) + offset,
            started_at: Instant::now(),
            wall_clock: WallClock::default(),
        }
    }

    pub(super) fn now(&self) -> Time {
        self.wall_at_start + span(self.started_at.elapsed())
    }

    /// Returns how long bytes with this timestamp of the kernel had waited, on a connection whose socket was last known
    /// to be empty at `last_empty_at`.
    pub(super) fn time_in_kernel(&mut self, timestamp: Duration, last_empty_at: Instant) -> Span {
        let before = self.started_at.elapsed();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now = self.started_at.elapsed();
        // A pause of the process between the readings of the two clocks would look like a step of the wall clock, so
        // such a pair of readings is not used.
        if now - before < SIMULTANEOUS_READINGS {
            self.wall_clock.record_reading(before, wall);
        }
        span(self.wall_clock.time_in_kernel(now, timestamp, last_empty_at.elapsed()))
    }
}

pub(super) fn span(duration: Duration) -> Span {
    Span::from_nanos(duration.as_nanos() as i64)
}
