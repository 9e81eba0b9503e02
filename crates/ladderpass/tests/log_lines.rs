//! The testbed parses some lines of the router's log. These tests check that it can parse the lines as the reducer
//! writes them.

mod common;

use common::{SIMULATION_START, launch_with_config, router_config, simulated_members, startup_response};
use ladderpass::reducer::{ConnectionId, Effect, Event, Reducer};
use ladderpass_routing::{Span, Time};
use ladderpass_testbed::router_log;
use std::io::Write;
use std::sync::{Arc, Mutex};

/// A log writer that keeps all bytes in memory.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no writer panics").write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Returns the lines that a reducer logs in eleven seconds and at SIGTERM, while no connection to a member is
/// established.
fn capture_log_lines() -> Vec<String> {
    capture_log_lines_with(|_, reducer, now, id| drop(reducer.handle(now, Event::Closed(id))))
}

/// Returns the lines that a reducer logs in eleven seconds and at SIGTERM. `on_connect` is called for each connect that
/// the reducer requests, with the number of the connects before.
fn capture_log_lines_with(on_connect: impl Fn(usize, &mut Reducer, Time, ConnectionId)) -> Vec<String> {
    let buffer = LogBuffer::default();
    let writer = buffer.clone();
    let subscriber = tracing_subscriber::fmt().with_ansi(false).with_writer(move || writer.clone()).finish();
    tracing::subscriber::with_default(subscriber, || {
        let members = simulated_members(3);
        let mut reducer = Reducer::start(SIMULATION_START, launch_with_config(&router_config(&members)));
        let mut connects = 0;
        for milliseconds in (0..11_000).step_by(5) {
            let now = SIMULATION_START + Span::from_millis(milliseconds);
            for effect in reducer.handle(now, Event::Tick) {
                if let Effect::Connect(id, address) = effect {
                    let is_discovery = address.port() == 8500;
                    on_connect(if is_discovery { usize::MAX } else { connects }, &mut reducer, now, id);
                    connects += usize::from(!is_discovery);
                }
            }
        }
        reducer.handle(SIMULATION_START + Span::from_millis(11_000), Event::Terminate);
    });
    let bytes = buffer.0.lock().expect("no writer panics").clone();
    String::from_utf8(bytes).expect("UTF-8 text").lines().map(str::to_owned).collect()
}

#[test]
fn the_testbed_parses_the_log_lines_of_the_router() {
    let lines = capture_log_lines();
    let stats: Vec<&String> = lines.iter().filter(|line| router_log::is_stats(line)).collect();
    assert_eq!(stats.len(), 1, "{}", lines.join("\n"));
    let line = stats[0];
    assert_eq!(router_log::number(line, "clients"), Some(0.0), "{line}");
    assert_eq!(router_log::number(line, "member_connections"), Some(0.0), "{line}");
    assert_eq!(router_log::number(line, "members"), Some(3.0), "{line}");
    let connects = router_log::number(line, "connects").expect("the line has the field");
    let health_checks = router_log::sum_by_outcome(line, "health_checks").expect("the line has the field");
    assert!(connects >= 3.0 && health_checks == connects, "each connect is for one health check: {line}");
    assert_eq!(lines.iter().filter(|line| router_log::is_shutdown_begun(line)).count(), 1);
    assert!(!lines.iter().any(|line| router_log::is_overload_level_change(line)));
}

/// `connect_ms` is the mean time of the connects that were established. Connects that failed have no time to count.
#[test]
fn the_mean_connect_time_is_that_of_the_established_connects() {
    let lines = capture_log_lines_with(|nth, reducer, now, id| match nth {
        0 => {
            let established_at = now + Span::from_millis(12);
            reducer.handle(established_at, Event::Connected(id));
            let startup = startup_response();
            reducer.read_buffer(id)[..startup.len()].copy_from_slice(&startup);
            reducer.handle(established_at, Event::Received(id, startup.len(), Span::ZERO));
        }
        _ => drop(reducer.handle(now, Event::Closed(id))),
    });
    let line = lines.iter().find(|line| router_log::is_stats(line)).expect("the statistics are logged");
    assert!(router_log::number(line, "connects").is_some_and(|connects| connects >= 3.0), "{line}");
    assert_eq!(router_log::number(line, "connect_ms"), Some(12.0), "{line}");
}

/// The testbed's proofs also measure earlier versions of the router, whose log lines were worded differently.
#[test]
fn the_testbed_parses_log_lines_of_earlier_versions() {
    assert!(router_log::is_shutdown_begun("INFO ladderpass: stopping: 3 clients, 1 rpcs"));
    assert!(router_log::is_overload_level_change(r#"own load before="calm" now="shedding""#));
    let metrics = router_log::metrics(r#"INFO ladderpass::figures: figures {"pressure":0.5}"#);
    assert_eq!(metrics.and_then(|metrics| metrics.get("pressure")?.as_f64()), Some(0.5));
}
