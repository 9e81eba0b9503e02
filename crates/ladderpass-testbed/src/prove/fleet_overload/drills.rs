//! The drills on shared admission control. Routers with uneven loads get 2.5 times the members' capacity in all. Most of the
//! drills have eight routers.

use crate::drill::play::Programs;
use crate::drill::{Drill, FaultEvent};
use crate::load::Phase;
use crate::prove::scenarios::{
    FLEET_ROUTERS, FaultWindow, SEPARATE_ADMISSION, SHARED_ADMISSION, faulty_routers, overloaded_scenario,
    owned_names, router_names,
};
use ladderpass_emulator::Scenario;
use std::collections::BTreeMap;

/// The load of all drills. The members can serve about 300 RPCs a second. A tenth of the RPCs are writes, which have four
/// times the utility of a read, and the members can serve all of them.
const RPCS_PER_SECOND: f64 = 750.0;
/// Fractions of reads and writes in the load of all drills.
const SHARES: [f64; 2] = [0.9, 0.1];
const CLIENTS: usize = 600;
/// How many times as many connections the first router has as the last one.
const UNEVENNESS: f64 = 8.0;
/// Ratio of connections, as in [`UNEVENNESS`], with which almost all RPCs go to the first of two routers.
const SINGLE_ROUTER_UNEVENNESS: f64 = 1000.0;
/// The index of the read method in the scenario.
pub const READ: usize = 0;
/// The index of the write method in the scenario.
pub const WRITE: usize = 1;

/// The end of the drills that are compared with a single router, in seconds of the load.
pub const DRILL_END_S: f64 = 8.0;
/// The end of the drills with one faulty router and with wall clocks apart, in seconds of the load.
pub const SHORT_DRILL_END_S: f64 = 5.0;
/// The end of the drills with kills and a split, in seconds of the load.
pub const FAILURE_DRILL_END_S: f64 = 18.0;
/// The period in which the network is split.
pub const SPLIT: FaultWindow = FaultWindow { at_s: 5.0, lasts_s: 6.0 };
const KILL_AT_S: f64 = 3.0;
/// The number of routers in the drills with kills and a split. A third of them is killed.
pub const FAILURE_ROUTERS: usize = 9;
/// How far a wall clock is off, in milliseconds. Some clocks are ahead by this much, and others are behind by as much.
const CLOCK_OFFSET_MS: i32 = 100;

/// The fault of a router that does not use the common admission threshold.
pub const IGNORES_THRESHOLD: &str = "ignores-the-floor";
/// The fault of a router that reports ten times its load.
pub const REPORTS_TENFOLD: &str = "tells-tenfold";
/// The fault of routers that keep the load reports of dead routers.
pub const KEEPS_REPORTS_OF_DEAD: &str = "keeps-the-deads-words";

/// Returns the members and methods of all drills.
pub fn scenario() -> Scenario {
    overloaded_scenario(SHARES)
}

/// Returns a drill in which the routers share admission control.
pub fn shared_admission() -> Drill {
    drill(FLEET_ROUTERS, SHARED_ADMISSION, DRILL_END_S)
}

/// Returns a drill in which each router sheds load by itself.
pub fn separate_admission() -> Drill {
    drill(FLEET_ROUTERS, SEPARATE_ADMISSION, DRILL_END_S)
}

/// Returns a drill in which one router gets almost all RPCs, so that it decides with full knowledge. The other router gets
/// about a thousandth of them.
pub fn single_router() -> Drill {
    Drill {
        connection_skew: SINGLE_ROUTER_UNEVENNESS,
        peers: false,
        ..drill(2, SEPARATE_ADMISSION, DRILL_END_S)
    }
}

/// Returns a drill in which a third of the routers is killed, and the network between the others is split for a time.
pub fn kills_and_split() -> Drill {
    let sides = vec![owned_names(&["r0", "r1", "r3"]), owned_names(&["r4", "r6", "r7"])];
    let killed = owned_names(&["r2", "r5", "r8"]);
    let events = vec![
        FaultEvent { at: KILL_AT_S, kill: killed, ..FaultEvent::default() },
        FaultEvent { at: SPLIT.at_s, lasts: SPLIT.lasts_s, split: sides, ..FaultEvent::default() },
    ];
    Drill { events, ..drill(FAILURE_ROUTERS, SHARED_ADMISSION, FAILURE_DRILL_END_S) }
}

/// Returns the drill of [`kills_and_split`] with a fault switched on in all routers.
pub fn kills_and_split_with_fault(switch: &str) -> Drill {
    Drill { faulty: faulty_routers(0..FAILURE_ROUTERS, switch), ..kills_and_split() }
}

/// Returns a drill with a fault switched on in the first router.
pub fn one_faulty_router(switch: &str) -> Drill {
    let faulty = BTreeMap::from([("r0".to_owned(), switch.to_owned())]);
    Drill { faulty, ..drill(FLEET_ROUTERS, SHARED_ADMISSION, SHORT_DRILL_END_S) }
}

/// Returns a drill in which wall clocks are 200 ms apart, and in which the last router does not share admission control.
/// That router runs the earlier program, or has no operator's file if no earlier program is given.
pub fn clocks_apart(programs: Programs<'_>) -> Drill {
    let mut drill = drill(FLEET_ROUTERS, SHARED_ADMISSION, SHORT_DRILL_END_S);
    let offset_ms = |router: usize| if router.is_multiple_of(2) { CLOCK_OFFSET_MS } else { -CLOCK_OFFSET_MS };
    let clocks = router_names(0..FLEET_ROUTERS - 2).into_iter().enumerate();
    drill.clocks = clocks.map(|(router, name)| (name, offset_ms(router))).collect();
    let last = router_names(FLEET_ROUTERS - 1..FLEET_ROUTERS);
    if programs.earlier.is_some() {
        drill.earlier = last;
    } else {
        drill.quiet = last;
    }
    drill
}

fn drill(routers: usize, operator: &str, seconds: f64) -> Drill {
    Drill {
        routers,
        connection_skew: UNEVENNESS,
        roaming: 0.0,
        clients: CLIENTS,
        phases: vec![Phase { seconds, rate_per_second: RPCS_PER_SECOND }],
        scenario: scenario(),
        operator: operator.into(),
        ..Drill::default()
    }
}
