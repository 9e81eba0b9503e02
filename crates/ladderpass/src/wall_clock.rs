//! Computes how long bytes had waited in the kernel before they were read.
//!
//! The kernel timestamps received bytes by the wall clock, which may be stepped while the bytes wait. So the age of a
//! timestamp is computed with each offset between wall clock and monotonic clock that may have applied when the bytes
//! arrived. An age counts only if it is at most the time since the connection was last empty, which the monotonic clock
//! gives. This module reads no clock itself.

use std::collections::VecDeque;
use std::time::Duration;

/// If two offsets between wall clock and monotonic clock differ by more than this number of nanoseconds, the wall clock
/// was stepped between the two readings.
const MIN_STEP_NANOS: i128 = 5_000_000;
/// How long an offset that applied before a step of the wall clock is kept. Bytes that the router waits for stay in the
/// kernel's buffers for less than this time.
const KEEP_EARLIER_OFFSETS: Duration = Duration::from_secs(10);
const MAX_EARLIER_OFFSETS: usize = 4;

/// How far the wall clock is ahead of the monotonic clock, now and before the last steps of the wall clock.
#[derive(Debug, Default)]
pub struct WallClock {
    offset_nanos: Option<i128>,
    earlier_offsets: VecDeque<EarlierOffset>,
}

/// An offset between wall clock and monotonic clock that applied before a step of the wall clock.
#[derive(Debug)]
struct EarlierOffset {
    nanos: i128,
    /// The monotonic time at which this router noticed that the wall clock was stepped, so that this offset
    /// no longer applies.
    ended_at: Duration,
}

impl WallClock {
    /// Records readings of the wall clock and the monotonic clock that were made at the same time.
    pub fn record_reading(&mut self, monotonic: Duration, wall: Duration) {
        let offset = nanos(wall) - nanos(monotonic);
        let before = self.offset_nanos.replace(offset);
        if let Some(before) = before.filter(|before| (before - offset).abs() > MIN_STEP_NANOS) {
            self.earlier_offsets.push_back(EarlierOffset { nanos: before, ended_at: monotonic });
        }
        let is_old = |earlier: &EarlierOffset| earlier.ended_at + KEEP_EARLIER_OFFSETS < monotonic;
        while self.earlier_offsets.len() > MAX_EARLIER_OFFSETS
            || self.earlier_offsets.front().is_some_and(is_old)
        {
            self.earlier_offsets.pop_front();
        }
    }

    /// Returns how long bytes with this timestamp had waited at the time `monotonic`, at most `max`. If several offsets
    /// give a possible wait, the shortest wait is returned. If no offset gives a possible wait, the result is `max`:
    /// this may be too long, and then leaves the client less time, not more.
    pub fn time_in_kernel(&self, monotonic: Duration, timestamp: Duration, max: Duration) -> Duration {
        let age = |offset: i128| nanos(monotonic) + offset - nanos(timestamp);
        let offsets =
            self.offset_nanos.iter().chain(self.earlier_offsets.iter().map(|earlier| &earlier.nanos));
        let fits = |age: &i128| (-MIN_STEP_NANOS..=nanos(max) + MIN_STEP_NANOS).contains(age);
        let age = offsets.map(|&offset| age(offset)).filter(fits).min();
        let age = age.and_then(|age| u64::try_from(age.max(0)).ok());
        age.map_or(max, |age| Duration::from_nanos(age).min(max))
    }
}

fn nanos(duration: Duration) -> i128 {
    duration.as_nanos() as i128
}
