//! What is measured over time: a count and a sum in fixed buckets of time that are used again in a ring.

use crate::time::{Span, Time};

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: i64,
    count: f64,
    sum: f64,
}

/// How many amounts were recorded over some buckets, and what they add up to.
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

/// `N` buckets of one width; a bucket is emptied when its turn comes round again.
#[derive(Clone, Debug)]
pub struct SlidingWindow<const N: usize> {
    width: Span,
    buckets: [Bucket; N],
}

impl<const N: usize> SlidingWindow<N> {
    pub fn new(width: Span) -> Self {
        SlidingWindow { width, buckets: [Bucket { number: i64::MIN, ..Bucket::default() }; N] }
    }

    fn number(&self, at: Time) -> i64 {
        at.nanos().div_euclid(self.width.nanos())
    }

    pub fn record(&mut self, now: Time, amount: f64) {
        let number = self.number(now);
        let bucket = &mut self.buckets[number.rem_euclid(N as i64) as usize];
        if bucket.number != number {
            *bucket = Bucket { number, ..Bucket::default() };
        }
        bucket.count += 1.0;
        bucket.sum += amount;
    }

    pub fn clear(&mut self) {
        *self = SlidingWindow::new(self.width);
    }

    /// What was recorded in the current bucket and the `back - 1` before it.
    pub fn totals(&self, now: Time, back: usize) -> WindowTotals {
        let newest = self.number(now);
        let wanted = newest - back.min(N) as i64 + 1..=newest;
        self.buckets.iter().filter(|bucket| wanted.contains(&bucket.number)).fold(
            WindowTotals::default(),
            |totals, bucket| WindowTotals {
                count: totals.count + bucket.count,
                sum: totals.sum + bucket.sum,
            },
        )
    }

    /// The smallest mean among the live buckets that hold at least `enough` samples.
    pub fn min_bucket_mean(&self, now: Time, enough: f64) -> Option<f64> {
        let newest = self.number(now);
        self.buckets
            .iter()
            .filter(|bucket| bucket.number > newest - N as i64 && bucket.count >= enough)
            .map(|bucket| bucket.sum / bucket.count)
            .reduce(f64::min)
    }
}
