//! Shutdown of the router by SIGTERM. Accepted RPCs are answered before the process ends.

use crate::common::{next_frame, query, startup};
use crate::router_harness::{WAIT_TIMEOUT, read_answer, start_harness, write_statement};
use nix::sys::signal::Signal;
use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

/// After SIGTERM the router waits for unanswered RPCs. An earlier version exited 10 s after SIGTERM even if RPCs were
/// unanswered.
#[test]
fn shutdown_waits_for_rpcs_that_take_longer_than_ten_seconds() {
    let mut harness = start_harness(|config| config);
    let mut client = harness.client();
    client.write_all(&query(&write_statement("1"))).expect("the router reads");
    let (_, link) = harness.next_rpc(0);
    harness.signal(Signal::SIGTERM);
    harness.signal(Signal::SIGTERM);
    sleep(Duration::from_millis(10_500));
    harness.signal(Signal::SIGHUP);
    harness.answer_rpc(0, link);
    assert_eq!(read_answer(&mut client).0, b"TDCZ");
    harness.assert_clean_exit();
}

/// A reload of the configuration (SIGHUP) during shutdown changes nothing for clients that wait for an answer.
#[test]
fn sighup_during_shutdown_loses_no_rpc() {
    let mut harness = start_harness(|config| config);
    let mut client = harness.client();
    client.write_all(&query(&write_statement("1"))).expect("the router reads");
    let (_, link) = harness.next_rpc(0);
    harness.pause();
    harness.signal(Signal::SIGTERM);
    harness.signal(Signal::SIGHUP);
    harness.resume();
    sleep(Duration::from_millis(100));
    harness.signal(Signal::SIGHUP);
    harness.answer_rpc(0, link);
    assert_eq!(read_answer(&mut client).0, b"TDCZ");
    harness.assert_clean_exit();
}

/// A router that gets SIGTERM does not close idle connections at once, since each close may cross a statement. A client
/// that was idle for longer than most, and sends its next statement 0.3 s after SIGTERM, gets its answer.
#[test]
fn an_idle_connection_stays_open_after_sigterm_until_its_next_answer() {
    let mut harness = start_harness(|config| config);
    let mut client = harness.client();
    sleep(Duration::from_millis(500));
    harness.signal(Signal::SIGTERM);
    sleep(Duration::from_millis(300));
    client.write_all(&query(&write_statement("1"))).expect("the connection is open");
    let (_, link) = harness.next_rpc(0);
    harness.answer_rpc(0, link);
    assert_eq!(read_answer(&mut client).0, b"TDCZ");
    assert!(next_frame(&mut client).is_none(), "the connection is closed behind the answer");
    harness.assert_clean_exit();
}

/// A client connects after SIGTERM is sent, while the router process is paused. The client is served, and then the
/// process exits.
#[test]
fn clients_that_wait_to_be_accepted_at_sigterm_are_served() {
    let mut harness = start_harness(|config| config);
    harness.assert_write_succeeds("1");
    harness.pause();
    harness.signal(Signal::SIGTERM);
    let mut client = TcpStream::connect(&harness.address).expect("the router listens");
    client.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout is set");
    client
        .write_all(&[startup(), query(&write_statement("2"))].concat())
        .expect("the kernel buffers the bytes");
    harness.resume();
    let (id, link) = harness.next_rpc(0);
    assert_eq!(id, "2");
    harness.answer_rpc(0, link);
    while next_frame(&mut client).expect("an answer to the startup message").0 != b'Z' {}
    assert_eq!(read_answer(&mut client).0, b"TDCZ");
    harness.assert_clean_exit();
}
