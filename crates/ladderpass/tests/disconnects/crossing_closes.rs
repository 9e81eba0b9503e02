//! Closes of connections that cross a statement, an answer or an accept on the way.

use crate::common::{close, next_frame, now_ms, query, row};
use crate::router_harness::{read_answer, start_harness, write_statement};
use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

/// Connections that were reset while they waited at the listener do not block other clients.
#[test]
fn connections_reset_before_accept_do_not_block_other_clients() {
    let mut harness = start_harness(|config| config);
    harness.pause();
    for _ in 0..8 {
        let stream = TcpStream::connect(&harness.address).expect("the router listens");
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("the linger option is set");
    }
    harness.resume();
    harness.assert_write_succeeds("1");
}

/// The idle timeout of a client's connection ends after the client's next statement has arrived and before the router
/// reads the statement. The statement is accepted.
#[test]
fn a_query_that_has_arrived_when_the_idle_timeout_ends_is_accepted() {
    let mut harness = start_harness(|config| config);
    let mut client = harness.client();
    sleep(Duration::from_millis(1500));
    harness.pause();
    client.write_all(&query(&write_statement("1"))).expect("the kernel buffers the bytes");
    sleep(Duration::from_millis(1500));
    harness.resume();
    let (id, link) = harness.next_rpc(0);
    assert_eq!(id, "1");
    harness.answer_rpc(0, link);
    assert_eq!(read_answer(&mut client).0, b"TDCZ");
}

/// A member's complete answer is forwarded to the client even if the member closes the connection right after the
/// answer.
#[test]
fn a_complete_answer_is_forwarded_although_the_member_closes_right_after_it() {
    let mut harness = start_harness(|config| config);
    let mut client = harness.client();
    client.write_all(&query(&write_statement("1"))).expect("the router reads");
    let (_, mut link) = harness.next_rpc(0);
    harness.pause();
    link.write_all(&row(b"v", "leader", now_ms())).expect("the kernel buffers the bytes");
    close(link);
    harness.resume();
    assert_eq!(read_answer(&mut client).0, b"TDCZ");
}

/// A member's answer and the close of the RPC's client cross. The answer goes to no client, and the next RPC on the
/// connection to the member gets its own answer.
#[test]
fn an_answer_that_crosses_its_clients_close_is_sent_to_no_other_client() {
    let mut harness = start_harness(|config| config);
    let mut client = harness.client();
    client.write_all(&query(&write_statement("1"))).expect("the router reads");
    let (_, mut link) = harness.next_rpc(0);
    harness.pause();
    close(client);
    link.write_all(&row(b"for another", "leader", now_ms())).expect("the kernel buffers the bytes");
    harness.resume();
    harness.idle_connections[0].push(link);
    let mut next = harness.client();
    next.write_all(&query(&write_statement("2"))).expect("the router reads");
    let (id, link) = harness.next_rpc(0);
    assert_eq!(id, "2");
    harness.answer_rpc(0, link);
    let mut value = Vec::new();
    while let Some((kind, body)) = next_frame(&mut next).filter(|(kind, _)| *kind != b'Z') {
        if kind == b'D' {
            value = body;
        }
    }
    assert!(value.ends_with(b"v") && !value.ends_with(b"another"));
}

/// A member closes its idle connection just when the next RPC arrives. The router handles the close first, and sends the
/// RPC once.
#[test]
fn a_member_close_that_crosses_a_statement_is_handled_before_the_statement() {
    let mut harness = start_harness(|config| config);
    harness.assert_write_succeeds("1");
    let mut client = harness.client();
    harness.pause();
    harness.idle_connections[0].clear();
    client.write_all(&query(&write_statement("2"))).expect("the kernel buffers the bytes");
    harness.resume();
    let (id, link) = harness.next_rpc(0);
    assert_eq!(id, "2");
    harness.answer_rpc(0, link);
    assert_eq!(read_answer(&mut client).0, b"TDCZ");
}
