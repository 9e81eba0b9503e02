//! A testbed run: an emulated fleet, a router on a core of its own, a load and a prober, and the record of what all of
//! them saw.
//!
//! It decides the order in which these start and stop. Each run starts its own fleet, so that the fleet's record holds
//! nothing of another run.

use crate::history_checker::{Absence, ColdStart, DrainNotice, History, MemberLink};
use crate::load::{self, Outcome, Plan, ProbeDelay, Prober};
use crate::router::{Router, Start, keep_off};
use crate::router_log;
use hdrhistogram::Histogram;
use ladderpass_emulator::{ExecutionLog, RunningEmulator, Scenario};
use ladderpass_fault_injection as faults;
use ladderpass_fault_injection::driver::{self, RunSummary};
use ladderpass_fault_injection::engine::AttemptEvent;
use ladderpass_fault_injection::plan::LinkShape;
use ladderpass_fault_injection::{Protocol, Rule};
use ladderpass_invariants::{Tolerance, Violation};
use ladderpass_routing::{Span, Time};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// What a run has recorded.
pub struct RunRecord {
    /// What the clients saw.
    pub outcome: Outcome,
    /// Delays of the prober's queries.
    probe_delays: Vec<ProbeDelay>,
    /// What the members saw.
    pub truth: ExecutionLog,
    /// CPU seconds of the router over the load.
    pub cpu: f64,
    /// Resident memory of the router at the end of the load, in bytes.
    pub resident: u64,
    /// Lines that the router has logged.
    pub log: Vec<String>,
    /// Set if the router had ended before it was stopped; within, its exit code, if it has one.
    pub ended: Option<Option<i32>>,
    /// RPCs a second that a cold member can serve once it is warm.
    pub warm_member_rpcs_per_second: f64,
    scenario: Scenario,
    seed: u64,
    /// Begins and ends of attempts that the fault tool saw.
    attempts: Vec<AttemptEvent>,
    /// The start of the fault tool, from which the times of `attempts` count.
    tool_started_at: Time,
    absences: Vec<Absence>,
    drain_notices: Vec<DrainNotice>,
}

/// A delay of the router's event loop.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoopDelay {
    /// When it was, in seconds of the load.
    pub at_s: f64,
    /// How long it was, in milliseconds.
    pub delay_ms: f64,
}

/// Default of [`RunRecord::warm_member_rpcs_per_second`].
const WARM_MEMBER_RPCS_PER_SECOND: f64 = 1000.0;
const PROBE_INTERVAL: Duration = Duration::from_millis(1);
/// How long a router that is shutting down may take to end before it is killed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// A fault event: when, in seconds from the start of the load, and what is done to the router or the fleet.
pub type FaultEvent<'a> = (f64, Box<dyn FnMut(&Router, &RunningEmulator) + 'a>);

/// Runs a load against one router, with fault events.
///
/// # Errors
/// If the fleet, the router or the load can't be started.
pub fn run(
    scenario: &Scenario,
    start: &Start,
    plan: &Plan,
    events: Vec<FaultEvent<'_>>,
) -> io::Result<RunRecord> {
    run_with(scenario, start, plan, events, |_| {})
}

/// As [`run`]; `on_progress` gets the seconds since the start of the load.
///
/// # Errors
/// As [`run`].
pub fn run_with(
    scenario: &Scenario,
    start: &Start,
    plan: &Plan,
    events: Vec<FaultEvent<'_>>,
    on_progress: impl FnMut(f64),
) -> io::Result<RunRecord> {
    run_through(scenario, start, plan, None, events, on_progress).map(|(record, _)| record)
}

