//! Thousands of clients that leave at the same moment.

use crate::cancel_requests::{cancels, welcomed};
use crate::common::{close, error_response, query, reset, startup, statement, welcome};
use crate::router_harness::{
    PATIENCE, accept_connection_within, bind_listener, read_answer, read_startup, start_harness_with,
};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// What members get after the clients have left, in `clients_that_leave_in_one_burst_are_not_sent_on`.
#[derive(Debug, Default, PartialEq)]
struct Begun {
    first: usize,
    further: usize,
    held: usize,
    late: usize,
}

/// 2,000 clients leave in one burst, by a cancel, a close, a reset or a half close, while of six members two hang, two have
/// connections that are not established yet, and one rejects what it has. The router stalls meanwhile for 0.15 s, and then
/// finds all closes at once, with what members have sent before them: no pending RPC is started, and none is retried.
#[test]
fn clients_that_leave_in_one_burst_are_not_sent_on() {
    const MANY: usize = 2000;
    let members: Vec<TcpListener> = (0..6).map(|_| bind_listener()).collect();
    let wide = |told: String| {
        told.replace("750000000", "60000000000").replace("\"sockets\":1024", "\"sockets\":8192")
    };
    let mut harness = start_harness_with(members, wide, |_| {});
    let mut clients: Vec<(usize, TcpStream)> = Vec::new();
    let mut keys = Vec::new();
    for nth in 0..MANY {
        let mut stream = TcpStream::connect(&harness.address).expect("it listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("it can");
        let asked = statement(&nth.to_string(), if nth % 2 == 0 { "write" } else { "read" }, 60_000, "1");
        stream.write_all(&[startup(), query(&asked)].concat()).expect("the router reads");
        if nth % 4 == 3 || nth % 16 == 0 {
            keys.push((nth, welcomed(&mut stream)));
        }
        clients.push((nth, stream));
    }
    // Members 1 and 2 don't answer startups yet; 0 and 3 get what is sent at first, as do 4 and 5, which send no more.
    let mut coming: Vec<Vec<TcpStream>> = (0..6).map(|_| Vec::new()).collect();
    let mut out: Vec<Vec<(String, TcpStream)>> = (0..6).map(|_| Vec::new()).collect();
    let quiet = Instant::now() + Duration::from_millis(1500);
    while Instant::now() < quiet {
        for n in [1, 2] {
            while let Some(stream) = accept_connection_within(&harness.members[n], Duration::from_millis(2)) {
                coming[n].push(read_startup(stream));
            }
        }
        for n in [0, 3, 4, 5] {
            while let Some(asked) = harness.next_rpc_within(n, Duration::from_millis(20)) {
                out[n].push(asked);
            }
        }
    }
    let counts: Vec<usize> = out.iter().map(Vec::len).collect();
    assert!(counts.iter().sum::<usize>() < MANY / 2 && counts[0] > 2 && counts[3] > 2, "{counts:?}");
    assert!(coming[1].len() + coming[2].len() > 4, "some wait for their connection");
    let asked: Vec<String> = out.iter().flatten().map(|(id, _)| id.clone()).collect();
    let unsent: Vec<TcpStream> = (0..20).map(|_| harness.client()).collect();
    let mut kept = Vec::new();
    for (nth, key) in &keys {
        cancels(&harness, *key);
        if !asked.contains(&nth.to_string()) {
            let at = clients.iter().position(|(other, _)| other == nth).expect("it is there");
            assert_eq!(read_answer(&mut clients[at].1), (b"EZ".to_vec(), "57014".to_owned()));
        }
    }
    harness.pause();
    for (nth, mut stream) in unsent.into_iter().enumerate() {
        let asked = statement(&format!("unsent-{nth}"), "read", 60_000, "1");
        stream.write_all(&query(&asked)).expect("the kernel takes it");
    }
    for (nth, stream) in clients {
        match nth % 3 {
            _ if keys.iter().any(|(other, _)| *other == nth) => kept.push(stream),
            0 => close(stream),
            1 => reset(stream),
            _ => {
                stream.shutdown(std::net::Shutdown::Write).expect("it can");
                kept.push(stream);
            }
        }
    }
    for (_, link) in std::mem::take(&mut out[0]) {
        harness.answer_rpc(0, link);
    }
    for (_, mut link) in std::mem::take(&mut out[3]) {
        link.write_all(&error_response("53300")).expect("it reads");
        harness.idle_connections[3].push(link);
    }
    let late: Vec<(usize, u16)> = [1, 2]
        .into_iter()
        .flat_map(|n| coming[n].iter().map(move |link| (n, link.peer_addr().expect("its own").port())))
        .collect();
    for n in [1, 2] {
        for mut link in std::mem::take(&mut coming[n]) {
            link.write_all(&welcome()).expect("it reads");
            harness.idle_connections[n].push(link);
        }
    }
    sleep(Duration::from_millis(150));
    harness.resume();
    let mut begun = Begun::default();
    let until = Instant::now() + Duration::from_millis(1500);
    while Instant::now() < until {
        for (n, out) in out.iter_mut().enumerate() {
            let Some((id, link)) = harness.next_rpc_within(n, Duration::from_millis(10)) else { continue };
            match () {
                () if id.starts_with("unsent") => begun.first += 1,
                () if asked.contains(&id) => begun.further += 1,
                () if late.contains(&(n, link.peer_addr().expect("its own").port())) => begun.late += 1,
                () => begun.held += 1,
            }
            out.push((id, link));
        }
    }
    assert_eq!(begun, Begun::default(), "attempts begun more than 0.1 s after the leave");
    harness.settle();
}
