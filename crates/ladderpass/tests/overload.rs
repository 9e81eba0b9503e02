//! An overloaded router process with emulated members: cases that need sockets and a process. The assertions are about
//! who is answered and how, never how fast, so they hold on any machine, however slow.

mod one_at_a_time;

use ladderpass_emulator::{Input, Scenario};
use ladderpass_routing::Span;
use ladderpass_testbed::charts;
use ladderpass_testbed::load::{Phase, Plan};
use ladderpass_testbed::router::Start;
use ladderpass_testbed::run::{self, FaultEvent, RunRecord, open_plan};
use nix::sys::signal::Signal;
use one_at_a_time::wait_for_turn;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Operator settings by which memory counts as short, so that all RPCs of low priority are shed from the first sample
/// on.
const SHORT: &str = "overload:\n  memory: {from: 0.001, full: 0.08}\n";

fn start(operator: &str) -> Start {
    Start { operator: Some(operator.to_owned()), ..Start::new(Path::new(env!("CARGO_BIN_EXE_ladderpass"))) }
}

/// A load with long deadlines that a slow build on one core can serve too.
fn gentle(seed: u64, phases: &[Phase]) -> Plan {
    Plan { connections: 50, deadline: Span::from_millis(4000), ..open_plan(seed, phases) }
}

fn run(scenario: &Scenario, start: &Start, plan: &Plan, events: Vec<FaultEvent<'_>>) -> RunRecord {
    let seen = run::run(scenario, start, plan, events).unwrap_or_else(|fault| panic!("{fault}"));
    assert_eq!(seen.violation_texts(Span::from_millis(4000)), Vec::<String>::new());
    seen
}

fn assert_all_answered(seen: &RunRecord) {
    let total = seen.outcome.total();
    assert_eq!((total.unanswered, total.unsent), (0, 0), "{total:?}");
    assert_eq!(total.due, total.ok + total.rejected + total.aborted + total.late, "{total:?}");
}

#[test]
fn nothing_is_shed_without_operator_settings() {
    let _turn = wait_for_turn();
    let mut start = start(SHORT);
    start.operator = None;
    let seen = run(
        &Scenario::default(),
        &start,
        &gentle(1, &[Phase { seconds: 1.0, rate_per_second: 500.0 }]),
        vec![],
    );
    let total = seen.outcome.total();
    assert!(total.ok > 400 && total.rejected == 0, "{total:?}");
}

#[test]
fn under_pressure_reads_are_shed_before_writes_and_each_gets_a_retry_after() {
    let _turn = wait_for_turn();
    // Four fifths of the work are reads. Writes are shed only once more than all reads would have to be shed.
    let short = "overload:\n  memory: {from: 0.001, full: 0.2}\n";
    let seen = run(
        &Scenario::default(),
        &start(short),
        &gentle(2, &[Phase { seconds: 2.0, rate_per_second: 500.0 }]),
        vec![],
    );
    assert_all_answered(&seen);
    let (reads, writes) = (seen.outcome.of(0), seen.outcome.of(1));
    assert!(reads.rejected > 50, "{reads:?}");
    assert_eq!((writes.rejected, writes.aborted), (0, 0), "{writes:?}");
    assert!(seen.outcome.come_back_ms.min() >= 10 && seen.outcome.come_back_ms.max() <= 500);
    assert!(
        seen.outcome.come_back_ms.max() > seen.outcome.come_back_ms.min() + 10,
        "retry-after times are spread at random"
    );
}

/// Delay of the event loop counts as overload only from 2 s on in this test. With the default, the test failed beside
/// 16 busy processes: too few of the hundred clients blocked their connections (0 and 14, and 6 in an earlier version;
/// 20 are required). Other processes used the router's core, which delayed its event loop (the metrics showed
/// `delay_ms` 34.5, `stolen` 0.34, 200 RPCs accepted and 200 shed). The router rightly became overloaded and shed the
/// very statements whose answers were to fill the sockets. So none of the hundred may be shed here.
#[test]
fn a_hundred_clients_that_never_read_are_closed_and_the_others_served() {
    let _turn = wait_for_turn();
    let mut scenario = Scenario::default();
    scenario.methods[0].value_bytes = 64 << 10;
    let mut start =
        start("log: {figures: 100ms}\noverload: {slow_reader: 500ms, delay: {from: 2s, full: 4s}}\n");
    start.allowed.memory_mb = 64;
    // The slow readers connect in the first phase, the other clients in the second.
    let plan = Plan {
        slow_readers: 100,
        ..gentle(
            3,
            &[Phase { seconds: 3.5, rate_per_second: 0.0 }, Phase { seconds: 2.5, rate_per_second: 100.0 }],
        )
    };
    let seen = run(&scenario, &start, &plan, vec![]);
    assert_all_answered(&seen);
    let after = seen.counts(5.0, 6.0);
    assert!(after.due > 50 && after.ok == after.due, "after the slow readers are closed: {after:?}");
    assert!(seen.resident_bytes < 64 << 20, "the router uses {} bytes", seen.resident_bytes);
    // A client that does not read never sees the close behind its unread bytes, so the router's metrics have to show
    // it.
    let slow = charts::figures(&seen.log, "slow_readers", 0.1);
    let most = slow.iter().map(|figure| figure.1).fold(0.0, f64::max);
    let shed: f64 = charts::figures(&seen.log, "shed", 0.1).iter().map(|figure| figure.1).sum();
    assert_eq!(shed, 0.0, "statements of the slow readers were shed");
    assert!(most >= 20.0, "only {most} clients blocked their connections");
    assert_eq!(slow.last().map(|figure| figure.1), Some(0.0));
    let clients = charts::figures(&seen.log, "clients", 0.1).last().map_or(0.0, |figure| figure.1);
    assert!(clients < 152.0 - most / 2.0, "{clients} clients are still connected");
}

