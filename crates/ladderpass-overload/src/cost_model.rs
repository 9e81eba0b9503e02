//! What work costs this front, learnt from the traffic itself: the time that a turn of the loop takes, by what was done
//! in it.
//!
//! A least squares fit, step by step with forgetting: time = RPCs served, RPCs refused and bytes moved, each by a cost
//! of its own. It starts from a guess that it leaves with the first hundreds of RPCs.

use ladderpass_routing::Span;

/// What was done in a span of time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Call-outs answered and passed on, RPCs refused, KiB moved either way.
    pub served: f64,
    pub rejected: f64,
    pub kib: f64,
}

impl Work {
    fn features(&self) -> [f64; 3] {
        [self.served, self.rejected, self.kib]
    }
}

#[derive(Clone, Debug)]
pub struct CostModel {
    /// Seconds for one of each.
    costs: [f64; 3],
    /// Inverse of what was seen so far.
    spread: [[f64; 3]; 3],
    /// What an RPC that is served moves on average.
    kib: f64,
}

/// The guess it starts from, in seconds; and no cost is thought to be less than a part of a microsecond, nor more than
/// a hundredth of a second.
const GUESS: [f64; 3] = [20e-6, 7e-6, 0.5e-6];
const LEAST: f64 = 0.05e-6;
const MOST: f64 = 0.01;
/// What was seen long ago counts less by this much each time.
const KEEP: f64 = 0.998;
/// How much a turn moves what an RPC moves on average.
const KIB_BY: f64 = 0.05;
/// How unsure it is of its guess, and ever becomes again. Bytes move with the RPCs that they belong to: what can't be told
/// apart is laid to the RPCs.
const SPREAD: [f64; 3] = [0.05, 0.05, 0.002];

impl Default for CostModel {
    fn default() -> CostModel {
        let mut spread = [[0.0; 3]; 3];
        (0..3).for_each(|i| spread[i][i] = SPREAD[i]);
        CostModel { costs: GUESS, spread, kib: 0.0 }
    }
}

impl CostModel {
    /// So much was done in so much busy time.
    pub fn learn(&mut self, work: Work, busy: Span) {
        let x = work.features();
        let time = busy.secs();
        let usable = x.iter().all(|value| value.is_finite() && *value >= 0.0) && time > 0.0 && time < 1.0;
        if !usable || x[0] + x[1] < 1.0 {
            return;
        }
        if work.served > 0.0 {
            self.kib += (work.kib / work.served - self.kib) * KIB_BY;
        }
        // Scaled, so that a full turn does not outweigh a hundred short ones.
        let scale = 1.0 / (x[0] + x[1]);
        let x = x.map(|value| value * scale);
        let time = time * scale;
        let along: [f64; 3] = std::array::from_fn(|i| (0..3).map(|j| self.spread[i][j] * x[j]).sum());
        let width = KEEP + (0..3).map(|i| x[i] * along[i]).sum::<f64>();
        let missed = time - (0..3).map(|i| x[i] * self.costs[i]).sum::<f64>();
        // One turn in which another process had the core must not teach much.
        let missed = missed.clamp(-2.0 * GUESS[0], 2.0 * GUESS[0]);
        for (cost, along) in self.costs.iter_mut().zip(along) {
            *cost = (*cost + along / width * missed).clamp(LEAST, MOST);
        }
        for (i, row) in self.spread.iter_mut().enumerate() {
            for (j, value) in row.iter_mut().enumerate() {
                // Bounds what forgetting would blow up where some kind of work does not come.
                let most = (SPREAD[i] * SPREAD[j]).sqrt();
                *value = ((*value - along[i] * along[j] / width) / KEEP).clamp(-most, most);
            }
            row[i] = row[i].max(1e-9);
        }
    }

    /// Seconds that serving an RPC takes which moves so many KiB.
    pub fn serve_secs(&self, kib: f64) -> f64 {
        self.costs[0] + self.costs[2] * kib.max(0.0)
    }

    /// The one that comes on average.
    pub fn mean_serve_secs(&self) -> f64 {
        self.serve_secs(self.kib)
    }

    /// Never more than serving one that moves nothing.
    pub fn reject_secs(&self) -> f64 {
        self.costs[1].min(self.mean_serve_secs())
    }
}
