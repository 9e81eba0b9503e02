//! A router as a process of its own before the emulated fleet: started, pinned, watched, stopped.
//!
//! It owns the process and the files that it is told by. It must never end a process that it has not started.

use ladderpass_emulator::scenario::RouterLimits;
use ladderpass_emulator::{RunningEmulator, Scenario, proto};
use nix::sched::{CpuSet, sched_getaffinity, sched_setaffinity};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

/// How a router is started.
#[derive(Clone, Debug)]
pub struct Start {
    pub binary: PathBuf,
    pub allowed: RouterLimits,
    /// The text of its operator's file, if it gets one.
    pub operator: Option<String>,
    pub cpu: Option<usize>,
    /// Its log goes to the terminal too.
    pub loud: bool,
    pub log: String,
    /// A switch of a router built to be faulty.
    pub faulty: Option<String>,
    /// How far its wall clock is off; a build for the lab alone has it.
    pub clock_ms: i32,
    /// Where it listens; an address of its own, if not said.
    pub listen: Option<SocketAddr>,
    /// Arguments before all others, and further variables: for a program that is more than the router.
    pub arguments: Vec<String>,
    pub variables: Vec<(String, String)>,
}

impl Start {
    pub fn new(binary: &Path) -> Start {
        Start {
            binary: binary.to_owned(),
            allowed: RouterLimits { cores: 1.0, memory_mb: 192, sockets: 4096 },
            operator: None,
            cpu: None,
            loud: false,
            log: "info".into(),
            faulty: None,
            clock_ms: 0,
            listen: None,
            arguments: Vec::new(),
            variables: Vec::new(),
        }
    }
}

pub struct Router {
    process: Child,
    pub address: SocketAddr,
    files: Vec<PathBuf>,
    pub lines: Arc<Mutex<Vec<String>>>,
    reader: Option<std::thread::JoinHandle<()>>,
    /// When it was told to end.
    told_to_end: Mutex<Option<ladderpass_routing::Time>>,
}

/// Ports that no system gives by itself, so that none is taken between its choice and a router's start.
const PORTS: std::ops::Range<u32> = 15_000..32_000;

/// An address of this process's own, so that no other run gets it in between; the port is free for TCP and for UDP.
pub fn own_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let pid = std::process::id();
    let mut fault = None;
    for _ in 0..64 {
        let nth = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + pid.wrapping_mul(509).wrapping_add(nth) % (PORTS.end - PORTS.start);
        let own = format!("127.{}.{}.{}:{port}", 1 + pid / 250 % 250, pid % 250, 1 + nth % 250);
        let own: SocketAddr = own.parse().map_err(io::Error::other)?;
        match check_free(own) {
            Ok(()) => return Ok(own),
            Err(taken) => fault = Some(taken),
        }
    }
    Err(fault.unwrap_or_else(|| io::Error::other("no port is free")))
}

/// Is an address free, for TCP and for UDP? It is bound and never listened on: a child that another thread is starting
/// inherits the socket until it becomes its own program, and a listener would take connections there that nobody serves.
fn check_free(address: SocketAddr) -> io::Result<()> {
    let stream = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // As the router does: bound sockets with it don't bar each other while none listens.
    stream.set_reuse_address(true)?;
    stream.bind(&address.into())?;
    UdpSocket::bind(address).map(drop)
}

fn file(text: &str, ending: &str) -> io::Result<PathBuf> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let nth = NEXT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("ladderpass-testbed-{}-{nth}.{ending}", std::process::id()));
    std::fs::write(&path, text)?;
    Ok(path)
}

impl Router {
    pub fn start(
        scenario: &Scenario,
        fleet: &RunningEmulator,
        start: &Start,
        seed: u64,
    ) -> io::Result<Router> {
        Router::start_before(scenario, &fleet.addresses, fleet.discovery, start, seed)
    }

    /// Before members and discovery at these addresses, whoever stands there.
    pub fn start_before(
        scenario: &Scenario,
        members: &[SocketAddr],
        discovery: SocketAddr,
        start: &Start,
        seed: u64,
    ) -> io::Result<Router> {
        let mut router = Router::spawn(scenario, members, discovery, start, seed)?;
        router.wait_until_it_serves()?;
        Ok(router)
    }