/// As [`run_with`]. If there are rules, even if empty, the router's connections to members and discovery go through the
/// fault tool, on links named `member-N` and `discovery`; then it returns what the tool has recorded too.
///
/// # Errors
/// As [`run`], and if the fault tool can't be started.
pub fn run_through(
    scenario: &Scenario,
    start: &Start,
    plan: &Plan,
    rules: Option<Vec<Rule>>,
    mut events: Vec<FaultEvent<'_>>,
    mut on_progress: impl FnMut(f64),
) -> io::Result<(RunRecord, Option<RunSummary>)> {
    if let Some(cpu) = start.cpu {
        keep_off(cpu)?;
    }
    let plan = &Plan { journal: true, ..plan.clone() };
    let with_history = Scenario { history: true, ..scenario.clone() };
    let fleet = RunningEmulator::start(with_history, plan.seed, Ipv4Addr::LOCALHOST)?;
    let upstream = match rules {
        None => Upstream { members: fleet.addresses.clone(), discovery: fleet.discovery, fault_tool: None },
        Some(rules) => Upstream::through_fault_tool(&fleet, rules, plan.seed)?,
    };
    let mut router = Router::start_before(scenario, &upstream.members, upstream.discovery, start, plan.seed)?;
    let prober = Prober::start(router.address, PROBE_INTERVAL)?;
    let cpu_before = router.resource_usage().cpu_seconds;
    let outcome = load::run(scenario, router.address, plan, |secs| {
        for (_, act) in events.iter_mut().filter(|(when, _)| *when <= secs) {
            act(&router, &fleet);
        }
        events.retain(|(when, _)| *when > secs);
        on_progress(secs);
    })?;
    let used = router.resource_usage();
    let probe_delays = prober.stop();
    let ended = wait_for_shutdown(&mut router);
    let absences = shutdown_absence(&router).into_iter().collect();
    let log = router.stop();
    let mut summary = upstream.fault_tool.map(driver::RunningTool::stop);
    let drains = fleet.drains().into_iter();
    let record = RunRecord {
        outcome,
        probe_delays,
        drain_notices: drains.map(|(at, router, member)| DrainNotice { router, member, at }).collect(),
        truth: fleet.stop(),
        cpu: used.cpu_seconds - cpu_before,
        resident: used.resident_bytes,
        log,
        ended,
        warm_member_rpcs_per_second: WARM_MEMBER_RPCS_PER_SECOND,
        scenario: scenario.clone(),
        seed: plan.seed,
        tool_started_at: summary.as_ref().map_or(Time::default(), |summary| summary.started_at),
        attempts: summary.as_mut().map_or(Vec::new(), |summary| std::mem::take(&mut summary.attempts)),
        absences,
    };
    Ok((record, summary))
}

/// Where the router reaches the fleet: directly, or through the fault tool.
struct Upstream {
    members: Vec<SocketAddr>,
    discovery: SocketAddr,
    fault_tool: Option<driver::RunningTool>,
}

impl Upstream {
    /// Starts the fault tool before a fleet, whose discovery then gives the tool's addresses.
    fn through_fault_tool(fleet: &RunningEmulator, rules: Vec<Rule>, seed: u64) -> io::Result<Upstream> {
        let links = links(&fleet.addresses, fleet.discovery);
        let plan = faults::Plan { seed, links, rules, ..faults::Plan::default() };
        let fault_tool = driver::RunningTool::start(plan, None)?;
        fault_tool.send_command("watch").map_err(io::Error::other)?;
        let mut members = fault_tool.addresses.clone();
        let discovery = members.pop().unwrap_or(fleet.discovery);
        fleet.set_addresses(&members);
        Ok(Upstream { members, discovery, fault_tool: Some(fault_tool) })
    }
}

/// Gives a router that is shutting down the time to end with its last client. Returns its exit code if it has ended.
fn wait_for_shutdown(router: &mut Router) -> Option<Option<i32>> {
    let is_shutting_down = router.log().iter().any(|line| router_log::is_shutdown_begun(line));
    router.wait_for_end(if is_shutting_down { SHUTDOWN_TIMEOUT } else { Duration::ZERO })
}

/// The absence of a router from its first SIGTERM on.
fn shutdown_absence(router: &Router) -> Option<Absence> {
    router.terminated_at().map(|from| Absence {
        router: 0,
        from,
        to: Time::from_nanos(i64::MAX / 2),
        planned: true,
    })
}

