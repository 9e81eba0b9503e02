//! Attempts of RPCs: the time left that each attempt carries, and conditions under which no further attempt is sent.

use crate::common::{close, next_frame, query, reset, startup_response, statement};
use crate::ms;
use crate::router_harness::{accept_connection_within, read_answer, read_startup, start_harness};
use std::io::{Read, Write};
use std::thread::sleep;
use std::time::Instant;

/// The value of the field `d` in a statement: how long the statement's client waits, in milliseconds.
fn wait_ms_of(statement: &str) -> u64 {
    let (_, rest) = statement.split_once(",d=").expect("the statement has a time");
    rest.split(|c: char| !c.is_ascii_digit())
        .next()
        .and_then(|text| text.parse().ok())
        .expect("the time is a number")
}

/// The members of the group recognize and drop a duplicate of a write for 0.6 s (`KeyTtl`) after the first attempt that
/// may have run. The second attempt waits for its connection until that window is over, and so is not sent.
#[test]
fn a_retry_is_not_sent_once_the_deduplication_window_is_over() {
    let window = "\"Effect\":\"token\",\"DedupScope\":\"cell\",\"KeyTtl\":600000000";
    let mut harness = start_harness(|config| config.replace("\"Effect\":\"side_effect\"", window));
    let mut client = harness.client();
    client.write_all(&query(&statement("1", "write", 5000, "1"))).expect("the router reads");
    let (_, connection) = harness.next_rpc(0);
    let sent = Instant::now();
    // The connection closes without an answer, so the write may have run.
    close(connection);
    let mut late_connection = harness.accept_member_connection(0);
    sleep(ms(900).saturating_sub(sent.elapsed()));
    late_connection.write_all(&startup_response()).expect("the router waits for the connection");
    late_connection.set_read_timeout(Some(ms(500))).expect("the socket option can be set");
    let mut received = Vec::new();
    let _ = late_connection.read_to_end(&mut received);
    assert!(!received.contains(&b'Q'), "the retry was sent after {:?}", sent.elapsed());
    assert_eq!(read_answer(&mut client), (b"EZ".to_vec(), "58000".to_owned()));
}

/// A retry carries the time that is left until the client's deadline, not the time that the first attempt carried.
#[test]
fn a_retry_carries_the_time_left_until_the_clients_deadline() {
    let mut harness = start_harness(|config| config.replace("\"Slo\":750000000", "\"Slo\":1900000000"));
    let mut client = harness.client();
    let sent = Instant::now();
    client.write_all(&query(&statement("1", "read", 2000, "1"))).expect("the router reads");
    let (_, first) = harness.next_rpc(1);
    sleep(ms(600));
    close(first);
    let second =
        accept_connection_within(&harness.members[0], ms(1500)).expect("the router connects to the primary");
    let mut second = read_startup(second);
    second.write_all(&startup_response()).expect("the router reads");
    let (_, body) = next_frame(&mut second).expect("the member gets a query");
    let left_ms = 2000_u64.saturating_sub(sent.elapsed().as_millis() as u64);
    let wait_ms = wait_ms_of(&String::from_utf8(body).expect("UTF-8 text"));
    assert!(wait_ms <= left_ms + 150, "the retry carries {wait_ms} ms, but {left_ms} ms are left");
}

/// The client resets its connection, rather than closing it, while its RPC waits for a connection to a member.
#[test]
fn an_rpc_of_a_client_that_resets_its_connection_is_not_forwarded() {
    let mut harness = start_harness(|config| config);
    let mut client = harness.client();
    client.write_all(&query(&statement("1", "write", 5000, "1"))).expect("the router reads");
    let mut late_connection = harness.accept_member_connection(0);
    reset(client);
    sleep(ms(100));
    late_connection.write_all(&startup_response()).expect("the router reads");
    late_connection.set_read_timeout(Some(ms(300))).expect("the socket option can be set");
    let mut received = Vec::new();
    let _ = late_connection.read_to_end(&mut received);
    assert!(!received.contains(&b'Q'), "an attempt was sent after its client had left");
    harness.idle_connections[0].push(late_connection);
}
