//! The drills on slow start. Routers serve groups with cold members under bursts, and in some drills routers are restarted.

use crate::drill::{Drill, FaultEvent};
use crate::load;
use crate::prove::scenarios::faulty_routers;
use crate::prove::scenarios::router_names;
use ladderpass_emulator::Scenario;

const MEMBERS_PER_GROUP: u32 = 3;
/// The factor by which clients send more in a burst. A group can serve the RPCs of a burst once all its members are
/// warm.
const BURST_FACTOR: f64 = 1.5;
/// The number of routers in the drill with a burst at the start.
const BURST_ROUTERS: usize = 8;
const RESTART_AT_S: f64 = 3.0;
const CLIENTS_PER_ROUTER: usize = 4;
/// How long the load waits after the routers' start. The routers are not peers, so that there is no view for them to agree
/// on.
const SETTLE_S: f64 = 0.1;
/// The deadline and the tolerance are long, as the proof is about attempts at members and not about how soon a busy machine
/// answers.
const DEADLINE_MS: u32 = 2000;
const ANSWER_TOLERANCE_MS: u32 = 500;
/// The fraction of its capacity that a cold member has at its start.
const COLD_FRACTION: f64 = 0.2;

/// A phase of the load, relative to the rate of a drill.
#[derive(Clone, Copy)]
struct Phase {
    seconds: f64,
    /// The rate of the phase as a multiple of the drill's rate.
    factor: f64,
}

impl Phase {
    /// Returns the phase as the load plays it in a drill with this rate.
    fn of_rate(self, rate_per_second: f64) -> load::Phase {
        load::Phase { seconds: self.seconds, rate_per_second: rate_per_second * self.factor }
    }
}

/// A burst in the middle of the warm-up of cold members. The warm-up takes 10 s and begins before the routers start.
const BURST_IN_THE_MIDDLE: [Phase; 3] = [
    Phase { seconds: 2.5, factor: 1.0 },
    Phase { seconds: 2.5, factor: BURST_FACTOR },
    Phase { seconds: 2.5, factor: 1.0 },
];
/// A burst at the start of the load, when cold members have the least capacity.
const BURST_AT_THE_START: [Phase; 3] = [
    Phase { seconds: 4.0, factor: BURST_FACTOR },
    Phase { seconds: 2.0, factor: 1.0 },
    Phase { seconds: 0.5, factor: 1.0 },
];

/// A drill and its label in the table.
pub struct LabelledDrill {
    /// The label in the table.
    pub label: &'static str,
    /// The drill.
    pub drill: Drill,
}

/// Returns the drills with a burst in the middle of the warm-up. In some groups the primary is cold, and in others one or
/// two replicas are cold.
pub fn burst_drills() -> [LabelledDrill; 3] {
    let drill = |routers, groups, rate, cold| drill(routers, groups, rate, BURST_IN_THE_MIDDLE, cold);
    let eight = drill(8, 1, 600.0, vec![2]);
    let twenty_four = drill(24, 6, 60.0, vec![0, 4, 7, 8, 11, 14, 16, 17]);
    let thirty = drill(30, 8, 6.0, vec![0, 4, 7, 8, 11, 13, 14, 17, 20, 23]);
    [
        LabelledDrill { label: "8 routers, one of three cold", drill: eight },
        LabelledDrill { label: "24, eight of 18, a third restarts", drill: with_restarts(twenty_four) },
        LabelledDrill { label: "30, ten of 24, a third restarts", drill: with_restarts(thirty) },
    ]
}

/// Returns the drill that is hardest for the routers. Two of three members are cold, and a burst at the start has as many RPCs
/// per second as the whole group can serve once it is warm.
pub fn early_burst_drill() -> LabelledDrill {
    let drill = drill(BURST_ROUTERS, 1, 240.0, BURST_AT_THE_START, vec![1, 2]);
    LabelledDrill { label: "8, two of three cold, a burst at once", drill }
}

/// Returns the drill of [`early_burst_drill`] with routers that ignore the warm-up.
pub fn early_burst_without_warm_up() -> Drill {
    Drill { faulty: faulty_routers(0..BURST_ROUTERS, "ignores-warm-up"), ..early_burst_drill().drill }
}

/// Returns the drill of [`early_burst_drill`] with routers of the earlier program.
pub fn early_burst_of_earlier_program() -> Drill {
    Drill { earlier: router_names(0..BURST_ROUTERS), ..early_burst_drill().drill }
}

/// Returns a drill with routers that are not peers, and with groups that each get `rate` RPCs a second on average outside
/// bursts.
fn drill(routers: usize, groups: u32, rate: f64, phases: [Phase; 3], cold: Vec<u32>) -> Drill {
    let replicas = MEMBERS_PER_GROUP - 1;
    let scenario = Scenario { groups, replicas, cold, routers: routers as u32, ..Scenario::default() };
    let total_rate = rate * f64::from(groups);
    Drill {
        routers,
        peers: false,
        connection_skew: 4.0,
        clients: routers * CLIENTS_PER_ROUTER,
        phases: phases.iter().map(|phase| phase.of_rate(total_rate)).collect(),
        max_settle_s: SETTLE_S,
        deadline_ms: DEADLINE_MS,
        grace_ms: ANSWER_TOLERANCE_MS,
        warm_member_rpcs_per_second: rate * BURST_FACTOR / f64::from(MEMBERS_PER_GROUP),
        log: "warn".into(),
        scenario,
        ..Drill::default()
    }
}

/// Adds an event to a drill that kills and restarts every third router during the warm-up.
fn with_restarts(drill: Drill) -> Drill {
    let restarted = (0..drill.routers / 3).map(|index| format!("r{}", index * 3)).collect();
    let restart = FaultEvent { at: RESTART_AT_S, start: restarted, ..FaultEvent::default() };
    Drill { events: vec![restart], ..drill }
}

/// The number of RPCs that a cold member can serve within its overload window.
pub struct WindowCapacity {
    /// The number of RPCs in a window at the member's start.
    pub cold: f64,
    /// The number of RPCs in a window once the member is warm.
    pub warm: f64,
}

impl WindowCapacity {
    /// Returns the capacity of a cold member of a drill.
    pub fn of(drill: &Drill) -> WindowCapacity {
        let warm = drill.warm_member_rpcs_per_second * drill.scenario.overload_ms / 1e3;
        WindowCapacity { cold: warm * COLD_FRACTION, warm }
    }
}
