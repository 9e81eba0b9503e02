//! How many RPCs a second all routers together admit to a group, and the priority threshold that follows from this
//! admitted rate.
//!
//! The admitted rate and the threshold are updated in each step, every 250 ms. Without a threshold every RPC is
//! admitted. A threshold begins when too large a share of the admitted RPCs is unplaced, which means that no member had
//! capacity for them. While too large a share is unplaced, the admitted rate falls by a small factor a step, but never
//! below the decaying peak of the served rate. Afterwards the admitted rate rises after a pause, ever faster. The
//! factors are small because unplaced RPCs are reported late, so that larger factors would make the rate oscillate.

use crate::totals::FleetTotals;

/// A threshold begins, or the admitted rate falls, while the unplaced RPCs are more than this share of the admitted
/// RPCs. An RPC is unplaced if it is admitted and no member has capacity for it.
const MAX_UNPLACED_SHARE: f64 = 0.06;
/// The admitted rate that a threshold begins with, as a multiple of the peak of the served rate. The multiple is above
/// 1 because, for a load that has just begun, the counts and reports of served RPCs are still too low.
const INITIAL_MULTIPLE_OF_SERVED: f64 = 1.4;
/// Over this many steps with a threshold, the lower bound of the admitted rate falls from `INITIAL_MULTIPLE_OF_SERVED`
/// times the peak of the served rate to once that peak.
const INITIAL_MULTIPLE_STEPS: f64 = 8.0;
/// No threshold begins in a step in which this router's offered load grew by more than this factor, since the size of
/// the load is not known yet.
const MAX_GROWTH_OF_KNOWN_LOAD: f64 = 1.25;
/// The peak of the served rate is multiplied by this factor in each step.
const PEAK_SERVED_DECAY: f64 = 0.985;
/// The admitted rate is multiplied by this factor in a step in which more than `MAX_UNPLACED_SHARE` of the admitted
/// RPCs are unplaced (no member had capacity for them).
const DECREASE_FACTOR: f64 = 0.985;
/// The admitted rate is multiplied by this factor in a step in which more than `FAST_DECREASE_UNPLACED_SHARE` of the
/// admitted RPCs are unplaced (no member had capacity for them).
const FAST_DECREASE_FACTOR: f64 = 0.97;
const FAST_DECREASE_UNPLACED_SHARE: f64 = 0.15;
/// With a threshold, the admitted rate rises only after this many steps in a row without too many unplaced RPCs (at
/// most `MAX_UNPLACED_SHARE`).
const STEPS_BEFORE_INCREASE: u32 = 2;
/// Bounds of the increase of the admitted rate in a step, as a share of the admitted rate. The increase starts at
/// `MIN_INCREASE`, or with a threshold at twice `MIN_INCREASE`. It doubles with each further step without too many
/// unplaced RPCs (at most `MAX_UNPLACED_SHARE`).
const MIN_INCREASE: f64 = 0.01;
const MAX_INCREASE: f64 = 0.05;
/// Maximum number of doublings of `MIN_INCREASE`, which keeps the bit shift in range. `MAX_INCREASE` is reached with
/// fewer doublings.
const MAX_DOUBLINGS: u32 = 8;
/// RPCs a second that are added to each increase of the admitted rate, so that a rate near zero grows as well.
const INCREASE_PER_SECOND: f64 = 0.5;
/// The admitted rate is limited to the offered rate times this factor, plus `OFFERED_HEADROOM_PER_SECOND` RPCs a
/// second.
const OFFERED_HEADROOM: f64 = 1.2;
const OFFERED_HEADROOM_PER_SECOND: f64 = 1.0;

/// The admission threshold of a group, as of the last step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupThreshold {
    /// RPCs of a priority below the integer part are rejected. The fractional part is the rejected share of the RPCs
    /// whose priority is the integer part. At 0 no RPC is rejected.
    pub priority: f64,
    /// Share of the offered load that is rejected, from 0 to 1.
    pub pressure: f64,
}

/// The admitted rate and the threshold of a group.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionThreshold {
    /// RPCs a second that all routers together admit.
    pub admitted: f64,
    /// The priority below which all RPCs are rejected. The fractional part is the rejected share of the RPCs that have
    /// the threshold's own priority.
    pub threshold: f64,
    /// Share of the offered load that is rejected, from 0 to 1.
    pub pressure: f64,
    steps_without_unplaced: u32,
    steps_with_threshold: u32,
    /// The rate that this router was offered, as of the previous step.
    previous_own_offered: f64,
    /// The peak of the served rate, which decays by `PEAK_SERVED_DECAY` with each step.
    peak_served: f64,
}

