//! Detection of failures by ten routers in one drill. The faults in the drill are kills, a freeze, a router whose
//! datagrams are lost, random loss and a split.

use super::datagram_rules::loss_rule;
use super::views::{agreement_delay_s, detection_delays_s, false_alarms, live_counts};
use crate::drill::play::DrillRecord;
use crate::drill::{Drill, FaultEvent};
use crate::load::Phase;
use crate::prove::Table;
use crate::prove::scenarios::{FaultWindow, owned_names, router_names};

const ROUTERS: usize = 10;
const CLIENTS: usize = 100;
const RPCS_PER_SECOND: f64 = 200.0;
const DRILL_END_S: f64 = 28.0;

const KILL_AT_S: f64 = 1.0;
const RESTART_AT_S: f64 = 4.0;
const FREEZE: FaultWindow = FaultWindow { at_s: 5.0, lasts_s: 3.0 };
/// The period in which all datagrams that one router sends are lost.
const MUTE: FaultWindow = FaultWindow { at_s: 9.5, lasts_s: 4.0 };
const LOSS: FaultWindow = FaultWindow { at_s: 14.5, lasts_s: 5.0 };
const SPLIT: FaultWindow = FaultWindow { at_s: 20.5, lasts_s: 4.0 };
const LOST_FRACTION: f64 = 0.2;
/// Routers with numbers below this are on the first side of the split.
const SPLIT_AT_ROUTER: usize = 4;

/// A failure that is not detected within this time counts as not detected.
const DETECTION_TIMEOUT_S: f64 = 5.0;
const MAX_DETECTION_S: f64 = 4.0;
const MAX_MEDIAN_DETECTION_S: f64 = 2.0;
const MAX_FALSE_ALARM_S: f64 = 2.0;
/// False alarms count while a fraction of all datagrams is lost, and for this many seconds after the loss.
const AFTER_LOSS_S: f64 = 1.0;
const MAX_AGREEMENT_S: f64 = 3.0;
/// The routers' views during the split are read this many seconds before the end of the split.
const BEFORE_SPLIT_END_S: f64 = 0.05;

/// A router that the others should detect as failed.
struct Failure {
    router: usize,
    label: &'static str,
    at_s: f64,
}

const FAILURES: [Failure; 4] = [
    Failure { router: 3, label: "killed", at_s: KILL_AT_S },
    Failure { router: 8, label: "killed", at_s: KILL_AT_S },
    Failure { router: 5, label: "frozen for 3 s", at_s: FREEZE.at_s },
    Failure { router: 6, label: "heard by none", at_s: MUTE.at_s },
];

/// Returns the drill with all faults, one after the other.
pub fn detection_drill() -> Drill {
    let sides = vec![router_names(0..SPLIT_AT_ROUTER), router_names(SPLIT_AT_ROUTER..ROUTERS)];
    let lost = Some(loss_rule("a-fifth", LOST_FRACTION));
    let events = vec![
        FaultEvent { at: KILL_AT_S, kill: owned_names(&["r3", "r8"]), ..FaultEvent::default() },
        FaultEvent { at: RESTART_AT_S, start: owned_names(&["r3", "r8"]), ..FaultEvent::default() },
        FaultEvent { freeze: owned_names(&["r5"]), ..event_during(FREEZE) },
        FaultEvent { mute: owned_names(&["r6"]), ..event_during(MUTE) },
        FaultEvent { datagrams: lost, ..event_during(LOSS) },
        FaultEvent { split: sides, ..event_during(SPLIT) },
    ];
    Drill {
        routers: ROUTERS,
        phases: vec![Phase { seconds: DRILL_END_S, rate_per_second: RPCS_PER_SECOND }],
        clients: CLIENTS,
        events,
        ..Drill::default()
    }
}

fn event_during(window: FaultWindow) -> FaultEvent {
    FaultEvent { at: window.at_s, lasts: window.lasts_s, ..FaultEvent::default() }
}

/// Requires that routers detect the drill's failures, that false alarms are short, that each side of the split believes only
/// its own routers to be alive, and that all views agree in the end.
pub fn require_detection(table: &mut Table, record: &DrillRecord) {
    require_failures_detected(table, record);
    require_short_false_alarms(table, record);
    require_views_of_split(table, record);
    let agreement = agreement_delay_s(record, SPLIT.end_s());
    let measured = agreement.map_or("not equal".to_owned(), |delay_s| format!("{delay_s:.2} s"));
    let holds = agreement.is_some_and(|delay_s| delay_s <= MAX_AGREEMENT_S);
    table.require("all views equal after the last fault", "within 3 s", measured, holds);
}

fn require_failures_detected(table: &mut Table, record: &DrillRecord) {
    let mut all_delays_s = Vec::new();
    for Failure { router, label, at_s } in &FAILURES {
        let delays = detection_delays_s(record, *router, *at_s, DETECTION_TIMEOUT_S);
        let detected_s: Vec<f64> = delays.iter().flatten().copied().collect();
        let worst_s = detected_s.iter().copied().fold(0.0, f64::max);
        let measured = format!("by {} of {}, at worst after {worst_s:.2} s", detected_s.len(), delays.len());
        let holds = detected_s.len() == delays.len() && worst_s <= MAX_DETECTION_S;
        table.require(format!("r{router} {label}: found"), "by all, within 4 s", measured, holds);
        all_delays_s.extend(detected_s);
    }
    let median_s = median(&mut all_delays_s);
    let measured = format!("{median_s:.2} s of {}", all_delays_s.len());
    table.require("detection, median", "within 2 s", measured, median_s <= MAX_MEDIAN_DETECTION_S);
}

fn require_short_false_alarms(table: &mut Table, record: &DrillRecord) {
    let alarms = false_alarms(record, LOSS.at_s..LOSS.end_s() + AFTER_LOSS_S, DRILL_END_S);
    let measured = format!("{} false alarms, the longest {:.2} s", alarms.count, alarms.longest_s);
    let holds = alarms.longest_s < MAX_FALSE_ALARM_S;
    table.require("a fifth of all datagrams lost", "none lasts 2 s", measured, holds);
}

/// Requires that each router believes exactly its own side of the split to be alive.
fn require_views_of_split(table: &mut Table, record: &DrillRecord) {
    let counts = live_counts(record, SPLIT.end_s() - BEFORE_SPLIT_END_S);
    let on_own_side = |router: usize| {
        if router < SPLIT_AT_ROUTER { SPLIT_AT_ROUTER } else { ROUTERS - SPLIT_AT_ROUTER }
    };
    let expected: Vec<usize> = (0..ROUTERS).map(on_own_side).collect();
    let measured = format!("{counts:?}");
    table.require("split of 4 and 6: each counts on", "its own side", measured, counts == expected);
}

/// Sorts the times and returns their upper median, or infinity if the list is empty.
fn median(times_s: &mut [f64]) -> f64 {
    times_s.sort_by(f64::total_cmp);
    times_s.get(times_s.len() / 2).copied().unwrap_or(f64::INFINITY)
}
