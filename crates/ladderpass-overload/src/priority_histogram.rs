//! The distribution of recently offered work over priorities, and the threshold below which a given share of that work
//! lies.

use ladderpass_routing::{PRIORITY_COUNT, Span, Time};

/// The number and width of the buckets, which together make a sliding window of one second.
const BUCKETS: usize = 4;
const BUCKET_WIDTH: Span = Span::from_millis(250);

/// Work offered in the last second, by priority. The caller chooses the unit of work.
#[derive(Clone, Debug)]
pub struct PriorityHistogram {
    buckets: [[f64; PRIORITY_COUNT]; BUCKETS],
    /// The number of the interval that each bucket covers. An interval begins at its number times the bucket width.
    bucket_numbers: [i64; BUCKETS],
    /// The sum of the work in all buckets, by priority.
    by_priority: [f64; PRIORITY_COUNT],
    /// The sum of the work in all buckets and of all priorities.
    total: f64,
}

impl Default for PriorityHistogram {
    fn default() -> PriorityHistogram {
        PriorityHistogram {
            buckets: [[0.0; PRIORITY_COUNT]; BUCKETS],
            bucket_numbers: [i64::MIN; BUCKETS],
            by_priority: [0.0; PRIORITY_COUNT],
            total: 0.0,
        }
    }
}

impl PriorityHistogram {
    /// Records work that was offered at a priority. All calls must use the same unit of work.
    pub fn record(&mut self, now: Time, priority: u32, work: f64) {
        let number = now.nanos().div_euclid(BUCKET_WIDTH.nanos());
        let index = number.rem_euclid(BUCKETS as i64) as usize;
        if self.bucket_numbers[index] != number {
            self.start_bucket(index, number);
        }
        let priority = (priority as usize).min(PRIORITY_COUNT - 1);
        let work = if work.is_finite() { work.max(0.0) } else { 0.0 };
        self.buckets[index][priority] += work;
        self.by_priority[priority] += work;
        self.total += work;
    }

    /// Clears the bucket at this index for the interval with this number, and recomputes the sums.
    fn start_bucket(&mut self, index: usize, number: i64) {
        self.bucket_numbers[index] = number;
        self.buckets[index] = [0.0; PRIORITY_COUNT];
        // Besides the reused bucket, other buckets may be older than the window of one second, because no work was
        // recorded for some intervals. They are cleared too.
        for (bucket, other) in self.buckets.iter_mut().zip(&self.bucket_numbers) {
            if *other <= number - BUCKETS as i64 {
                *bucket = [0.0; PRIORITY_COUNT];
            }
        }
        // The sums are recomputed from the buckets, so that rounding errors don't accumulate.
        self.by_priority = [0.0; PRIORITY_COUNT];
        for bucket in &self.buckets {
            for (sum, work) in self.by_priority.iter_mut().zip(bucket) {
                *sum += work;
            }
        }
        self.total = self.by_priority.iter().sum();
    }

    /// The threshold below which this share of the work of the last second lies. The integer part is a priority, and
    /// the fractional part the share of that priority's own work that lies below the threshold. No work lies below 0,
    /// and all work lies below `PRIORITY_COUNT`.
    pub fn admission_threshold(&self, share: f64) -> f64 {
        if share <= 0.0 || self.total <= 0.0 {
            return 0.0;
        }
        let mut remaining = share.min(1.0) * self.total;
        for (priority, &work) in self.by_priority.iter().enumerate() {
            if work > 0.0 && remaining <= work {
                return priority as f64 + remaining / work;
            }
            remaining -= work;
        }
        PRIORITY_COUNT as f64
    }
}
