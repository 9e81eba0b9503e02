//! Configurations, statements and protocol messages that the router's tests share.
#![allow(dead_code)]

pub mod fake_servers;

use ladderpass::launch::Launch;
use ladderpass_routing::Time;
use std::io::Read;
use std::net::TcpStream;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

/// The time at which a simulated router starts.
pub const SIMULATION_START: Time = Time::from_nanos(1_796_000_000_000_000_000);

/// The head of the HTTP response with which discovery answers a watch.
pub const WATCH_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// One chunk of discovery's HTTP response, with these bytes as its content.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// The addresses of `count` simulated members: loopback ports from 7000 on.
pub fn simulated_members(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("127.0.0.1:{}", 7000 + n)).collect()
}

/// The configuration of a router in front of one group of members with these addresses. Member 0 is the primary.
pub fn router_config(members: &[String]) -> String {
    let instances: Vec<String> = (0..members.len()).map(|n| instance(n, &members[n], "SERVING")).collect();
    let settings = r#"{"Allowed":{"AttemptsCap":6,"ConnIdle":15000000000,"ConnectTimeout":250000000,"MaxRetryAfter":500000000,
        "Probes":true,"RetryAfter":true},"Balancers":1,"Contract":{"ColdFrom":0.2,"MustAskIn":10000000000,
        "OverloadFor":3000000000,"WarmWithin":10000000000},"Extra":{"Checks":"off","MaxAge":[800000000,0],
        "ProgressTold":true,"ReadLevel":["bounded","write"],"RoleInList":"late","Tokens":"carried"},
        "RegistryMode":"subscribe","Report":{"Columns":["x0","x1"]},"Services":[
        {"Name":"read","Slo":750000000,"Effect":"pure","Worth":3.0},
        {"Name":"write","Slo":750000000,"Effect":"side_effect","Worth":6.0}],"Tick":5000000}"#;
    format!(
        r#"{{"seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"other":1}},
        "known":{{"generation":1,"reset":true,"instances":[{}]}},"settings":{settings}}}"#,
        instances.join(",")
    )
}

/// The configuration of a router that may open `sockets` descriptors, in front of groups of one leader and two followers.
/// Groups are numbered from one.
pub fn grouped_router_config(members: &[String], sockets: usize) -> String {
    let of_group = |n: usize| instance_in_group(n, &members[n]);
    let instances: Vec<String> = (0..members.len()).map(of_group).collect();
    router_config(&[])
        .replace("\"instances\":[]", &format!("\"instances\":[{}]", instances.join(",")))
        .replace("\"sockets\":1024", &format!("\"sockets\":{sockets}"))
}

/// The endpoint list entry of the nth member, which serves. Every three consecutive members form a group, whose first
/// member is the leader.
pub fn instance_in_group(n: usize, address: &str) -> String {
    instance(n, address, "SERVING")
        .replace("\"cell\":1", &format!("\"cell\":{}", n / 3 + 1))
        .replace("\"follower\"", if n.is_multiple_of(3) { "\"leader\"" } else { "\"follower\"" })
}

/// The endpoint list entry of the nth member, with a lifecycle such as `SERVING`. Member 0 is the leader.
pub fn instance(n: usize, address: &str, lifecycle: &str) -> String {
    let role = if n == 0 { "leader" } else { "follower" };
    format!(
        r#"{{"instanceId":"m-{n}","hostPort":"{address}","zone":"a","machineType":"k","cell":1,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0,"role":"{role}"}}"#
    )
}

/// Writes the text to a temporary file whose name no other test uses.
pub fn temp_file(text: &str) -> PathBuf {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let next = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("ladderpass-{}-{next}.json", std::process::id()));
    std::fs::write(&path, text).expect("the temporary folder can be written to");
    path
}

/// The launch parameters of a process with this configuration. Discovery is at port 8500 of loopback.
pub fn launch_with_config(config: &str) -> Launch {
    launch_with_discovery(config, "127.0.0.1:8500")
}

/// Like [`launch_with_config`], with discovery at the address `discovery`.
pub fn launch_with_discovery(config: &str, discovery: &str) -> Launch {
    let path = temp_file(config);
    let variable = |key: &str| {
        Some(match key {
            "RELAY_NAME" => "n0".to_owned(),
            "RELAY_LISTEN" => "127.0.0.1:6432".to_owned(),
            "RELAY_DISCOVERY" => discovery.to_owned(),
            _ => path.to_str()?.to_owned(),
        })
    };
    let launch = Launch::read(variable, None);
    std::fs::remove_file(&path).expect("the temporary file is removed");
    launch.unwrap_or_else(|error| panic!("{error}"))
}

/// A loopback address that no other caller of this function gets. The address has port 0, so that the system chooses a
/// free port when a fake server binds the address.
pub fn unique_loopback_address() -> String {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(1);
    let nth = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let pid = std::process::id();
    format!("127.{}.{}.{nth}:0", 1 + pid / 250 % 250, pid % 250)
}

/// A free address for a router that is about to start. The system does not give the address's port to another socket
/// before the router binds the address.
pub fn router_address() -> String {
    ladderpass_testbed::router::free_loopback_address().expect("a free port").to_string()
}

