//! How long bytes had waited in the kernel before they were read.
//!
//! The kernel stamps what comes by the wall clock, which may be stepped while it waits. So a stamp is held against each
//! reading of that clock that may have been in force, and all of them against the time for which the connection can
//! have held anything, which the monotonic clock tells. It must never read a clock.

use std::collections::VecDeque;
use std::time::Duration;

/// Two readings further apart than this differ by a step.
const STEP_NANOS: i128 = 5_000_000;
/// A step is remembered for this long: nothing that a router waits for lies in the kernel's buffers for longer.
const REMEMBERED: Duration = Duration::from_secs(10);
const MOST_STEPS: usize = 4;

/// How far the wall clock is ahead of the monotonic one, now and before its last steps.
#[derive(Debug, Default)]
pub struct WallClock {
    offset: Option<i128>,
    /// Offsets before that, and when they were in force last.
    earlier: VecDeque<(i128, Duration)>,
}

impl WallClock {
    /// A reading of both clocks in one instant.
    pub fn is_read(&mut self, monotonic: Duration, wall: Duration) {
        let offset = nanos(wall) - nanos(monotonic);
        let before = self.offset.replace(offset);
        if let Some(before) = before.filter(|before| (before - offset).abs() > STEP_NANOS) {
            self.earlier.push_back((before, monotonic));
        }
        let old = |&(_, until): &(i128, Duration)| until + REMEMBERED < monotonic;
        while self.earlier.len() > MOST_STEPS || self.earlier.front().is_some_and(old) {
            self.earlier.pop_front();
        }
    }

    /// How long what has this stamp had waited, of `most` at the most. Where no reading of the clock fits the stamp, it
    /// may have waited that long: this errs on the side of less time for its client.
    pub fn waited(&self, monotonic: Duration, stamp: Duration, most: Duration) -> Duration {
        let age = |offset: i128| nanos(monotonic) + offset - nanos(stamp);
        let offsets = self.offset.iter().chain(self.earlier.iter().map(|(offset, _)| offset));
        let fits = |age: &i128| (-STEP_NANOS..=nanos(most) + STEP_NANOS).contains(age);
        let age = offsets.map(|&offset| age(offset)).filter(fits).min();
        let age = age.and_then(|age| u64::try_from(age.max(0)).ok());
        age.map_or(most, |age| Duration::from_nanos(age).min(most))
    }
}

fn nanos(span: Duration) -> i128 {
    span.as_nanos() as i128
}
