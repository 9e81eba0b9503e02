//! Real router processes that start at once with 940 members in the cached list, a third of which hang, while discovery is
//! down or silent. The test measures how long each process takes until it accepts and serves a client, and what the start
//! costs. With `LADDERPASS_READY=300,64,FILE` it starts 300 processes of the program FILE with 64 descriptors each. By
//! default it starts 12 processes of this package's router with 96 descriptors each.

mod common;

use common::{
    empty_query_response, frames, grouped_router_config, next_frame, now_ms, query, router_address, row,
    startup, startup_response, statement, temp_file, unique_loopback_address,
};
use nix::sys::epoll::{Epoll, EpollCreateFlags, EpollEvent, EpollFlags, EpollTimeout};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const MEMBERS: usize = 940;
const MAX_TIME_TO_SERVE: Duration = Duration::from_secs(10);
/// The number of threads that serve fake members. Each thread listens on one address for leaders, one for followers,
/// and two for members that hang.
const THREADS: usize = 6;

#[derive(Clone, Copy, PartialEq, Eq)]
enum MemberKind {
    Leader,
    Follower,
    /// A member that accepts connections and sends nothing.
    Silent,
    /// A member that accepts no connections: they wait in the kernel, and connects hang once the kernel's queue is
    /// full.
    NotAccepting,
}

/// Fake members, many of which share one address.
struct Members {
    /// The address of each member.
    addresses: Vec<String>,
    /// How many health checks all members together have received.
    health_checks: Arc<AtomicUsize>,
}

fn start_members() -> Members {
    let health_checks = Arc::new(AtomicUsize::new(0));
    let mut addresses_by_kind: [Vec<SocketAddr>; 4] = Default::default();
    for _ in 0..THREADS {
        let kinds = [MemberKind::Leader, MemberKind::Follower, MemberKind::Silent, MemberKind::NotAccepting];
        let listeners =
            kinds.map(|kind| (kind, TcpListener::bind(unique_loopback_address()).expect("a free port")));
        for (kind, listener) in &listeners {
            addresses_by_kind[*kind as usize]
                .push(listener.local_addr().expect("the listener has an address"));
        }
        let health_checks = health_checks.clone();
        // The thread runs until the test's process ends.
        thread::spawn(move || serve_members(&listeners, &health_checks).expect("serving succeeds"));
    }
    // In each group of three members, the leader and the first follower serve, and the second follower hangs.
    let kind = |n: usize| match n % 6 {
        0 | 3 => MemberKind::Leader,
        1 | 4 => MemberKind::Follower,
        2 => MemberKind::Silent,
        _ => MemberKind::NotAccepting,
    };
    let addresses =
        (0..MEMBERS).map(|n| addresses_by_kind[kind(n) as usize][n / 6 % THREADS].to_string()).collect();
    Members { addresses, health_checks }
}

fn serve_members(
    listeners: &[(MemberKind, TcpListener); 4],
    health_checks: &AtomicUsize,
) -> std::io::Result<()> {
    let epoll = Epoll::new(EpollCreateFlags::empty())?;
    for (nth, (kind, listener)) in
        listeners.iter().enumerate().filter(|(_, (kind, _))| *kind != MemberKind::NotAccepting)
    {
        listener.set_nonblocking(true)?;
        epoll.add(listener, EpollEvent::new(EpollFlags::EPOLLIN, nth as u64))?;
        assert!(*kind != MemberKind::NotAccepting);
    }
    let mut connections: HashMap<u64, (MemberKind, TcpStream, Vec<u8>)> = HashMap::new();
    let mut last_id = listeners.len() as u64;
    let mut events = [EpollEvent::empty(); 256];
    loop {
        let count = epoll.wait(&mut events, EpollTimeout::NONE).unwrap_or(0);
        for event in &events[..count] {
            let id = event.data();
            if let Some((kind, listener)) = listeners.get(id as usize) {
                while let Ok((stream, _)) = listener.accept() {
                    stream.set_nonblocking(true)?;
                    stream.set_nodelay(true)?;
                    last_id += 1;
                    epoll.add(&stream, EpollEvent::new(EpollFlags::EPOLLIN, last_id))?;
                    connections.insert(last_id, (*kind, stream, Vec::new()));
                }
            } else if let Some((kind, stream, received)) = connections.get_mut(&id)
                && !answer_input(*kind, stream, received, health_checks)
            {
                connections.remove(&id);
            }
        }
    }
}

