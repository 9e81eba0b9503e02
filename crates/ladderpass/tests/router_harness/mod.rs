//! A router process whose clients, members and discovery service are the test itself, over real connections, so that
//! the test decides when each byte is sent. A test that needs several events to reach the router at once pauses the
//! process.
#![allow(dead_code)]

use crate::common::{
    WATCH_HEAD, chunk, empty_query_response, id_and_rest, next_frame, now_ms, query, router_address,
    router_config, row, sqlstate, startup, startup_response, statement, temp_file, unique_loopback_address,
};
use nix::sys::signal::{Signal, kill};
use nix::sys::wait::{WaitPidFlag, waitpid};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// If an event that a test requires has not happened after this time, the test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A router process without health checks, so that members get nothing but RPCs. Reads have no maximum staleness, and
/// member 0 is the primary.
pub struct RouterHarness {
    pub process: Child,
    /// The address that clients connect to.
    pub address: String,
    /// The platform's configuration, which the router reads again at SIGHUP.
    pub config_file: PathBuf,
    /// The listeners that the router connects to as members.
    pub members: Vec<TcpListener>,
    /// For each member, the connections to the member on which no RPC is in flight.
    pub idle_connections: Vec<Vec<TcpStream>>,
    pub discovery: TcpListener,
    /// The connection of the open watch of the endpoint list, if there is one.
    pub watch: Option<TcpStream>,
    /// The generation of the endpoint list that the next line on the watch has.
    pub generation: u64,
}

impl Drop for RouterHarness {
    fn drop(&mut self) {
        let _ = (self.process.kill(), self.process.wait(), std::fs::remove_file(&self.config_file));
    }
}

/// A listener on an address that no other test uses.
pub fn bind_listener() -> TcpListener {
    TcpListener::bind(unique_loopback_address()).expect("a port is free")
}

/// Accepts the next connection on a listener. The test fails if none arrives within `WAIT_TIMEOUT`.
pub fn accept_connection(listener: &TcpListener) -> TcpStream {
    accept_connection_within(listener, WAIT_TIMEOUT).expect("a connection arrives in time")
}

/// Accepts the next connection on a listener, or returns None if none arrives within `timeout`.
pub fn accept_connection_within(listener: &TcpListener, timeout: Duration) -> Option<TcpStream> {
    listener.set_nonblocking(true).expect("the socket option can be set");
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("the socket option can be set");
                stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the socket option can be set");
                return Some(stream);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => sleep(Duration::from_millis(2)),
            Err(error) => panic!("{error}"),
        }
    }
    None
}

/// Starts a router in front of two members, with the configuration that `change` returns, and accepts the router's
/// watch of the endpoint list.
pub fn start_harness(change: impl Fn(String) -> String) -> RouterHarness {
    start_harness_with(vec![bind_listener(), bind_listener()], change, |_| {})
}

/// As [`start_harness`], in front of these members, and with a start command that `adjust_command` changes first.
pub fn start_harness_with(
    members: Vec<TcpListener>,
    change: impl Fn(String) -> String,
    adjust_command: impl Fn(&mut Command),
) -> RouterHarness {
    let addresses: Vec<String> = members
        .iter()
        .map(|listener| listener.local_addr().expect("the listener has an address").to_string())
        .collect();
    let config = router_config(&addresses)
        .replace("\"Probes\":true", "\"Probes\":false")
        .replace("\"ConnectTimeout\":250000000", "\"ConnectTimeout\":30000000000")
        .replace("[\"bounded\",\"write\"]", "[\"any\",\"write\"]");
    let config_file = temp_file(&change(config));
    let discovery = bind_listener();
    let address = router_address();
    let mut command = Command::new(env!("CARGO_BIN_EXE_ladderpass"));
    command.env("RELAY_NAME", "n0").env("RELAY_LISTEN", &address).env("RUST_LOG", "warn");
    let discovery_address = discovery.local_addr().expect("the listener has an address").to_string();
    command.env("RELAY_DISCOVERY", discovery_address).env("RELAY_CONFIG", &config_file);
    adjust_command(&mut command);
    let process = command.spawn().expect("the router can be started");
    let idle_connections = members.iter().map(|_| Vec::new()).collect();
    let mut harness = RouterHarness {
        process,
        address,
        config_file,
        members,
        idle_connections,
        discovery,
        watch: None,
        generation: 1,
    };
    harness.open_watch();
    harness.send_listing("", false);
    let mut client = harness.client();
    assert_eq!(execute(&mut client, ""), (b"IZ".to_vec(), String::new()));
    harness
}

