//! Clients that break the protocol or can't be served are rejected in time.

use crate::common::{frames, next_frame, query, sqlstate, startup, statement};
use crate::ms;
use crate::router_harness::{RouterHarness, execute, start_harness, write_statement};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The longest time until a client that breaks the protocol gets an error or is closed, counted from when the client
/// connected, or from when it stopped in the middle of a request.
const REJECTED_WITHIN: Duration = Duration::from_millis(3000);

/// Connects a client that sends these pieces, one every 0.4 s, and waits. Returns the time from the connect until the
/// client gets an error or is closed, or None if neither happens within 2.5 s past `REJECTED_WITHIN`.
fn time_to_rejection(harness: &RouterHarness, pieces: &[Vec<u8>]) -> Option<Duration> {
    let mut stream = TcpStream::connect(&harness.address).expect("the router listens");
    stream.set_read_timeout(Some(ms(20))).expect("the socket option can be set");
    let started_at = Instant::now();
    let mut remaining = pieces.iter();
    let (mut input, mut chunk) = (Vec::new(), [0; 4096]);
    let mut next_at = started_at;
    while started_at.elapsed() < REJECTED_WITHIN + ms(2500) {
        if Instant::now() >= next_at {
            next_at = Instant::now() + ms(400);
            if let Some(piece) = remaining.next() {
                stream.set_write_timeout(Some(ms(50))).expect("the socket option can be set");
                let _ = stream.write_all(piece);
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Some(started_at.elapsed()),
            Ok(count) => input.extend_from_slice(&chunk[..count]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return Some(started_at.elapsed()),
        }
        if frames(&input).0.iter().any(|(kind, _)| *kind == b'E') {
            return Some(started_at.elapsed());
        }
    }
    None
}

#[test]
fn clients_that_break_the_protocol_are_rejected_in_time() {
    let harness = start_harness(|config| config);
    let valid_statement = statement("7", "read", 500, "1");
    let frame_head = |kind: u8, length: i32| [&[kind][..], &length.to_be_bytes()].concat();
    let after_startup = |bytes: Vec<u8>| vec![[startup(), bytes].concat()];
    let changed = |from: &str, to: &str| after_startup(query(&valid_statement.replace(from, to)));
    let cases: Vec<(&str, Vec<Vec<u8>>)> = vec![
        ("nothing is sent", vec![]),
        ("a startup with a negative length", vec![(-5i32).to_be_bytes().to_vec()]),
        ("a startup with a huge length", vec![i32::MAX.to_be_bytes().to_vec()]),
        ("half a startup", vec![startup()[..10].to_vec()]),
        ("half of a length", vec![startup()[..2].to_vec()]),
        ("a startup a byte at a time", startup().chunks(1).map(<[u8]>::to_vec).collect()),
        ("noise", vec![vec![0xff; 9000]]),
        ("a line that does not end", vec![vec![b'x'; 400_000]; 12]),
        ("a message with a negative length", after_startup(frame_head(b'Q', -1))),
        ("a message with a huge length", after_startup(frame_head(b'Q', i32::MAX))),
        ("a message of unknown kind", after_startup(frame_head(b'!', 4))),
        ("a message that is too short for its head", after_startup(frame_head(b'Q', 3))),
        ("60 MB", vec![[startup(), frame_head(b'Q', 60 << 20), vec![b'a'; 4 << 20]].concat()]),
        ("half a head", after_startup(frame_head(b'Q', 100)[..3].to_vec())),
        ("half a statement", after_startup(query(&valid_statement)[..40].to_vec())),
        (
            "all but the last byte",
            after_startup(query(&valid_statement).split_last().expect("the query has bytes").1.to_vec()),
        ),
        ("a statement a few bytes at a time", {
            let bytes = [startup(), query(&valid_statement)].concat();
            bytes.chunks(4).map(<[u8]>::to_vec).collect()
        }),
        ("an unknown method", changed("c=read", "c=none")),
        ("a time that is a word", changed("d=500", "d=soon")),
        ("a negative time", changed("d=500", "d=-500")),
        ("a time that is not a number", changed("d=500", "d=NaN")),
        ("no id", changed("id=7,", "")),
        ("no comment", changed("/*", "--")),
        ("an unknown group", changed("cluster=1", "cluster=99")),
        (
            "an unsupported statement",
            after_startup(query(&valid_statement.replace("SELECT payload", "DELETE"))),
        ),
        ("hundreds of invalid commands at once", after_startup(query("DROP TABLE entries").repeat(500))),
        (
            "a whole statement and half of one",
            after_startup([query("x"), query(&valid_statement)[..30].to_vec()].concat()),
        ),
    ];
    let late_case = |(name, pieces): (&str, Vec<Vec<u8>>)| {
        let after = time_to_rejection(&harness, &pieces);
        after.is_none_or(|after| after > REJECTED_WITHIN).then(|| format!("{name}: {after:?}"))
    };
    let late_cases: Vec<String> = std::thread::scope(|scope| {
        let threads: Vec<_> = cases.into_iter().map(|case| scope.spawn(|| late_case(case))).collect();
        threads.into_iter().filter_map(|thread| thread.join().expect("the thread does not panic")).collect()
    });
    assert_eq!(late_cases, Vec::<String>::new());
}

/// A request whose client waits for no more than 8 ms is rejected or fails, and the client's connection stays usable.
#[test]
fn a_request_with_a_deadline_of_a_few_milliseconds_is_answered() {
    let harness = start_harness(|config| config);
    let mut client = harness.client();
    for (nth, deadline_ms) in ["0", "0.4", "1", "2", "3", "5", "8"].iter().enumerate() {
        for method in ["read", "write"] {
            let text = statement(&format!("{nth}{method}"), method, 500, "1");
            let sent = Instant::now();
            let (kinds, code) = execute(&mut client, &text.replace("d=500", &format!("d={deadline_ms}")));
            assert!(
                kinds == b"EZ" && ["53300", "58000"].contains(&code.as_str()),
                "with {deadline_ms} ms left: {kinds:?} {code}"
            );
            assert!(
                sent.elapsed() < ms(200),
                "with {deadline_ms} ms left: answered after {:?}",
                sent.elapsed()
            );
        }
    }
}

/// A rejection has a Retry-After where the settings allow one, also for a statement that was never accepted as an RPC.
#[test]
fn a_rejection_has_a_retry_after() {
    let mut harness =
        start_harness(|config| config.replace("\"AttemptsCap\":6", "\"AttemptsCap\":6,\"MostHeld\":1"));
    let (mut first, mut second) = (harness.client(), harness.client());
    first.write_all(&query(&write_statement("1"))).expect("the router reads");
    let (_, _in_flight) = harness.next_rpc(0);
    second.write_all(&query(&write_statement("2"))).expect("the router reads");
    let (kind, body) = next_frame(&mut second).expect("the statement is answered");
    assert_eq!((kind, sqlstate(&body).as_str()), (b'E', "53300"));
    let retry_after = body.split(|&byte| byte == 0).find(|field| field.first() == Some(&b'D'));
    let retry_after =
        retry_after.and_then(|field| std::str::from_utf8(&field[1..]).ok()?.parse::<u64>().ok());
    assert!(
        retry_after.is_some_and(|ms| (1..=500).contains(&ms)),
        "the rejection has a Retry-After: {retry_after:?}"
    );
}