/// A read or a write, as `method` says, with this id and for this group of members. The statement's deadline is
/// `deadline_ms` milliseconds after the statement is sent.
pub fn statement(id: &str, method: &str, deadline_ms: u64, group: &str) -> String {
    let comment = format!("/* id={id},c={method},d={deadline_ms},cluster={group} */");
    match method {
        "write" => {
            format!(
                "INSERT INTO entries (ref, payload) VALUES ('k{id}', '\\x9f03') RETURNING payload {comment}"
            )
        }
        _ => format!("SELECT payload FROM entries WHERE ref = 'k{id}' {comment}"),
    }
}

/// A message of the wire protocol, made of its type, its length and its body.
pub fn frame(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[kind][..], &length, body].concat()
}

/// A simple query message.
pub fn query(statement: &str) -> Vec<u8> {
    frame(b'Q', format!("{statement}\0").as_bytes())
}

/// A client's startup message.
pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0web\0database\0orders\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// A cancel request for the client connection that has this process id and this secret key.
pub fn cancel((process, secret): (u32, u32)) -> Vec<u8> {
    [16, 80_877_102, process, secret].into_iter().flat_map(u32::to_be_bytes).collect()
}

/// The process id and the secret key for cancel requests, from the frames that answer a client's startup message.
pub fn cancel_key(frames: &[(u8, Vec<u8>)]) -> (u32, u32) {
    let (_, body) =
        frames.iter().find(|(kind, _)| *kind == b'K').expect("the answer to the startup message has a key");
    let number = |from: usize| u32::from_be_bytes(body[from..from + 4].try_into().expect("four bytes"));
    (number(0), number(4))
}

/// A member's answer with one row of one column, `value`. `position_ms` is the member's replication position in Unix
/// milliseconds.
pub fn row(value: &[u8], role: &str, position_ms: u64) -> Vec<u8> {
    let column = [&b"\0\x01"[..], &(value.len() as u32).to_be_bytes(), value].concat();
    [
        frame(b'T', b"\0\x01payload\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01"),
        frame(b'D', &column),
        frame(b'C', b"SELECT 1\0"),
        frame(b'S', format!("node_role\0{role}\0").as_bytes()),
        frame(b'S', format!("replay_position\0{position_ms}\0").as_bytes()),
        frame(b'Z', b"I"),
    ]
    .concat()
}

/// The answer to an empty query.
pub fn empty_query_response() -> Vec<u8> {
    [frame(b'I', b""), frame(b'Z', b"I")].concat()
}

/// A member's answer that is an error with this SQLSTATE.
pub fn error_response(code: &str) -> Vec<u8> {
    [frame(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes()), frame(b'Z', b"I")].concat()
}

/// A member's answer to a startup message.
pub fn startup_response() -> Vec<u8> {
    [frame(b'R', &[0; 4]), frame(b'S', b"a\0b\0"), frame(b'K', &[0; 8]), frame(b'Z', b"I")].concat()
}

/// The types and bodies of the complete frames at the start of `bytes`, and how many bytes these frames take.
pub fn frames(bytes: &[u8]) -> (Vec<(u8, Vec<u8>)>, usize) {
    let (mut found, mut at) = (Vec::new(), 0);
    while let Some(head) = bytes.get(at..at + 5) {
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize + 1;
        let Some(frame) = bytes.get(at..at + length) else { break };
        found.push((frame[0], frame[5..].to_vec()));
        at += length;
    }
    (found, at)
}

/// The SQLSTATE in the body of an ErrorResponse.
pub fn sqlstate(body: &[u8]) -> String {
    let field = body.split(|&byte| byte == 0).find(|field| field.first() == Some(&b'C'));
    field.map(|field| String::from_utf8_lossy(&field[1..]).into_owned()).unwrap_or_default()
}

/// The id in a statement's comment, and the statement without the value of the deadline field `d`, which the router
/// rewrites.
pub fn id_and_rest(statement: &str) -> (String, String) {
    let (before, after) = statement.split_once(",d=").unwrap_or((statement, ","));
    let id = before.rsplit_once("id=").map_or("", |(_, id)| id).split(',').next().unwrap_or("");
    (id.to_owned(), format!("{before}{}", after.split_once(',').map_or("", |(_, rest)| rest)))
}

/// The current Unix time in milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is after 1970").as_millis() as u64
}

/// Closes a connection so that the other side sees the close at once. If the connection were only dropped, the other
/// side might see the close later: a child process that another test is starting holds a copy of the socket until its
/// exec, and the kernel closes a connection only with the last copy of its socket.
pub fn close(stream: TcpStream) {
    // The shutdown may fail if the other side has already closed the connection. Nothing is left to do in this case.
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Resets a connection by disconnecting the socket, which takes effect at once for all copies of the socket.
pub fn reset(stream: TcpStream) {
    use std::os::fd::AsRawFd;
    // SAFETY: an address of zeroes has the family AF_UNSPEC, with which `connect` disconnects a socket.
    let done = unsafe {
        let none: libc::sockaddr = std::mem::zeroed();
        libc::connect(stream.as_raw_fd(), &none, std::mem::size_of::<libc::sockaddr>() as libc::socklen_t)
    };
    assert_eq!(done, 0, "{}", std::io::Error::last_os_error());
}

/// Reads the next frame on a connection. Returns None at the end of the connection or after the socket's read timeout.
pub fn next_frame(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let mut body = vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}
