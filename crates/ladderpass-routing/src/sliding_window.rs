//! A sliding window: counts and sums over the last buckets of time, each of which is reused in turn.

use crate::time::{Span, Time};

/// Buckets of a window whose type names no other number.
pub const DEFAULT_BUCKETS: usize = 8;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Which multiple of the width it stands for.
    number: i64,
    count: f64,
    sum: f64,
}

/// How many amounts were recorded over some buckets, and their sum.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WindowTotals {
    /// Amounts recorded.
    pub count: f64,
    /// Their sum.
    pub sum: f64,
}

impl WindowTotals {
    /// The mean amount; none where nothing was recorded.
    pub fn mean(self) -> Option<f64> {
        (self.count > 0.0).then(|| self.sum / self.count)
    }
}

/// The last `N` buckets of one width. A bucket is emptied when its turn comes again.
#[derive(Clone, Debug)]
pub struct SlidingWindow<const N: usize = DEFAULT_BUCKETS> {
    width: Span,
    buckets: [Bucket; N],
}

impl<const N: usize> SlidingWindow<N> {
    /// An empty window.
    pub fn new(width: Span) -> Self {
        SlidingWindow { width, buckets: [Bucket { number: i64::MIN, ..Bucket::default() }; N] }
    }

    /// The number of the bucket that this time falls into.
    fn bucket_number(&self, at: Time) -> i64 {
        at.nanos().div_euclid(self.width.nanos())
    }

    /// Records an amount now.
    pub fn record(&mut self, now: Time, amount: f64) {
        let number = self.bucket_number(now);
        let bucket = &mut self.buckets[number.rem_euclid(N as i64) as usize];
        if bucket.number != number {
            *bucket = Bucket { number, ..Bucket::default() };
        }
        bucket.count += 1.0;
        bucket.sum += amount;
    }

    /// Forgets all that was recorded.
    pub fn clear(&mut self) {
        *self = SlidingWindow::new(self.width);
    }

    /// What was recorded in the current bucket and those before it, this many in all.
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

    /// The smallest mean of a bucket, among those of the window with at least `min_count` amounts.
    pub fn min_bucket_mean(&self, now: Time, min_count: f64) -> Option<f64> {
        let newest = self.bucket_number(now);
        self.buckets
            .iter()
            .filter(|bucket| bucket.number > newest - N as i64 && bucket.count >= min_count)
            .map(|bucket| bucket.sum / bucket.count)
            .reduce(f64::min)
    }
}
