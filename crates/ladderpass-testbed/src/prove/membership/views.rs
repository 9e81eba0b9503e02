//! Evaluates what the routers of a drill believed about each other, by the views that they logged. Times are in seconds from
//! the start of the load.

use crate::drill::play::{DrillRecord, RouterView};
use ladderpass_routing::Time;
use std::ops::Range;

/// The text of a change in a view for a router that is no longer believed to be alive.
const DIED: &str = "died";
/// The text of a change in a view for a router that is believed to be alive again.
const RETURNED: &str = "is back";
/// An absence of a router counts as beginning this much earlier and ending this much later than recorded.
const ABSENCE_MARGIN_S: f64 = 0.05;

/// How often and for how long running routers were believed to be dead.
#[derive(Clone, Copy, Debug, Default)]
pub struct FalseAlarms {
    /// How often a router believed a running one to be dead.
    pub count: usize,
    /// The duration of the longest false alarm.
    pub longest_s: f64,
}

/// Converts a time to seconds from the start of the load.
pub fn load_seconds(record: &DrillRecord, at: Time) -> f64 {
    (at - record.outcome.began).secs()
}

/// Returns how long after `from_s` each other running router believed `router` to be dead, or None for a router that did not
/// within `max_s`.
pub fn detection_delays_s(record: &DrillRecord, router: usize, from_s: f64, max_s: f64) -> Vec<Option<f64>> {
    let is_viewer = |&other: &usize| other != router && is_running(record, other, from_s);
    let delay = |viewer: usize| {
        let died = change_times_s(record, viewer, router, DIED).filter(|&at_s| at_s >= from_s);
        died.map(|at_s| at_s - from_s).find(|&delay_s| delay_s < max_s)
    };
    (0..record.views.len()).filter(is_viewer).map(delay).collect()
}

/// Returns how often any router logged after `after_s` that `router` is alive again.
pub fn returns_after(record: &DrillRecord, router: usize, after_s: f64) -> usize {
    let returns = |viewer| change_times_s(record, viewer, router, RETURNED);
    (0..record.views.len()).flat_map(returns).filter(|&at_s| at_s > after_s).count()
}

/// Finds the times in `window` at which a router began to believe a running one to be dead. A false alarm that is not
/// withdrawn lasts until `drill_end_s`.
pub fn false_alarms(record: &DrillRecord, window: Range<f64>, drill_end_s: f64) -> FalseAlarms {
    let routers = record.views.len();
    let mut alarms = FalseAlarms::default();
    for viewer in 0..routers {
        for router in (0..routers).filter(|&router| router != viewer) {
            let died = change_times_s(record, viewer, router, DIED);
            for at_s in died.filter(|at_s| window.contains(at_s) && is_running(record, router, *at_s)) {
                let mut returned = change_times_s(record, viewer, router, RETURNED);
                let end_s = returned.find(|&back_s| back_s >= at_s).unwrap_or(drill_end_s);
                alarms.longest_s = alarms.longest_s.max(end_s - at_s);
                alarms.count += 1;
            }
        }
    }
    alarms
}

/// Returns how many routers each router believed to be alive at a time.
pub fn live_counts(record: &DrillRecord, at_s: f64) -> Vec<usize> {
    let count = |views: &Vec<RouterView>| {
        let last = views.iter().rev().find(|view| load_seconds(record, view.at) <= at_s);
        last.map_or(0, |view| view.count)
    };
    record.views.iter().map(count).collect()
}

/// Returns how long after `from_s` the last router logged its last view, or None unless all last views are the same and have
/// all routers alive.
pub fn agreement_delay_s(record: &DrillRecord, from_s: f64) -> Option<f64> {
    let last: Vec<&RouterView> = record.views.iter().map(|views| views.last()).collect::<Option<_>>()?;
    let digest = last.first()?.digest;
    let agree = last.iter().all(|view| view.digest == digest && view.count == record.views.len());
    agree.then(|| last.iter().map(|view| load_seconds(record, view.at) - from_s).fold(0.0, f64::max))
}

/// Returns when `viewer` logged a change of `router`.
fn change_times_s(
    record: &DrillRecord,
    viewer: usize,
    router: usize,
    change: &'static str,
) -> impl Iterator<Item = f64> {
    let address = record.addresses.get(router).copied();
    let has_change = move |view: &&RouterView| {
        view.changes.iter().any(|named| Some(named.address) == address && named.text == change)
    };
    let views = record.views.get(viewer).into_iter().flatten();
    views.filter(has_change).map(|view| load_seconds(record, view.at))
}

/// Returns whether a router was neither killed nor frozen at a time.
fn is_running(record: &DrillRecord, router: usize, at_s: f64) -> bool {
    let mut absences = record.absences.iter().filter(|absence| absence.router == router);
    absences.all(|absence| {
        at_s < load_seconds(record, absence.from) - ABSENCE_MARGIN_S
            || at_s > load_seconds(record, absence.to) + ABSENCE_MARGIN_S
    })
}
