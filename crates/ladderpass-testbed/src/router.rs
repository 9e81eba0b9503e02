//! A router as a child process: its settings are written, it is started, pinned to a core, observed and stopped.
//!
//! It owns the process and the temporary files of its settings, and ends only processes that it has started.

use ladderpass_emulator::scenario::RouterLimits;
use ladderpass_emulator::{RunningEmulator, Scenario, proto};
use ladderpass_routing::Time;
use nix::sched::{CpuSet, sched_getaffinity, sched_setaffinity};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How a router is started.
#[derive(Clone, Debug)]
pub struct Start {
    /// The program.
    pub binary: PathBuf,
    /// Cores, memory and sockets that its settings allow it.
    pub allowed: RouterLimits,
    /// Text of its operator's file, if it gets one.
    pub operator: Option<String>,
    /// The core that it is pinned to, if any.
    pub cpu: Option<usize>,
    /// Print its log to stderr too.
    pub loud: bool,
    /// `RUST_LOG` of the process.
    pub log: String,
    /// `LADDERPASS_FAULTY` of a build with the feature `faulty`.
    pub faulty: Option<String>,
    /// Offset of its wall clock in milliseconds; needs a build with the feature `faulty`.
    pub clock_ms: i32,
    /// Where it listens; without it, an address of [`own_address`].
    pub listen: Option<SocketAddr>,
    /// Arguments before all others, for a program that is more than the router.
    pub arguments: Vec<String>,
    /// Further environment variables.
    pub variables: Vec<(String, String)>,
}

impl Start {
    /// A router with default limits and nothing optional.
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

/// A running router. It is killed when this is dropped.
pub struct Router {
    process: Child,
    /// Where it listens.
    pub address: SocketAddr,
    /// Temporary files of its settings, which are removed when it ends.
    files: Vec<PathBuf>,
    /// Lines that it has logged.
    pub lines: Arc<Mutex<Vec<String>>>,
    log_reader: Option<JoinHandle<()>>,
    /// When it got its first SIGTERM.
    terminated_at: Mutex<Option<Time>>,
}

/// Below the range of ephemeral ports, so that the system gives none away between its choice and a router's start.
const PORTS: std::ops::Range<u32> = 15_000..32_000;
const MAX_PORT_TRIES: usize = 64;
const START_TIMEOUT: Duration = Duration::from_secs(10);
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the last lines of an ended process may take through the pipe.
const LOG_FLUSH_WAIT: Duration = Duration::from_millis(20);
const LAST_LINES: usize = 5;
/// Fields of `/proc/PID/stat`, counted from behind the process's name.
const STAT_USER_TICKS: usize = 11;
const STAT_SYSTEM_TICKS: usize = 12;
const STAT_RESIDENT_PAGES: usize = 21;
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: f64 = 4096.0;

/// A loopback address whose port is free for TCP and for UDP. It depends on this process's id, so that other processes of
/// the testbed choose others.
///
/// # Errors
/// If none of several candidates is free.
pub fn own_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let pid = std::process::id();
    let mut last_error = None;
    for _ in 0..MAX_PORT_TRIES {
        let index = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + pid.wrapping_mul(509).wrapping_add(index) % (PORTS.end - PORTS.start);
        let address = format!("127.{}.{}.{}:{port}", 1 + pid / 250 % 250, pid % 250, 1 + index % 250);
        let address: SocketAddr = address.parse().map_err(io::Error::other)?;
        match check_free(address) {
            Ok(()) => return Ok(address),
            Err(error) => last_error = Some(error),
        }
    }
    Err(last_error.unwrap_or_else(|| io::Error::other("no port is free")))
}

/// Checks that an address is free for TCP and for UDP. It is bound and never listened on: a child process that another
/// thread starts inherits the socket until its exec, and a listener would accept connections that nobody serves.
fn check_free(address: SocketAddr) -> io::Result<()> {
    let stream = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // The router sets it too: then bound sockets don't block each other while none listens.
    stream.set_reuse_address(true)?;
    stream.bind(&address.into())?;
    UdpSocket::bind(address).map(drop)
}

fn write_temporary_file(text: &str, extension: &str) -> io::Result<PathBuf> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let index = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("ladderpass-testbed-{}-{index}.{extension}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text)?;
    Ok(path)
}

impl Router {
    /// Starts a router before a fleet, and waits until it serves.
    ///
    /// # Errors
    /// If it can't be started, ends at once, or does not serve in time.
    pub fn start(
        scenario: &Scenario,
        fleet: &RunningEmulator,
        start: &Start,
        seed: u64,
    ) -> io::Result<Router> {
        Router::start_before(scenario, &fleet.addresses, fleet.discovery, start, seed)
    }

    /// Starts a router that reaches members and discovery at these addresses, and waits until it serves.
    ///
    /// # Errors
    /// As [`Router::start`].
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

