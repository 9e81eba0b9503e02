//! A testbed run: an emulator of members, one router, a load and a prober, and the record of what all of them observed.
//!
//! This module decides the order in which these start and stop. Each run starts an emulator of its own, so that the run's
//! record contains no events of another run.
//!
//! | module | job |
//! | --- | --- |
//! | `upstream` | the addresses at which the router reaches members and discovery, directly or through the fault tool |
//! | `record` | the record of a run, and values that are computed from it |

mod record;
mod upstream;

pub use record::{LoopDelay, RunRecord};
pub use upstream::links;

use crate::history_checker::{Absence, DrainNotice};
use crate::load::{self, Arrivals, Phase, Plan, Prober};
use crate::router::{Router, Start, exclude_core};
use crate::router_log;
use crate::step_error::{Step, in_step};
use ladderpass_emulator::{RunningEmulator, Scenario, time_of};
use ladderpass_fault_injection::Rule;
use ladderpass_fault_injection::driver::{self, RunSummary};
use ladderpass_routing::Time;
use record::WARM_MEMBER_RPCS_PER_SECOND;
use std::io;
use std::net::Ipv4Addr;
use std::time::Duration;
use upstream::Upstream;

const PROBE_INTERVAL: Duration = Duration::from_millis(1);
/// How long a router that is shutting down may take to end before it is killed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

type FaultAction<'a> = Box<dyn FnMut(&Router, &RunningEmulator) + 'a>;

/// An action on the router or the emulator at a given time of the load.
pub struct FaultEvent<'a> {
    /// Time of the action in seconds after the start of the load.
    at_s: f64,
    action: FaultAction<'a>,
}

impl<'a> FaultEvent<'a> {
    /// Creates an event that executes `action` once, `at_s` seconds after the start of the load.
    pub fn at(at_s: f64, action: impl FnMut(&Router, &RunningEmulator) + 'a) -> FaultEvent<'a> {
        FaultEvent { at_s, action: Box::new(action) }
    }
}

/// Runs a load against one router, and carries out the fault events `events` at their times.
///
/// # Errors
/// If the emulator, the router or the load can't be started.
pub fn run(
    scenario: &Scenario,
    start: &Start,
    plan: &Plan,
    events: Vec<FaultEvent<'_>>,
) -> io::Result<RunRecord> {
    run_with_progress(scenario, start, plan, events, |_| {})
}

/// Runs a load like [`run`], and calls `on_progress` repeatedly with the seconds since the start of the load.
///
/// # Errors
/// As [`run`].
pub fn run_with_progress(
    scenario: &Scenario,
    start: &Start,
    plan: &Plan,
    events: Vec<FaultEvent<'_>>,
    on_progress: impl FnMut(f64),
) -> io::Result<RunRecord> {
    run_with_fault_rules(scenario, start, plan, None, events, on_progress).map(|(record, _)| record)
}

/// Runs a load like [`run_with_progress`]. If `rules` is given, even if it is empty, the router's connections to members and to
/// discovery go through the fault tool, on links named `member-N` and `discovery`. In this case the record of the tool is
/// returned too.
///
/// # Errors
/// As [`run`], and if the fault tool can't be started.
pub fn run_with_fault_rules(
    scenario: &Scenario,
    start: &Start,
    plan: &Plan,
    rules: Option<Vec<Rule>>,
    mut events: Vec<FaultEvent<'_>>,
    mut on_progress: impl FnMut(f64),
) -> io::Result<(RunRecord, Option<RunSummary>)> {
    if let Some(cpu) = start.cpu {
        exclude_core(cpu)?;
    }
    let plan = &Plan { journal: true, ..plan.clone() };
    let with_history = Scenario { history: true, ..scenario.clone() };
    let emulator = RunningEmulator::start(with_history, plan.seed, Ipv4Addr::LOCALHOST)?;
    let upstream = match rules {
        None => {
            Upstream { members: emulator.addresses.clone(), discovery: emulator.discovery, fault_tool: None }
        }
        Some(rules) => Upstream::through_fault_tool(&emulator, rules, plan.seed)?,
    };
    let mut router =
        Router::start_with_upstreams(scenario, &upstream.members, upstream.discovery, start, plan.seed)?;
    let prober =
        Prober::start(router.address, PROBE_INTERVAL).map_err(in_step(Step::Prober, router.address))?;
    let cpu_before = router.resource_usage().cpu_seconds;
    let outcome = load::run(scenario, router.address, plan, |secs| {
        for event in events.iter_mut().filter(|event| event.at_s <= secs) {
            (event.action)(&router, &emulator);
        }
        events.retain(|event| event.at_s > secs);
        on_progress(secs);
    });
    let outcome = outcome.map_err(in_step(Step::Load, router.address))?;
    let used = router.resource_usage();
    let probe_delays = prober.stop();
    let ended = wait_for_shutdown(&mut router);
    let absences = shutdown_absence(&router).into_iter().collect();
    let log = router.stop();
    let mut summary = upstream.fault_tool.map(driver::RunningTool::stop);
    let drains = emulator.drains().into_iter();
    let record = RunRecord {
        outcome,
        probe_delays,
        drain_notices: drains
            .map(|drain| DrainNotice { router: drain.list, member: drain.member, at: drain.at })
            .collect(),
        execution_log: emulator.stop(),
        cpu_seconds: used.cpu_seconds - cpu_before,
        resident_bytes: used.resident_bytes,
        log,
        ended,
        warm_member_rpcs_per_second: WARM_MEMBER_RPCS_PER_SECOND,
        scenario: scenario.clone(),
        seed: plan.seed,
        tool_started_at: summary.as_ref().map_or(Time::default(), |summary| time_of(summary.started_at)),
        attempts: summary.as_mut().map_or(Vec::new(), |summary| std::mem::take(&mut summary.attempts)),
        absences,
    };
    Ok((record, summary))
}

/// If the router is shutting down, waits until it has ended, which it does after its last client is gone, for at most
/// `SHUTDOWN_TIMEOUT`. Returns the result of [`Router::ended`] after the wait.
fn wait_for_shutdown(router: &mut Router) -> Option<Option<i32>> {
    let is_shutting_down = router.log().iter().any(|line| router_log::is_shutdown_begun(line));
    router.wait_for_end(if is_shutting_down { SHUTDOWN_TIMEOUT } else { Duration::ZERO })
}

/// Returns the absence of a router (the time in which it can't answer), which starts at its first SIGTERM and does not end.
/// Returns `None` if the router got no SIGTERM.
fn shutdown_absence(router: &Router) -> Option<Absence> {
    router.terminated_at().map(|from| Absence {
        router: 0,
        from,
        to: Time::from_nanos(i64::MAX / 2),
        planned: true,
    })
}

/// Returns a plan with these phases, one after the other. RPCs are due at random times, whether or not earlier RPCs are
/// answered.
pub fn open_plan(seed: u64, phases: &[Phase]) -> Plan {
    Plan {
        arrivals: Arrivals::Open(phases.to_vec()),
        connections: 200,
        pipeline: 64,
        seed,
        ..Plan::default()
    }
}
