//! Measures a real router process in front of emulated members, with idle clients or a paced load: its memory, descriptors
//! and CPU time, as the kernel counts them. The limits of the machine stay as they are.

use super::statement::query;
use crate::load::until_ready;
use crate::router::{Router, Start};
use ladderpass_emulator::scenario::RouterLimits;
use ladderpass_emulator::{RunningEmulator, Scenario, proto};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// An emulator, and a router process in front of the emulated members. Both are stopped on drop.
pub struct RouterTestbed {
    emulator: Option<RunningEmulator>,
    router: Option<Router>,
    groups: u32,
}

/// How statements are distributed over client connections. The clients reopen connections that the router has closed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionUse {
    /// Statements use this many connections in turn, which stay open.
    RoundRobin(usize),
    /// Each statement uses a new connection, which its client closes after the answer.
    PerStatement,
    /// Each statement uses one of this many connections at random.
    Random(usize),
}

/// Outcomes of the statements of a paced load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadResult {
    /// Length of the measured time in seconds.
    pub seconds: f64,
    /// Number of statements that were sent.
    pub statements: f64,
    /// Number of connections that were opened for the statements.
    pub connections_opened: f64,
    /// Number of statements that failed.
    pub failed: f64,
    /// CPU seconds that the router used in the measured time.
    pub cpu_s: f64,
    /// Sum of the statements' latencies in seconds. A latency includes the time to open a connection.
    pub total_latency_s: f64,
}

/// Number of threads that run the clients. More threads would only take CPU time from the router.
const CLIENT_THREADS: u64 = 4;
const READ_TIMEOUT: Duration = Duration::from_secs(3);
const PAGE_KIB: f64 = 4.0;
/// On average, one in this many statements is a write.
const WRITE_ONE_IN: i32 = 5;

impl RouterTestbed {
    /// Starts the emulator and the router. `memory_mb` and `sockets` are limits in the router's settings.
    ///
    /// # Errors
    /// If the emulator or the router can't be started.
    pub fn start(
        binary: &Path,
        groups: u32,
        memory_mb: u64,
        sockets: usize,
        seed: u64,
    ) -> io::Result<RouterTestbed> {
        let scenario = Scenario { groups, ..Scenario::default() };
        let emulator = RunningEmulator::start(scenario.clone(), seed, Ipv4Addr::LOCALHOST)?;
        let allowed = RouterLimits { cores: 1.0, memory_mb, sockets };
        let start = Start { allowed, ..Start::new(binary) };
        let router = Router::start(&scenario, &emulator, &start, seed)?;
        Ok(RouterTestbed { emulator: Some(emulator), router: Some(router), groups })
    }

    fn address(&self) -> io::Result<SocketAddr> {
        self.router
            .as_ref()
            .map(|router| router.address)
            .ok_or_else(|| io::Error::other("the router process has ended"))
    }

    /// Returns the path of a file of the router's process under `/proc`.
    fn proc_path(&self, name: &str) -> PathBuf {
        let pid = self.router.as_ref().map_or(0, |router| router.pid().as_raw());
        PathBuf::from(format!("/proc/{pid}/{name}"))
    }

    /// Returns the CPU seconds that all threads of the router have used.
    ///
    /// # Errors
    /// If the router has ended.
    pub fn cpu_s(&self) -> io::Result<f64> {
        let mut nanos = 0.0;
        for task in std::fs::read_dir(self.proc_path("task"))? {
            let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
            nanos += text.split_whitespace().next().and_then(|nanos| nanos.parse().ok()).unwrap_or(0.0);
        }
        Ok(nanos / 1e9)
    }

    /// Returns the router's resident memory in KiB. The kernel's socket buffers are not part of it.
    ///
    /// # Errors
    /// If the router has ended.
    pub fn resident_kib(&self) -> io::Result<f64> {
        let text = std::fs::read_to_string(self.proc_path("statm"))?;
        let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
        Ok(pages.unwrap_or(0.0) * PAGE_KIB)
    }

    /// Returns the number of file descriptors that the router has open.
    ///
    /// # Errors
    /// If the router has ended.
    pub fn descriptors(&self) -> io::Result<f64> {
        Ok(std::fs::read_dir(self.proc_path("fd"))?.count() as f64)
    }

    /// Opens client connections, which stay idle.
    ///
    /// # Errors
    /// If a connection can't be opened.
    pub fn open_idle_clients(&self, clients: usize) -> io::Result<Vec<TcpStream>> {
        let address = self.address()?;
        let open_share = |thread: usize| -> io::Result<Vec<TcpStream>> {
            (thread..clients).step_by(CLIENT_THREADS as usize).map(|_| open_client(address)).collect()
        };
        std::thread::scope(|scope| {
            let threads: Vec<_> =
                (0..CLIENT_THREADS as usize).map(|thread| scope.spawn(move || open_share(thread))).collect();
            let mut all = Vec::new();
            for thread in threads {
                all.extend(thread.join().map_err(|_| io::Error::other("a client thread panicked"))??);
            }
            Ok(all)
        })
    }

