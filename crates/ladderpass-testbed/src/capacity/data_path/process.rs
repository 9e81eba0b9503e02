//! A real router as a process of its own, before the emulated fleet, with clients that rest or ask at a pace:
//! its memory and its CPU time, as the kernel counts them.
//!
//! It owns the clients' sockets. It must never raise a limit of the machine, nor count time that the process
//! waited.

use crate::router::{Router, Start};
use ladderpass_emulator::scenario::RouterLimits;
use ladderpass_emulator::{RunningEmulator, Scenario, proto};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

pub struct Bed {
    fleet: Option<RunningEmulator>,
    router: Option<Router>,
    groups: u32,
}

/// How statements come to connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    /// Over so many that stay.
    Kept(usize),
    /// Each over one of its own, that its client closes once it is answered.
    Anew,
    /// Over so many by chance; one that the router has closed meanwhile is opened anew.
    ByChance(usize),
}

/// What came of a pace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Seen {
    pub secs: f64,
    pub asked: f64,
    pub opened: f64,
    pub failed: f64,
    /// CPU seconds of the router.
    pub cpu: f64,
    /// From asked to answered, its opening with it: the sum, in seconds.
    pub waited: f64,
}

/// Threads that ask; more would only take the router's time on a machine that is shared.
const ASKERS: u64 = 4;

impl Bed {
    pub fn start(binary: &Path, groups: u32, memory_mb: u64, sockets: usize, seed: u64) -> io::Result<Bed> {
        let scenario = Scenario { groups, ..Scenario::default() };
        let fleet = RunningEmulator::start(scenario.clone(), seed, Ipv4Addr::LOCALHOST)?;
        let allowed = RouterLimits { cores: 1.0, memory_mb, sockets };
        let start = Start { allowed, ..Start::new(binary) };
        let router = Router::start(&scenario, &fleet, &start, seed)?;
        Ok(Bed { fleet: Some(fleet), router: Some(router), groups })
    }

    fn address(&self) -> io::Result<SocketAddr> {
        self.router.as_ref().map(|router| router.address).ok_or_else(|| io::Error::other("it has ended"))
    }

    fn of_process(&self, file: &str) -> io::Result<String> {
        let pid = self.router.as_ref().map_or(0, |router| router.pid().as_raw());
        std::fs::read_to_string(format!("/proc/{pid}/{file}"))
    }

    /// CPU seconds that the router has used, all its threads together.
    pub fn cpu(&self) -> io::Result<f64> {
        let pid = self.router.as_ref().map_or(0, |router| router.pid().as_raw());
        let mut nanos = 0.0;
        for task in std::fs::read_dir(format!("/proc/{pid}/task"))? {
            let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
            nanos += text.split_whitespace().next().and_then(|nanos| nanos.parse().ok()).unwrap_or(0.0);
        }
        Ok(nanos / 1e9)
    }

    /// KiB in memory, without the kernel's for its sockets.
    pub fn resident(&self) -> io::Result<f64> {
        let text = self.of_process("statm")?;
        let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
        Ok(pages.unwrap_or(0.0) * 4.0)
    }

    pub fn descriptors(&self) -> io::Result<f64> {
        let pid = self.router.as_ref().map_or(0, |router| router.pid().as_raw());
        Ok(std::fs::read_dir(format!("/proc/{pid}/fd"))?.count() as f64)
    }

    /// So many clients that open and rest.
    pub fn rest(&self, clients: usize) -> io::Result<Vec<TcpStream>> {
        let address = self.address()?;
        let part = |nth: usize| -> io::Result<Vec<TcpStream>> {
            (nth..clients).step_by(ASKERS as usize).map(|_| open(address)).collect()
        };
        std::thread::scope(|scope| {
            let threads: Vec<_> = (0..ASKERS as usize).map(|nth| scope.spawn(move || part(nth))).collect();
            let mut all = Vec::new();
            for thread in threads {
                all.extend(thread.join().map_err(|_| io::Error::other("a client's thread fell"))??);
            }
            Ok(all)
        })
    }

