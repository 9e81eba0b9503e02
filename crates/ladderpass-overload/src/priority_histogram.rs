//! How the work that was offered lately spreads over the ranks of RPCs, and the rank above which a given part of it
//! stands.

use ladderpass_routing::{PRIORITY_COUNT, Span, Time};

/// Buckets of time, used again in a ring: what was offered a while ago tells nothing of the present.
const BUCKETS: usize = 4;
const WIDTH: Span = Span::from_millis(250);

#[derive(Clone, Debug)]
pub struct PriorityHistogram {
    buckets: [[f64; PRIORITY_COUNT]; BUCKETS],
    numbers: [i64; BUCKETS],
    sum: [f64; PRIORITY_COUNT],
    total: f64,
}

impl Default for PriorityHistogram {
    fn default() -> PriorityHistogram {
        PriorityHistogram {
            buckets: [[0.0; PRIORITY_COUNT]; BUCKETS],
            numbers: [i64::MIN; BUCKETS],
            sum: [0.0; PRIORITY_COUNT],
            total: 0.0,
        }
    }
}

impl PriorityHistogram {
    /// Work of this rank was offered.
    pub fn record(&mut self, now: Time, rank: u32, work: f64) {
        let number = now.nanos().div_euclid(WIDTH.nanos());
        let at = number.rem_euclid(BUCKETS as i64) as usize;
        if self.numbers[at] != number {
            self.numbers[at] = number;
            self.buckets[at] = [0.0; PRIORITY_COUNT];
            // Those that nothing was offered to meanwhile are old too.
            for (bucket, other) in self.buckets.iter_mut().zip(&self.numbers) {
                if *other <= number - BUCKETS as i64 {
                    *bucket = [0.0; PRIORITY_COUNT];
                }
            }
            // Summed anew, so that no error of rounding stays.
            self.sum = [0.0; PRIORITY_COUNT];
            for bucket in &self.buckets {
                self.sum.iter_mut().zip(bucket).for_each(|(sum, work)| *sum += work);
            }
            self.total = self.sum.iter().sum();
        }
        let rank = (rank as usize).min(PRIORITY_COUNT - 1);
        let work = if work.is_finite() { work.max(0.0) } else { 0.0 };
        self.buckets[at][rank] += work;
        self.sum[rank] += work;
        self.total += work;
    }

    /// The rank under which this part of the work stands; its fraction is the part of that rank which does. Nothing
    /// stands under 0; under `RANKS` all does.
    pub fn admission_threshold(&self, part: f64) -> f64 {
        if part <= 0.0 || self.total <= 0.0 {
            return 0.0;
        }
        let mut left = part.min(1.0) * self.total;
        for (rank, &work) in self.sum.iter().enumerate() {
            if work > 0.0 && left <= work {
                return rank as f64 + left / work;
            }
            left -= work;
        }
        PRIORITY_COUNT as f64
    }
}
