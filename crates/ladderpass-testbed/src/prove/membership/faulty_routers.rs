//! Drills with one faulty router among healthy ones. The history checker must find the rule that the faulty router breaks in
//! the joint history of all routers.

use crate::drill::play::{DrillRecord, Programs, play};
use crate::drill::{Drill, FaultEvent};
use crate::load::Phase;
use crate::prove::Table;
use ladderpass_emulator::Scenario;
use ladderpass_fault_injection::Rule;
use std::collections::BTreeMap;
use std::io;

const FAULTY_ROUTER: &str = "r1";
const ROUTERS: usize = 4;
const CLIENTS: usize = 100;
const LOAD_S: f64 = 2.0;
const RPCS_PER_SECOND: f64 = 250.0;
/// A drill with a higher rate than this needs all cores of the machine for itself.
const MAX_PARALLEL_RPCS_PER_SECOND: f64 = 1000.0;
/// When rules of the fault tool begin to act, in seconds of the load.
const RULE_AT_S: f64 = 0.2;

const DRAINED_MEMBER: u32 = 1;
const DRAIN_AT_S: f64 = 0.6;
const DRAIN_PHASE: Phase = Phase { seconds: 2.5, rate_per_second: 600.0 };
const DRAIN_CLIENTS: usize = 200;

const COLD_MEMBER: u32 = 2;
const COLD_OVERLOAD_MS: f64 = 500.0;
const COLD_CAPACITY_RPCS_PER_SECOND: f64 = 640.0;
const COLD_PHASE: Phase = Phase { seconds: 1.5, rate_per_second: 2600.0 };
const COLD_CLIENTS: usize = 400;
/// The idle time before the load. This time moves the load to a late part of the warm-up, where the attempts of the
/// healthy routers weigh as much as those of the faulty router.
const COLD_IDLE_S: f64 = 5.0;
/// The rule that cold members are not overloaded.
const COLD_MEMBER_RULE: u8 = 4;

const LAGGING_LOG_MS: f64 = 3000.0;
const LAGGING_MAX_READ_AGE_MS: f64 = 200.0;

/// A faulty router, the drill that shows its fault, and the rule that the router breaks.
pub struct FaultyRouterCase {
    rule: u8,
    switch: &'static str,
    drill: Drill,
}

/// The records of a case's drill with healthy routers alone, and with one faulty router.
pub struct FaultyRouterRecords {
    rule: u8,
    switch: &'static str,
    healthy: DrillRecord,
    faulty: DrillRecord,
}

impl FaultyRouterCase {
    /// Plays both drills, one after the other.
    ///
    /// # Errors
    /// Returns an error if a drill can't be played.
    pub fn play(self, programs: Programs<'_>, seed: u64) -> io::Result<FaultyRouterRecords> {
        let healthy = play(&self.drill, programs, seed)?;
        let faulty = BTreeMap::from([(FAULTY_ROUTER.to_owned(), self.switch.to_owned())]);
        let faulty = play(&Drill { faulty, ..self.drill }, programs, seed)?;
        Ok(FaultyRouterRecords { rule: self.rule, switch: self.switch, healthy, faulty })
    }

    /// Returns whether the drill needs all cores of the machine for itself.
    pub fn needs_all_cores(&self) -> bool {
        self.drill.phases.iter().any(|phase| phase.rate_per_second > MAX_PARALLEL_RPCS_PER_SECOND)
    }
}

/// Returns a case with a faulty router for each rule.
pub fn faulty_router_cases() -> Vec<FaultyRouterCase> {
    vec![
        FaultyRouterCase { rule: 1, switch: "answers-late", drill: late_answers_drill() },
        FaultyRouterCase { rule: 2, switch: "resends", drill: lost_answers_drill() },
        FaultyRouterCase { rule: 3, switch: "ignores-drains", drill: drain_drill() },
        FaultyRouterCase { rule: COLD_MEMBER_RULE, switch: "ignores-warm-up", drill: cold_member_drill() },
        FaultyRouterCase { rule: 5, switch: "ignores-lag", drill: lagging_replicas_drill() },
    ]
}

