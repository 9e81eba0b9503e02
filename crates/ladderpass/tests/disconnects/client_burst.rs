//! Thousands of clients that disconnect at the same moment.

use crate::cancel_requests::{read_cancel_key, send_cancel_request};
use crate::common::{close, error_response, query, reset, startup, startup_response, statement};
use crate::router_harness::{
    RouterHarness, WAIT_TIMEOUT, accept_connection_within, bind_listener, read_answer, read_startup,
    start_harness_with,
};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

const CLIENTS: usize = 2000;

/// An attempt in flight: the id of its RPC, and the connection to the member.
type Attempt = (String, TcpStream);

/// Counts of the attempts that began after the clients had disconnected.
#[derive(Debug, Default, PartialEq)]
struct LateAttempts {
    /// First attempts of RPCs that clients sent right before the disconnects.
    first_attempts: usize,
    /// Attempts of RPCs that already had an attempt before the disconnects.
    retries: usize,
    /// Attempts of RPCs that were pending at the disconnects.
    pending: usize,
    /// First attempts on connections that were established only after the disconnects.
    on_late_connections: usize,
}

/// The clients of the test, each with a number. Each client has sent an RPC whose id is the client's number.
struct Clients {
    streams: Vec<(usize, TcpStream)>,
    /// The numbers and the cancel keys of those clients that send a cancel request.
    cancel_keys: Vec<(usize, (u32, u32))>,
}

impl Clients {
    /// Connects all clients, and sends one statement on each connection.
    fn connect(harness: &RouterHarness) -> Clients {
        let mut clients = Clients { streams: Vec::new(), cancel_keys: Vec::new() };
        for nth in 0..CLIENTS {
            let mut stream = TcpStream::connect(&harness.address).expect("the router listens");
            stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout is set");
            let text = statement(&nth.to_string(), if nth % 2 == 0 { "write" } else { "read" }, 60_000, "1");
            stream.write_all(&[startup(), query(&text)].concat()).expect("the router reads");
            if nth % 4 == 3 || nth % 16 == 0 {
                clients.cancel_keys.push((nth, read_cancel_key(&mut stream)));
            }
            clients.streams.push((nth, stream));
        }
        clients
    }

    /// Each client that has a cancel key sends a cancel request. Checks that the request answers the client's RPC,
    /// unless the RPC's id is in `in_flight`.
    fn cancel(&mut self, harness: &RouterHarness, in_flight: &[String]) {
        for (nth, key) in &self.cancel_keys {
            send_cancel_request(harness, *key);
            if !in_flight.contains(&nth.to_string()) {
                let at = self
                    .streams
                    .iter()
                    .position(|(other, _)| other == nth)
                    .expect("the client is in the list");
                assert_eq!(read_answer(&mut self.streams[at].1), (b"EZ".to_vec(), "57014".to_owned()));
            }
        }
    }

    /// The clients without a cancel key disconnect by a close, a reset or a half close. Returns the connections that
    /// stay open on the test's side.
    fn disconnect(self) -> Vec<TcpStream> {
        let mut kept = Vec::new();
        for (nth, stream) in self.streams {
            match nth % 3 {
                _ if self.cancel_keys.iter().any(|(other, _)| *other == nth) => kept.push(stream),
                0 => close(stream),
                1 => reset(stream),
                _ => {
                    stream.shutdown(std::net::Shutdown::Write).expect("the write side is closed");
                    kept.push(stream);
                }
            }
        }
        kept
    }
}

/// The connections and attempts that members have when the clients disconnect.
struct Members {
    /// The connections to each member whose startup message is not answered yet.
    unanswered: Vec<Vec<TcpStream>>,
    /// The attempts at each member that are not answered yet.
    in_flight: Vec<Vec<Attempt>>,
}

