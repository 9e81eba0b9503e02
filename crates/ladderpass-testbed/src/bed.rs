//! One run on the test bed: a fleet, a router on a core of its own, a load, a prober; and what all of them saw.
//!
//! It owns the order in which these start and stop. It must never reuse a fleet whose truth another run filled.

use crate::joint::{Absence, Drained, History, Started};
use crate::load::{self, Outcome, Plan, Prober};
use crate::router::{Router, Start, keep_off};
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

pub struct Seen {
    pub outcome: Outcome,
    /// Of the prober: when it asked, in seconds of the load, and how long the router took to come round.
    probed: Vec<(f64, Span)>,
    pub truth: ExecutionLog,
    /// CPU seconds of the router over the load.
    pub cpu: f64,
    pub resident: u64,
    pub log: Vec<String>,
    /// The router had ended before it was stopped.
    pub ended: Option<Option<i32>>,
    /// RPCs a second that a member which starts cold bears once it is warm.
    pub bears: f64,
    scenario: Scenario,
    seed: u64,
    passed: Vec<AttemptEvent>,
    tool_began: Time,
    absences: Vec<Absence>,
    drained: Vec<Drained>,
}

/// What a member bears that starts cold, if the run says nothing else.
const BEARS: f64 = 1000.0;

/// Something that happens at a time of the run, in seconds from its start.
pub type Deed<'a> = (f64, Box<dyn FnMut(&Router, &RunningEmulator) + 'a>);

pub fn run(scenario: &Scenario, start: &Start, plan: &Plan, deeds: Vec<Deed<'_>>) -> io::Result<Seen> {
    run_with(scenario, start, plan, deeds, |_| {})
}

/// `tell` hears how far the run is, in seconds.
pub fn run_with(
    scenario: &Scenario,
    start: &Start,
    plan: &Plan,
    deeds: Vec<Deed<'_>>,
    tell: impl FnMut(f64),
) -> io::Result<Seen> {
    run_through(scenario, start, plan, None, deeds, tell).map(|(seen, _)| seen)
}

/// What passes between the router and all others goes through the fault tool, where there are rules: on links named
/// `member-N` and `discovery`.
pub fn run_through(
    scenario: &Scenario,
    start: &Start,
    plan: &Plan,
    rules: Option<Vec<Rule>>,
    mut deeds: Vec<Deed<'_>>,
    mut tell: impl FnMut(f64),
) -> io::Result<(Seen, Option<RunSummary>)> {
    if let Some(cpu) = start.cpu {
        keep_off(cpu)?;
    }
    let kept = Scenario { history: true, ..scenario.clone() };
    let plan = &Plan { journal: true, ..plan.clone() };
    let fleet = RunningEmulator::start(kept, plan.seed, Ipv4Addr::LOCALHOST)?;
    let (mut members, mut discovery) = (fleet.addresses.clone(), fleet.discovery);
    let faults = match rules {
        None => None,
        Some(rules) => {
            let links = links(&members, discovery);
            let faults = driver::RunningTool::start(
                faults::Plan { seed: plan.seed, links, rules, ..faults::Plan::default() },
                None,
            )?;
            faults.send_command("watch").map_err(io::Error::other)?;
            let mut addresses = faults.addresses.clone();
            discovery = addresses.pop().unwrap_or(discovery);
            fleet.set_addresses(&addresses);
            members = addresses;
            Some(faults)
        }
    };
    let mut router = Router::start_before(scenario, &members, discovery, start, plan.seed)?;
    let prober = Prober::start(router.address, Duration::from_millis(1))?;
    let before = router.used().0;
    let outcome = load::run(scenario, router.address, plan, |at| {
        for (_, deed) in deeds.iter_mut().filter(|(when, _)| *when <= at) {
            deed(&router, &fleet);
        }
        deeds.retain(|(when, _)| *when > at);
        tell(at);
    })?;
    let (after, resident) = router.used();
    let probed = prober.stop();
    let probed = probed.into_iter().map(|(at, took)| ((at - outcome.began).secs(), took)).collect();
    // One that was told to stop has until now answered its clients: it ends with the last of them.
    let mut ended = router.ended();
    let stopping = router.log().iter().any(|line| line.contains("stopping clients="));
    for _ in 0..if stopping { 100 } else { 0 } {
        if ended.is_some() {
            break;
        }
        std::thread::sleep(Duration::from_millis(20));
        ended = router.ended();
    }
    let ends = router.told_to_end().map(|from| Absence {
        router: 0,
        from,
        to: Time::from_nanos(i64::MAX / 2),
        planned: true,
    });
    let log = router.stop();
    let mut left = faults.map(driver::RunningTool::stop);
    let drained = fleet.drains().into_iter().map(|(at, router, member)| Drained { router, member, at });
    let seen = Seen {
        outcome,
        probed,
        drained: drained.collect(),
        truth: fleet.stop(),
        cpu: after - before,
        resident,
        log,
        ended,
        bears: BEARS,
        scenario: scenario.clone(),
        seed: plan.seed,
        tool_began: left.as_ref().map_or(Time::default(), |left| left.started_at),
        passed: left.as_mut().map_or(Vec::new(), |left| std::mem::take(&mut left.attempts)),
        absences: ends.into_iter().collect(),
    };
    Ok((seen, left))
}