    /// The same without waiting for it: several come up together.
    pub fn spawn(
        scenario: &Scenario,
        members: &[SocketAddr],
        discovery: SocketAddr,
        start: &Start,
        seed: u64,
    ) -> io::Result<Router> {
        let address = start.listen.map_or_else(own_address, Ok)?;
        let told =
            file(&scenario.router_config(ladderpass_emulator::now(), seed, &start.allowed, members), "json")?;
        let mut files = vec![told.clone()];
        let mut command = Command::new(&start.binary);
        command.args(&start.arguments).envs(start.variables.iter().cloned());
        command.env("RELAY_NAME", "lab").env("RELAY_LISTEN", address.to_string());
        command.env("RELAY_DISCOVERY", discovery.to_string()).env("RELAY_CONFIG", &told);
        command.env("RUST_LOG", &start.log).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        if let Some(switch) = &start.faulty {
            command.env("LADDERPASS_FAULTY", switch);
        }
        if start.clock_ms != 0 {
            command.env("LADDERPASS_CLOCK_MS", start.clock_ms.to_string());
        }
        if let Some(text) = &start.operator {
            let operator = file(text, "yaml")?;
            command.arg("--operator").arg(&operator);
            files.push(operator);
        }
        let mut process = command
            .spawn()
            .map_err(|fault| io::Error::new(fault.kind(), format!("{}: {fault}", start.binary.display())))?;
        let lines = Arc::new(Mutex::new(Vec::new()));
        let reader = process.stderr.take().map(|stderr| {
            let (lines, loud) = (lines.clone(), start.loud);
            std::thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    if loud {
                        eprintln!("{line}");
                    }
                    lines.lock().expect("no holder panics").push(line);
                }
            })
        });
        let router = Router { process, address, files, lines, reader, told_to_end: Mutex::default() };
        if let Some(cpu) = start.cpu {
            pin(router.pid(), cpu)?;
        }
        Ok(router)
    }

    pub fn pid(&self) -> Pid {
        Pid::from_raw(self.process.id() as i32)
    }

    pub fn wait_until_it_serves(&mut self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(10);
        loop {
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                let mut out = Vec::new();
                proto::put_startup(&mut out);
                proto::put_query(&mut out, "");
                stream.set_read_timeout(Some(Duration::from_secs(2)))?;
                stream.write_all(&out)?;
                return crate::load::until_ready(&mut stream);
            }
            if let Some(status) = self.process.try_wait()? {
                return Err(io::Error::other(format!(
                    "the router ended with {status}: {}",
                    self.last_lines()
                )));
            }
            if Instant::now() > until {
                return Err(io::Error::other(format!("the router does not listen: {}", self.last_lines())));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// What it said last.
    pub fn last_lines(&self) -> String {
        // What it wrote before it ended may still be on its way.
        std::thread::sleep(Duration::from_millis(20));
        let lines = self.lines.lock().expect("no holder panics");
        lines[lines.len().saturating_sub(5)..].join("; ")
    }

    /// CPU time that it has used, in seconds, and its resident memory in bytes.
    pub fn used(&self) -> (f64, u64) {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.process.id())).unwrap_or_default();
        let after = stat.rsplit_once(')').map_or("", |(_, after)| after);
        let fields: Vec<f64> = after.split_whitespace().map(|field| field.parse().unwrap_or(0.0)).collect();
        let ticks = fields.get(11).unwrap_or(&0.0) + fields.get(12).unwrap_or(&0.0);
        // The kernel counts in hundredths of a second, and in pages of 4 KiB.
        (ticks / 100.0, (fields.get(21).unwrap_or(&0.0) * 4096.0) as u64)
    }

    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        if signal == Signal::SIGTERM {
            self.told_to_end.lock().expect("no holder panics").get_or_insert_with(ladderpass_emulator::now);
        }
        Ok(kill(self.pid(), signal)?)
    }

    pub fn told_to_end(&self) -> Option<ladderpass_routing::Time> {
        *self.told_to_end.lock().expect("no holder panics")
    }

    /// Has it ended? With its exit code.
    pub fn ended(&mut self) -> Option<Option<i32>> {
        self.process.try_wait().ok().flatten().map(|status| status.code())
    }

    pub fn log(&self) -> Vec<String> {
        self.lines.lock().expect("no holder panics").clone()
    }

    /// Stops it for good; what it has logged.
    pub fn stop(mut self) -> Vec<String> {
        self.end();
        self.log()
    }

    fn end(&mut self) {
        // A process that has ended already is no fault.
        let _ = (self.process.kill(), self.process.wait());
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
        for file in self.files.drain(..) {
            let _ = std::fs::remove_file(file);
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.end();
    }
}

/// Keeps a process, or this thread (0), on one core.
pub fn pin(pid: Pid, cpu: usize) -> io::Result<()> {
    let mut set = CpuSet::new();
    set.set(cpu)?;
    Ok(sched_setaffinity(pid, &set)?)
}

/// Keeps this thread, and those that it starts, off one core, where there is another.
pub fn keep_off(cpu: usize) -> io::Result<()> {
    // What this process had at first: a set read again later would be the one that was set here.
    static FIRST: OnceLock<CpuSet> = OnceLock::new();
    let first = FIRST.get_or_init(|| sched_getaffinity(Pid::from_raw(0)).unwrap_or_default());
    let mut others = *first;
    others.unset(cpu)?;
    let some = (0..CpuSet::count()).any(|other| others.is_set(other).unwrap_or(false));
    Ok(sched_setaffinity(Pid::from_raw(0), if some { &others } else { first })?)
}

/// How many cores the machine has; told once, before any thread is kept off one.
pub fn cores() -> usize {
    static CORES: OnceLock<usize> = OnceLock::new();
    *CORES.get_or_init(|| std::thread::available_parallelism().map_or(1, usize::from))
}
