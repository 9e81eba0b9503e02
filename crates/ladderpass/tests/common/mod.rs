//! What the router's tests share: its configuration, statements, and protocol messages.
#![allow(dead_code)]

pub mod fake_servers;

use ladderpass::launch::Launch;
use ladderpass_routing::Time;
use std::io::Read;
use std::net::TcpStream;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

/// When a simulated router starts.
pub const SIMULATION_START: Time = Time::from_nanos(1_796_000_000_000_000_000);

/// The head of discovery's answer to a watch.
pub const WATCH_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A chunk of discovery's answer.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// Addresses of so many simulated members, from port 7000 of loopback on.
pub fn simulated_members(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("127.0.0.1:{}", 7000 + n)).collect()
}

/// The configuration of a router whose members, of one group, have these addresses; member 0 is the primary.
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

/// The configuration of a router with so many descriptors, and a leader and two followers in each group; groups are
/// numbered from one.
pub fn grouped_router_config(members: &[String], sockets: usize) -> String {
    let of_group = |n: usize| instance_in_group(n, &members[n]);
    let instances: Vec<String> = (0..members.len()).map(of_group).collect();
    router_config(&[])
        .replace("\"instances\":[]", &format!("\"instances\":[{}]", instances.join(",")))
        .replace("\"sockets\":1024", &format!("\"sockets\":{sockets}"))
}

/// The entry of a serving member in the endpoint list; three make a group, of which the first is the leader.
pub fn instance_in_group(n: usize, address: &str) -> String {
    instance(n, address, "SERVING")
        .replace("\"cell\":1", &format!("\"cell\":{}", n / 3 + 1))
        .replace("\"follower\"", if n.is_multiple_of(3) { "\"leader\"" } else { "\"follower\"" })
}

/// The entry of a member in the endpoint list, with a lifecycle such as `SERVING`; member 0 is the leader.
pub fn instance(n: usize, address: &str, lifecycle: &str) -> String {
    let role = if n == 0 { "leader" } else { "follower" };
    format!(
        r#"{{"instanceId":"m-{n}","hostPort":"{address}","zone":"a","machineType":"k","cell":1,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0,"role":"{role}"}}"#
    )
}

/// A temporary file with this text; no other test has its name.
pub fn temp_file(text: &str) -> PathBuf {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let next = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("ladderpass-{}-{next}.json", std::process::id()));
    std::fs::write(&path, text).expect("the temporary folder can be written to");
    path
}

/// What a process with this configuration starts with; discovery is at port 8500 of loopback.
pub fn launch_with_config(config: &str) -> Launch {
    launch_with_discovery(config, "127.0.0.1:8500")
}

/// The same with discovery at this address.
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
    std::fs::remove_file(&path).expect("its own file");
    launch.unwrap_or_else(|error| panic!("{error}"))
}

/// A free port of the system's choice, on an address that no other caller gets, for a fake server that keeps it.
pub fn unique_loopback_address() -> String {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(1);
    let nth = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let pid = std::process::id();
    format!("127.{}.{}.{nth}:0", 1 + pid / 250 % 250, pid % 250)
}

/// An address for a router that is about to start: nobody else gets it in between.
pub fn router_address() -> String {
    ladderpass_testbed::router::own_address().expect("a port").to_string()
}

/// A read or a write of this id, with its deadline in milliseconds from now on, for a group of members.
pub fn statement(id: &str, method: &str, wait_ms: u64, group: &str) -> String {
    let comment = format!("/* id={id},c={method},d={wait_ms},cluster={group} */");
    match method {
        "write" => {
            format!(
                "INSERT INTO entries (ref, payload) VALUES ('k{id}', '\\x9f03') RETURNING payload {comment}"
            )
        }
        _ => format!("SELECT payload FROM entries WHERE ref = 'k{id}' {comment}"),
    }
}

/// A message of the wire protocol: its type, its length, and the body.
pub fn frame(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[kind][..], &length, body].concat()
}

/// A simple query.
pub fn query(statement: &str) -> Vec<u8> {
    frame(b'Q', format!("{statement}\0").as_bytes())
}

/// The startup message of a client.
pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0web\0database\0orders\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// A cancel request with the process id and the secret key of the connection to cancel on.
pub fn cancel((process, secret): (u32, u32)) -> Vec<u8> {
    [16, 80_877_102, process, secret].into_iter().flat_map(u32::to_be_bytes).collect()
}

/// Process id and secret key among the answer to a startup message.
pub fn cancel_key(frames: &[(u8, Vec<u8>)]) -> (u32, u32) {
    let (_, body) = frames.iter().find(|(kind, _)| *kind == b'K').expect("the welcome has a key");
    let number = |from: usize| u32::from_be_bytes(body[from..from + 4].try_into().expect("four bytes"));
    (number(0), number(4))
}

/// A member's answer with one row of one column; its position is in Unix milliseconds.
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

/// A member's answer with an error of this SQLSTATE.
pub fn error_response(code: &str) -> Vec<u8> {
    [frame(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes()), frame(b'Z', b"I")].concat()
}

/// A member's answer to a startup message.
pub fn welcome() -> Vec<u8> {
    [frame(b'R', &[0; 4]), frame(b'S', b"a\0b\0"), frame(b'K', &[0; 8]), frame(b'Z', b"I")].concat()
}

/// The complete frames at the front, and how many bytes they take.
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

/// The SQLSTATE of an ErrorResponse.
pub fn sqlstate(body: &[u8]) -> String {
    let field = body.split(|&byte| byte == 0).find(|field| field.first() == Some(&b'C'));
    field.map(|field| String::from_utf8_lossy(&field[1..]).into_owned()).unwrap_or_default()
}

/// The id in a statement's comment, and the statement without the value of `d`.
pub fn id_and_rest(statement: &str) -> (String, String) {
    let (before, after) = statement.split_once(",d=").unwrap_or((statement, ","));
    let id = before.rsplit_once("id=").map_or("", |(_, id)| id).split(',').next().unwrap_or("");
    (id.to_owned(), format!("{before}{}", after.split_once(',').map_or("", |(_, rest)| rest)))
}

/// Unix time in milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// Closes a connection so that the other side sees it at once. A drop may be seen later: a child process that another test
/// is starting has a copy of the socket until its exec, and the kernel closes a connection with the last copy.
pub fn close(stream: TcpStream) {
    // It may fail where the other side has closed already: then there is nothing to be seen.
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Resets a connection: disconnecting the socket does that at once for all its copies.
pub fn reset(stream: TcpStream) {
    use std::os::fd::AsRawFd;
    // SAFETY: an address of zeroes is of no family, which is how a socket is told to disconnect.
    let done = unsafe {
        let none: libc::sockaddr = std::mem::zeroed();
        libc::connect(stream.as_raw_fd(), &none, std::mem::size_of::<libc::sockaddr>() as libc::socklen_t)
    };
    assert_eq!(done, 0, "{}", std::io::Error::last_os_error());
}

/// The next frame of a connection; None at its end, or after the read time-out.
pub fn next_frame(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).ok()?;
    let mut body = vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
    stream.read_exact(&mut body).ok()?;
    Some((head[0], body))
}
