//! A router over real connections whose client, member and discovery are the test itself, so that nothing comes before it
//! says so; a router that is to find several things at once is halted while they happen.
#![allow(dead_code)]

use crate::common::*;
use nix::sys::signal::{Signal, kill};
use nix::sys::wait::{WaitPidFlag, waitpid};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub const PATIENCE: Duration = Duration::from_secs(20);

/// A router that probes nobody, so that members get RPCs alone; reads take any data; the primary is member 0.
pub struct Bed {
    pub process: Child,
    pub address: String,
    pub told: PathBuf,
    pub members: Vec<TcpListener>,
    /// Connections of each member that are up.
    pub links: Vec<Vec<TcpStream>>,
    pub discovery: TcpListener,
    pub watch: Option<TcpStream>,
    pub generation: u64,
}

impl Drop for Bed {
    fn drop(&mut self) {
        let _ = (self.process.kill(), self.process.wait(), std::fs::remove_file(&self.told));
    }
}

pub fn listener() -> TcpListener {
    TcpListener::bind(own_address()).expect("a port")
}

/// The next connection; a test that waits for one in vain fails.
pub fn accept(listener: &TcpListener) -> TcpStream {
    accept_within(listener, PATIENCE).expect("a connection comes")
}

pub fn accept_within(listener: &TcpListener, patience: Duration) -> Option<TcpStream> {
    listener.set_nonblocking(true).expect("it can");
    let until = Instant::now() + patience;
    while Instant::now() < until {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("it can");
                stream.set_read_timeout(Some(PATIENCE)).expect("it can");
                return Some(stream);
            }
            Err(fault) if fault.kind() == ErrorKind::WouldBlock => sleep(Duration::from_millis(2)),
            Err(fault) => panic!("{fault}"),
        }
    }
    None
}

pub fn bed(change: impl Fn(String) -> String) -> Bed {
    bed_of(vec![listener(), listener()], change, |_| {})
}

pub fn bed_of(
    members: Vec<TcpListener>,
    change: impl Fn(String) -> String,
    also: impl Fn(&mut Command),
) -> Bed {
    let at: Vec<String> = members.iter().map(|l| l.local_addr().expect("an address").to_string()).collect();
    let told = told(&at)
        .replace("\"Probes\":true", "\"Probes\":false")
        .replace("\"ConnectTimeout\":250000000", "\"ConnectTimeout\":30000000000")
        .replace("[\"bounded\",\"write\"]", "[\"any\",\"write\"]");
    let told = file(&change(told));
    let discovery = listener();
    let address = router_address();
    let mut command = Command::new(env!("CARGO_BIN_EXE_ladderpass"));
    command.env("RELAY_NAME", "n0").env("RELAY_LISTEN", &address).env("RUST_LOG", "warn");
    let found = discovery.local_addr().expect("an address").to_string();
    command.env("RELAY_DISCOVERY", found).env("RELAY_CONFIG", &told);
    also(&mut command);
    let process = command.spawn().expect("it starts");
    let links = members.iter().map(|_| Vec::new()).collect();
    let mut bed = Bed { process, address, told, members, links, discovery, watch: None, generation: 1 };
    bed.open_watch();
    bed.tell("", false);
    let mut client = bed.client();
    assert_eq!(answer(&mut client, ""), (b"IZ".to_vec(), String::new()));
    bed
}

/// What comes back to a statement: the types of its frames, and the code of an error.
pub fn answer(client: &mut TcpStream, statement: &str) -> (Vec<u8>, String) {
    client.write_all(&query(statement)).expect("the router reads");
    rest_of_answer(client)
}

pub fn rest_of_answer(client: &mut TcpStream) -> (Vec<u8>, String) {
    let (mut kinds, mut told) = (Vec::new(), String::new());
    while kinds.last() != Some(&b'Z') {
        let Some((kind, body)) = next_frame(client) else {
            return (kinds, "the connection has ended".into());
        };
        kinds.push(kind);
        if kind == b'E' {
            told = code(&body);
        }
    }
    (kinds, told)
}

pub fn write(id: &str) -> String {
    statement(id, "write", 60_000, "1")
}