/// The links that stand before a fleet.
pub fn links(members: &[SocketAddr], discovery: SocketAddr) -> Vec<LinkShape> {
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let member = |(nth, &to): (usize, &SocketAddr)| LinkShape {
        name: format!("member-{nth}"),
        listen,
        to,
        protocol: Protocol::Postgres,
    };
    let mut links: Vec<LinkShape> = members.iter().enumerate().map(member).collect();
    links.push(LinkShape { name: "discovery".into(), listen, to: discovery, protocol: Protocol::Http });
    links
}

impl Seen {
    /// What breaks a rule, by the joint history, with answers that may come so much after their clients' time; and what a
    /// client was sent that no history can hold. Empty where all hold.
    pub fn broken(&self, answers: Span) -> Vec<String> {
        let rule = |violation: Violation| violation.to_string();
        let faults = self.outcome.faults.iter().take(3).map(|fault| format!("rule 1: {fault}"));
        faults.chain(self.violations(answers).into_iter().map(rule)).collect()
    }

    pub fn violations(&self, answers: Span) -> Vec<Violation> {
        let members = self.scenario.member_count();
        let links = (0..members).map(|member| (member, (0, member as u32))).collect();
        let started = Started::all(&self.scenario, self.outcome.began, self.bears);
        let grace = Tolerance { answer: answers, ..Tolerance::default() };
        let history = History {
            scenario: &self.scenario,
            links: &links,
            seed: self.seed,
            journal: &self.outcome.journal,
            passed: &self.passed,
            tool_began: self.tool_began,
            truth: &self.truth,
            absences: &self.absences,
            drained: &self.drained,
            started: &started,
            grace,
        };
        history.broken()
    }

    /// Loop delay between two times of the load, in microseconds.
    pub fn delays(&self, from: f64, to: f64) -> Histogram<u64> {
        let mut delays = load::histogram();
        for (_, took) in self.probed.iter().filter(|(at, _)| (from..to).contains(at)) {
            delays.saturating_record((took.nanos() / 1000).max(1) as u64);
        }
        delays
    }

    pub fn delay_ms(&self, quantile: f64, from: f64, to: f64) -> f64 {
        self.delays(from, to).value_at_quantile(quantile) as f64 / 1e3
    }

    /// When the router took longest to come round, and how long, in milliseconds.
    pub fn slowest(&self) -> (f64, f64) {
        let slowest = self.probed.iter().max_by_key(|(_, took)| *took);
        slowest.map_or((0.0, 0.0), |(at, took)| (*at, took.secs() * 1e3))
    }

    /// What became of RPCs that were due between two times of the load.
    pub fn counts(&self, from: f64, to: f64) -> load::Counts {
        let mut total = load::Counts::default();
        self.outcome.within(from, to).flat_map(|slice| &slice.counts).for_each(|counts| total.add(counts));
        total
    }

    /// How often the router told of another level.
    pub fn level_changes(&self) -> usize {
        self.log.iter().filter(|line| line.contains("overload level changed")).count()
    }
}

/// A plan of open arrivals.
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
