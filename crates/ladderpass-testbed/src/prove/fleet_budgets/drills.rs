//! The drills on retry budgets. Answers are lost, members reject attempts, or a member, a router and a part of the network
//! fail.

use crate::drill::{Drill, FaultEvent};
use crate::load::Phase;
use crate::prove::scenarios::{
    FLEET_ROUTERS, FaultWindow, faulty_routers, overloaded_scenario, owned_names, router_names,
};
use ladderpass_emulator::Scenario;
use ladderpass_fault_injection::Rule;

/// The calm load uses 0.8 of the members' capacity of 300 RPCs a second.
const CALM_RPCS_PER_SECOND: f64 = 240.0;
/// Fractions of reads and writes in the calm load.
const CALM_SHARES: [f64; 2] = [0.8, 0.2];
const CLIENTS: usize = 200;

/// When answers begin to be lost, in seconds of the load.
pub const LOSS_AT_S: f64 = 3.0;
/// The end of the drills in which answers are lost, in seconds of the load.
pub const LOSS_DRILL_END_S: f64 = 9.0;
/// How many answers are lost when all members lose answers.
const LOST_ANSWERS: u32 = 700;
/// How many answers are lost on each router's connections when one member loses answers.
const LOST_ANSWERS_PER_ROUTER: u32 = 40;
const LOSING_MEMBER: u32 = 2;

/// The end of the drill in which members reject attempts, in seconds of the load.
pub const REJECTION_DRILL_END_S: f64 = 6.0;
/// The load under which members reject attempts is 2.5 times their capacity.
const OVERLOAD_RPCS_PER_SECOND: f64 = 750.0;
/// Fractions of reads and writes in the load under which members reject attempts.
const OVERLOAD_SHARES: [f64; 2] = [0.9, 0.1];
const OVERLOAD_CLIENTS: usize = 600;
/// How many RPCs a member queues before it rejects further RPCs.
const QUEUED_RPCS: usize = 4;

/// The period in which a member is down.
pub const MEMBER_DOWN: FaultWindow = FaultWindow { at_s: 3.0, lasts_s: 3.0 };
/// The end of the drill in which a member is down, in seconds of the load.
pub const FAILURE_DRILL_END_S: f64 = 12.0;
const FAILING_MEMBER: u32 = 2;
const SPLIT: FaultWindow = FaultWindow { at_s: 3.5, lasts_s: 2.0 };
/// How often a client retries a rejected RPC at most, in the drill in which a member is down.
const CLIENT_RETRIES: u32 = 3;

/// Returns a drill in which all members lose answers. The connections close at the answers, so that the members' work is
/// wasted.
pub fn answers_lost(operator: &str) -> Drill {
    let lost = lose_answers("lost", "", LOST_ANSWERS);
    drill(operator, LOSS_DRILL_END_S, vec![lost])
}

/// Returns the drill of [`answers_lost`] with a fault switched on in all routers.
pub fn answers_lost_with_fault(operator: &str, switch: &str) -> Drill {
    Drill { faulty: faulty_routers(0..FLEET_ROUTERS, switch), ..answers_lost(operator) }
}

/// Returns a drill in which one of three members loses answers.
pub fn answers_of_one_lost(operator: &str) -> Drill {
    let lose = |router: usize| {
        let link = format!("link: r{router}>member-{LOSING_MEMBER}, ");
        lose_answers(&format!("lost-{router}"), &link, LOST_ANSWERS_PER_ROUTER)
    };
    drill(operator, LOSS_DRILL_END_S, (0..FLEET_ROUTERS).map(lose).collect())
}

/// Returns a drill in which members get 2.5 times the load that they can serve, and reject attempts that their short queues
/// can't hold.
pub fn members_reject(operator: &str) -> Drill {
    Drill {
        phases: vec![Phase { seconds: REJECTION_DRILL_END_S, rate_per_second: OVERLOAD_RPCS_PER_SECOND }],
        scenario: Scenario { queue: QUEUED_RPCS, ..overloaded_scenario(OVERLOAD_SHARES) },
        clients: OVERLOAD_CLIENTS,
        ..drill(operator, REJECTION_DRILL_END_S, Vec::new())
    }
}

/// Returns a drill in which one of three members is down while clients retry. A router is killed and the network is split in
/// the same period.
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

/// Returns a drill with the calm load and fault events.
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

/// Returns a fault event that closes connections at members' answers, at most `times` in all. `link` is the rule's key
/// with the name of the only link that the rule applies to, or is empty if the rule applies to all links.
fn lose_answers(name: &str, link: &str, times: u32) -> FaultEvent {
    let text = format!("{{name: {name}, {link}when: {{message: DataRow}}, do: close, times: {times}}}");
    let rule = Rule::read(&text).expect("a rule of the proof can be parsed");
    FaultEvent { at: LOSS_AT_S, rule: Some(rule), ..FaultEvent::default() }
}
