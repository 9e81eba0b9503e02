//! SIGTERM, followed by SIGKILL at the earliest moment that the operators' pages allow.

use crate::common::{frames, query, startup, statement};
use crate::ms;
use crate::router_harness::{accept_connection_within, start_harness};
use nix::sys::signal::Signal;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A client of a router that is stopping, with the times at which it sent requests, and the number of answers that it
/// has.
struct LoadClient {
    stream: TcpStream,
    sent: Vec<Instant>,
    answers: usize,
    input: Vec<u8>,
    /// Whether the router closed the connection in order (true) or reset it (false); None while it is open.
    closed_in_order: Option<bool>,
}

impl LoadClient {
    pub fn new(stream: TcpStream) -> LoadClient {
        stream.set_nonblocking(true).expect("the socket option can be set");
        LoadClient { stream, sent: Vec::new(), answers: 0, input: Vec::new(), closed_in_order: None }
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

    /// The times at which the unanswered requests were sent. Requests on a connection that was reset are left out: the
    /// reset may have crossed these requests, and their client sends them again.
    fn unanswered(&self) -> &[Instant] {
        match self.closed_in_order {
            Some(false) => &[],
            _ => &self.sent[self.answers.min(self.sent.len())..],
        }
    }
}

/// SIGKILL may come as early as the longest deadline plus 0.7 s after SIGTERM. Members never answer, and still each
/// request that is sent more than 0.7 s after SIGTERM is answered before SIGKILL. One client sends all the time, one
/// connects 0.35 s after SIGTERM and first sends at 0.85 s, and one sends its startup message only at 0.85 s.
#[test]
fn all_requests_are_answered_before_the_earliest_sigkill() {
    let deadline = 400;
    let harness = start_harness(|config| config.replace("\"Slo\":750000000", "\"Slo\":300000000"));
    let statement_text = |nth: usize| query(&statement(&format!("{nth}"), "write", deadline, "1"));
    let mut busy_client = LoadClient::new(harness.client());
    let mut unopened_client =
        LoadClient::new(TcpStream::connect(&harness.address).expect("the router listens"));
    harness.settle();
    let sigterm_at = Instant::now();
    harness.signal(Signal::SIGTERM);
    harness.signal(Signal::SIGHUP);
    harness.signal(Signal::SIGTERM);
    let mut late_client = None;
    let mut nth = 0;
    let mut send_next = |client: &mut LoadClient| {
        nth += 1;
        client.send(&statement_text(nth));
    };
    let (mut late_has_sent, mut unopened_has_sent) = (false, false);
    let mut member_connections = Vec::new();
    while sigterm_at.elapsed() < ms(deadline + 700) {
        member_connections.extend(accept_connection_within(&harness.members[0], ms(1)));
        send_next(&mut busy_client);
        if late_client.is_none() && sigterm_at.elapsed() > ms(350) {
            late_client = Some(LoadClient::new(harness.client()));
        }
        if let Some(late_client) =
            late_client.as_mut().filter(|_| !late_has_sent && sigterm_at.elapsed() > ms(850))
        {
            late_client.read();
            send_next(late_client);
            late_has_sent = true;
        }
        if !unopened_has_sent && sigterm_at.elapsed() > ms(850) {
            unopened_client.read();
            unopened_client.send(&[startup(), statement_text(100_000)].concat());
            // The ReadyForQuery that ends the startup is counted as an answer, so the startup counts as a request.
            unopened_client.sent.extend(unopened_client.sent.last().copied());
            unopened_has_sent = true;
        }
        for client in [&mut busy_client, &mut unopened_client].into_iter().chain(late_client.as_mut()) {
            client.read();
        }
        sleep(ms(5));
    }
    harness.signal(Signal::SIGKILL);
    sleep(ms(50));
    let late_client = late_client.expect("the late client connected");
    for (name, client) in [("busy", busy_client), ("late", late_client), ("unopened", unopened_client)] {
        let sent_after: Vec<Duration> = client.unanswered().iter().map(|sent| *sent - sigterm_at).collect();
        let lost_count = sent_after.iter().filter(|&&sent_after| sent_after > ms(700)).count();
        assert_eq!(
            lost_count,
            0,
            "{name}: sent {}, answered {}: {sent_after:?}",
            client.sent.len(),
            client.answers
        );
    }
}
