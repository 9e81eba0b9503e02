//! Clauses of the operators' pages at their extremes, over real connections (`docs/terms-audit.md`): at the earliest and the
//! latest moment, twice, in series, with a second failure inside the window.

mod common;
mod router_harness;

use common::*;
use nix::sys::signal::Signal;
use router_harness::*;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The value of `d` in a statement, in milliseconds.
fn wait_in(statement: &str) -> u64 {
    let (_, rest) = statement.split_once(",d=").expect("it has a time");
    rest.split(|c: char| !c.is_ascii_digit()).next().and_then(|text| text.parse().ok()).expect("a number")
}

// ---- effects

/// The group drops retries for so long after the first attempt that may have run. The second attempt waits for its
/// connection until that window is over: it is not sent.
#[test]
fn a_repeat_that_waited_for_its_connection_past_the_window_is_not_sent() {
    let window = "\"Effect\":\"token\",\"DedupScope\":\"cell\",\"KeyTtl\":600000000";
    let mut harness = start_harness(|config| config.replace("\"Effect\":\"side_effect\"", window));
    let mut client = harness.client();
    client.write_all(&query(&statement("1", "write", 5000, "1"))).expect("the router reads");
    let (_, link) = harness.next_rpc(0);
    let sent = Instant::now();
    // It may have run: the connection closes without an answer.
    close(link);
    let mut late = harness.accept_member_connection(0);
    sleep(ms(900).saturating_sub(sent.elapsed()));
    late.write_all(&welcome()).expect("the router waits for it");
    late.set_read_timeout(Some(ms(500))).expect("it can");
    let mut received = Vec::new();
    let _ = late.read_to_end(&mut received);
    assert!(!received.contains(&b'Q'), "a retry after {:?}", sent.elapsed());
    assert_eq!(read_answer(&mut client), (b"EZ".to_vec(), "58000".to_owned()));
}

// ---- bad clients

/// A client gets an error or a close within this after it connected, or stopped in the middle of a request.
const REJECTED_WITHIN: Duration = Duration::from_millis(3000);