    /// Statements at a pace, a fifth of them writes, to groups by chance; what came of those after the first
    /// while.
    pub fn ask(&self, way: Way, rate: f64, warm: Duration, span: Duration) -> io::Result<Seen> {
        let (address, groups) = (self.address()?, u64::from(self.groups));
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let began = Instant::now();
        let (from, ends) = (began + warm, began + warm + span);
        let asker = |nth: u64| -> io::Result<Seen> {
            let mut seen = Seen::default();
            let kept = match way {
                Way::Kept(count) | Way::ByChance(count) => (count as u64).div_ceil(ASKERS).max(1) as usize,
                Way::Anew => 1,
            };
            let mut streams: VecDeque<Option<TcpStream>> = (0..kept).map(|_| None).collect();
            let mut chance = SmallRng::seed_from_u64(nth);
            for turn in 0u64.. {
                let due = began + Duration::from_secs_f64((turn * ASKERS + nth) as f64 / rate);
                if due >= ends {
                    break;
                }
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                let id = NEXT.fetch_add(1, Ordering::Relaxed);
                let query = super::query(id, chance.random_range(0..groups), chance.random_range(0..5) == 0);
                let at = Instant::now();
                if let Way::ByChance(_) = way {
                    streams.swap(0, chance.random_range(0..kept));
                }
                let stream = streams.pop_front().flatten().filter(is_open);
                let opened = stream.is_none();
                let asked = stream.map_or_else(|| open(address), Ok).and_then(|mut stream| {
                    stream.write_all(&query)?;
                    until_ready(&mut stream)?;
                    Ok(stream)
                });
                let failed = asked.is_err();
                streams.push_back(asked.ok().filter(|_| way != Way::Anew));
                if at >= from {
                    seen.asked += 1.0;
                    seen.opened += f64::from(u8::from(opened));
                    seen.failed += f64::from(u8::from(failed));
                    seen.waited += at.elapsed().as_secs_f64();
                }
            }
            Ok(seen)
        };
        std::thread::scope(|scope| {
            let threads: Vec<_> = (0..ASKERS).map(|nth| scope.spawn(move || asker(nth))).collect();
            std::thread::sleep(from.saturating_duration_since(Instant::now()));
            let (before, at) = (self.cpu()?, Instant::now());
            let mut all = Seen::default();
            for thread in threads {
                let seen = thread.join().map_err(|_| io::Error::other("an asker's thread fell"))??;
                all.asked += seen.asked;
                all.opened += seen.opened;
                all.failed += seen.failed;
                all.waited += seen.waited;
            }
            (all.cpu, all.secs) = (self.cpu()? - before, at.elapsed().as_secs_f64());
            Ok(all)
        })
    }

    /// What the router's log told.
    pub fn log(&self) -> Vec<String> {
        self.router.as_ref().map(Router::log).unwrap_or_default()
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        self.router.take().map(Router::stop);
        self.fleet.take().map(RunningEmulator::stop);
    }
}

fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let mut startup = Vec::new();
    proto::put_startup(&mut startup);
    stream.write_all(&startup)?;
    until_ready(&mut stream)?;
    Ok(stream)
}

/// Has the router not closed it?
pub fn is_open(stream: &TcpStream) -> bool {
    let looked = stream.set_nonblocking(true).and_then(|()| stream.peek(&mut [0]));
    let waits = matches!(&looked, Err(fault) if fault.kind() == io::ErrorKind::WouldBlock);
    stream.set_nonblocking(false).is_ok() && waits
}

fn until_ready(stream: &mut TcpStream) -> io::Result<()> {
    let (mut inbox, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        let mut used = 0;
        while let Some((kind, _, length)) = proto::parse_frame(inbox.get(used..).unwrap_or_default()) {
            used += length;
            if kind == b'Z' {
                return Ok(());
            }
        }
        inbox.drain(..used);
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => inbox.extend_from_slice(chunk.get(..count).unwrap_or_default()),
        }
    }
}
