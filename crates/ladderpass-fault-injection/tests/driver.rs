//! The sockets: delayed bytes when both sides have ended, and their order.

use ladderpass_fault_injection::Plan;
use ladderpass_fault_injection::driver::RunningTool;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};

/// A response in delayed pieces passes completely though both sides have ended their directions already.
#[test]
fn delayed_bytes_pass_though_both_sides_have_ended() {
    let server = TcpListener::bind("127.0.0.1:0").expect("a port");
    let links = format!(
        "links: [{{name: a, listen: '127.0.0.1:0', to: '{}', talk: raw}}]\n",
        server.local_addr().expect("bound")
    );
    let rules = "rules: [{name: s, do: {slice: {gap_ms: 2}}}]\n";
    let tool = RunningTool::start(Plan::read(&(links + rules)).expect("allowed"), None).expect("it starts");
    let answers = std::thread::spawn(move || {
        let (mut stream, _) = server.accept().expect("it comes");
        let mut asked = Vec::new();
        stream.read_to_end(&mut asked).expect("to its end");
        stream.write_all(&[7; 100]).expect("it takes it");
        asked
    });
    let mut stream = TcpStream::connect(tool.addresses[0]).expect("it listens");
    stream.write_all(b"asked").expect("it takes it");
    stream.shutdown(Shutdown::Write).expect("it is open");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("to its end");
    assert_eq!((answer.len(), answers.join().expect("it answers")), (100, b"asked".to_vec()));
}

/// A delay shorter than the tool needs to read on: what arrives behind it without a delay is still sent behind it.
#[test]
fn bytes_with_a_very_short_delay_keep_their_order() {
    let server = TcpListener::bind("127.0.0.1:0").expect("a port");
    let links = format!(
        "links: [{{name: a, listen: '127.0.0.1:0', to: '{}', talk: raw}}]\n",
        server.local_addr().expect("bound")
    );
    let rules = "rules: [{name: d, when: {byte: 0}, do: {delay: {ms: 0.005}}, times: 0}]\n";
    let tool = RunningTool::start(Plan::read(&(links + rules)).expect("allowed"), None).expect("it starts");
    let sent: Vec<u8> = (0..60_000u32).flat_map(u32::to_be_bytes).collect();
    for nth in 0..50 {
        let mut stream = TcpStream::connect(tool.addresses[0]).expect("it listens");
        let (mut answers, _) = server.accept().expect("it comes");
        answers.write_all(&sent).expect("it takes it");
        drop(answers);
        let mut got = Vec::new();
        stream.read_to_end(&mut got).expect("to its end");
        assert!(got == sent, "run {nth}: {} of {} bytes, or in another order", got.len(), sent.len());
    }
}