/// The links of the fault tool before a fleet: its members in order, then discovery.
pub fn links(members: &[SocketAddr], discovery: SocketAddr) -> Vec<LinkShape> {
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let member_link = |(index, &to): (usize, &SocketAddr)| LinkShape {
        name: format!("member-{index}"),
        listen,
        to,
        protocol: Protocol::Postgres,
    };
    let mut links: Vec<LinkShape> = members.iter().enumerate().map(member_link).collect();
    links.push(LinkShape { name: "discovery".into(), listen, to: discovery, protocol: Protocol::Http });
    links
}

impl RunRecord {
    /// Violations as text, and the first protocol errors that clients saw. `answers` is as in [`RunRecord::violations`].
    pub fn broken(&self, answers: Span) -> Vec<String> {
        let faults = self.outcome.faults.iter().take(3).map(|fault| format!("rule 1: {fault}"));
        faults.chain(self.violations(answers).iter().map(Violation::to_string)).collect()
    }

    /// What the history checker finds, if answers may come `answers` after their deadline.
    pub fn violations(&self, answers: Span) -> Vec<Violation> {
        let members = self.scenario.member_count();
        let link = |member: usize| (member, MemberLink { router: 0, member: member as u32 });
        let links = (0..members).map(link).collect();
        let cold_starts =
            ColdStart::all(&self.scenario, self.outcome.began, self.warm_member_rpcs_per_second);
        let history = History {
            scenario: &self.scenario,
            links: &links,
            seed: self.seed,
            journal: &self.outcome.journal,
            attempts: &self.attempts,
            tool_started_at: self.tool_started_at,
            truth: &self.truth,
            absences: &self.absences,
            drain_notices: &self.drain_notices,
            cold_starts: &cold_starts,
            tolerance: Tolerance { answer: answers, ..Tolerance::default() },
        };
        history.violations()
    }

    /// Delays of the router's event loop in `from..to`, in seconds of the load; in microseconds.
    pub fn delays(&self, from: f64, to: f64) -> Histogram<u64> {
        let mut delays = load::histogram();
        for probe in self.probe_delays.iter().filter(|probe| (from..to).contains(&self.load_s(probe.due))) {
            delays.saturating_record((probe.delay.nanos() / 1000).max(1) as u64);
        }
        delays
    }

    /// A time as seconds from the start of the load.
    fn load_s(&self, at: Time) -> f64 {
        (at - self.outcome.began).secs()
    }

    /// A quantile of [`RunRecord::delays`], in milliseconds.
    pub fn delay_ms(&self, quantile: f64, from: f64, to: f64) -> f64 {
        self.delays(from, to).value_at_quantile(quantile) as f64 / 1e3
    }

    /// The longest delay of the router's event loop.
    pub fn slowest(&self) -> LoopDelay {
        let slowest = self.probe_delays.iter().max_by_key(|probe| probe.delay);
        slowest.map_or(LoopDelay::default(), |probe| LoopDelay {
            at_s: self.load_s(probe.due),
            delay_ms: probe.delay.secs() * 1e3,
        })
    }

    /// What became of RPCs that were due in `from..to`, in seconds of the load.
    pub fn counts(&self, from: f64, to: f64) -> load::Counts {
        let mut total = load::Counts::default();
        self.outcome.within(from, to).flat_map(|slice| &slice.counts).for_each(|counts| total.add(counts));
        total
    }

    /// How often the router logged a change of its overload level.
    pub fn level_changes(&self) -> usize {
        self.log.iter().filter(|line| router_log::is_overload_level_change(line)).count()
    }
}

/// A plan of open arrivals: phases with their seconds and RPCs a second.
pub fn open(seed: u64, phases: &[(f64, f64)]) -> Plan {
    Plan {
        pace: load::Pace::Open(
            phases.iter().map(|&(secs, rate)| (Span::from_secs_f64(secs), rate)).collect(),
        ),
        connections: 200,
        pipeline: 64,
        seed,
        ..Plan::default()
    }
}
