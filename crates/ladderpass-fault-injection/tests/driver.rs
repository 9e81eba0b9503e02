//! The driver's sockets: delayed bytes are not lost when both sides have ended, and bytes stay in order.

use ladderpass_fault_injection::Plan;
use ladderpass_fault_injection::driver::RunningTool;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};

/// Both sides end their directions while the pieces of a response are still delayed. The tool must not close the
/// connection before all pieces are sent.
#[test]
fn delayed_bytes_are_delivered_after_both_sides_have_ended() {
    let server = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let links = format!(
        "links: [{{name: a, listen: '127.0.0.1:0', to: '{}', talk: raw}}]\n",
        server.local_addr().expect("the listener has an address")
    );
    let rules = "rules: [{name: s, do: {slice: {gap_ms: 2}}}]\n";
    let tool = RunningTool::start(Plan::read(&(links + rules)).expect("the plan is valid"), None)
        .expect("the tool starts");
    let server_thread = std::thread::spawn(move || {
        let (mut stream, _) = server.accept().expect("the connection is forwarded");
        let mut request = Vec::new();
        stream.read_to_end(&mut request).expect("all bytes arrive");
        stream.write_all(&[7; 100]).expect("the response is sent");
        request
    });
    let mut stream = TcpStream::connect(tool.addresses[0]).expect("the link listens");
    stream.write_all(b"asked").expect("the request is sent");
    stream.shutdown(Shutdown::Write).expect("the connection is open");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("all bytes arrive");
    assert_eq!((answer.len(), server_thread.join().expect("the server answers")), (100, b"asked".to_vec()));
}

/// The delay is shorter than the time until the tool reads again, so delayed bytes are due when further bytes arrive
/// without a delay. The delayed bytes must still be sent first.
#[test]
fn bytes_with_a_very_short_delay_keep_their_order() {
    let server = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let links = format!(
        "links: [{{name: a, listen: '127.0.0.1:0', to: '{}', talk: raw}}]\n",
        server.local_addr().expect("the listener has an address")
    );
    let rules = "rules: [{name: d, when: {byte: 0}, do: {delay: {ms: 0.005}}, times: 0}]\n";
    let tool = RunningTool::start(Plan::read(&(links + rules)).expect("the plan is valid"), None)
        .expect("the tool starts");
    let sent: Vec<u8> = (0..60_000u32).flat_map(u32::to_be_bytes).collect();
    for nth in 0..50 {
        let mut stream = TcpStream::connect(tool.addresses[0]).expect("the link listens");
        let (mut server_stream, _) = server.accept().expect("the connection is forwarded");
        server_stream.write_all(&sent).expect("the bytes are sent");
        drop(server_stream);
        let mut received = Vec::new();
        stream.read_to_end(&mut received).expect("all bytes arrive");
        assert!(
            received == sent,
            "run {nth}: {} of {} bytes, or in another order",
            received.len(),
            sent.len()
        );
    }
}
