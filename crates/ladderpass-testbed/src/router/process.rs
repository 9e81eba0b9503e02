//! The process of a router. This module writes the router's settings, and starts, observes, signals and kills the process. Only
//! processes that this module has started are signalled or killed.

use super::address::free_loopback_address;
use super::affinity::pin;
use super::resource_usage::ResourceUsage;
use super::start::Start;
use crate::step_error::{Step, in_step};
use ladderpass_emulator::{RunningEmulator, Scenario, proto};
use ladderpass_routing::Time;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(10);
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which [`Router::wait_for_end`] checks whether the process has ended.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait until the last log lines of an ended process are read from its pipe.
const LOG_END_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of the checks whether the log of an ended process is read to its end.
const LOG_END_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Number of the router's last log lines that the error of a failed start contains.
const LAST_LOG_LINES: usize = 5;

/// A running router. Its process is killed when this value is dropped.
pub struct Router {
    process: Child,
    /// Address that the router listens on.
    pub address: SocketAddr,
    /// Temporary files with the router's settings. The files are removed by [`Router::stop`], and when this value is dropped.
    files: Vec<PathBuf>,
    /// Lines that the router has logged.
    lines: Arc<Mutex<Vec<String>>>,
    log_reader: Option<JoinHandle<()>>,
    /// Time at which the router was sent its first SIGTERM, or `None` if it was sent none.
    terminated_at: Mutex<Option<Time>>,
}

impl Router {
    /// Starts a router in front of emulated members, and waits until it serves.
    ///
    /// # Errors
    /// If the router can't be started, ends before it serves, or does not serve in time.
    pub fn start(
        scenario: &Scenario,
        emulator: &RunningEmulator,
        start: &Start,
        seed: u64,
    ) -> io::Result<Router> {
        Router::start_with_upstreams(scenario, &emulator.addresses, emulator.discovery, start, seed)
    }

    /// Starts a router that reaches members and discovery at these addresses, and waits until it serves.
    ///
    /// # Errors
    /// As [`Router::start`].
    pub fn start_with_upstreams(
        scenario: &Scenario,
        members: &[SocketAddr],
        discovery: SocketAddr,
        start: &Start,
        seed: u64,
    ) -> io::Result<Router> {
        let mut router = Router::spawn(scenario, members, discovery, start, seed)?;
        router.wait_until_ready()?;
        Ok(router)
    }

