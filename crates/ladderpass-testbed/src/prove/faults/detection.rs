//! Runs a case with the real router or a faulty one, and finds the rules that the router breaks.

use super::cases::{CASES, FaultCase};
use crate::load::{self, Phase, Plan};
use crate::prove::Table;
use crate::router::Start;
use crate::run::{self, FaultEvent, RunRecord, open_plan};
use ladderpass_emulator::Scenario;
use ladderpass_fault_injection::Rule;
use ladderpass_routing::Span;
use nix::sys::signal::Signal;
use std::fmt;
use std::io;
use std::path::Path;

const CONNECTIONS: usize = 200;
const LOAD_S: f64 = 1.0;
const RPCS_PER_SECOND: f64 = 400.0;
const DEADLINE: Span = Span::from_millis(1000);
/// How long after the deadline of an RPC the answer to the RPC may come.
const ANSWER_TOLERANCE: Span = Span::from_millis(50);
const TERMINATE_AT_S: f64 = 0.7;
const DRAIN_AT_S: f64 = 0.4;
/// How many RPCs a second a cold member can serve once it is warm.
const WARM_RPCS_PER_SECOND: f64 = 200.0;
/// The window over which too many attempts overload a cold member. Two such windows fit into the load.
const OVERLOAD_MS: f64 = 500.0;
/// The maximum age of the data of reads in cases where replicas lag behind.
const MAX_READ_AGE_MS: f64 = 200.0;
/// The rule that is broken by protocol errors of the router: malformed answers, answers that belong to no RPC, and values of
/// another RPC.
const ANSWER_RULE: u8 = 1;

/// The result of one run of a case.
struct CaseResult {
    /// The numbers of the rules that the router broke, in ascending order.
    broken_rules: Vec<u8>,
    exposure: Exposure,
}

/// How often the router met the difficulty of the case, as [`exposure`] counts it. A run with a count of zero proves nothing.
struct Exposure {
    count: usize,
    what: &'static str,
}

impl fmt::Display for CaseResult {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Exposure { count, what } = self.exposure;
        write!(out, "breaks {:?}; {count} {what}", self.broken_rules)
    }
}

/// Requires that the real router breaks no rule in any case, and that each faulty router breaks the rule of its case.
///
/// # Errors
/// Returns an error if a run can't be started.
pub fn require_detection(
    table: &mut Table,
    binary: &Path,
    faulty: Option<&Path>,
    seed: u64,
) -> io::Result<()> {
    for case in &CASES {
        let real = run_case(case, binary, None, seed)?;
        let holds = real.broken_rules.is_empty() && real.exposure.count > 0;
        table.require(
            format!("real router, plan for {}", case.switch),
            "breaks none",
            real.to_string(),
            holds,
        );
        let (measured, holds) = match faulty {
            Some(faulty) => {
                let found = run_case(case, faulty, Some(case.switch), seed)?;
                (found.to_string(), found.broken_rules.contains(&case.broken_rule))
            }
            None => ("no --faulty router".to_owned(), false),
        };
        let requirement = format!("breaks rule {}", case.broken_rule);
        table.require(format!("  {}", case.switch), requirement, measured, holds);
    }
    Ok(())
}

fn run_case(
    case: &FaultCase,
    binary: &Path,
    switch: Option<&'static str>,
    seed: u64,
) -> io::Result<CaseResult> {
    let start = Start { faulty: switch.map(str::to_owned), log: "warn".into(), ..Start::new(binary) };
    let rules = case.rules.iter().map(|rule| Rule::read(rule)).collect::<Result<Vec<_>, _>>();
    let rules = rules.map_err(io::Error::other)?;
    let plan = load_plan(seed);
    let (mut record, summary) =
        run::run_with_fault_rules(&scenario(case), &start, &plan, Some(rules), fault_events(case), |_| {})?;
    record.warm_member_rpcs_per_second = WARM_RPCS_PER_SECOND;
    let decisions = summary.map_or(0, |summary| summary.record.len());
    Ok(CaseResult { broken_rules: broken_rules(&record), exposure: exposure(case, &record, decisions) })
}

fn load_plan(seed: u64) -> Plan {
    load::Plan {
        connections: CONNECTIONS,
        pipeline: 1,
        deadline: DEADLINE,
        ..open_plan(seed, &[Phase { seconds: LOAD_S, rate_per_second: RPCS_PER_SECOND }])
    }
}

fn scenario(case: &FaultCase) -> Scenario {
    let cold = case.cold_members.to_vec();
    let mut scenario =
        Scenario { log_ms: case.log_ms, cold, overload_ms: OVERLOAD_MS, ..Scenario::default() };
    if case.has_lagging_replicas() {
        scenario.methods[0].max_age_ms = Some(MAX_READ_AGE_MS);
    }
    scenario
}

fn fault_events(case: &FaultCase) -> Vec<FaultEvent<'static>> {
    let mut events: Vec<FaultEvent<'static>> = Vec::new();
    if case.terminate {
        events.push(FaultEvent::at(TERMINATE_AT_S, |router, _| {
            router.signal(Signal::SIGTERM).expect("a running router can be signalled")
        }));
    }
    if let Some(member) = case.drained_member {
        events.push(FaultEvent::at(DRAIN_AT_S, move |_, emulator| emulator.drain(member)));
    }
    events
}

/// Returns the rules that a run broke according to its history, and the rule on answers if clients saw protocol errors.
fn broken_rules(record: &RunRecord) -> Vec<u8> {
    let violations = record.violations(ANSWER_TOLERANCE);
    let mut rules: Vec<u8> = violations.iter().map(|violation| violation.rule).collect();
    rules.extend((!record.outcome.faults.is_empty()).then_some(ANSWER_RULE));
    rules.sort_unstable();
    rules.dedup();
    rules
}

/// Returns how often the router met the difficulty of the case. In cases with cold members or a drained member, the RPCs that
/// began at these members are counted. In other cases with rules of the fault tool, the actions of the rules are counted. In
/// cases with lagging replicas, the reads at the primary are counted, and in all remaining cases the ok answers.
fn exposure(case: &FaultCase, record: &RunRecord, decisions: usize) -> Exposure {
    let executions = &record.execution_log.executions;
    let started_at = |member| executions.iter().filter(|execution| execution.member == member).count();
    if !case.cold_members.is_empty() {
        let count = case.cold_members.iter().map(|member| started_at(*member)).sum();
        return Exposure { count, what: "RPCs began at the cold members" };
    }
    if let Some(member) = case.drained_member {
        return Exposure { count: started_at(member), what: "RPCs began at the member before its drain" };
    }
    if !case.rules.is_empty() {
        return Exposure { count: decisions, what: "times the plan acted" };
    }
    if case.has_lagging_replicas() {
        let on_primary = executions.iter().filter(|execution| !execution.writes && execution.member == 0);
        let count = on_primary.count();
        return Exposure { count, what: "reads went to the primary, replicas being too old" };
    }
    Exposure { count: record.outcome.total().ok as usize, what: "answers could have come twice" }
}