impl Members {
    /// Accepts connections and attempts for 1.5 s. Members 1 and 2 do not answer startup messages yet. Members 0, 3, 4
    /// and 5 receive the first attempts, and members 4 and 5 never answer them.
    fn accept(harness: &mut RouterHarness) -> Members {
        let mut unanswered: Vec<Vec<TcpStream>> = (0..6).map(|_| Vec::new()).collect();
        let mut in_flight: Vec<Vec<Attempt>> = (0..6).map(|_| Vec::new()).collect();
        let until = Instant::now() + Duration::from_millis(1500);
        while Instant::now() < until {
            for n in [1, 2] {
                while let Some(stream) =
                    accept_connection_within(&harness.members[n], Duration::from_millis(2))
                {
                    unanswered[n].push(read_startup(stream));
                }
            }
            for n in [0, 3, 4, 5] {
                while let Some(attempt) = harness.next_rpc_within(n, Duration::from_millis(20)) {
                    in_flight[n].push(attempt);
                }
            }
        }
        let counts: Vec<usize> = in_flight.iter().map(Vec::len).collect();
        assert!(counts.iter().sum::<usize>() < CLIENTS / 2 && counts[0] > 2 && counts[3] > 2, "{counts:?}");
        assert!(unanswered[1].len() + unanswered[2].len() > 4, "some RPCs wait for their connection");
        Members { unanswered, in_flight }
    }

    /// Member 0 answers its attempts, member 3 rejects its attempts, and members 1 and 2 answer the startup messages.
    /// Returns the connections to members 1 and 2, each as the member's number and the port at the router's end.
    fn answer(&mut self, harness: &mut RouterHarness) -> Vec<(usize, u16)> {
        for (_, link) in std::mem::take(&mut self.in_flight[0]) {
            harness.answer_rpc(0, link);
        }
        for (_, mut link) in std::mem::take(&mut self.in_flight[3]) {
            link.write_all(&error_response("53300")).expect("the router reads");
            harness.idle_connections[3].push(link);
        }
        let late_connections: Vec<(usize, u16)> = [1, 2]
            .into_iter()
            .flat_map(|n| self.unanswered[n].iter().map(move |link| (n, peer_port(link))))
            .collect();
        for n in [1, 2] {
            for mut link in std::mem::take(&mut self.unanswered[n]) {
                link.write_all(&startup_response()).expect("the router reads");
                harness.idle_connections[n].push(link);
            }
        }
        late_connections
    }
}

fn peer_port(link: &TcpStream) -> u16 {
    link.peer_addr().expect("the peer has an address").port()
}

/// 2,000 clients disconnect in one burst, by a cancel request, a close, a reset or a half close. Of the six members two
/// hang, two have connections that are not established yet, one answers its attempts and one rejects them. The router
/// is stopped for 0.15 s meanwhile, and then finds all closes at once, together with what members have sent. The router
/// starts no pending RPC, and retries none.
#[test]
fn rpcs_of_clients_that_disconnect_in_one_burst_are_not_forwarded() {
    let members: Vec<TcpListener> = (0..6).map(|_| bind_listener()).collect();
    let long_deadlines = |config: String| {
        config.replace("750000000", "60000000000").replace("\"sockets\":1024", "\"sockets\":8192")
    };
    let mut harness = start_harness_with(members, long_deadlines, |_| {});
    let mut clients = Clients::connect(&harness);
    let mut members = Members::accept(&mut harness);
    let attempted: Vec<String> = members.in_flight.iter().flatten().map(|(id, _)| id.clone()).collect();
    let last_moment_clients: Vec<TcpStream> = (0..20).map(|_| harness.client()).collect();
    clients.cancel(&harness, &attempted);
    harness.pause();
    for (nth, mut stream) in last_moment_clients.into_iter().enumerate() {
        let text = statement(&format!("unsent-{nth}"), "read", 60_000, "1");
        stream.write_all(&query(&text)).expect("the kernel buffers the bytes");
    }
    let _kept = clients.disconnect();
    let late_connections = members.answer(&mut harness);
    sleep(Duration::from_millis(150));
    harness.resume();
    let mut late_attempts = LateAttempts::default();
    let until = Instant::now() + Duration::from_millis(1500);
    while Instant::now() < until {
        for (n, in_flight) in members.in_flight.iter_mut().enumerate() {
            let Some((id, link)) = harness.next_rpc_within(n, Duration::from_millis(10)) else { continue };
            match () {
                () if id.starts_with("unsent") => late_attempts.first_attempts += 1,
                () if attempted.contains(&id) => late_attempts.retries += 1,
                () if late_connections.contains(&(n, peer_port(&link))) => {
                    late_attempts.on_late_connections += 1
                }
                () => late_attempts.pending += 1,
            }
            in_flight.push((id, link));
        }
    }
    assert_eq!(
        late_attempts,
        LateAttempts::default(),
        "attempts that began after the clients had disconnected"
    );
    harness.settle();
}