fn base_drill() -> Drill {
    Drill {
        routers: ROUTERS,
        phases: vec![Phase { seconds: LOAD_S, rate_per_second: RPCS_PER_SECOND }],
        clients: CLIENTS,
        connection_skew: 1.0,
        ..Drill::default()
    }
}

fn rule_event(text: &str) -> FaultEvent {
    let rule = Rule::read(text).expect("a rule of the proof can be parsed");
    FaultEvent { at: RULE_AT_S, rule: Some(rule), ..FaultEvent::default() }
}

/// Returns a drill in which members answer the faulty router after the deadline.
fn late_answers_drill() -> Drill {
    let late = |member: u32| {
        rule_event(&format!(
            "{{name: late-{member}, link: r1>member-{member}, when: {{message: RowDescription, nth: 5}}, do: {{delay: {{ms: 1600}}}}, times: 5}}"
        ))
    };
    Drill { events: (0..3).map(late).collect(), ..base_drill() }
}

/// Returns a drill in which connections of the faulty router end after a write was executed and before its answer arrives.
fn lost_answers_drill() -> Drill {
    let lost = rule_event(
        "{name: lost, link: r1>member-0, when: {message: CommandComplete, holds: INSERT, nth: 3}, do: {half_close: {side: server}}, times: 3}",
    );
    Drill { events: vec![lost], ..base_drill() }
}

/// Returns a drill in which a replica drains while reads go to all members, because the reads accept data of any age.
fn drain_drill() -> Drill {
    let mut scenario = Scenario::default();
    scenario.methods[0].max_age_ms = None;
    let drain = FaultEvent { at: DRAIN_AT_S, drain: Some(DRAINED_MEMBER), ..FaultEvent::default() };
    Drill { events: vec![drain], phases: vec![DRAIN_PHASE], clients: DRAIN_CLIENTS, scenario, ..base_drill() }
}

/// Returns a drill in which the faulty router sends a cold member two thirds of its capacity, and the healthy routers send
/// their quotas. The load has so many RPCs that chance in their number can't decide the result.
fn cold_member_drill() -> Drill {
    let scenario = Scenario { cold: vec![COLD_MEMBER], overload_ms: COLD_OVERLOAD_MS, ..Scenario::default() };
    Drill {
        scenario,
        idle_s: COLD_IDLE_S,
        warm_member_rpcs_per_second: COLD_CAPACITY_RPCS_PER_SECOND,
        phases: vec![COLD_PHASE],
        clients: COLD_CLIENTS,
        ..base_drill()
    }
}

/// Returns a drill in which replicas lag further behind than reads allow. The routers are not peers, because gossip of the
/// healthy ones about a replica's lag would make the faulty one send reads to the primary.
fn lagging_replicas_drill() -> Drill {
    let mut scenario = Scenario { log_ms: LAGGING_LOG_MS, ..Scenario::default() };
    scenario.methods[0].max_age_ms = Some(LAGGING_MAX_READ_AGE_MS);
    Drill { scenario, peers: false, ..base_drill() }
}

/// Requires that the checker finds the rule that each faulty router breaks, and no violation among healthy routers. For the
/// rule on cold members, the attempts of each router alone must have no violation, so that only the joint history shows it.
pub fn require_violations_found(table: &mut Table, records: &[FaultyRouterRecords]) {
    for FaultyRouterRecords { rule, switch, healthy, faulty } in records {
        let (healthy_rules, faulty_rules) = (broken_rules(healthy), broken_rules(faulty));
        let mut measured = format!("healthy {healthy_rules:?}, with it {faulty_rules:?}");
        let mut holds = healthy_rules.is_empty() && faulty_rules.contains(rule);
        if *rule == COLD_MEMBER_RULE {
            let alone: usize = faulty.slow_start_violations_alone.iter().sum();
            measured.push_str(&format!("; by what each alone sent {alone}"));
            holds &= alone == 0;
        }
        let requirement = format!("breaks rule {rule}, jointly");
        table.require(format!("one of four {switch}"), requirement, measured, holds);
    }
}

/// Returns the numbers of the rules that a history violates, in ascending order.
fn broken_rules(record: &DrillRecord) -> Vec<u8> {
    let mut rules: Vec<u8> = record.violations.iter().map(|violation| violation.rule).collect();
    rules.sort_unstable();
    rules.dedup();
    rules
}
