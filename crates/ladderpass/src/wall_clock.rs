//! How long bytes had waited in the kernel before they were read.
//!
//! The kernel stamps received bytes by the wall clock, which may be stepped while they wait. So a timestamp is compared
//! with each offset between wall clock and monotonic clock that may have been in force, and each result with the time
//! for which the connection can have held anything, which the monotonic clock gives. This module reads no clock itself.

use std::collections::VecDeque;
use std::time::Duration;

/// Two offsets that differ by more than this differ by a step of the wall clock.
const MIN_STEP_NANOS: i128 = 5_000_000;
/// An earlier offset is kept for this long: no bytes that a router waits for stay in the kernel's buffers for longer.
const KEEP_EARLIER_OFFSETS: Duration = Duration::from_secs(10);
const MAX_EARLIER_OFFSETS: usize = 4;

/// How far the wall clock is ahead of the monotonic one, now and before its last steps.
#[derive(Debug, Default)]
pub struct WallClock {
    offset_nanos: Option<i128>,
    earlier: VecDeque<EarlierOffset>,
}

/// An offset from before a step.
#[derive(Debug)]
struct EarlierOffset {
    nanos: i128,
    /// The monotonic time at which the step showed.
    ended_at: Duration,
}

impl WallClock {
    /// Takes a reading of both clocks in one instant.
    pub fn record_reading(&mut self, monotonic: Duration, wall: Duration) {
        let offset = nanos(wall) - nanos(monotonic);
        let before = self.offset_nanos.replace(offset);
        if let Some(before) = before.filter(|before| (before - offset).abs() > MIN_STEP_NANOS) {
            self.earlier.push_back(EarlierOffset { nanos: before, ended_at: monotonic });
        }
        let is_old = |earlier: &EarlierOffset| earlier.ended_at + KEEP_EARLIER_OFFSETS < monotonic;
        while self.earlier.len() > MAX_EARLIER_OFFSETS || self.earlier.front().is_some_and(is_old) {
            self.earlier.pop_front();
        }
    }

    /// How long bytes with this timestamp had waited at `monotonic`, at most `max`. Where no offset fits the timestamp
    /// the answer is `max`, which errs towards less remaining time for the client.
    pub fn time_in_kernel(&self, monotonic: Duration, timestamp: Duration, max: Duration) -> Duration {
        let age = |offset: i128| nanos(monotonic) + offset - nanos(timestamp);
        let offsets = self.offset_nanos.iter().chain(self.earlier.iter().map(|earlier| &earlier.nanos));
        let fits = |age: &i128| (-MIN_STEP_NANOS..=nanos(max) + MIN_STEP_NANOS).contains(age);
        let age = offsets.map(|&offset| age(offset)).filter(fits).min();
        let age = age.and_then(|age| u64::try_from(age.max(0)).ok());
        age.map_or(max, |age| Duration::from_nanos(age).min(max))
    }
}

fn nanos(duration: Duration) -> i128 {
    duration.as_nanos() as i128
}
