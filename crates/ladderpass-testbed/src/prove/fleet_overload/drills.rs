//! The drills: eight routers with uneven loads, 2.5 times the members' capacity in all.

use crate::drill::play::Programs;
use crate::drill::{Drill, FaultEvent};
use crate::load::Phase;
use crate::prove::scenarios::{
    FLEET_ROUTERS, FaultWindow, SEPARATE_ADMISSION, SHARED_ADMISSION, faulty_routers, overloaded_scenario,
    owned_names, router_names,
};
use ladderpass_emulator::Scenario;
use std::collections::BTreeMap;

/// RPCs a second: the members can serve about 300. A tenth are writes of four times a read's utility, which they can all
/// serve.
const RPCS_PER_SECOND: f64 = 750.0;
const SHARES: [f64; 2] = [0.9, 0.1];
const CLIENTS: usize = 600;
/// How many times the connections of the last router the first one has.
const UNEVENNESS: f64 = 8.0;
/// With this, almost all RPCs come to one of two routers.
const SINGLE_ROUTER_UNEVENNESS: f64 = 1000.0;
/// Indexes of the methods in the scenario.
pub const READ: usize = 0;
/// See [`READ`].
pub const WRITE: usize = 1;

/// End of the drills that are compared with a single router.
pub const DRILL_END_S: f64 = 8.0;
/// End of the drills on differences of routers.
pub const SHORT_DRILL_END_S: f64 = 5.0;
/// End of the drill on kills and a split.
pub const FAILURE_DRILL_END_S: f64 = 18.0;
/// When the network is split.
pub const SPLIT: FaultWindow = FaultWindow { at_s: 5.0, lasts_s: 6.0 };
const KILL_AT_S: f64 = 3.0;
/// Routers of the drill on kills and a split, of which a third is killed.
pub const FAILURE_ROUTERS: usize = 9;
/// Wall clocks are this far off, in both directions.
const CLOCK_OFFSET_MS: i32 = 100;

/// A router that does not use the common admission threshold.
pub const IGNORES_THRESHOLD: &str = "ignores-the-floor";
/// A router that reports ten times its load.
pub const REPORTS_TENFOLD: &str = "tells-tenfold";
/// Routers that keep the reports of dead ones.
pub const KEEPS_REPORTS_OF_DEAD: &str = "keeps-the-deads-words";

/// Members and methods of all drills.
pub fn scenario() -> Scenario {
    overloaded_scenario(SHARES)
}

/// The routers share admission control.
pub fn shared_admission() -> Drill {
    drill(FLEET_ROUTERS, SHARED_ADMISSION, DRILL_END_S)
}

/// Each router sheds load by itself.
pub fn separate_admission() -> Drill {
    drill(FLEET_ROUTERS, SEPARATE_ADMISSION, DRILL_END_S)
}

/// One router gets almost all RPCs, and so decides with full knowledge; the other one gets a thousandth.
pub fn single_router() -> Drill {
    Drill {
        connection_skew: SINGLE_ROUTER_UNEVENNESS,
        peers: false,
        ..drill(2, SEPARATE_ADMISSION, DRILL_END_S)
    }
}

/// A third of the routers is killed, and the network between the others is split for a time.
pub fn kills_and_split() -> Drill {
    let sides = vec![owned_names(&["r0", "r1", "r3"]), owned_names(&["r4", "r6", "r7"])];
    let killed = owned_names(&["r2", "r5", "r8"]);
    let events = vec![
        FaultEvent { at: KILL_AT_S, kill: killed, ..FaultEvent::default() },
        FaultEvent { at: SPLIT.at_s, lasts: SPLIT.lasts_s, split: sides, ..FaultEvent::default() },
    ];
    Drill { events, ..drill(FAILURE_ROUTERS, SHARED_ADMISSION, FAILURE_DRILL_END_S) }
}

/// As [`kills_and_split`], with a fault switched on in all routers.
pub fn kills_and_split_with_fault(switch: &str) -> Drill {
    Drill { faulty: faulty_routers(0..FAILURE_ROUTERS, switch), ..kills_and_split() }
}

/// A fault is switched on in the first router.
pub fn one_faulty_router(switch: &str) -> Drill {
    let faulty = BTreeMap::from([("r0".to_owned(), switch.to_owned())]);
    Drill { faulty, ..drill(FLEET_ROUTERS, SHARED_ADMISSION, SHORT_DRILL_END_S) }
}

/// Wall clocks are 200 ms apart, and the last router takes no part: it runs the earlier program, or has no operator's file
/// if there is no earlier program.
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
