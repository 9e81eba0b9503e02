//! The CPU time that work costs this router, learnt from its traffic by recursive least squares with forgetting.
//!
//! Each iteration of the event loop gives one equation: the iteration's busy time is the sum of RPCs served, RPCs
//! rejected and KiB of statements and responses, each multiplied by its cost. The initial costs are estimates, which
//! the first few hundred RPCs replace.

use ladderpass_routing::Span;

/// The number of features that have a cost: RPCs served, RPCs rejected and KiB of statements and responses. The
/// constants `SERVED`, `REJECTED` and `KIB` are the indexes of the features.
const FEATURES: usize = 3;
const SERVED: usize = 0;
const REJECTED: usize = 1;
const KIB: usize = 2;

/// The initial costs, by feature, and the limits of every cost, in seconds.
const INITIAL_COST_SECS: [f64; FEATURES] = [20e-6, 7e-6, 0.5e-6];
const MIN_COST_SECS: f64 = 0.05e-6;
const MAX_COST_SECS: f64 = 0.01;
/// Each new iteration of the event loop multiplies the weight of the earlier iterations by this factor.
const FORGETTING_FACTOR: f64 = 0.998;
/// Weight of one iteration of the event loop in the moving average of the size of an RPC.
const MEAN_KIB_WEIGHT: f64 = 0.05;
/// Variances of the initial costs, by feature. Later variances never exceed the initial ones. The variance of the cost
/// of a KiB is the smallest, so that time is attributed to RPCs where it can't be told whether RPCs or their bytes took
/// it.
const INITIAL_VARIANCE: [f64; FEATURES] = [0.05, 0.05, 0.002];
/// The least variance of a cost. It keeps the diagonal of the covariance matrix positive.
const MIN_VARIANCE: f64 = 1e-9;
/// An iteration of the event loop that was busy for this long or longer is treated as a stall, and nothing is learnt
/// from it.
const MAX_BUSY_SECS: f64 = 1.0;
/// Limit of the error of an iteration's predicted busy time per RPC, as a multiple of the initial cost of serving an
/// RPC. Errors are limited because another process may have used the core during the iteration.
const MAX_ERROR_IN_INITIAL_COSTS: f64 = 2.0;

/// Work done in one iteration of the event loop.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Number of RPCs that were answered.
    pub served: f64,
    /// Number of RPCs that were rejected, or were admitted and not answered successfully.
    pub rejected: f64,
    /// Size of the statements and responses of the served RPCs, in KiB.
    pub kib: f64,
}

impl Work {
    fn features(&self) -> [f64; FEATURES] {
        [self.served, self.rejected, self.kib]
    }
}

/// The learnt CPU costs of this router's work.
#[derive(Clone, Debug)]
pub struct CostModel {
    /// The cost of one unit of each feature, in seconds.
    costs: [f64; FEATURES],
    covariance: [[f64; FEATURES]; FEATURES],
    /// Moving average of the size of a served RPC's statement and response, in KiB.
    mean_kib: f64,
}

impl Default for CostModel {
    fn default() -> CostModel {
        let mut covariance = [[0.0; FEATURES]; FEATURES];
        for (i, variance) in INITIAL_VARIANCE.into_iter().enumerate() {
            covariance[i][i] = variance;
        }
        CostModel { costs: INITIAL_COST_SECS, covariance, mean_kib: 0.0 }
    }
}

impl CostModel {
    /// Learns the costs from the work and the busy time of one iteration of the event loop.
    pub fn learn(&mut self, work: Work, busy: Span) {
        let features = work.features();
        let secs = busy.secs();
        let is_usable = features.iter().all(|value| value.is_finite() && *value >= 0.0)
            && secs > 0.0
            && secs < MAX_BUSY_SECS;
        let rpcs = features[SERVED] + features[REJECTED];
        if !is_usable || rpcs < 1.0 {
            return;
        }
        if work.served > 0.0 {
            self.mean_kib += (work.kib / work.served - self.mean_kib) * MEAN_KIB_WEIGHT;
        }
        // The equation is divided by the number of RPCs, so that one long iteration does not outweigh a hundred short
        // ones.
        let scale = 1.0 / rpcs;
        self.update(features.map(|value| value * scale), secs * scale);
    }

    /// Makes one step of recursive least squares for work with these features, which took `secs` seconds.
    fn update(&mut self, features: [f64; FEATURES], secs: f64) {
        let gain: [f64; FEATURES] =
            std::array::from_fn(|i| (0..FEATURES).map(|j| self.covariance[i][j] * features[j]).sum());
        let innovation = FORGETTING_FACTOR + (0..FEATURES).map(|i| features[i] * gain[i]).sum::<f64>();
        let error = secs - (0..FEATURES).map(|i| features[i] * self.costs[i]).sum::<f64>();
        let max_error = MAX_ERROR_IN_INITIAL_COSTS * INITIAL_COST_SECS[SERVED];
        let error = error.clamp(-max_error, max_error);
        for (cost, gain) in self.costs.iter_mut().zip(gain) {
            *cost = (*cost + gain / innovation * error).clamp(MIN_COST_SECS, MAX_COST_SECS);
        }
        for (i, row) in self.covariance.iter_mut().enumerate() {
            for (j, value) in row.iter_mut().enumerate() {
                // Without a limit, forgetting would let a value of the covariance matrix grow endlessly while the
                // value's kind of work does not occur.
                let max = (INITIAL_VARIANCE[i] * INITIAL_VARIANCE[j]).sqrt();
                *value = ((*value - gain[i] * gain[j] / innovation) / FORGETTING_FACTOR).clamp(-max, max);
            }
            row[i] = row[i].max(MIN_VARIANCE);
        }
    }

    /// Seconds that it takes to serve an RPC whose statement and response have `kib` KiB together.
    pub fn serve_secs(&self, kib: f64) -> f64 {
        self.costs[SERVED] + self.costs[KIB] * kib.max(0.0)
    }

    /// Seconds that it takes to serve an RPC of mean size.
    pub fn mean_serve_secs(&self) -> f64 {
        self.serve_secs(self.mean_kib)
    }

    /// Seconds that it takes to reject an RPC, but no more than it takes to serve an RPC of mean size.
    pub fn reject_secs(&self) -> f64 {
        self.costs[REJECTED].min(self.mean_serve_secs())
    }
}
