//! Cancel requests over real connections.

use crate::common::{cancel, cancel_key, next_frame, query, startup, startup_response};
use crate::router_harness::{RouterHarness, WAIT_TIMEOUT, read_answer, start_harness, write_statement};
use std::io::{Read, Write};
use std::net::TcpStream;

/// Reads the answer to a client's startup message, and returns the key for cancel requests in that answer.
pub fn read_cancel_key(client: &mut TcpStream) -> (u32, u32) {
    let mut frames = Vec::new();
    while frames.last().is_none_or(|(kind, _)| *kind != b'Z') {
        frames.push(next_frame(client).expect("an answer to the startup message"));
    }
    cancel_key(&frames)
}

/// Sends a cancel request, and waits until the router closes the request's connection without an answer: by then the
/// router has handled the request.
pub fn send_cancel_request(harness: &RouterHarness, key: (u32, u32)) {
    let mut connection = TcpStream::connect(&harness.address).expect("the router listens");
    connection.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout is set");
    connection.write_all(&cancel(key)).expect("the router reads");
    let mut answer = Vec::new();
    connection.read_to_end(&mut answer).expect("the router closes the connection");
    assert_eq!(answer, b"");
}

/// A client cancels its RPC before the connection to the member is established. The client gets one answer at once, and
/// the RPC is never sent. The client's next RPC is served. A cancel request with a wrong key comes first.
#[test]
fn an_rpc_cancelled_before_its_member_connection_is_established_is_not_forwarded() {
    let mut harness = start_harness(|config| config);
    let mut client = TcpStream::connect(&harness.address).expect("the router listens");
    client.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout is set");
    client.write_all(&startup()).expect("the router reads");
    let key = read_cancel_key(&mut client);
    client.write_all(&query(&write_statement("gone"))).expect("the router reads");
    let mut link = harness.accept_member_connection(0);
    send_cancel_request(&harness, (key.0, key.1 ^ 1));
    send_cancel_request(&harness, key);
    assert_eq!(read_answer(&mut client), (b"EZ".to_vec(), "57014".to_owned()));
    link.write_all(&startup_response()).expect("the router reads");
    harness.idle_connections[0].push(link);
    client.write_all(&query(&write_statement("1"))).expect("the router reads");
    let (id, link) = harness.next_rpc(0);
    assert_eq!(id, "1", "the member gets no other RPC");
    harness.answer_rpc(0, link);
    assert_eq!(read_answer(&mut client).0, b"TDCZ");
}