impl Bed {
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.process.id() as i32), signal).expect("it runs");
    }

    /// It does nothing from here on, until it goes on.
    pub fn halt(&self) {
        self.signal(Signal::SIGSTOP);
        waitpid(Pid::from_raw(self.process.id() as i32), Some(WaitPidFlag::WUNTRACED)).expect("a child");
    }

    pub fn go_on(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// A connection with the welcome read.
    pub fn client(&self) -> TcpStream {
        let until = Instant::now() + PATIENCE;
        let mut stream = loop {
            match TcpStream::connect(&self.address) {
                Ok(stream) => break stream,
                Err(fault) => assert!(Instant::now() < until, "{fault}"),
            }
            sleep(Duration::from_millis(5));
        };
        stream.set_read_timeout(Some(PATIENCE)).expect("it can");
        stream.write_all(&startup()).expect("the router reads");
        while next_frame(&mut stream).expect("a welcome").0 != b'Z' {}
        stream
    }

    /// The router has looked at all that came before this.
    pub fn settle(&self) {
        let mut client = self.client();
        for _ in 0..3 {
            assert_eq!(answer(&mut client, "").0, b"IZ");
        }
    }

    /// The next watch: its call is read, and its head written.
    pub fn open_watch(&mut self) {
        let mut stream = accept(&self.discovery);
        read_call(&stream);
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").expect("it reads");
        self.watch = Some(stream);
    }

    /// A line of the watch with these entries.
    pub fn tell(&mut self, entries: &str, whole: bool) {
        let line =
            format!("{{\"generation\":{},\"reset\":{whole},\"instances\":[{entries}]}}\n", self.generation);
        self.generation += 1;
        self.tell_bytes(line.as_bytes());
    }

    pub fn tell_bytes(&mut self, bytes: &[u8]) {
        let watch = self.watch.as_mut().expect("a watch is open");
        let chunk = [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat();
        watch.write_all(&chunk).expect("it reads");
    }

    pub fn at(&self, n: usize) -> String {
        self.members[n].local_addr().expect("an address").to_string()
    }

    /// A new connection to a member: accepted, and its opening read; nothing is said yet.
    pub fn coming(&self, n: usize) -> TcpStream {
        opened(accept(&self.members[n]))
    }

    /// The id of the RPC that a member gets next, on whichever connection, and that connection.
    pub fn asked(&mut self, n: usize) -> (String, TcpStream) {
        self.asked_within(n, PATIENCE).expect("the member is asked")
    }

    pub fn asked_within(&mut self, n: usize, patience: Duration) -> Option<(String, TcpStream)> {
        let until = Instant::now() + patience;
        while Instant::now() < until {
            if let Some(stream) = accept_within(&self.members[n], Duration::from_millis(5)) {
                let mut stream = opened(stream);
                stream.write_all(&welcome()).expect("it reads");
                self.links[n].push(stream);
            }
            for nth in 0..self.links[n].len() {
                let link = &mut self.links[n][nth];
                link.set_nonblocking(true).expect("it can");
                let there = link.peek(&mut [0]);
                link.set_nonblocking(false).expect("it can");
                match there {
                    Ok(0) => {
                        self.links[n].remove(nth);
                        break;
                    }
                    Ok(_) => {
                        let (kind, body) = next_frame(link).expect("a query");
                        assert_eq!(kind, b'Q');
                        let text = String::from_utf8(body[..body.len() - 1].to_vec()).expect("text");
                        if !text.is_empty() {
                            return Some((id_and_rest(&text).0, self.links[n].remove(nth)));
                        }
                        link.write_all(&nothing()).expect("it reads");
                    }
                    Err(_) => {}
                }
            }
        }
        None
    }

    /// The connection on which a member gets this RPC; those that it gets before are counted and served.
    pub fn asked_for(&mut self, n: usize, id: &str, before: &mut usize) -> TcpStream {
        loop {
            let (asked, link) = self.asked(n);
            if asked == id {
                return link;
            }
            *before += 1;
            self.serve(n, link);
        }
    }

    /// Answers what was asked on it; it is there for the next.
    pub fn serve(&mut self, n: usize, mut link: TcpStream) {
        link.write_all(&row(b"v", if n == 0 { "leader" } else { "follower" }, now_ms())).expect("it reads");
        let fence = next_frame(&mut link).expect("an empty query behind it");
        assert_eq!(fence, (b'Q', b"\0".to_vec()));
        link.write_all(&nothing()).expect("it reads");
        self.links[n].push(link);
    }

    /// A write that goes through: the member gets this one, and none before it.
    pub fn passes(&mut self, id: &str) {
        let mut client = self.client();
        client.write_all(&query(&write(id))).expect("the router reads");
        let (asked, link) = self.asked(0);
        assert_eq!(asked, id, "the member gets no other RPC");
        self.serve(0, link);
        assert_eq!(rest_of_answer(&mut client).0, b"TDCZ");
    }

    pub fn ends_well(&mut self) {
        assert!(self.process.wait().expect("it ends").success());
    }
}

/// The opening of a connection to a member is read.
pub fn opened(mut stream: TcpStream) -> TcpStream {
    let mut length = [0; 4];
    stream.read_exact(&mut length).expect("an opening");
    let mut rest = vec![0; u32::from_be_bytes(length) as usize - 4];
    stream.read_exact(&mut rest).expect("an opening");
    stream
}

pub fn read_call(stream: &TcpStream) -> String {
    let mut lines = BufReader::new(stream.try_clone().expect("it can")).lines();
    let call = lines.next().and_then(Result::ok).expect("a call");
    while lines.next().and_then(Result::ok).is_some_and(|line| !line.is_empty()) {}
    call
}
