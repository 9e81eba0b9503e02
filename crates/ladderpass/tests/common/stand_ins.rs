//! A router over loopback, and stand-ins for a member and for discovery that are threads of the test.

use super::*;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

/// What a member does with a statement.
pub type Answer = fn(n: usize, statement: &str) -> Option<Vec<u8>>;

/// A member: welcomes all, tells what it was asked, and answers as told; None closes the connection.
pub fn member(n: usize, answer: Answer, heard: Sender<(usize, String)>) -> String {
    member_welcoming_after(Duration::ZERO, n, answer, heard)
}

/// The same, whose connections come up so much later.
pub fn member_welcoming_after(
    wait: Duration,
    n: usize,
    answer: Answer,
    heard: Sender<(usize, String)>,
) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let heard = heard.clone();
            thread::spawn(move || converse(wait, n, stream, answer, heard));
        }
    });
    address
}

fn converse(
    wait: Duration,
    n: usize,
    mut stream: TcpStream,
    answer: Answer,
    heard: Sender<(usize, String)>,
) -> Option<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut rest = vec![0; u32::from_be_bytes(length) as usize - 4];
    stream.read_exact(&mut rest).ok()?;
    thread::sleep(wait);
    stream.write_all(&welcome()).ok()?;
    loop {
        let (kind, body) = next_frame(&mut stream)?;
        assert_eq!(kind, b'Q');
        let statement = String::from_utf8(body[..body.len() - 1].to_vec()).ok()?;
        if statement.is_empty() {
            stream.write_all(&nothing()).ok()?;
            continue;
        }
        if statement == "SHOW server_load" {
            let report = format!("x0={:.3},x1={}", now_ms() as f64 / 1e3, u8::from(n == 0));
            stream.write_all(&row(report.as_bytes(), role(n), now_ms())).ok()?;
            continue;
        }
        heard.send((n, statement.clone())).ok()?;
        stream.write_all(&answer(n, &statement)?).ok()?;
    }
}

pub fn role(n: usize) -> &'static str {
    if n == 0 { "leader" } else { "follower" }
}

pub const NO_CHANGE: &str = r#"{"generation":1,"reset":false,"instances":[]}"#;

/// Discovery: each watch gets this line, then an empty one now and then.
pub fn discovery(line: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let line = format!("{line}\n");
            thread::spawn(move || {
                let mut lines = BufReader::new(stream.try_clone().ok()?).lines();
                let call = lines.next()?.ok()?;
                assert_eq!(call, "GET /catalog/members?watch=1&from=1 HTTP/1.1");
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

pub struct Router {
    pub process: Child,
    pub address: String,
    pub told: PathBuf,
    pub heard: Receiver<(usize, String)>,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = (self.process.kill(), self.process.wait(), std::fs::remove_file(&self.told));
    }
}

pub fn command(listen: &str, discovery: &str, told: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ladderpass"));
    command.env("RELAY_NAME", "n0").env("RELAY_LISTEN", listen).env("RELAY_DISCOVERY", discovery);
    command.env("RELAY_CONFIG", told).env("RUST_LOG", "info").stderr(Stdio::piped());
    command
}

/// A router in front of three members, once it has answered an empty query.
pub fn router(answer: Answer) -> Router {
    router_with(|told| told, answer)
}

pub fn router_with(change: fn(String) -> String, answer: Answer) -> Router {
    let (sender, heard) = channel();
    let members: Vec<String> = (0..3).map(|n| member(n, answer, sender.clone())).collect();
    router_before(&members, heard, change)
}

/// The same in front of these members, which tell there what they are asked.
pub fn router_before(
    members: &[String],
    heard: Receiver<(usize, String)>,
    change: impl Fn(String) -> String,
) -> Router {
    router_logging_to(Stdio::inherit(), members, heard, change)
}

/// The same, with its log there.
pub fn router_logging_to(
    log: Stdio,
    members: &[String],
    heard: Receiver<(usize, String)>,
    change: impl Fn(String) -> String,
) -> Router {
    let told = file(&change(told(members)));
    let address = router_address();
    let discovery = discovery(NO_CHANGE.to_owned());
    let process = command(&address, &discovery, &told).stderr(log).spawn().expect("it starts");
    let router = Router { process, address, told, heard };
    let mut client = router.client();
    assert_eq!(ask(&mut client, ""), (vec![b'I', b'Z'], Vec::new()));
    router
}

impl Router {
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.process.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("sh").success());
    }

    /// A connection with the welcome read.
    pub fn client(&self) -> TcpStream {
        let mut stream = loop {
            match TcpStream::connect(&self.address) {
                Ok(stream) => break stream,
                Err(_) => thread::sleep(Duration::from_millis(5)),
            }
        };
        stream.set_read_timeout(Some(Duration::from_secs(60))).expect("a time-out");
        stream.write_all(&startup()).expect("the router reads");
        while next_frame(&mut stream).expect("a welcome").0 != b'Z' {}
        stream
    }
}

/// The answer to a statement: its frames' types, and the bodies of rows and errors.
pub fn ask(client: &mut TcpStream, statement: &str) -> (Vec<u8>, Vec<u8>) {
    client.write_all(&query(statement)).expect("the router reads");
    let (mut kinds, mut told) = (Vec::new(), Vec::new());
    while kinds.last() != Some(&b'Z') {
        let (kind, body) = next_frame(client).expect("a whole answer");
        kinds.push(kind);
        if matches!(kind, b'D' | b'E') {
            told = body;
        }
    }
    (kinds, told)
}