    /// Sends statements to random groups at `rate` a second, first for `warm_up` and then for `span`. Returns the outcomes
    /// of the statements that were sent during `span`.
    ///
    /// # Errors
    /// If the router has ended.
    pub fn run_load(
        &self,
        connection_use: ConnectionUse,
        rate: f64,
        warm_up: Duration,
        span: Duration,
    ) -> io::Result<LoadResult> {
        let began = Instant::now();
        let measured_from = began + warm_up;
        let load = PacedLoad {
            address: self.address()?,
            groups: u64::from(self.groups),
            connection_use,
            rate,
            began,
            measured_from,
            ends: began + warm_up + span,
        };
        let load = &load;
        std::thread::scope(|scope| {
            let threads: Vec<_> =
                (0..CLIENT_THREADS).map(|thread| scope.spawn(move || load.run_thread(thread))).collect();
            std::thread::sleep(measured_from.saturating_duration_since(Instant::now()));
            let (cpu_before, from) = (self.cpu_s()?, Instant::now());
            let mut total = LoadResult::default();
            for thread in threads {
                let result = thread.join().map_err(|_| io::Error::other("a load thread panicked"))?;
                total.statements += result.statements;
                total.connections_opened += result.connections_opened;
                total.failed += result.failed;
                total.total_latency_s += result.total_latency_s;
            }
            (total.cpu_s, total.seconds) = (self.cpu_s()? - cpu_before, from.elapsed().as_secs_f64());
            Ok(total)
        })
    }

    /// Returns the lines that the router has logged.
    pub fn log(&self) -> Vec<String> {
        self.router.as_ref().map(Router::log).unwrap_or_default()
    }
}

impl Drop for RouterTestbed {
    fn drop(&mut self) {
        self.router.take().map(Router::stop);
        self.emulator.take().map(RunningEmulator::stop);
    }
}

/// A load of evenly paced statements, which the client threads share.
struct PacedLoad {
    address: SocketAddr,
    groups: u64,
    connection_use: ConnectionUse,
    /// Statements a second that all threads together send.
    rate: f64,
    began: Instant,
    measured_from: Instant,
    ends: Instant,
}

impl PacedLoad {
    /// Sends the statements of one thread. Each statement is sent once it is due and the thread's previous statement has been
    /// answered or has failed.
    fn run_thread(&self, thread: u64) -> LoadResult {
        static NEXT_ID: AtomicU64 = AtomicU64::new(1);
        let mut result = LoadResult::default();
        let connections = match self.connection_use {
            ConnectionUse::RoundRobin(count) | ConnectionUse::Random(count) => {
                (count as u64).div_ceil(CLIENT_THREADS).max(1) as usize
            }
            ConnectionUse::PerStatement => 1,
        };
        let mut streams: VecDeque<Option<TcpStream>> = (0..connections).map(|_| None).collect();
        let mut rng = SmallRng::seed_from_u64(thread);
        for round in 0u64.. {
            let due =
                self.began + Duration::from_secs_f64((round * CLIENT_THREADS + thread) as f64 / self.rate);
            if due >= self.ends {
                break;
            }
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
            let query = query(id, rng.random_range(0..self.groups), rng.random_range(0..WRITE_ONE_IN) == 0);
            let sent_at = Instant::now();
            if let ConnectionUse::Random(_) = self.connection_use {
                streams.swap(0, rng.random_range(0..connections));
            }
            let open_stream = streams.pop_front().flatten().filter(is_open);
            let opened = open_stream.is_none();
            let answered =
                open_stream.map_or_else(|| open_client(self.address), Ok).and_then(|mut stream| {
                    stream.write_all(&query)?;
                    until_ready(&mut stream)?;
                    Ok(stream)
                });
            let failed = answered.is_err();
            streams.push_back(answered.ok().filter(|_| self.connection_use != ConnectionUse::PerStatement));
            if sent_at >= self.measured_from {
                result.statements += 1.0;
                result.connections_opened += f64::from(u8::from(opened));
                result.failed += f64::from(u8::from(failed));
                result.total_latency_s += sent_at.elapsed().as_secs_f64();
            }
        }
        result
    }
}

/// Opens a client connection, and waits until the router is ready for a query.
fn open_client(address: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let mut startup = Vec::new();
    proto::put_startup(&mut startup);
    stream.write_all(&startup)?;
    until_ready(&mut stream)?;
    Ok(stream)
}

/// Returns whether a connection is open and has nothing to read.
pub fn is_open(stream: &TcpStream) -> bool {
    let peeked = stream.set_nonblocking(true).and_then(|()| stream.peek(&mut [0]));
    let is_idle = matches!(&peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
    stream.set_nonblocking(false).is_ok() && is_idle
}