    /// Starts a router like [`Router::start_with_upstreams`], but does not wait until it serves, so that several routers can
    /// start concurrently.
    ///
    /// # Errors
    /// If the settings can't be written, or the process can't be started or pinned.
    pub fn spawn(
        scenario: &Scenario,
        members: &[SocketAddr],
        discovery: SocketAddr,
        start: &Start,
        seed: u64,
    ) -> io::Result<Router> {
        let address = start.listen.map_or_else(free_loopback_address, Ok)?;
        let settings = scenario.router_config(ladderpass_emulator::now(), seed, &start.allowed, members);
        let settings = write_temporary_file(&settings, "json")?;
        let mut command = router_command(start, address, discovery, &settings);
        let mut files = vec![settings];
        if let Some(text) = &start.operator {
            let operator_file = write_temporary_file(text, "yaml")?;
            command.arg("--operator").arg(&operator_file);
            files.push(operator_file);
        }
        let mut process = command
            .spawn()
            .map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", start.binary.display())))?;
        let lines = Arc::new(Mutex::new(Vec::new()));
        let log_reader = process.stderr.take().map(|stderr| {
            let (lines, print_log) = (lines.clone(), start.print_log);
            std::thread::spawn(move || read_log(stderr, &lines, print_log))
        });
        let router = Router { process, address, files, lines, log_reader, terminated_at: Mutex::default() };
        if let Some(cpu) = start.cpu {
            pin(router.pid(), cpu)?;
        }
        Ok(router)
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> Pid {
        Pid::from_raw(self.process.id() as i32)
    }

    /// Waits until the router answers an empty query.
    ///
    /// # Errors
    /// If the router ends before it listens, does not listen in time, or does not answer the query.
    pub fn wait_until_ready(&mut self) -> io::Result<()> {
        let listening_deadline = Instant::now() + START_TIMEOUT;
        loop {
            if let Ok(stream) = TcpStream::connect(self.address) {
                return check_first_answer(stream).map_err(in_step(Step::FirstAnswer, self.address));
            }
            if let Some(status) = self.process.try_wait()? {
                self.wait_until_log_is_read();
                let text = format!("the router ended with {status}: {}", self.last_log_lines());
                return Err(io::Error::other(text));
            }
            if Instant::now() > listening_deadline {
                return Err(io::Error::other(format!(
                    "the router does not listen: {}",
                    self.last_log_lines()
                )));
            }
            std::thread::sleep(CONNECT_RETRY_INTERVAL);
        }
    }

    /// Waits until the log of an ended process is read to its end. The wait is limited, since a process that the router has
    /// started may hold the pipe of the log open.
    fn wait_until_log_is_read(&self) {
        let deadline = Instant::now() + LOG_END_TIMEOUT;
        let is_reading = || self.log_reader.as_ref().is_some_and(|reader| !reader.is_finished());
        while is_reading() && Instant::now() < deadline {
            std::thread::sleep(LOG_END_CHECK_INTERVAL);
        }
    }

    /// Returns the last `LAST_LOG_LINES` lines of the log, joined to one line.
    fn last_log_lines(&self) -> String {
        let lines = self.lines.lock().expect("no holder panics");
        lines[lines.len().saturating_sub(LAST_LOG_LINES)..].join("; ")
    }

    /// Returns the CPU time that the process has used so far, and its resident memory.
    pub fn resource_usage(&self) -> ResourceUsage {
        ResourceUsage::of(self.pid())
    }

    /// Sends the process a signal.
    ///
    /// # Errors
    /// If the signal can't be sent, as when the process no longer exists.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        if signal == Signal::SIGTERM {
            self.terminated_at.lock().expect("no holder panics").get_or_insert_with(ladderpass_emulator::now);
        }
        Ok(kill(self.pid(), signal)?)
    }

    /// Returns the time at which the router was sent its first SIGTERM, or `None` if it was sent none.
    pub fn terminated_at(&self) -> Option<Time> {
        *self.terminated_at.lock().expect("no holder panics")
    }

    /// Returns `None` as long as the process runs, `Some(Some(code))` once it has exited with this exit code, and `Some(None)`
    /// once a signal has ended it.
    pub fn ended(&mut self) -> Option<Option<i32>> {
        self.process.try_wait().ok().flatten().map(|status| status.code())
    }

    /// Waits for the end of the process for at most `timeout`, and returns the result of [`Router::ended`] after the wait.
    pub fn wait_for_end(&mut self, timeout: Duration) -> Option<Option<i32>> {
        let deadline = Instant::now() + timeout;
        loop {
            let ended = self.ended();
            if ended.is_some() || Instant::now() >= deadline {
                return ended;
            }
            std::thread::sleep(END_CHECK_INTERVAL);
        }
    }

    /// Returns the lines that the router has logged so far.
    pub fn log(&self) -> Vec<String> {
        self.lines.lock().expect("no holder panics").clone()
    }

    /// Kills the process, and returns all lines that the router has logged.
    pub fn stop(mut self) -> Vec<String> {
        self.end();
        self.log()
    }

    fn end(&mut self) {
        // `kill` and `wait` may fail if the process has ended already.
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

/// Builds the command that starts a router, without the argument for its operator's file.
fn router_command(start: &Start, listen: SocketAddr, discovery: SocketAddr, settings: &Path) -> Command {
    let mut command = Command::new(&start.binary);
    command.args(&start.arguments).envs(start.variables.iter().cloned());
    command.env("RELAY_NAME", "lab").env("RELAY_LISTEN", listen.to_string());
    command.env("RELAY_DISCOVERY", discovery.to_string()).env("RELAY_CONFIG", settings);
    command.env("RUST_LOG", &start.log).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    if let Some(switch) = &start.faulty {
        command.env("LADDERPASS_FAULTY", switch);
    }
    if start.clock_ms != 0 {
        command.env("LADDERPASS_CLOCK_MS", start.clock_ms.to_string());
    }
    command
}

fn write_temporary_file(text: &str, extension: &str) -> io::Result<PathBuf> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let index = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("ladderpass-testbed-{}-{index}.{extension}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text)?;
    Ok(path)
}

fn check_first_answer(mut stream: TcpStream) -> io::Result<()> {
    let mut output = Vec::new();
    proto::put_startup(&mut output);
    proto::put_query(&mut output, "");
    stream.set_read_timeout(Some(FIRST_ANSWER_TIMEOUT))?;
    stream.write_all(&output)?;
    crate::load::until_ready(&mut stream)
}

fn read_log(stderr: ChildStderr, lines: &Mutex<Vec<String>>, print_log: bool) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        if print_log {
            eprintln!("{line}");
        }
        lines.lock().expect("no holder panics").push(line);
    }
}
