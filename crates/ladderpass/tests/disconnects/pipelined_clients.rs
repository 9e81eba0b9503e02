//! Clients that pipeline many statements, and then disconnect or stay.

use crate::common::{error_response, next_frame, query, sqlstate, statement};
use crate::router_harness::{RouterHarness, read_answer, start_harness, write_statement};
use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

/// Eight times, a client sends an RPC and then the bytes from `bytes_after`, as far as the kernel takes them. The
/// client disconnects 0.12 s before the RPC is answered, by a close and a half close in turn. Returns how many of the
/// later statements the member gets.
fn count_forwarded_after(bytes_after: impl Fn(usize) -> Vec<u8>) -> usize {
    let mut harness = start_harness(|config| config);
    let mut forwarded = 0;
    for round in 0..8 {
        let mut client = harness.client();
        client.write_all(&query(&write_statement(&format!("first-{round}")))).expect("the router reads");
        let link = harness.wait_for_rpc(0, &format!("first-{round}"), &mut forwarded);
        let kept = send_and_disconnect(&harness, client, &bytes_after(round), round % 2 == 1);
        harness.answer_rpc(0, link);
        let mut next = harness.client();
        next.write_all(&query(&write_statement(&format!("next-{round}")))).expect("the router reads");
        let link = harness.wait_for_rpc(0, &format!("next-{round}"), &mut forwarded);
        harness.answer_rpc(0, link);
        assert_eq!(read_answer(&mut next).0, b"TDCZ");
        drop(kept);
    }
    forwarded
}

/// Sends bytes from a client as far as the kernel takes them, disconnects the client, and waits for 0.12 s. After a
/// half close, returns the connection, so that it stays open.
fn send_and_disconnect(
    harness: &RouterHarness,
    mut client: TcpStream,
    mut bytes: &[u8],
    is_half_close: bool,
) -> Option<TcpStream> {
    client.set_nonblocking(true).expect("non-blocking mode is set");
    while let Ok(count @ 1..) = client.write(bytes) {
        bytes = &bytes[count..];
        harness.settle();
    }
    client.shutdown(std::net::Shutdown::Write).expect("the write side is closed");
    let kept = Some(client).filter(|_| is_half_close);
    sleep(Duration::from_millis(120));
    harness.settle();
    kept
}

/// The queries of `count` writes of some 8 KB each.
fn later_statements(round: usize, count: usize) -> Vec<u8> {
    let statement = |nth| write_statement(&format!("gone-{round}-{nth}")).replace("9f03", &"9f".repeat(4000));
    (0..count).flat_map(|nth| query(&statement(nth))).collect()
}

/// The statements after a client's first RPC fill the client's buffer in the router, and then the client disconnects.
/// None of these statements is forwarded.
#[test]
fn statements_of_a_client_that_disconnects_with_a_full_buffer_are_not_forwarded() {
    assert_eq!(count_forwarded_after(|round| later_statements(round, 72)), 0);
}

/// The client has sent more than the router's buffer and the socket can hold, so the kernel delivers the
/// client's close only after the router has read the bytes before it. The router reads them all and starts
/// none of their RPCs. The test covers both a close and a half close; after a half close no reset tells the
/// router that the client has disconnected.
#[test]
fn statements_of_a_client_whose_close_the_kernel_delays_are_not_forwarded() {
    assert_eq!(count_forwarded_after(|round| later_statements(round, 1000)), 0);
}

/// A client disconnects after it has sent more than the router's buffer and the socket hold, and the member that has
/// the client's first RPC rejects the RPC. No other member gets the RPC.
#[test]
fn a_failed_attempt_is_not_retried_when_the_kernel_delays_the_clients_close() {
    let mut harness = start_harness(|config| config);
    let mut client = harness.client();
    client.write_all(&query(&statement("first", "read", 60_000, "1"))).expect("the router reads");
    let (id, mut link) = harness.next_rpc(1);
    assert_eq!(id, "first");
    let _kept = send_and_disconnect(&harness, client, &later_statements(0, 1000), true);
    link.write_all(&error_response("53300")).expect("the router reads");
    assert_eq!(harness.next_rpc_within(0, Duration::from_millis(500)).map(|(id, _)| id), None);
}

/// A client that pipelines many statements and stays connected gets an answer to each. If the router has space for all
/// statements, all are served. Otherwise some of them are rejected, and the rest is served once all input is read.
#[test]
fn a_client_that_pipelines_many_statements_and_stays_gets_every_answer() {
    for (count, all_served) in [(60, true), (160, false)] {
        let mut harness = start_harness(|config| config);
        let mut client = harness.client();
        let mut writer = client.try_clone().expect("the socket is cloned");
        let bytes = later_statements(0, count);
        let writing = std::thread::spawn(move || writer.write_all(&bytes));
        let reading = std::thread::spawn(move || {
            let answers: Vec<_> = (0..count).map(|_| read_answer(&mut client)).collect();
            answers
        });
        while !reading.is_finished() {
            if let Some((_, link)) = harness.next_rpc_within(0, Duration::from_millis(200)) {
                harness.answer_rpc(0, link);
            }
        }
        writing.join().expect("the thread does not panic").expect("the router reads");
        let answers = reading.join().expect("the thread does not panic");
        let served = answers.iter().filter(|(kinds, _)| kinds == b"TDCZ").count();
        let rejected = answers.iter().filter(|(kinds, code)| kinds == b"EZ" && code == "53300").count();
        assert_eq!(served + rejected, count, "{answers:?}");
        assert!(served == count || !all_served && served >= 60, "{served} of {count}");
    }
}

/// Guards against lost RPCs behind a client's last error: a statement that arrived in the pause after an earlier error was
/// still in the socket when the connection was closed, and the close reset the connection.
#[test]
fn a_statement_sent_in_the_pause_before_the_last_error_is_answered() {
    let harness = start_harness(|config| config);
    let mut client = harness.client();
    client.write_all(&query("SELECT 1").repeat(4)).expect("the router reads");
    let mut codes = Vec::new();
    while let Some((kind, body)) = next_frame(&mut client) {
        if kind != b'E' {
            continue;
        }
        codes.push(sqlstate(&body));
        if codes.len() == 3 {
            // The router reads nothing for 0.4 s.
            client.write_all(&query(&write_statement("1"))).expect("the socket accepts the statement");
        }
    }
    assert_eq!(codes, ["42601", "42601", "42601", "42601", "53300"]);
}
