//! A soak test: short runs of a router, each with another random seed, up to the earliest SIGKILL that the operators'
//! pages allow.
//!
//! Clients keep using open connections until the SIGKILL. Signals follow each other quickly. Members, discovery and the
//! network fail by a plan drawn from the seed, system calls fail, the wall clock is stepped, and some runs have many
//! idle clients.
//!
//! In CI the test takes about a minute. Longer runs are started by hand:
//! `LADDERPASS_SOAK=first..last cargo test --release -p ladderpass --test soak -- --nocapture`.

mod failing_syscalls;
mod loss_checker;

use failing_syscalls::{ClockStep, FailingSyscall};
use ladderpass_emulator::Scenario;
use ladderpass_emulator::scenario::RouterLimits;
use ladderpass_fault_injection::Rule;
use ladderpass_routing::Span;
use ladderpass_testbed::load::{Phase, Plan, RpcRecord};
use ladderpass_testbed::run::{self, FaultEvent, links, open_plan};
use loss_checker::{KILL_AFTER, StopTimes, check_run, signal};
use nanorand::{Rng, WyRand};
use nix::sys::signal::Signal;
use std::net::TcpStream;
use std::time::Duration;

#[test]
fn router_process() {
    failing_syscalls::serve_if_planned();
}

/// The seeds of the runs in CI.
const SEEDS: std::ops::Range<u64> = 0..16;
/// How long the router is paused by SIGSTOP; the operators' pages allow such a pause at any time.
const PAUSE_DURATION: Span = Span::from_millis(150);

fn secs(span: Span) -> f64 {
    span.secs()
}

/// The faults and the load of one run, drawn from its seed.
#[derive(Debug)]
struct SoakRun {
    deadline: Span,
    pipeline: usize,
    idle_clients: usize,
    term_at: Span,
    sighups_at: Vec<Span>,
    sigterm_count: usize,
    drains_at: Option<Span>,
    pauses_at: Vec<Span>,
    failures: Vec<FailingSyscall>,
    steps: Vec<ClockStep>,
    /// The number of members that stop answering 50 ms before SIGTERM and never resume.
    silent_members: usize,
    network_rule_count: usize,
}

/// System calls that may fail while a router serves, each with a transient error.
const CALLS: [(i64, i32); 8] = [
    (libc::SYS_recvmsg, libc::ENOMEM),
    (libc::SYS_sendto, libc::ENOBUFS),
    (libc::SYS_epoll_ctl, libc::ENOMEM),
    (libc::SYS_accept4, libc::ENFILE),
    (libc::SYS_accept4, libc::ECONNABORTED),
    (libc::SYS_socket, libc::EMFILE),
    (libc::SYS_connect, libc::EADDRNOTAVAIL),
    (libc::SYS_openat, libc::EIO),
];

impl SoakRun {
    fn of_seed(seed: u64) -> SoakRun {
        let mut random = WyRand::new_seed(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let mut below = |limit: u64| random.generate_range(0..limit);
        let term_at = Span::from_millis(700 + below(500) as i64);
        let after_start = |at: u64| Span::from_millis(100 + at as i64);
        SoakRun {
            deadline: Span::from_millis([300, 500, 1000, 2000][below(4) as usize]),
            pipeline: [1, 1, 4][below(3) as usize],
            idle_clients: [0, 0, 300][below(3) as usize],
            term_at,
            sighups_at: (0..below(5)).map(|_| after_start(below(2000))).collect(),
            sigterm_count: 1 + below(3) as usize,
            drains_at: (below(3) == 0).then(|| term_at - Span::from_millis(100 + below(300) as i64)),
            pauses_at: (0..below(3)).map(|_| after_start(below(1500))).collect(),
            failures: (0..below(3))
                .map(|_| {
                    let (call, errno) = CALLS[below(CALLS.len() as u64) as usize];
                    let (after, every) = (Duration::from_millis(300 + below(1500)), 1 + below(6));
                    FailingSyscall {
                        after,
                        every,
                        count: 1 + below(20),
                        ..FailingSyscall::with_errno(call, errno)
                    }
                })
                .collect(),
            steps: (0..below(3))
                .map(|_| {
                    let by = Duration::from_millis([300, 2000, 5000, 3_600_000][below(4) as usize]);
                    ClockStep { after: Duration::from_millis(below(2000)), by, back: below(2) == 0 }
                })
                .collect(),
            silent_members: below(4) as usize,
            network_rule_count: below(4) as usize,
        }
    }

    /// Faults of the network between the router, its members and discovery, and the members that stop answering.
    fn network_rules(&self, seed: u64) -> Vec<Rule> {
        let links = links(
            &["127.0.0.1:1".parse().expect("an address"); 3],
            "127.0.0.1:2".parse().expect("an address"),
        );
        let drawn =
            ladderpass_fault_injection::Plan::drawn(seed, self.network_rule_count, links).rules.into_iter();
        // Rules that garble bytes within a value are left out, since no router can detect such bytes.
        let mut rules: Vec<Rule> = drawn.filter(|rule| rule.action.name() != "garble").collect();
        let silent_at = (secs(self.term_at) * 1e3) as i64 - 50;
        rules.extend((0..self.silent_members).map(|member| {
            let rule = format!(
                "{{name: hang-{member}, link: member-{member}, when: {{after_ms: {silent_at}, message: ReadyForQuery}}, \
                 do: silence, times: 0}}"
            );
            Rule::read(&rule).unwrap_or_else(|fault| panic!("{fault}"))
        }));
        rules
    }

    /// Events at the router process and the members. Their times are in seconds since the start of the load.
    fn fault_events<'a>(&self, kill_at: Span, stop_times: &'a StopTimes) -> Vec<FaultEvent<'a>> {
        let mut fault_events: Vec<FaultEvent<'_>> = Vec::new();
        if self.idle_clients > 0 {
            let mut idle_clients = Vec::new();
            let count = self.idle_clients;
            fault_events.push(FaultEvent::at(0.2, move |router, _| {
                idle_clients.extend((0..count).filter_map(|_| TcpStream::connect(router.address).ok()));
            }));
        }
        for &at in &self.sighups_at {
            fault_events.push(FaultEvent::at(secs(at), move |router, _| signal(router, Signal::SIGHUP)));
        }
        for &at in &self.pauses_at {
            fault_events.push(FaultEvent::at(secs(at), move |router, _| signal(router, Signal::SIGSTOP)));
            fault_events.push(FaultEvent::at(secs(at + PAUSE_DURATION), move |router, _| {
                signal(router, Signal::SIGCONT)
            }));
        }
        for nth in 0..self.sigterm_count {
            let at = secs(self.term_at) + nth as f64 * 0.15;
            // The router process may have ended already, which is no error.
            fault_events.push(FaultEvent::at(at, move |router, _| drop(stop_times.terminate(router))));
        }
        if let Some(at) = self.drains_at {
            fault_events.push(FaultEvent::at(secs(at), |_, emulator| emulator.drain(1)));
        }
        fault_events.push(FaultEvent::at(secs(kill_at), move |router, _| stop_times.kill(router)));
        fault_events
    }
}

