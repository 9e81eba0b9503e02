//! Health checks of members after a third of the routers was killed. The surviving routers must take over the killed
//! routers' share of the health checks.

use super::views::{detection_delays_s, load_seconds};
use crate::drill::play::{DrillRecord, Programs, play};
use crate::drill::{Drill, FaultEvent};
use crate::load::Phase;
use crate::prove::Table;
use crate::prove::checks::require_no_violations;
use crate::prove::scenarios::{faulty_routers, owned_names, router_names};
use ladderpass_emulator::Scenario;
use std::fmt;
use std::io;
use std::ops::Range;

const ROUTERS: usize = 9;
const KILLED_ROUTERS: [usize; 3] = [0, 3, 6];
const KILL_AT_S: f64 = 1.0;
const CLIENTS: usize = 30;
/// The rate of the load, which is so low that load reports in answers don't replace health checks.
const RPCS_PER_SECOND: f64 = 4.0;
const MAX_READ_AGE_MS: f64 = 400.0;
/// The period in which health checks are counted, in seconds of the load. The routers have detected the kills by the
/// start of the period.
const COUNTED_S: Range<f64> = 4.0..8.0;
/// A kill that is not detected within this time counts as not detected.
const DETECTION_TIMEOUT_S: f64 = 5.0;
/// The detection delay that is assumed for a router that did not detect a kill.
const UNDETECTED_S: f64 = 8.0;
const MAX_DETECTION_S: f64 = 4.0;
/// The longest pause between health checks of a member, in seconds. A round of health checks takes one second plus 50
/// ms for each of the nine routers, and the limit leaves time for a late round.
const MAX_PAUSE_S: f64 = 3.0;
const MAX_RATE_RATIO_TO_EARLIER: f64 = 1.5;
/// The fault of routers that don't take over the health checks of dead routers.
const KEEPS_SCHEDULE_OF_DEAD: &str = "keeps-the-deads-turns";

/// The records of the same drill with different programs.
pub struct HealthCheckRecords {
    current: DrillRecord,
    /// The record with a faulty build whose routers don't take over the health checks of dead routers.
    faulty: DrillRecord,
    /// The record with the earlier program, if one is given.
    earlier: Option<DrillRecord>,
}

/// The program that all routers of the drill run.
enum Build {
    Current,
    Faulty(&'static str),
    Earlier,
}

/// The health checks of a member. The rate is an average over the members, and the pauses are those of all members.
struct HealthCheckRate {
    per_second: f64,
    mean_pause_s: f64,
    longest_pause_s: f64,
}

impl fmt::Display for HealthCheckRate {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{:.1} a second, pauses {:.0} ms, longest {:.0} ms",
            self.per_second,
            self.mean_pause_s * 1e3,
            self.longest_pause_s * 1e3
        )
    }
}

/// Plays the drill with each program, one after the other.
///
/// # Errors
/// Returns an error if a drill can't be played.
pub fn play_health_checks(programs: Programs<'_>, seed: u64) -> io::Result<HealthCheckRecords> {
    let current = play(&drill(Build::Current), programs, seed)?;
    let faulty = play(&drill(Build::Faulty(KEEPS_SCHEDULE_OF_DEAD)), programs, seed)?;
    let earlier = programs.earlier.map(|_| play(&drill(Build::Earlier), programs, seed)).transpose()?;
    Ok(HealthCheckRecords { current, faulty, earlier })
}

/// Returns a drill in which a third of the routers is killed. The load has only reads, so that routers check members
/// for their positions.
fn drill(build: Build) -> Drill {
    let mut scenario = Scenario::default();
    scenario.methods[0].max_age_ms = Some(MAX_READ_AGE_MS);
    scenario.methods[1].share = 0.0;
    let kill = owned_names(&["r0", "r3", "r6"]);
    let mut drill = Drill {
        routers: ROUTERS,
        phases: vec![Phase { seconds: COUNTED_S.end, rate_per_second: RPCS_PER_SECOND }],
        clients: CLIENTS,
        scenario,
        events: vec![FaultEvent { at: KILL_AT_S, kill, ..FaultEvent::default() }],
        ..Drill::default()
    };
    match build {
        Build::Current => {}
        Build::Faulty(switch) => drill.faulty = faulty_routers(0..ROUTERS, switch),
        Build::Earlier => drill.earlier = router_names(0..ROUTERS),
    }
    drill
}

/// Requires that no rule is broken, that the kills are detected soon, and that health checks go on after the kills without
/// long pauses and at most 1.5 times as often as with the earlier program.
pub fn require_health_checks(table: &mut Table, records: &HealthCheckRecords, members: usize) {
    require_no_violations(table, "a third of nine killed", &records.current);
    let detection_s = slowest_detection_s(&records.current);
    let holds = detection_s <= MAX_DETECTION_S;
    table.require("the turns of three dead pass on", "within 4 s", format!("{detection_s:.2} s"), holds);
    let current = health_check_rate(&records.current, members);
    let holds = current.per_second > 0.0 && current.longest_pause_s < MAX_PAUSE_S;
    table.require("probes a member, a third dead", "no pause over 3 s", current.to_string(), holds);
    let faulty = health_check_rate(&records.faulty, members);
    table.report("  with the dead's turns kept", faulty.to_string());
    match &records.earlier {
        Some(earlier) => {
            let earlier = health_check_rate(earlier, members);
            let holds = current.per_second <= MAX_RATE_RATIO_TO_EARLIER * earlier.per_second;
            table.require("  the earlier program", "ours at most 1.5 of it", earlier.to_string(), holds);
        }
        None => table.report("  the earlier program", "not measured: make earlier NAME=membership"),
    }
}

/// Returns the longest time that a running router took to detect a kill, in seconds.
fn slowest_detection_s(record: &DrillRecord) -> f64 {
    let delays = KILLED_ROUTERS
        .iter()
        .flat_map(|&router| detection_delays_s(record, router, KILL_AT_S, DETECTION_TIMEOUT_S));
    delays.map(|delay_s| delay_s.unwrap_or(UNDETECTED_S)).fold(0.0, f64::max)
}

fn health_check_rate(record: &DrillRecord, members: usize) -> HealthCheckRate {
    let mut count = 0;
    let mut pauses_s = Vec::new();
    for member in 0..members as u32 {
        let checks = record.execution_log.health_checks.iter().filter(|(_, checked)| *checked == member);
        let mut times_s: Vec<f64> =
            checks.map(|(at, _)| load_seconds(record, *at)).filter(|at_s| COUNTED_S.contains(at_s)).collect();
        times_s.sort_by(f64::total_cmp);
        count += times_s.len();
        pauses_s.extend(times_s.windows(2).map(|pair| pair[1] - pair[0]));
    }
    HealthCheckRate {
        per_second: count as f64 / members as f64 / (COUNTED_S.end - COUNTED_S.start),
        mean_pause_s: pauses_s.iter().sum::<f64>() / pauses_s.len().max(1) as f64,
        longest_pause_s: pauses_s.iter().copied().fold(0.0, f64::max),
    }
}
