//! How a router's own estimate follows the estimates of the other routers.

/// In each step a router's estimate moves by this share of its distance to the median of all routers' estimates. The
/// share is large enough to keep the estimates of all routers close to each other. The share is well below 1 because
/// the reports of other routers are some steps old, so that each router mainly continues from its own estimate.
const CONSENSUS_WEIGHT: f64 = 0.2;

/// The upper median, or 0 if there are no values. Sorts the values.
pub(crate) fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Returns this router's estimate after it moved towards the median of `estimates`, the estimates of all routers
/// including this router.
pub(crate) fn move_towards_median(own: f64, estimates: &mut [f64]) -> f64 {
    own + (median(estimates) - own) * CONSENSUS_WEIGHT
}
