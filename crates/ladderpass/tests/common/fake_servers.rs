//! A router process on loopback, with fake members and a fake discovery that run as threads of the test.

use super::{
    empty_query_response, next_frame, now_ms, query, router_address, router_config, row, startup,
    startup_response, temp_file,
};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

/// Computes the answer of the nth fake member to a statement. For None, the member closes the connection without an
/// answer.
pub type Answer = fn(n: usize, statement: &str) -> Option<Vec<u8>>;

/// Starts the nth fake member and returns the member's address. The member accepts all connections, sends each
/// statement to `statements`, and answers the statement with what `answer` returns.
pub fn fake_member(n: usize, answer: Answer, statements: Sender<(usize, String)>) -> String {
    slow_fake_member(Duration::ZERO, n, answer, statements)
}

/// Like [`fake_member`], but the member waits for `wait` before it answers a startup message.
pub fn slow_fake_member(
    wait: Duration,
    n: usize,
    answer: Answer,
    statements: Sender<(usize, String)>,
) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener has an address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let statements = statements.clone();
            thread::spawn(move || serve_connection(wait, n, stream, answer, statements));
        }
    });
    address
}

/// Serves one connection to a fake member until the connection ends.
fn serve_connection(
    wait: Duration,
    n: usize,
    mut stream: TcpStream,
    answer: Answer,
    statements: Sender<(usize, String)>,
) -> Option<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut rest = vec![0; u32::from_be_bytes(length) as usize - 4];
    stream.read_exact(&mut rest).ok()?;
    thread::sleep(wait);
    stream.write_all(&startup_response()).ok()?;
    loop {
        let (kind, body) = next_frame(&mut stream)?;
        assert_eq!(kind, b'Q');
        let statement = String::from_utf8(body[..body.len() - 1].to_vec()).ok()?;
        if statement.is_empty() {
            stream.write_all(&empty_query_response()).ok()?;
            continue;
        }
        if statement == "SHOW server_load" {
            let report = format!("x0={:.3},x1={}", now_ms() as f64 / 1e3, u8::from(n == 0));
            stream.write_all(&row(report.as_bytes(), role(n), now_ms())).ok()?;
            continue;
        }
        statements.send((n, statement.clone())).ok()?;
        stream.write_all(&answer(n, &statement)?).ok()?;
    }
}

/// The role that the nth fake member reports: member 0 is the leader.
pub fn role(n: usize) -> &'static str {
    if n == 0 { "leader" } else { "follower" }
}

/// A line of a watch that leaves the configured endpoint list unchanged.
pub const NO_CHANGE: &str = r#"{"generation":1,"reset":false,"instances":[]}"#;

/// Starts a fake discovery service and returns the service's address. Each watch of the endpoint list gets `line`, and
/// then an empty line every second.
pub fn fake_discovery(line: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("the listener has an address").to_string();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let line = format!("{line}\n");
            thread::spawn(move || {
                let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
                let request = lines.next()?.ok()?;
                assert_eq!(request, "GET /catalog/members?watch=1&from=1 HTTP/1.1");
                lines.find(|line| line.as_ref().is_ok_and(String::is_empty))?.ok()?;
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                write!(stream, "{head}{:x}\r\n{line}\r\n", line.len()).ok()?;
                loop {
                    thread::sleep(Duration::from_secs(1));
                    stream.write_all(b"1\r\n\n\r\n").ok()?;
                }
                #[allow(unreachable_code)]
                Some(())
            });
        }
    });
    address
}

/// A router process, which is killed when this value is dropped.
pub struct Router {
    pub process: Child,
    pub address: String,
    pub config_file: PathBuf,
    /// The statements that members have received, each with the member's number.
    pub statements: Receiver<(usize, String)>,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = (self.process.kill(), self.process.wait(), std::fs::remove_file(&self.config_file));
    }
}

/// The command that starts a router with this configuration file. The router's log goes to a pipe.
pub fn router_command(listen: &str, discovery: &str, config_file: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ladderpass"));
    command.env("RELAY_NAME", "n0").env("RELAY_LISTEN", listen).env("RELAY_DISCOVERY", discovery);
    command.env("RELAY_CONFIG", config_file).env("RUST_LOG", "info").stderr(Stdio::piped());
    command
}

/// Starts a router in front of three fake members that answer with `answer`. Returns once the router has answered an
/// empty query.
pub fn router(answer: Answer) -> Router {
    router_with(|config| config, answer)
}

/// Like [`router`], with the configuration that `change` returns.
pub fn router_with(change: fn(String) -> String, answer: Answer) -> Router {
    let (sender, statements) = channel();
    let members: Vec<String> = (0..3).map(|n| fake_member(n, answer, sender.clone())).collect();
    router_with_members(&members, statements, change)
}

/// Like [`router_with`], in front of the members with these addresses, whose statements arrive on `statements`.
pub fn router_with_members(
    members: &[String],
    statements: Receiver<(usize, String)>,
    change: impl Fn(String) -> String,
) -> Router {
    router_logging_to(Stdio::inherit(), members, statements, change)
}

/// Like [`router_with_members`], with the log written to `log`.
pub fn router_logging_to(
    log: Stdio,
    members: &[String],
    statements: Receiver<(usize, String)>,
    change: impl Fn(String) -> String,
) -> Router {
    let config_file = temp_file(&change(router_config(members)));
    let address = router_address();
    let discovery = fake_discovery(NO_CHANGE.to_owned());
    let process =
        router_command(&address, &discovery, &config_file).stderr(log).spawn().expect("the process starts");
    let router = Router { process, address, config_file, statements };
    let mut client = router.client();
    assert_eq!(execute(&mut client, ""), (vec![b'I', b'Z'], Vec::new()));
    router
}

impl Router {
    /// Sends the router process the signal with this name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.process.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("the shell starts").success());
    }

    /// Connects a client to the router, and returns once the router has answered the client's startup message.
    pub fn client(&self) -> TcpStream {
        let mut stream = loop {
            match TcpStream::connect(&self.address) {
                Ok(stream) => break stream,
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        };
        stream.set_read_timeout(Some(Duration::from_secs(60))).expect("the read timeout is set");
        stream.write_all(&startup()).expect("the router reads");
        while next_frame(&mut stream).expect("the startup message is answered").0 != b'Z' {}
        stream
    }
}

/// Sends a statement on a client's connection and reads the answer. Returns the types of the answer's frames, and the
/// body of the last row or error in the answer.
pub fn execute(client: &mut TcpStream, statement: &str) -> (Vec<u8>, Vec<u8>) {
    client.write_all(&query(statement)).expect("the router reads");
    let (mut kinds, mut last_body) = (Vec::new(), Vec::new());
    while kinds.last() != Some(&b'Z') {
        let (kind, body) = next_frame(client).expect("a complete answer");
        kinds.push(kind);
        if matches!(kind, b'D' | b'E') {
            last_body = body;
        }
    }
    (kinds, last_body)
}