/// Reads what has arrived on a connection to a fake member, and answers complete messages. Returns false once the
/// connection has closed.
fn answer_input(
    kind: MemberKind,
    stream: &mut TcpStream,
    received: &mut Vec<u8>,
    health_checks: &AtomicUsize,
) -> bool {
    let mut chunk = [0; 4096];
    match stream.read(&mut chunk) {
        Ok(0) => return false,
        Ok(count) => received.extend_from_slice(&chunk[..count]),
        Err(fault) => return fault.kind() == std::io::ErrorKind::WouldBlock,
    }
    let mut out = Vec::new();
    // The startup message has no type byte. It is shorter than 16 MB, so its length begins with a zero byte.
    if received.first() == Some(&0) {
        let length =
            received.get(..4).map_or(4, |head| u32::from_be_bytes([head[0], head[1], head[2], head[3]]));
        if received.len() < length as usize {
            return true;
        }
        received.drain(..length as usize);
        out.extend(startup_response());
    }
    let (found, used) = frames(received);
    received.drain(..used);
    let role = if kind == MemberKind::Leader { "leader" } else { "follower" };
    for (_, body) in found {
        let text = String::from_utf8_lossy(&body[..body.len() - 1]);
        out.extend(match &*text {
            "" => empty_query_response(),
            "SHOW server_load" => {
                health_checks.fetch_add(1, Ordering::Relaxed);
                let report =
                    format!("x0={:.3},x1={}", now_ms() as f64 / 1e3, u8::from(kind == MemberKind::Leader));
                row(report.as_bytes(), role, now_ms())
            }
            _ => row(b"v", role, now_ms()),
        });
    }
    kind == MemberKind::Silent || stream.write_all(&out).is_ok()
}

/// A router process, and what was measured from its start until it served its first client.
struct StartMeasurement {
    process: Child,
    config_file: PathBuf,
    /// The time from the start of the process until a client had the answer to its startup message.
    startup_answered: Duration,
    /// The time from the start of the process until a client had a row.
    served: Duration,
    /// The CPU time that the process used from its start until it served its first client.
    cpu: Duration,
    /// The peak memory of the process in MB.
    resident_mb: f64,
}

impl Drop for StartMeasurement {
    fn drop(&mut self) {
        let _ = (self.process.kill(), self.process.wait(), std::fs::remove_file(&self.config_file));
    }
}