/// How long a client that sends these pieces, one every 0.4 s, and then waits gets no error and no close.
fn rejected_after(harness: &RouterHarness, pieces: &[Vec<u8>]) -> Option<Duration> {
    let mut stream = TcpStream::connect(&harness.address).expect("it listens");
    stream.set_read_timeout(Some(ms(20))).expect("it can");
    let began = Instant::now();
    let mut left = pieces.iter();
    let (mut input, mut chunk) = (Vec::new(), [0; 4096]);
    let mut next_at = began;
    while began.elapsed() < REJECTED_WITHIN + ms(2500) {
        if Instant::now() >= next_at {
            next_at = Instant::now() + ms(400);
            if let Some(piece) = left.next() {
                stream.set_write_timeout(Some(ms(50))).expect("it can");
                let _ = stream.write_all(piece);
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Some(began.elapsed()),
            Ok(count) => input.extend_from_slice(&chunk[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return Some(began.elapsed()),
        }
        if frames(&input).0.iter().any(|(kind, _)| *kind == b'E') {
            return Some(began.elapsed());
        }
    }
    None
}

#[test]
fn each_bad_client_is_told_in_its_time() {
    let harness = start_harness(|config| config);
    let good = statement("7", "read", 500, "1");
    let head = |kind: u8, length: i32| [&[kind][..], &length.to_be_bytes()].concat();
    let opened = |bytes: Vec<u8>| vec![[startup(), bytes].concat()];
    let changed = |from: &str, to: &str| opened(query(&good.replace(from, to)));
    let cases: Vec<(&str, Vec<Vec<u8>>)> = vec![
        ("says nothing", vec![]),
        ("a startup with a negative length", vec![(-5i32).to_be_bytes().to_vec()]),
        ("a startup with a huge length", vec![i32::MAX.to_be_bytes().to_vec()]),
        ("half a startup", vec![startup()[..10].to_vec()]),
        ("half of a length", vec![startup()[..2].to_vec()]),
        ("a startup a byte at a time", startup().chunks(1).map(<[u8]>::to_vec).collect()),
        ("noise", vec![vec![0xff; 9000]]),
        ("a line without end", vec![vec![b'x'; 400_000]; 12]),
        ("a message with a negative length", opened(head(b'Q', -1))),
        ("a message with a huge length", opened(head(b'Q', i32::MAX))),
        ("a message of unknown kind", opened(head(b'!', 4))),
        ("a message that is too short for its head", opened(head(b'Q', 3))),
        ("60 MB", vec![[startup(), head(b'Q', 60 << 20), vec![b'a'; 4 << 20]].concat()]),
        ("half a head", opened(head(b'Q', 100)[..3].to_vec())),
        ("half a statement", opened(query(&good)[..40].to_vec())),
        ("all but the last byte", opened(query(&good).split_last().expect("bytes").1.to_vec())),
        ("a statement a few bytes at a time", {
            let bytes = [startup(), query(&good)].concat();
            bytes.chunks(4).map(<[u8]>::to_vec).collect()
        }),
        ("an unknown method", changed("c=read", "c=none")),
        ("a time that is no number", changed("d=500", "d=soon")),
        ("a negative time", changed("d=500", "d=-500")),
        ("a time that is not a number", changed("d=500", "d=NaN")),
        ("no id", changed("id=7,", "")),
        ("no comment", changed("/*", "--")),
        ("an unknown group", changed("cluster=1", "cluster=99")),
        ("a form that is not served", opened(query(&good.replace("SELECT payload", "DELETE")))),
        ("hundreds of bad commands at once", opened(query("DROP TABLE entries").repeat(500))),
        ("a whole statement and half of one", opened([query("x"), query(&good)[..30].to_vec()].concat())),
    ];
    let late_case = |(what, pieces): (&str, Vec<Vec<u8>>)| {
        let after = rejected_after(&harness, &pieces);
        after.is_none_or(|after| after > REJECTED_WITHIN).then(|| format!("{what}: {after:?}"))
    };
    let late: Vec<String> = std::thread::scope(|scope| {
        let threads: Vec<_> = cases.into_iter().map(|case| scope.spawn(|| late_case(case))).collect();
        threads.into_iter().filter_map(|thread| thread.join().expect("no panic")).collect()
    });
    assert_eq!(late, Vec::<String>::new());
}

/// With hardly any time left a request is rejected or fails within that time, and the connection goes on.
#[test]
fn a_request_with_hardly_any_time_left_is_answered() {
    let harness = start_harness(|config| config);
    let mut client = harness.client();
    for (nth, time) in ["0", "0.4", "1", "2", "3", "5", "8"].iter().enumerate() {
        for method in ["read", "write"] {
            let text = statement(&format!("{nth}{method}"), method, 500, "1");
            let sent = Instant::now();
            let (kinds, code) = execute(&mut client, &text.replace("d=500", &format!("d={time}")));
            assert!(kinds == b"EZ" && ["53300", "58000"].contains(&code.as_str()), "{time}: {code}");
            assert!(sent.elapsed() < ms(200), "{time}: after {:?}", sent.elapsed());
        }
    }
}

// ---- retries

/// A retry tells the member how much of the client's time is left then.
#[test]
fn a_further_attempt_is_told_what_is_left() {
    let mut harness = start_harness(|config| config.replace("\"Slo\":750000000", "\"Slo\":1900000000"));
    let mut client = harness.client();
    let sent = Instant::now();
    client.write_all(&query(&statement("1", "read", 2000, "1"))).expect("the router reads");
    let (_, first) = harness.next_rpc(1);
    sleep(ms(600));
    close(first);
    let second = accept_connection_within(&harness.members[0], ms(1500)).expect("the primary is called");
    let mut second = read_startup(second);
    second.write_all(&welcome()).expect("it reads");
    let (_, body) = next_frame(&mut second).expect("a query");
    let left = 2000_u64.saturating_sub(sent.elapsed().as_millis() as u64);
    let wait = wait_in(&String::from_utf8(body).expect("text"));
    assert!(wait <= left + 150, "a wait of {wait} ms where {left} ms are left");
}

/// The client's connection is reset, not closed, while its RPC waits for a member's connection.
#[test]
fn a_client_that_resets_its_connection_is_not_sent_on() {
    let mut harness = start_harness(|config| config);
    let mut client = harness.client();
    client.write_all(&query(&statement("1", "write", 5000, "1"))).expect("the router reads");
    let mut late = harness.accept_member_connection(0);
    reset(client);
    sleep(ms(100));
    late.write_all(&welcome()).expect("it reads");
    late.set_read_timeout(Some(ms(300))).expect("it can");
    let mut received = Vec::new();
    let _ = late.read_to_end(&mut received);
    assert!(!received.contains(&b'Q'), "an attempt starts after its client has left");
    harness.idle_connections[0].push(late);
}

// ---- configurations

/// Five new configurations in quick succession, the file half written at one of the signals: the last one applies, and
/// the list of its discovery within 4 s. The discoveries before it are silent.
#[test]
fn new_configurations_in_quick_succession_are_followed_to_the_last() {
    let mut harness = start_harness(|config| config);
    harness.assert_write_succeeds("1");
    let good = std::fs::read_to_string(&harness.config_file).expect("its file");
    let listeners: Vec<_> = (0..5).map(|_| bind_listener()).collect();
    for (nth, listener) in listeners.iter().enumerate() {
        let at = listener.local_addr().expect("an address");
        let text = good.replace("\"seed\":\"8c", &format!("\"discovery\":\"{at}\",\"seed\":\"8c"));
        if nth == 3 {
            std::fs::write(&harness.config_file, &text[..text.len() / 2]).expect("written");
            harness.signal(Signal::SIGHUP);
            sleep(ms(30));
        }
        std::fs::write(&harness.config_file, &text).expect("written");
        harness.signal(Signal::SIGHUP);
        sleep(ms(30));
    }
    let since = Instant::now();
    harness.discovery = listeners.into_iter().next_back().expect("five");
    harness.open_watch();
    let moved = instance(0, &harness.member_address(1), "SERVING");
    harness.generation = 100;
    harness.send_listing(&moved, true);
    harness.settle();
    assert!(since.elapsed() < ms(4000), "after {:?}", since.elapsed());
    let mut client = harness.client();
    client.write_all(&query(&write_statement("2"))).expect("the router reads");
    assert_eq!(harness.next_rpc(1).0, "2");
}

// ---- pushed lists

/// With pushed lists a change binds 0.25 s after discovery has it: a watch that is lost five times in a row is open again
/// within that each time.
#[test]
fn a_watch_of_a_pushed_list_is_back_within_a_short_grace() {
    let grace = "\"DrainGrace\":250000000,\"OverloadFor\"";
    let mut harness = start_harness(|config| {
        config.replace("\"subscribe\"", "\"automatic\"").replace("\"OverloadFor\"", grace)
    });
    for _ in 0..5 {
        harness.watch = None;
        let since = Instant::now();
        harness.open_watch();
        assert!(since.elapsed() < ms(200), "after {:?}", since.elapsed());
    }
    harness.send_listing("", false);
    let draining = instance(0, &harness.member_address(0), "DRAINING");
    harness.send_listing(&draining, false);
    harness.settle();
    let mut client = harness.client();
    client.write_all(&query(&statement("1", "write", 400, "1"))).expect("the router reads");
    assert!(harness.next_rpc_within(0, ms(600)).is_none(), "nothing goes to the one that drains");
}

// ---- discovery

/// Discovery answers each watch within the 2 s after which it would reject it. A change applies 6 s after discovery had it
/// and could be reached, whatever became of the watches before.
#[test]
fn a_discovery_that_takes_long_for_each_call_is_heard() {
    for takes in [1300, 1600, 1900] {
        let mut harness = start_harness(|config| config);
        harness.assert_write_succeeds("1");
        let moved = instance(0, &harness.member_address(1), "SERVING");
        let list = format!("{{\"generation\":9,\"reset\":true,\"instances\":[{moved}]}}\n");
        let answer =
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\r\n", list.len());
        let discovery = harness.discovery.try_clone().expect("it can");
        std::thread::spawn(move || {
            loop {
                let mut watch = accept_connection(&discovery);
                let answer = answer.clone();
                std::thread::spawn(move || {
                    sleep(ms(takes));
                    let _ = watch.write_all(answer.as_bytes());
                    sleep(ms(20_000));
                });
            }
        });
        harness.watch = None;
        let since = Instant::now();
        let mut nth = 1;
        let notified_after = loop {
            assert!(since.elapsed() < ms(6000), "{takes} ms a watch: not notified yet");
            nth += 1;
            let mut client = harness.client();
            client.write_all(&query(&write_statement(&nth.to_string()))).expect("the router reads");
            match harness.next_rpc_within(1, ms(100)) {
                Some((id, _)) if id == nth.to_string() => break since.elapsed(),
                _ => sleep(ms(50)),
            }
        };
        println!("{takes} ms a watch: notified after {notified_after:?}");
    }
}

// ---- rejections

/// A rejection has a retry-after where the settings allow it, also for a statement that was never accepted as an RPC.
#[test]
fn a_refusal_names_a_time_to_come_back() {
    let mut harness =
        start_harness(|config| config.replace("\"AttemptsCap\":6", "\"AttemptsCap\":6,\"MostHeld\":1"));
    let (mut first, mut second) = (harness.client(), harness.client());
    first.write_all(&query(&write_statement("1"))).expect("the router reads");
    let (_, _in_flight) = harness.next_rpc(0);
    second.write_all(&query(&write_statement("2"))).expect("the router reads");
    let (kind, body) = next_frame(&mut second).expect("an answer");
    assert_eq!((kind, sqlstate(&body).as_str()), (b'E', "53300"));
    let named = body.split(|&byte| byte == 0).find(|field| field.first() == Some(&b'D'));
    let named = named.and_then(|field| std::str::from_utf8(&field[1..]).ok()?.parse::<u64>().ok());
    assert!(named.is_some_and(|ms| (1..=500).contains(&ms)), "{named:?}");
}

// ---- memory

/// More complete statements at once than there is memory for, while members hang: each is answered, at the latest half a
/// second after its deadline, although the router could not read all of them before.
#[test]
fn statements_that_memory_is_short_for_are_answered() {
    let harness = start_harness(|config| config.replace("\"memory_mb\":192", "\"memory_mb\":32"));
    let value = "ab".repeat(64 << 10);
    let clients: Vec<_> = (0..150)
        .map(|nth| {
            let mut client = harness.client();
            let text = statement(&format!("{nth}"), "write", 2500, "1");
            let bytes = query(&text.replace("\\x9f03", &format!("\\x{value}")));
            std::thread::spawn(move || {
                client.write_all(&bytes).map_err(|error| format!("unsent: {error}"))?;
                let sent = Instant::now();
                let (kinds, code) = read_answer(&mut client);
                match (kinds.ends_with(b"Z"), sent.elapsed() < ms(3000)) {
                    (true, true) => Ok(()),
                    _ => Err(format!("{code}, {kinds:?} after {:?}", sent.elapsed())),
                }
            })
        })
        .collect();
    let lost: Vec<String> =
        clients.into_iter().filter_map(|client| client.join().expect("no panic").err()).collect();
    assert_eq!(lost.len(), 0, "{} lost: {:?}", lost.len(), &lost[..lost.len().min(3)]);
    let status = std::fs::read_to_string(format!("/proc/{}/status", harness.process.id())).expect("it runs");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    let peak: u64 = peak.trim().trim_end_matches(" kB").parse().expect("a number");
    assert!(peak < 32 << 10, "{peak} KiB of 32 MiB");
}

// ---- the stop

/// What a client of a router that stops has sent, and what was answered.
struct Sender {
    stream: TcpStream,
    sent: Vec<Instant>,
    answers: usize,
    input: Vec<u8>,
    /// Whether its connection was closed in order (true) or lost.
    closed_in_order: Option<bool>,
}

impl Sender {
    fn new(stream: TcpStream) -> Sender {
        stream.set_nonblocking(true).expect("it can");
        Sender { stream, sent: Vec::new(), answers: 0, input: Vec::new(), closed_in_order: None }
    }

    fn send(&mut self, bytes: &[u8]) {
        if self.closed_in_order.is_none() && self.stream.write_all(bytes).is_ok() {
            self.sent.push(Instant::now());
        }
    }

    fn read(&mut self) {
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

    /// When the requests were sent that must have been answered by the kill: those unanswered on a connection that is open
    /// or was closed in order. A reset may have crossed a request, which its client sends again.
    fn unanswered(&self) -> &[Instant] {
        match self.closed_in_order {
            Some(false) => &[],
            _ => &self.sent[self.answers.min(self.sent.len())..],
        }
    }
}

/// SIGKILL may come as early as the longest deadline and 0.7 s after SIGTERM, and members hang all the time: what was sent
/// more than 0.7 s after SIGTERM is answered by then. One client sends without a pause, one connected late and is idle
/// until then, one has not sent its startup message yet.
#[test]
fn a_kill_at_the_earliest_moment_finds_nothing_unanswered() {
    let deadline = 400;
    let harness = start_harness(|config| config.replace("\"Slo\":750000000", "\"Slo\":300000000"));
    let text = |nth: usize| query(&statement(&format!("{nth}"), "write", deadline, "1"));
    let mut busy = Sender::new(harness.client());
    let mut unopened = Sender::new(TcpStream::connect(&harness.address).expect("it listens"));
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
            // The end of the startup counts as an answer.
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
    let late = late.expect("it came");
    for (name, sender) in [("busy", busy), ("late", late), ("unopened", unopened)] {
        let after: Vec<Duration> = sender.unanswered().iter().map(|sent| *sent - began).collect();
        let lost = after.iter().filter(|&&after| after > ms(700)).count();
        assert_eq!(lost, 0, "{name}: sent {}, answered {}: {after:?}", sender.sent.len(), sender.answers);
    }
}