impl AdmissionThreshold {
    /// The threshold and the pressure for the routing core.
    pub fn group_threshold(&self) -> GroupThreshold {
        GroupThreshold { priority: self.threshold, pressure: self.pressure }
    }

    /// Updates the admitted rate and the threshold in one step, from the current rates of all routers.
    pub fn update(&mut self, totals: &FleetTotals) {
        self.update_admitted(totals);
        self.update_threshold(totals);
    }

    /// Updates the rate that all routers admit.
    fn update_admitted(&mut self, totals: &FleetTotals) {
        let has_threshold = self.threshold > 0.0;
        let max_admitted = totals.offered * OFFERED_HEADROOM + OFFERED_HEADROOM_PER_SECOND;
        let before = if has_threshold { totals.admitted } else { max_admitted };
        let has_too_many_unplaced =
            totals.unplaced > MAX_UNPLACED_SHARE * before.min(totals.offered).max(1.0);
        self.steps_without_unplaced =
            if has_too_many_unplaced { 0 } else { self.steps_without_unplaced.saturating_add(1) };
        self.peak_served = totals.served.max(self.peak_served * PEAK_SERVED_DECAY);
        let is_load_known = totals.own_offered <= self.previous_own_offered * MAX_GROWTH_OF_KNOWN_LOAD;
        self.previous_own_offered = totals.own_offered;
        self.steps_with_threshold =
            if has_threshold { self.steps_with_threshold.saturating_add(1) } else { 0 };
        let admitted = match (has_too_many_unplaced, has_threshold) {
            (true, false) if is_load_known => self.peak_served * INITIAL_MULTIPLE_OF_SERVED,
            (true, false) => before,
            (true, true) => self.decreased_rate(before, totals.unplaced),
            (false, _) => self.increased_rate(before, has_threshold),
        };
        // An admitted rate above the offered rate rejects nothing. So a rate above `max_admitted` would have no effect.
        self.admitted = admitted.min(max_admitted);
    }

    /// Returns the admitted rate after a step in which more than the tolerated share of the admitted RPCs
    /// (`MAX_UNPLACED_SHARE`) was unplaced: no member had capacity for them. The returned rate is never below the
    /// decaying peak of the served rate.
    fn decreased_rate(&self, before: f64, unplaced: f64) -> f64 {
        let initial_share_left =
            (1.0 - f64::from(self.steps_with_threshold) / INITIAL_MULTIPLE_STEPS).max(0.0);
        let initial_excess = initial_share_left * (INITIAL_MULTIPLE_OF_SERVED - 1.0);
        let needs_fast_decrease = unplaced > FAST_DECREASE_UNPLACED_SHARE * before;
        let factor = if needs_fast_decrease { FAST_DECREASE_FACTOR } else { DECREASE_FACTOR };
        (self.peak_served * (1.0 + initial_excess)).max(before * factor)
    }

    /// Returns the admitted rate after a step in which no more than the tolerated share of the admitted RPCs
    /// (`MAX_UNPLACED_SHARE`) was unplaced: no member had capacity for them.
    fn increased_rate(&self, before: f64, has_threshold: bool) -> f64 {
        if has_threshold && self.steps_without_unplaced <= STEPS_BEFORE_INCREASE {
            return before;
        }
        let doublings = self.steps_without_unplaced.saturating_sub(STEPS_BEFORE_INCREASE).min(MAX_DOUBLINGS);
        let increase = (MIN_INCREASE * f64::from(1u32 << doublings)).min(MAX_INCREASE);
        before * (1.0 + increase) + INCREASE_PER_SECOND
    }

    /// Sets the threshold such that the admitted rate goes to the highest priorities first.
    fn update_threshold(&mut self, totals: &FleetTotals) {
        let mut remaining = self.admitted;
        self.threshold = 0.0;
        for (&priority, &rate) in totals.offered_by_priority.iter().rev() {
            let rate = rate * totals.scale;
            if rate > remaining {
                let rejected_share = (1.0 - remaining.max(0.0) / rate.max(1e-9)).clamp(0.0, 1.0);
                self.threshold = f64::from(priority) + rejected_share;
                break;
            }
            remaining -= rate;
        }
        self.pressure = if self.threshold > 0.0 {
            (1.0 - self.admitted / totals.offered.max(1e-9)).clamp(0.0, 1.0)
        } else {
            0.0
        };
    }
}