#[test]
fn a_flooding_client_is_shed_more_than_the_others() {
    let _turn = wait_for_turn();
    let plan = Plan {
        floods: 1,
        flood_depth: 400,
        ..gentle(
            4,
            &[Phase { seconds: 0.5, rate_per_second: 400.0 }, Phase { seconds: 2.0, rate_per_second: 400.0 }],
        )
    };
    let seen = run(&Scenario::default(), &start(SHORT), &plan, vec![]);
    assert_all_answered(&seen);
    let (flood, polite) = (&seen.outcome.flood, seen.counts(0.5, 2.5));
    assert!(flood.rejected > flood.ok, "{flood:?}");
    let part = |pushed: u64, due: u64| pushed as f64 / due.max(1) as f64;
    let (theirs, ours) = (part(flood.rejected, flood.due), part(polite.rejected, polite.due));
    assert!(ours < theirs * 0.8, "rejected share of the polite clients {ours:.2}, of the flood {theirs:.2}");
}

#[test]
fn a_reload_a_member_crash_and_a_shutdown_lose_no_rpc_while_shedding() {
    let _turn = wait_for_turn();
    let events: Vec<FaultEvent<'_>> = vec![
        FaultEvent::at(0.5, |router, _| router.signal(Signal::SIGHUP).expect("the router is running")),
        FaultEvent::at(1.0, |_, emulator| emulator.apply(1, Input::Crash)),
        FaultEvent::at(2.0, |_, emulator| emulator.apply(1, Input::Restart)),
    ];
    let seen = run(
        &Scenario::default(),
        &start(SHORT),
        &gentle(5, &[Phase { seconds: 3.0, rate_per_second: 500.0 }]),
        events,
    );
    assert_all_answered(&seen);
    assert!(
        seen.log.iter().any(|line| line.contains("configuration reloaded discovery=")),
        "the configuration is reloaded at SIGHUP"
    );
    assert!(seen.outcome.total().rejected > 100 && seen.outcome.total().ok > 300);
    assert_eq!(seen.ended, None, "the router keeps running");
    // SIGTERM in the middle of the load: all accepted RPCs are answered, and then the process exits with success.
    let events: Vec<FaultEvent<'_>> =
        vec![FaultEvent::at(1.0, |router, _| router.signal(Signal::SIGTERM).expect("the router is running"))];
    let plan = Plan { connections: 50, ..gentle(6, &[Phase { seconds: 1.2, rate_per_second: 500.0 }]) };
    let seen = run(&Scenario::default(), &start(SHORT), &plan, events);
    assert_eq!(seen.ended, Some(Some(0)), "{:?}", seen.log.last());
    assert_eq!(seen.counts(0.0, 0.9).unanswered, 0);
}

#[test]
fn all_rpcs_are_answered_after_a_pause_of_800_ms() {
    let _turn = wait_for_turn();
    let events: Vec<FaultEvent<'_>> = vec![
        FaultEvent::at(1.0, |router, _| router.signal(Signal::SIGSTOP).expect("the router is running")),
        FaultEvent::at(1.8, |router, _| router.signal(Signal::SIGCONT).expect("the router is paused")),
    ];
    let seen = run(
        &Scenario::default(),
        &start("overload: {}\n"),
        &gentle(7, &[Phase { seconds: 4.0, rate_per_second: 300.0 }]),
        events,
    );
    assert_all_answered(&seen);
    let after = seen.counts(3.8, 4.0);
    assert!(after.ok == after.due, "two seconds after the stall: {after:?}");
}

#[test]
fn all_rpcs_are_answered_while_a_busy_thread_uses_the_same_core() {
    let _turn = wait_for_turn();
    let core = ladderpass_testbed::router::cores() - 1;
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let hog = std::thread::spawn(move || {
        ladderpass_testbed::router::pin(nix::unistd::Pid::from_raw(0), core)
            .expect("a thread may pin itself");
        while !stopped.load(Ordering::Relaxed) {
            std::hint::spin_loop();
        }
    });
    let mut start = start("overload: {}\n");
    start.cpu = Some(core);
    let seen = run(
        &Scenario::default(),
        &start,
        &gentle(8, &[Phase { seconds: 3.0, rate_per_second: 500.0 }]),
        vec![],
    );
    stop.store(true, Ordering::Relaxed);
    hog.join().expect("the thread does not panic");
    assert_all_answered(&seen);
}