fn measure_start(
    nth: usize,
    binary: &Path,
    config: &str,
    discovery: &str,
    address: String,
) -> StartMeasurement {
    let config_file = temp_file(&config.replace("8c1f30d27a5be964", &format!("8c1f30d27a5b{nth:04x}")));
    let mut command = Command::new(binary);
    command.env("RELAY_NAME", format!("n{nth}")).env("RELAY_LISTEN", &address).env("RUST_LOG", "error");
    command.env("RELAY_DISCOVERY", discovery).env("RELAY_CONFIG", &config_file).stdin(Stdio::null());
    let started_at = Instant::now();
    let process = command.spawn().expect("the process starts");
    let never = Duration::MAX;
    let mut measurement = StartMeasurement {
        process,
        config_file,
        startup_answered: never,
        served: never,
        cpu: Duration::ZERO,
        resident_mb: 0.0,
    };
    for nth_try in 0.. {
        if started_at.elapsed() > MAX_TIME_TO_SERVE * 2 {
            break;
        }
        let group = 1 + (nth * 7 + nth_try) % (MEMBERS / 3);
        let read = statement(&format!("{nth}x{nth_try}"), "read", 4000, &group.to_string());
        if let Ok(mut stream) = TcpStream::connect(&address) {
            stream.set_read_timeout(Some(Duration::from_secs(5))).expect("the read timeout is set");
            let _ = stream.write_all(&[startup(), query(&read)].concat());
            let mut ready = 0;
            while let Some((kind, _)) = next_frame(&mut stream) {
                ready += u32::from(kind == b'Z');
                match (kind, ready) {
                    (b'Z', 1) => {
                        measurement.startup_answered = measurement.startup_answered.min(started_at.elapsed())
                    }
                    (b'D', _) => measurement.served = measurement.served.min(started_at.elapsed()),
                    _ => {}
                }
                if ready > 1 {
                    break;
                }
            }
        }
        if measurement.served < never {
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    let read_proc_file =
        |file: &str| std::fs::read_to_string(format!("/proc/{}/{file}", measurement.process.id()));
    let first_number =
        |text: &str| text.split_whitespace().next().and_then(|number| number.parse::<f64>().ok());
    let (cpu, status) =
        (read_proc_file("schedstat").unwrap_or_default(), read_proc_file("status").unwrap_or_default());
    measurement.cpu = Duration::from_secs_f64(first_number(&cpu).unwrap_or(0.0) / 1e9);
    let peak_memory = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or_default();
    measurement.resident_mb = first_number(peak_memory).unwrap_or(0.0) / 1024.0;
    measurement
}

/// Formats the median, the ninth decile and the maximum of the values.
fn summarize(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let quantile = |fraction: f64| values[((values.len() - 1) as f64 * fraction) as usize];
    format!(
        "{:.1} (median), {:.1} (90th percentile), {:.1} (maximum)",
        quantile(0.5),
        quantile(0.9),
        quantile(1.0)
    )
}

#[test]
fn nine_in_ten_routers_started_at_once_serve_a_client_within_ten_seconds() {
    let arguments = std::env::var("LADDERPASS_READY").unwrap_or_default();
    let mut arguments = arguments.splitn(3, ',');
    let mut number = |default: usize| arguments.next().and_then(|text| text.parse().ok()).unwrap_or(default);
    let (count, sockets) = (number(12), number(96));
    let binary: PathBuf = arguments.next().unwrap_or(env!("CARGO_BIN_EXE_ladderpass")).into();
    let members = start_members();
    let config = Arc::new(grouped_router_config(&members.addresses, sockets));
    let silent_discovery = TcpListener::bind(unique_loopback_address()).expect("a free port");
    let silent_discovery = (
        silent_discovery.local_addr().expect("the listener has an address").to_string(),
        Some(silent_discovery),
    );
    let down_address = router_address();
    let addresses: Vec<String> = (0..count).map(|_| router_address()).collect();
    for (discovery_state, (discovery, _)) in [("down", &(down_address, None)), ("silent", &silent_discovery)]
    {
        let before = members.health_checks.load(Ordering::Relaxed);
        let measurements: Vec<_> = (0..count)
            .map(|nth| {
                let (binary, config, discovery) = (binary.clone(), config.clone(), discovery.clone());
                let address = addresses[nth].clone();
                thread::spawn(move || measure_start(nth, &binary, &config, &discovery, address))
            })
            .collect();
        thread::sleep(Duration::from_secs(1));
        let health_checks = members.health_checks.load(Ordering::Relaxed) - before;
        let measurements: Vec<StartMeasurement> = measurements
            .into_iter()
            .map(|measurement| measurement.join().expect("the measuring thread ends"))
            .collect();
        let summary = |of: fn(&StartMeasurement) -> f64| summarize(measurements.iter().map(of).collect());
        println!("{count} processes of {sockets} descriptors, discovery {discovery_state}");
        println!(
            "  startup, ms:  {}",
            summary(|measurement| measurement.startup_answered.as_secs_f64() * 1e3)
        );
        println!("  served, ms:   {}", summary(|measurement| measurement.served.as_secs_f64() * 1e3));
        println!("  CPU, ms:      {}", summary(|measurement| measurement.cpu.as_secs_f64() * 1e3));
        println!("  memory, MB:   {}", summary(|measurement| measurement.resident_mb));
        println!("  health checks in the first second: {health_checks}");
        let ready_count =
            measurements.iter().filter(|measurement| measurement.served <= MAX_TIME_TO_SERVE).count();
        assert!(
            ready_count * 10 >= count * 9,
            "{ready_count} of {count} routers serve a client within {MAX_TIME_TO_SERVE:?}, discovery {discovery_state}"
        );
    }
}
