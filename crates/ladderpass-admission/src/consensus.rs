//! How a router's own estimate follows the estimates of the others.

/// Share of the way to the median that an estimate moves in a step: enough to hold all routers together, while each
/// goes on from its own, since what others report is some steps old.
const CONSENSUS_WEIGHT: f64 = 0.2;

/// The upper median; 0 of nothing.
pub(crate) fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Moves an estimate towards the median of all routers' estimates, its own among them.
pub(crate) fn move_towards_median(own: f64, estimates: &mut [f64]) -> f64 {
    own + (median(estimates) - own) * CONSENSUS_WEIGHT
}
