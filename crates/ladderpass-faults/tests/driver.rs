//! The sockets: what passes when both sides have ended.

use ladderpass_faults::Plan;
use ladderpass_faults::driver::Running;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};

/// An answer that comes in late pieces is passed whole though its server and its client have ended their
/// sending already.
#[test]
fn what_is_late_passes_though_both_sides_have_ended() {
    let server = TcpListener::bind("127.0.0.1:0").expect("a port");
    let links = format!(
        "links: [{{name: a, listen: '127.0.0.1:0', to: '{}', talk: raw}}]\n",
        server.local_addr().expect("bound")
    );
    let rules = "rules: [{name: s, do: {slice: {gap_ms: 2}}}]\n";
    let tool = Running::start(Plan::read(&(links + rules)).expect("allowed"), None).expect("it starts");
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