/// Sends a statement on a client's connection, and returns the types of the frames that answer the statement and the
/// SQLSTATE of an error.
pub fn execute(client: &mut TcpStream, statement: &str) -> (Vec<u8>, String) {
    client.write_all(&query(statement)).expect("the router reads");
    read_answer(client)
}

/// Reads the next answer on a client's connection, and returns the types of the answer's frames and the SQLSTATE of an
/// error.
pub fn read_answer(client: &mut TcpStream) -> (Vec<u8>, String) {
    let (mut kinds, mut error) = (Vec::new(), String::new());
    while kinds.last() != Some(&b'Z') {
        let Some((kind, body)) = next_frame(client) else {
            return (kinds, "the connection has ended".into());
        };
        kinds.push(kind);
        if kind == b'E' {
            error = sqlstate(&body);
        }
    }
    (kinds, error)
}

/// A write statement with this id and a deadline of a minute.
pub fn write_statement(id: &str) -> String {
    statement(id, "write", 60_000, "1")
}

impl RouterHarness {
    /// Sends a signal to the router process.
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.process.id() as i32), signal).expect("the router is running");
    }

    /// Stops the router process with SIGSTOP, and waits until the process has stopped.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
        waitpid(Pid::from_raw(self.process.id() as i32), Some(WaitPidFlag::WUNTRACED))
            .expect("the router is a child process");
    }

    /// Resumes the paused router process.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Opens a client connection to the router, and returns the connection once its startup message is answered.
    pub fn client(&self) -> TcpStream {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut stream = loop {
            match TcpStream::connect(&self.address) {
                Ok(stream) => break stream,
                Err(error) => assert!(Instant::now() < deadline, "{error}"),
            }
            sleep(Duration::from_millis(5));
        };
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the socket option can be set");
        stream.write_all(&startup()).expect("the router reads");
        while next_frame(&mut stream).expect("the startup is answered").0 != b'Z' {}
        stream
    }

    /// Returns once the router has handled everything that was sent to it before this call.
    pub fn settle(&self) {
        let mut client = self.client();
        for _ in 0..3 {
            assert_eq!(execute(&mut client, "").0, b"IZ");
        }
    }

    /// Accepts the router's next watch of the endpoint list: reads the request of the watch, and writes the head of the
    /// response.
    pub fn open_watch(&mut self) {
        let mut stream = accept_connection(&self.discovery);
        read_watch_request(&stream);
        stream.write_all(WATCH_HEAD).expect("the router reads");
        self.watch = Some(stream);
    }

    /// Sends a line on the open watch with these endpoint list entries; `is_complete` means that the entries are the
    /// complete list.
    pub fn send_listing(&mut self, entries: &str, is_complete: bool) {
        let line = format!(
            "{{\"generation\":{},\"reset\":{is_complete},\"instances\":[{entries}]}}\n",
            self.generation
        );
        self.generation += 1;
        self.send_watch_bytes(line.as_bytes());
    }

    /// Sends these bytes as a chunk on the open watch.
    pub fn send_watch_bytes(&mut self, bytes: &[u8]) {
        let watch = self.watch.as_mut().expect("a watch is open");
        watch.write_all(&chunk(bytes)).expect("the router reads");
    }

    /// The address at which the router connects to member `n`.
    pub fn member_address(&self, n: usize) -> String {
        self.members[n].local_addr().expect("the listener has an address").to_string()
    }

    /// Accepts a new connection to member `n` and reads the startup message on it, but does not answer the message.
    pub fn accept_member_connection(&self, n: usize) -> TcpStream {
        read_startup(accept_connection(&self.members[n]))
    }

    /// Waits for the next RPC that member `n` gets on any connection, and returns the RPC's id and the connection.
    pub fn next_rpc(&mut self, n: usize) -> (String, TcpStream) {
        self.next_rpc_within(n, WAIT_TIMEOUT).expect("the member gets an RPC in time")
    }

    /// As [`Self::next_rpc`], but returns None if the member gets no RPC within `timeout`.
    pub fn next_rpc_within(&mut self, n: usize, timeout: Duration) -> Option<(String, TcpStream)> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Some(stream) = accept_connection_within(&self.members[n], Duration::from_millis(5)) {
                let mut stream = read_startup(stream);
                stream.write_all(&startup_response()).expect("the router reads");
                self.idle_connections[n].push(stream);
            }
            for nth in 0..self.idle_connections[n].len() {
                let connection = &mut self.idle_connections[n][nth];
                connection.set_nonblocking(true).expect("the socket option can be set");
                let peeked = connection.peek(&mut [0]);
                connection.set_nonblocking(false).expect("the socket option can be set");
                match peeked {
                    Ok(0) => {
                        self.idle_connections[n].remove(nth);
                        break;
                    }
                    Ok(_) => {
                        let (kind, body) = next_frame(connection).expect("the member gets a query");
                        assert_eq!(kind, b'Q');
                        let text = String::from_utf8(body[..body.len() - 1].to_vec()).expect("UTF-8 text");
                        if !text.is_empty() {
                            return Some((id_and_rest(&text).0, self.idle_connections[n].remove(nth)));
                        }
                        connection.write_all(&empty_query_response()).expect("the router reads");
                    }
                    Err(_) => {}
                }
            }
        }
        None
    }

    /// Returns the connection on which member `n` gets the RPC with this id. RPCs that arrive earlier are answered and
    /// counted in `before`.
    pub fn wait_for_rpc(&mut self, n: usize, id: &str, before: &mut usize) -> TcpStream {
        loop {
            let (rpc, connection) = self.next_rpc(n);
            if rpc == id {
                return connection;
            }
            *before += 1;
            self.answer_rpc(n, connection);
        }
    }

    /// Answers the RPC in flight on this connection to member `n`. The connection is idle after that.
    pub fn answer_rpc(&mut self, n: usize, mut connection: TcpStream) {
        connection
            .write_all(&row(b"v", if n == 0 { "leader" } else { "follower" }, now_ms()))
            .expect("the router reads");
        let sync_query = next_frame(&mut connection).expect("an empty query follows the statement");
        assert_eq!(sync_query, (b'Q', b"\0".to_vec()));
        connection.write_all(&empty_query_response()).expect("the router reads");
        self.idle_connections[n].push(connection);
    }

    /// Runs a write with this id, and checks that it is the next RPC that the primary gets and that it succeeds.
    pub fn assert_write_succeeds(&mut self, id: &str) {
        let mut client = self.client();
        client.write_all(&query(&write_statement(id))).expect("the router reads");
        let (rpc, connection) = self.next_rpc(0);
        assert_eq!(rpc, id, "another RPC reached the member first");
        self.answer_rpc(0, connection);
        assert_eq!(read_answer(&mut client).0, b"TDCZ");
    }

    /// Waits until the router process ends, and checks that it exits with success.
    pub fn assert_clean_exit(&mut self) {
        assert!(self.process.wait().expect("the process can be waited for").success());
    }
}

/// Reads the startup message on a connection to a member, and returns the connection.
pub fn read_startup(mut stream: TcpStream) -> TcpStream {
    let mut length = [0; 4];
    stream.read_exact(&mut length).expect("a complete startup message");
    let mut rest = vec![0; u32::from_be_bytes(length) as usize - 4];
    stream.read_exact(&mut rest).expect("a complete startup message");
    stream
}

/// Reads the request of a watch, and returns its first line.
pub fn read_watch_request(stream: &TcpStream) -> String {
    let mut lines = BufReader::new(stream.try_clone().expect("the socket can be cloned")).lines();
    let request = lines.next().and_then(Result::ok).expect("a watch request");
    while lines.next().and_then(Result::ok).is_some_and(|line| !line.is_empty()) {}
    request
}
