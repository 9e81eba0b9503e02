//! How many RPCs a second all routers admit to a group, and the priority threshold that follows from it.
//!
//! It is computed anew in each step, every 250 ms. Without a threshold all is admitted. One begins when too large a
//! share of the admitted RPCs is unplaced: no member had capacity for them. The admitted rate then falls by a small
//! factor a step while that goes on, never below the decaying peak of the served rate, and rises after a pause, ever
//! faster. The factors are small because unplaced RPCs are reported late: larger ones would oscillate.

use crate::totals::FleetTotals;

/// A threshold begins, and falls, while more than this share of what is admitted is unplaced.
const MAX_UNPLACED_SHARE: f64 = 0.06;
/// The first admitted rate, as a multiple of what was served. It decays to 1 over so many steps: counts and reports of
/// a load that has just begun are too low.
const INITIAL_MULTIPLE_OF_SERVED: f64 = 1.4;
const INITIAL_MULTIPLE_STEPS: f64 = 8.0;
/// No threshold begins in a step in which the load grew by more: its size is not known yet.
const MAX_GROWTH_OF_KNOWN_LOAD: f64 = 1.25;
/// Factor on the highest served rate in each step.
const PEAK_SERVED_DECAY: f64 = 0.985;
/// Factor on the admitted rate in a step with too many unplaced RPCs.
const DECREASE_FACTOR: f64 = 0.985;
/// The same where more than this share of the admitted RPCs is unplaced.
const FAST_DECREASE_FACTOR: f64 = 0.97;
const FAST_DECREASE_UNPLACED_SHARE: f64 = 0.15;
/// Steps without unplaced RPCs before the admitted rate rises.
const STEPS_BEFORE_INCREASE: u32 = 2;
/// The increase in a step, as a share of the admitted rate: the smallest, doubled with each step without unplaced RPCs
/// up to the largest. With a threshold it starts at twice the smallest.
const MIN_INCREASE: f64 = 0.01;
const MAX_INCREASE: f64 = 0.05;
/// Keeps the shift in range; the largest increase is reached sooner.
const MAX_DOUBLINGS: u32 = 8;
/// Added to each increase, so that a rate near zero grows too. RPCs a second.
const INCREASE_PER_SECOND: f64 = 0.5;
/// The admitted rate never exceeds what is offered by more: a factor, and RPCs a second.
const OFFERED_HEADROOM: f64 = 1.2;
const OFFERED_HEADROOM_PER_SECOND: f64 = 1.0;

/// What all routers reject of a group's load, as of the last step.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupThreshold {
    /// RPCs of a lower priority are rejected; the fraction is the share of its own priority which is. 0: none is.
    pub priority: f64,
    /// Share of the offered load that is rejected, from 0 to 1.
    pub pressure: f64,
}

/// The admitted rate and the threshold of a group.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdmissionThreshold {
    /// RPCs a second that all routers together admit.
    pub admitted: f64,
    /// The priority below which all RPCs are rejected. Its fraction is the share of that priority which is rejected.
    pub threshold: f64,
    /// Share of the offered load that is rejected.
    pub pressure: f64,
    steps_without_unplaced: u32,
    steps_with_threshold: u32,
    /// What this router was offered a step ago.
    previous_own_offered: f64,
    /// The highest rate that was served, which decays with each step.
    peak_served: f64,
}

impl AdmissionThreshold {
    /// What is rejected from now on.
    pub fn group_threshold(&self) -> GroupThreshold {
        GroupThreshold { priority: self.threshold, pressure: self.pressure }
    }

    /// One step, by the present rates of all routers.
    pub fn update(&mut self, totals: &FleetTotals) {
        self.update_admitted(totals);
        self.update_threshold(totals);
    }

    /// The rate that all routers admit in the next step.
    fn update_admitted(&mut self, totals: &FleetTotals) {
        let has_threshold = self.threshold > 0.0;
        let max_admitted = totals.offered * OFFERED_HEADROOM + OFFERED_HEADROOM_PER_SECOND;
        let before = if has_threshold { totals.admitted } else { max_admitted };
        let has_excess = totals.unplaced > MAX_UNPLACED_SHARE * before.min(totals.offered).max(1.0);
        self.steps_without_unplaced =
            if has_excess { 0 } else { self.steps_without_unplaced.saturating_add(1) };
        self.peak_served = totals.served.max(self.peak_served * PEAK_SERVED_DECAY);
        let is_load_known = totals.own_offered <= self.previous_own_offered * MAX_GROWTH_OF_KNOWN_LOAD;
        self.previous_own_offered = totals.own_offered;
        self.steps_with_threshold =
            if has_threshold { self.steps_with_threshold.saturating_add(1) } else { 0 };
        let admitted = match (has_excess, has_threshold) {
            (true, false) if is_load_known => self.peak_served * INITIAL_MULTIPLE_OF_SERVED,
            (true, false) => before,
            (true, true) => self.decreased_rate(before, totals.unplaced),
            (false, _) => self.increased_rate(before, has_threshold),
        };
        // A rate above what is offered rejects nothing, so a still higher one has no effect.
        self.admitted = admitted.min(max_admitted);
    }

    /// The admitted rate after a step in which too many RPCs were unplaced: never below the peak of the served rate.
    fn decreased_rate(&self, before: f64, unplaced: f64) -> f64 {
        let initial_share_left =
            (1.0 - f64::from(self.steps_with_threshold) / INITIAL_MULTIPLE_STEPS).max(0.0);
        let initial_excess = initial_share_left * (INITIAL_MULTIPLE_OF_SERVED - 1.0);
        let has_large_excess = unplaced > FAST_DECREASE_UNPLACED_SHARE * before;
        let factor = if has_large_excess { FAST_DECREASE_FACTOR } else { DECREASE_FACTOR };
        (self.peak_served * (1.0 + initial_excess)).max(before * factor)
    }

    /// The admitted rate after a step without too many unplaced RPCs.
    fn increased_rate(&self, before: f64, has_threshold: bool) -> f64 {
        if has_threshold && self.steps_without_unplaced <= STEPS_BEFORE_INCREASE {
            return before;
        }
        let doublings = self.steps_without_unplaced.saturating_sub(STEPS_BEFORE_INCREASE).min(MAX_DOUBLINGS);
        let increase = (MIN_INCREASE * f64::from(1u32 << doublings)).min(MAX_INCREASE);
        before * (1.0 + increase) + INCREASE_PER_SECOND
    }

    /// Admits the priorities from the highest on, as many as fit.
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