    /// As [`Router::start_before`] without the wait, so that several can start at once.
    ///
    /// # Errors
    /// If its settings can't be written, or its process can't be started or pinned.
    pub fn spawn(
        scenario: &Scenario,
        members: &[SocketAddr],
        discovery: SocketAddr,
        start: &Start,
        seed: u64,
    ) -> io::Result<Router> {
        let address = start.listen.map_or_else(own_address, Ok)?;
        let settings = scenario.router_config(ladderpass_emulator::now(), seed, &start.allowed, members);
        let settings = write_temporary_file(&settings, "json")?;
        let mut files = vec![settings.clone()];
        let mut command = Command::new(&start.binary);
        command.args(&start.arguments).envs(start.variables.iter().cloned());
        command.env("RELAY_NAME", "lab").env("RELAY_LISTEN", address.to_string());
        command.env("RELAY_DISCOVERY", discovery.to_string()).env("RELAY_CONFIG", &settings);
        command.env("RUST_LOG", &start.log).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        if let Some(switch) = &start.faulty {
            command.env("LADDERPASS_FAULTY", switch);
        }
        if start.clock_ms != 0 {
            command.env("LADDERPASS_CLOCK_MS", start.clock_ms.to_string());
        }
        if let Some(text) = &start.operator {
            let operator = write_temporary_file(text, "yaml")?;
            command.arg("--operator").arg(&operator);
            files.push(operator);
        }
        let mut process = command
            .spawn()
            .map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", start.binary.display())))?;
        let lines = Arc::new(Mutex::new(Vec::new()));
        let log_reader = process.stderr.take().map(|stderr| {
            let (lines, loud) = (lines.clone(), start.loud);
            std::thread::spawn(move || read_log(stderr, &lines, loud))
        });
        let router = Router { process, address, files, lines, log_reader, terminated_at: Mutex::default() };
        if let Some(cpu) = start.cpu {
            pin(router.pid(), cpu)?;
        }
        Ok(router)
    }

    /// Its process id.
    pub fn pid(&self) -> Pid {
        Pid::from_raw(self.process.id() as i32)
    }

    /// Waits until it answers an empty query.
    ///
    /// # Errors
    /// If it ends before, does not listen in time, or its first answer fails.
    pub fn wait_until_it_serves(&mut self) -> io::Result<()> {
        let give_up_at = Instant::now() + START_TIMEOUT;
        loop {
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                let mut output = Vec::new();
                proto::put_startup(&mut output);
                proto::put_query(&mut output, "");
                stream.set_read_timeout(Some(FIRST_ANSWER_TIMEOUT))?;
                stream.write_all(&output)?;
                return crate::load::until_ready(&mut stream);
            }
            if let Some(status) = self.process.try_wait()? {
                return Err(io::Error::other(format!(
                    "the router ended with {status}: {}",
                    self.last_lines()
                )));
            }
            if Instant::now() > give_up_at {
                return Err(io::Error::other(format!("the router does not listen: {}", self.last_lines())));
            }
            std::thread::sleep(CONNECT_RETRY_INTERVAL);
        }
    }

    /// The last lines of its log.
    pub fn last_lines(&self) -> String {
        std::thread::sleep(LOG_FLUSH_WAIT);
        let lines = self.lines.lock().expect("no holder panics");
        lines[lines.len().saturating_sub(LAST_LINES)..].join("; ")
    }

    /// CPU time that it has used, in seconds, and its resident memory, in bytes.
    pub fn used(&self) -> (f64, u64) {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.process.id())).unwrap_or_default();
        let behind_name = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
        let fields: Vec<f64> =
            behind_name.split_whitespace().map(|field| field.parse().unwrap_or(0.0)).collect();
        let field = |index: usize| fields.get(index).copied().unwrap_or(0.0);
        let ticks = field(STAT_USER_TICKS) + field(STAT_SYSTEM_TICKS);
        (ticks / TICKS_PER_SECOND, (field(STAT_RESIDENT_PAGES) * PAGE_BYTES) as u64)
    }

    /// Sends it a signal.
    ///
    /// # Errors
    /// If its process is no more.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        if signal == Signal::SIGTERM {
            self.terminated_at.lock().expect("no holder panics").get_or_insert_with(ladderpass_emulator::now);
        }
        Ok(kill(self.pid(), signal)?)
    }

    /// When it got its first SIGTERM.
    pub fn told_to_end(&self) -> Option<Time> {
        *self.terminated_at.lock().expect("no holder panics")
    }

    /// Set if its process has ended; within, the exit code, or none if a signal ended it.
    pub fn ended(&mut self) -> Option<Option<i32>> {
        self.process.try_wait().ok().flatten().map(|status| status.code())
    }

    /// Lines that it has logged.
    pub fn log(&self) -> Vec<String> {
        self.lines.lock().expect("no holder panics").clone()
    }

    /// Kills it, and returns the lines that it has logged.
    pub fn stop(mut self) -> Vec<String> {
        self.end();
        self.log()
    }

    fn end(&mut self) {
        // It may have ended already.
        let _ = (self.process.kill(), self.process.wait());
        if let Some(reader) = self.log_reader.take() {
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

fn read_log(stderr: ChildStderr, lines: &Mutex<Vec<String>>, loud: bool) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        if loud {
            eprintln!("{line}");
        }
        lines.lock().expect("no holder panics").push(line);
    }
}

/// Pins a process, or this thread (0), to one core.
///
/// # Errors
/// If there is no such process or core.
pub fn pin(pid: Pid, cpu: usize) -> io::Result<()> {
    let mut set = CpuSet::new();
    set.set(cpu)?;
    Ok(sched_setaffinity(pid, &set)?)
}

/// Keeps this thread, and those that it starts, off one core, if there is another.
///
/// # Errors
/// If the affinity can't be set.
pub fn keep_off(cpu: usize) -> io::Result<()> {
    // Read once: a later call would read what an earlier one has set.
    static INITIAL: OnceLock<CpuSet> = OnceLock::new();
    let initial = INITIAL.get_or_init(|| sched_getaffinity(Pid::from_raw(0)).unwrap_or_default());
    let mut others = *initial;
    others.unset(cpu)?;
    let has_others = (0..CpuSet::count()).any(|other| others.is_set(other).unwrap_or(false));
    Ok(sched_setaffinity(Pid::from_raw(0), if has_others { &others } else { initial })?)
}

/// How many cores the machine has. Read once: [`keep_off`] would change it later.
pub fn cores() -> usize {
    static CORES: OnceLock<usize> = OnceLock::new();
    *CORES.get_or_init(|| std::thread::available_parallelism().map_or(1, usize::from))
}
