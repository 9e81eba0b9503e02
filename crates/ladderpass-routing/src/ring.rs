//! What is measured over time: a count and a sum in fixed buckets of time that are used again in a ring.

use crate::time::{Span, Time};

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: i64,
    count: f64,
    sum: f64,
}

/// `N` buckets of one width; a bucket is emptied when its turn comes round again.
#[derive(Clone, Debug)]
pub struct Ring<const N: usize> {
    width: Span,
    buckets: [Bucket; N],
}

impl<const N: usize> Ring<N> {
    pub fn new(width: Span) -> Self {
        Ring { width, buckets: [Bucket { number: i64::MIN, ..Bucket::default() }; N] }
    }

    fn number(&self, at: Time) -> i64 {
        at.nanos().div_euclid(self.width.nanos())
    }

    pub fn add(&mut self, now: Time, amount: f64) {
        let number = self.number(now);
        let bucket = &mut self.buckets[number.rem_euclid(N as i64) as usize];
        if bucket.number != number {
            *bucket = Bucket { number, ..Bucket::default() };
        }
        bucket.count += 1.0;
        bucket.sum += amount;
    }

    pub fn forget(&mut self) {
        *self = Ring::new(self.width);
    }

    /// Count and sum over the present bucket and the `back - 1` before it.
    pub fn last(&self, now: Time, back: usize) -> (f64, f64) {
        let newest = self.number(now);
        let wanted = newest - back.min(N) as i64 + 1..=newest;
        self.buckets
            .iter()
            .filter(|bucket| wanted.contains(&bucket.number))
            .fold((0.0, 0.0), |(count, sum), bucket| (count + bucket.count, sum + bucket.sum))
    }

    /// The smallest mean among the live buckets that hold at least `enough` samples.
    pub fn least_mean(&self, now: Time, enough: f64) -> Option<f64> {
        let newest = self.number(now);
        self.buckets
            .iter()
            .filter(|bucket| bucket.number > newest - N as i64 && bucket.count >= enough)
            .map(|bucket| bucket.sum / bucket.count)
            .reduce(f64::min)
    }
}
