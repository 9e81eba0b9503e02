//! A sliding window: the number and the sum of the values that were recorded in the most recent buckets of time. A
//! fixed number of buckets is reused in turn.

use crate::time::{Span, Time};

/// Number of buckets of a sliding window whose type gives no other number.
pub const DEFAULT_BUCKETS: usize = 8;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// The start of the bucket in time, as a multiple of the bucket width.
    number: i64,
    count: f64,
    sum: f64,
}

/// The number and the sum of the values that were recorded in some buckets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WindowTotals {
    /// The number of values that were recorded in the buckets.
    pub count: f64,
    /// The sum of the values that were recorded in the buckets.
    pub sum: f64,
}

impl WindowTotals {
    /// The mean of the recorded values, or `None` if there are none.
    pub fn mean(self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
}

/// The last `N` buckets of equal width. A bucket is emptied before it is reused.
#[derive(Clone, Debug)]
pub struct SlidingWindow<const N: usize = DEFAULT_BUCKETS> {
    width: Span,
    buckets: [Bucket; N],
}

impl<const N: usize> SlidingWindow<N> {
    /// Creates an empty window whose buckets have this width.
    pub fn new(width: Span) -> Self {
        SlidingWindow { width, buckets: [Bucket { number: i64::MIN, ..Bucket::default() }; N] }
    }

    /// The number of the bucket that contains the time `at`.
    fn bucket_number(&self, at: Time) -> i64 {
        at.nanos().div_euclid(self.width.nanos())
    }

    /// Records a value in the current bucket.
    pub fn record(&mut self, now: Time, value: f64) {
        let number = self.bucket_number(now);
        let bucket = &mut self.buckets[number.rem_euclid(N as i64) as usize];
        if bucket.number != number {
            *bucket = Bucket { number, ..Bucket::default() };
        }
        bucket.count += 1.0;
        bucket.sum += value;
    }

    /// Discards all values that were recorded in the window.
    pub fn clear(&mut self) {
        *self = SlidingWindow::new(self.width);
    }

    /// The totals of the most recent buckets, of which there are `buckets`, including the current bucket.
    pub fn totals(&self, now: Time, buckets: usize) -> WindowTotals {
        let newest = self.bucket_number(now);
        let included = newest - buckets.min(N) as i64 + 1..=newest;
        let mut totals = WindowTotals::default();
        for bucket in self.buckets.iter().filter(|bucket| included.contains(&bucket.number)) {
            totals.count += bucket.count;
            totals.sum += bucket.sum;
        }
        totals
    }

    /// The smallest mean among the buckets of the window with at least `min_count` values, or `None` without such
    /// a bucket.
    pub fn min_bucket_mean(&self, now: Time, min_count: f64) -> Option<f64> {
        let newest = self.bucket_number(now);
        self.buckets
            .iter()
            .filter(|bucket| bucket.number > newest - N as i64 && bucket.count >= min_count)
            .map(|bucket| bucket.sum / bucket.count)
            .reduce(f64::min)
    }
}
