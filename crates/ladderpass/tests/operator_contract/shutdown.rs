//! SIGTERM, followed by SIGKILL at the earliest moment that the operators' pages allow.

use crate::common::{frames, query, startup, statement};
use crate::ms;
use crate::router_harness::{accept_connection_within, start_harness};
use nix::sys::signal::Signal;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A client of a router that is stopping, with what it has sent and how many answers it has.
struct Sender {
    stream: TcpStream,
    sent: Vec<Instant>,
    answers: usize,
    input: Vec<u8>,
    /// Whether the router closed the connection in order (true) or reset it (false); None while it is open.
    closed_in_order: Option<bool>,
}

impl Sender {
    pub fn new(stream: TcpStream) -> Sender {
        stream.set_nonblocking(true).expect("the socket option can be set");
        Sender { stream, sent: Vec::new(), answers: 0, input: Vec::new(), closed_in_order: None }
    }

    fn send(&mut self, bytes: &[u8]) {
        if self.closed_in_order.is_none() && self.stream.write_all(bytes).is_ok() {
            self.sent.push(Instant::now());
        }
    }

    pub fn read(&mut self) {
        let mut chunk = [0; 4096];
        while self.closed_in_order.is_none() {
            match self.stream.read(&mut chunk) {
                Ok(0) => self.closed_in_order = Some(true),
                Ok(count) => self.input.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => self.closed_in_order = Some(false),
            }
        }
        let (found, used) = frames(&self.input);
        self.answers += found.iter().filter(|(kind, _)| *kind == b'Z').count();
        self.input.drain(..used);
    }

    /// The times at which requests were sent that have no answer. Requests on a connection that was reset are left out:
    /// the reset may have crossed them, and their client sends them again.
    fn unanswered(&self) -> &[Instant] {
        match self.closed_in_order {
            Some(false) => &[],
            _ => &self.sent[self.answers.min(self.sent.len())..],
        }
    }
}

/// SIGKILL may come as early as the longest deadline and 0.7 s after SIGTERM. Members never answer, and still each
/// request that is sent more than 0.7 s after SIGTERM has its answer by then. One client sends all the time, one
/// connects 0.35 s after SIGTERM and first sends at 0.85 s, and one sends its startup message only at 0.85 s.
#[test]
fn all_requests_are_answered_before_the_earliest_sigkill() {
    let deadline = 400;
    let harness = start_harness(|config| config.replace("\"Slo\":750000000", "\"Slo\":300000000"));
    let text = |nth: usize| query(&statement(&format!("{nth}"), "write", deadline, "1"));
    let mut busy = Sender::new(harness.client());
    let mut unopened = Sender::new(TcpStream::connect(&harness.address).expect("the router listens"));
    harness.settle();
    let began = Instant::now();
    harness.signal(Signal::SIGTERM);
    harness.signal(Signal::SIGHUP);
    harness.signal(Signal::SIGTERM);
    let mut late = None;
    let mut nth = 0;
    let mut send_next = |sender: &mut Sender| {
        nth += 1;
        sender.send(&text(nth));
    };
    let (mut late_sent, mut unopened_sent) = (false, false);
    let mut links = Vec::new();
    while began.elapsed() < ms(deadline + 700) {
        links.extend(accept_connection_within(&harness.members[0], ms(1)));
        send_next(&mut busy);
        if late.is_none() && began.elapsed() > ms(350) {
            late = Some(Sender::new(harness.client()));
        }
        if let Some(late) = late.as_mut().filter(|_| !late_sent && began.elapsed() > ms(850)) {
            late.read();
            send_next(late);
            late_sent = true;
        }
        if !unopened_sent && began.elapsed() > ms(850) {
            unopened.read();
            unopened.send(&[startup(), text(100_000)].concat());
            // The ReadyForQuery that ends the startup is counted as an answer, so the startup counts as a request.
            unopened.sent.extend(unopened.sent.last().copied());
            unopened_sent = true;
        }
        for sender in [&mut busy, &mut unopened].into_iter().chain(late.as_mut()) {
            sender.read();
        }
        sleep(ms(5));
    }
    harness.signal(Signal::SIGKILL);
    sleep(ms(50));
    let late = late.expect("the late client connected");
    for (name, sender) in [("busy", busy), ("late", late), ("unopened", unopened)] {
        let after: Vec<Duration> = sender.unanswered().iter().map(|sent| *sent - began).collect();
        let lost = after.iter().filter(|&&after| after > ms(700)).count();
        assert_eq!(lost, 0, "{name}: sent {}, answered {}: {after:?}", sender.sent.len(), sender.answers);
    }
}
