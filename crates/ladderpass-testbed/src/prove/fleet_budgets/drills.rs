//! The drills: answers are lost, members reject attempts, and a member, a router and a part of the network fail.

use crate::drill::{Drill, FaultEvent};
use crate::load::Phase;
use crate::prove::scenarios::{
    FLEET_ROUTERS, FaultWindow, faulty_routers, overloaded_scenario, owned_names, router_names,
};
use ladderpass_emulator::Scenario;
use ladderpass_fault_injection::Rule;

/// RPCs a second that use 0.8 of the members' capacity; a fifth are writes.
const CALM_RPCS_PER_SECOND: f64 = 240.0;
const CALM_SHARES: [f64; 2] = [0.8, 0.2];
const CLIENTS: usize = 200;

/// Answers are lost from here on.
pub const LOSS_AT_S: f64 = 3.0;
/// End of the drills in which answers are lost.
pub const LOSS_DRILL_END_S: f64 = 9.0;
/// How many answers are lost, of all members together.
const LOST_ANSWERS: u32 = 700;
/// How many answers of one member are lost on each router's connections.
const LOST_ANSWERS_PER_ROUTER: u32 = 40;
const LOSING_MEMBER: u32 = 2;

/// End of the drill in which members reject attempts.
pub const REJECTION_DRILL_END_S: f64 = 6.0;
/// 2.5 times the members' capacity.
const OVERLOAD_RPCS_PER_SECOND: f64 = 750.0;
const OVERLOAD_SHARES: [f64; 2] = [0.9, 0.1];
const OVERLOAD_CLIENTS: usize = 600;
/// RPCs that a member queues before it rejects others.
const QUEUED_RPCS: usize = 4;

/// When a member is down.
pub const MEMBER_DOWN: FaultWindow = FaultWindow { at_s: 3.0, lasts_s: 3.0 };
/// End of the drill with this failure.
pub const FAILURE_DRILL_END_S: f64 = 12.0;
const FAILING_MEMBER: u32 = 2;
const SPLIT: FaultWindow = FaultWindow { at_s: 3.5, lasts_s: 2.0 };
const CLIENT_RETRIES: u32 = 3;

/// Members lose their answers, with the connections: their work was in vain.
pub fn answers_lost(operator: &str) -> Drill {
    let lost = lose_answers("lost", "", LOST_ANSWERS);
    drill(operator, LOSS_DRILL_END_S, vec![lost])
}

/// As [`answers_lost`], with a fault switched on in all routers.
pub fn answers_lost_with_fault(operator: &str, switch: &str) -> Drill {
    Drill { faulty: faulty_routers(0..FLEET_ROUTERS, switch), ..answers_lost(operator) }
}

/// One member of three loses its answers.
pub fn answers_of_one_lost(operator: &str) -> Drill {
    let lose = |router: usize| {
        let link = format!("link: r{router}>member-{LOSING_MEMBER}, ");
        lose_answers(&format!("lost-{router}"), &link, LOST_ANSWERS_PER_ROUTER)
    };
    drill(operator, LOSS_DRILL_END_S, (0..FLEET_ROUTERS).map(lose).collect())
}

/// Members reject what they can't start soon, under 2.5 times the load that they can serve.
pub fn members_reject(operator: &str) -> Drill {
    Drill {
        phases: vec![Phase { seconds: REJECTION_DRILL_END_S, rate_per_second: OVERLOAD_RPCS_PER_SECOND }],
        scenario: Scenario { queue: QUEUED_RPCS, ..overloaded_scenario(OVERLOAD_SHARES) },
        clients: OVERLOAD_CLIENTS,
        ..drill(operator, REJECTION_DRILL_END_S, Vec::new())
    }
}

/// A third of the members is down while clients retry; meanwhile a router is killed and the network is split.
pub fn member_down(operator: &str) -> Drill {
    let sides = vec![owned_names(&["r0", "r1", "r3"]), router_names(4..FLEET_ROUTERS)];
    let split = FaultEvent { at: SPLIT.at_s, lasts: SPLIT.lasts_s, split: sides, ..FaultEvent::default() };
    let events = vec![
        FaultEvent { at: MEMBER_DOWN.at_s, ends: Some(FAILING_MEMBER), ..FaultEvent::default() },
        FaultEvent { at: MEMBER_DOWN.at_s, kill: owned_names(&["r2"]), ..FaultEvent::default() },
        split,
        FaultEvent { at: MEMBER_DOWN.end_s(), begins: Some(FAILING_MEMBER), ..FaultEvent::default() },
    ];
    Drill { max_retries: CLIENT_RETRIES, ..drill(operator, FAILURE_DRILL_END_S, events) }
}

/// A calm load with fault events.
fn drill(operator: &str, seconds: f64, events: Vec<FaultEvent>) -> Drill {
    Drill {
        routers: FLEET_ROUTERS,
        connection_skew: 4.0,
        roaming: 0.0,
        clients: CLIENTS,
        phases: vec![Phase { seconds, rate_per_second: CALM_RPCS_PER_SECOND }],
        scenario: overloaded_scenario(CALM_SHARES),
        operator: operator.into(),
        events,
        ..Drill::default()
    }
}

/// Closes connections at answers of members, `times` in all, on the links that `link` names.
fn lose_answers(name: &str, link: &str, times: u32) -> FaultEvent {
    let text = format!("{{name: {name}, {link}when: {{message: DataRow}}, do: close, times: {times}}}");
    let rule = Rule::read(&text).expect("a rule of the proof can be parsed");
    FaultEvent { at: LOSS_AT_S, rule: Some(rule), ..FaultEvent::default() }
}
