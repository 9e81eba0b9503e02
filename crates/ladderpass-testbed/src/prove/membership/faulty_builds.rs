//! Requirements that distinguish builds with a faulty membership protocol from the real one by a drill. In the drill a
//! router is killed, some of its datagrams arrive after its end, and a part of all datagrams is lost.

use super::datagram_rules::{delay_rule, loss_rule};
use super::views::{detection_delays_s, false_alarms, live_counts, returns_after};
use crate::drill::play::{DrillRecord, Programs, play};
use crate::drill::{Drill, FaultEvent};
use crate::load::Phase;
use crate::prove::Table;
use crate::prove::scenarios::{faulty_routers, owned_names};
use std::fmt;
use std::io;

const NEVER_SUSPECTS: &str = "never-suspects";
const BELIEVES_FIRST_RUMOUR: &str = "believes-the-first-rumour";
const FORGETS_INCARNATIONS: &str = "forgets-incarnations";
const KEEPS_SCHEDULE_OF_DEAD: &str = "keeps-the-deads-turns";

/// The builds that each thread plays, by their faults. None is the real build.
pub const BUILDS_BY_THREAD: [&[Option<&str>]; 2] = [
    &[None, Some(NEVER_SUSPECTS), Some(BELIEVES_FIRST_RUMOUR)],
    &[Some(FORGETS_INCARNATIONS), Some(KEEPS_SCHEDULE_OF_DEAD)],
];

const ROUTERS: usize = 8;
const CLIENTS: usize = 40;
const RPCS_PER_SECOND: f64 = 80.0;
const DRILL_END_S: f64 = 7.5;
const KILLED_ROUTER: usize = 3;
const SURVIVORS: usize = ROUTERS - 1;
const KILL_AT_S: f64 = 1.5;
/// A kill that is not detected within this time counts as not detected.
const DETECTION_TIMEOUT_S: f64 = 4.5;
/// The fraction of the killed router's datagrams that are delayed, so that the last ones arrive after its end.
const LATE_FRACTION: f64 = 0.6;
const LATE_BY_MS: f64 = 4000.0;
const LOSS_AT_S: f64 = 1.6;
const LOSS_LASTS_S: f64 = 3.0;
const LOST_FRACTION: f64 = 0.3;
/// A build that believes the first rumour must have at least this many times as many false alarms as the sum of
/// [`ADDED_ALARMS`] and the false alarms of the real build.
const MIN_ALARM_RATIO: usize = 5;
/// Number that is added to the false alarms of the real build, before the sum is multiplied by [`MIN_ALARM_RATIO`].
const ADDED_ALARMS: usize = 2;

/// What the routers of a build believed about each other in the drill.
pub struct Beliefs {
    /// The fault that is switched on, or None for the real build.
    switch: Option<&'static str>,
    /// How many routers detected the kill.
    detected_by: usize,
    false_alarms: usize,
    /// How often the killed router was believed to be alive again.
    returns: usize,
    /// How many routers each surviving router believed to be alive at the end.
    live_counts: Vec<usize>,
}

impl fmt::Display for Beliefs {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Beliefs { detected_by, false_alarms, returns, live_counts, .. } = self;
        write!(
            out,
            "{detected_by} of 7 find it, {false_alarms} false alarms, back {returns} times, count on {live_counts:?}"
        )
    }
}

impl Beliefs {
    fn from_record(switch: Option<&'static str>, record: &DrillRecord) -> Beliefs {
        let detected = detection_delays_s(record, KILLED_ROUTER, KILL_AT_S, DETECTION_TIMEOUT_S);
        let mut live_counts = live_counts(record, DRILL_END_S);
        live_counts.remove(KILLED_ROUTER);
        Beliefs {
            switch,
            detected_by: detected.iter().flatten().count(),
            false_alarms: false_alarms(record, 0.0..DRILL_END_S, DRILL_END_S).count,
            returns: returns_after(record, KILLED_ROUTER, LOSS_AT_S),
            live_counts,
        }
    }

    /// Returns whether every surviving router believed this many routers to be alive.
    fn all_count(&self, routers: usize) -> bool {
        self.live_counts.iter().all(|&count| count == routers)
    }

    /// Returns whether these beliefs of a faulty build show its fault.
    fn shows_fault(&self, switch: &str, real: &Beliefs) -> bool {
        match switch {
            NEVER_SUSPECTS => self.detected_by == 0,
            BELIEVES_FIRST_RUMOUR => {
                self.false_alarms >= MIN_ALARM_RATIO * (real.false_alarms + ADDED_ALARMS)
            }
            FORGETS_INCARNATIONS => self.returns > 0,
            _ => self.detected_by == SURVIVORS && self.all_count(ROUTERS),
        }
    }
}

/// Plays the drill with each of these builds, one after the other.
///
/// # Errors
/// Returns an error if a drill can't be played.
pub fn play_builds(
    switches: &[Option<&'static str>],
    programs: Programs<'_>,
    seed: u64,
) -> io::Result<Vec<Beliefs>> {
    let play_build = |&switch: &Option<&'static str>| {
        let record = play(&drill(switch), programs, seed)?;
        Ok(Beliefs::from_record(switch, &record))
    };
    switches.iter().map(play_build).collect()
}

fn drill(switch: Option<&str>) -> Drill {
    let late = delay_rule("late", "r3", LATE_FRACTION, LATE_BY_MS);
    let lost = loss_rule("a-third", LOST_FRACTION);
    let lost =
        FaultEvent { at: LOSS_AT_S, lasts: LOSS_LASTS_S, datagrams: Some(lost), ..FaultEvent::default() };
    Drill {
        routers: ROUTERS,
        phases: vec![Phase { seconds: DRILL_END_S, rate_per_second: RPCS_PER_SECOND }],
        clients: CLIENTS,
        faulty: switch.map(|switch| faulty_routers(0..ROUTERS, switch)).unwrap_or_default(),
        events: vec![
            FaultEvent { at: 0.0, datagrams: Some(late), ..FaultEvent::default() },
            FaultEvent { at: KILL_AT_S, kill: owned_names(&["r3"]), ..FaultEvent::default() },
            lost,
        ],
        ..Drill::default()
    }
}

/// Requires that the real build detects the kill and does not revoke it, and that each faulty build shows its fault.
pub fn require_faults_shown(table: &mut Table, builds: &[Beliefs]) {
    let Some(real) = builds.iter().find(|build| build.switch.is_none()) else { return };
    let holds = real.detected_by == SURVIVORS && real.returns == 0 && real.all_count(SURVIVORS);
    table.require("a kill, late words of the dead, loss", "found, and stays so", real.to_string(), holds);
    for build in builds {
        let Some(switch) = build.switch else { continue };
        let holds = build.shows_fault(switch, real);
        table.require(format!("  {switch}"), "told apart", build.to_string(), holds);
    }
}