/// Runs the test with one seed. Returns the rules that the run breaks, followed by the run's parameters and the last
/// log lines.
fn violations_of(seed: u64) -> Vec<String> {
    let soak_run = SoakRun::of_seed(seed);
    let scenario = Scenario::default();
    let rules = soak_run.network_rules(seed);
    let mut start = failing_syscalls::start(&soak_run.failures, &soak_run.steps);
    let sockets = if soak_run.idle_clients > 0 { 256 } else { 1024 };
    start.allowed = RouterLimits { cores: 1.0, memory_mb: 64, sockets };
    let kill_at = soak_run.term_at + soak_run.deadline + KILL_AFTER;
    let phases = [Phase { seconds: secs(kill_at) + 0.3, rate_per_second: 150.0 }];
    let plan = Plan {
        connections: 40,
        pipeline: soak_run.pipeline,
        deadline: soak_run.deadline,
        ..open_plan(seed, &phases)
    };
    let stop_times = &StopTimes::default();
    let fault_events = soak_run.fault_events(kill_at, stop_times);
    let result = run::run_with_fault_rules(&scenario, &start, &plan, Some(rules), fault_events, |_| {});
    let (record, _) = result.unwrap_or_else(|fault| panic!("seed {seed}: {fault}"));
    let bounds = stop_times.bounds(soak_run.idle_clients > 0, Span::ZERO);
    let bounds = bounds.unwrap_or_else(|| panic!("seed {seed}: the run ended before SIGKILL"));
    let (sigkill_at, journal) = (bounds.sigkill_at, &record.outcome.journal);
    let is_seen_after_kill = |rpc: &&RpcRecord| {
        rpc.refused && rpc.sent < sigkill_at && rpc.lost.is_some_and(|at| at >= sigkill_at)
    };
    println!(
        "seed {seed}: {} of {} RPCs refused, as seen after SIGKILL",
        journal.iter().filter(is_seen_after_kill).count(),
        journal.len()
    );
    let mut violations = check_run(&record, &bounds);
    if !violations.is_empty() {
        violations.push(format!("{soak_run:?}"));
        violations.extend(record.log.iter().rev().take(5).cloned());
    }
    violations
}

#[test]
fn no_rule_breaks_in_short_runs() {
    let seed_range = std::env::var("LADDERPASS_SOAK").ok();
    let seeds = seed_range.as_deref().and_then(|text| text.split_once(".."));
    let seeds = seeds.and_then(|(first, last)| Some(first.parse().ok()?..last.parse().ok()?));
    let mut failures = Vec::new();
    for seed in seeds.unwrap_or(SEEDS) {
        let violations = violations_of(seed);
        println!("seed {seed}: {} violations", violations.len());
        if let Some(first) = violations.first() {
            failures.push(format!(
                "seed {seed}: {} violations, first {first}; {:?}",
                violations.len(),
                violations.last()
            ));
            violations.iter().take(12).for_each(|line| println!("  {line}"));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
