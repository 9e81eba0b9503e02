//! The sockets of datagrams: one an end, which hears what is sent to that end and sends what that end says to others, so
//! that each sees the others at the addresses it knows.
//!
//! It owns the bytes that wait for their time. It must never decide what happens to them: `datagrams` does.

use crate::datagrams::{DatagramRule, Mesh, MeshPlan, Sent};
use ladderpass_routing::Span;
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const WAKE: Token = Token(usize::MAX);
/// Datagrams that may be late at once: what is past this is lost, as on any way that is full.
const MOST: usize = 100_000;

pub struct RunningMesh {
    mesh: Arc<Mutex<Mesh>>,
    begun: Instant,
    stop: Arc<AtomicBool>,
    waker: Waker,
    thread: Option<std::thread::JoinHandle<()>>,
    /// Where the tool listens for each end: port 0 of the plan stands for any free one.
    pub addresses: Vec<SocketAddr>,
}

impl RunningMesh {
    pub fn start(plan: MeshPlan) -> io::Result<RunningMesh> {
        plan.check().map_err(io::Error::other)?;
        let poll = Poll::new()?;
        let waker = Waker::new(poll.registry(), WAKE)?;
        let (mut sockets, mut addresses) = (Vec::new(), Vec::new());
        let mut by_to = HashMap::new();
        for (nth, end) in plan.ends.iter().enumerate() {
            let named = |fault: io::Error| io::Error::new(fault.kind(), format!("end {}: {fault}", end.name));
            let mut socket = UdpSocket::bind(end.address).map_err(named)?;
            addresses.push(socket.local_addr()?);
            poll.registry().register(&mut socket, Token(nth), Interest::READABLE)?;
            by_to.insert(end.to, nth);
            sockets.push(socket);
        }
        let to: Vec<SocketAddr> = plan.ends.iter().map(|end| end.to).collect();
        let mesh = Arc::new(Mutex::new(Mesh::new(plan)));
        let (stop, begun) = (Arc::new(AtomicBool::new(false)), Instant::now());
        let mut driver =
            Driver { poll, sockets, by_to, to, mesh: mesh.clone(), begun, late: BTreeMap::new() };
        let stopped = stop.clone();
        let thread = std::thread::Builder::new().name("mesh".into()).spawn(move || {
            if let Err(fault) = driver.run(&stopped) {
                eprintln!("ladderpass-fault-injection: datagrams: {fault}");
            }
        })?;
        Ok(RunningMesh { mesh, begun, stop, waker, thread: Some(thread), addresses })
    }

    fn now(&self) -> Span {
        Span::from_nanos(self.begun.elapsed().as_nanos() as i64)
    }

    fn mesh(&self) -> std::sync::MutexGuard<'_, Mesh> {
        self.mesh.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// A rule whose time counts from now on.
    pub fn add(&self, rule: DatagramRule) -> Result<(), String> {
        let now = self.now();
        self.mesh().add(now, rule)
    }

    pub fn lift(&self, name: &str) -> bool {
        self.mesh().lift(name)
    }

    /// What each end has sent by now, in the order of the plan.
    pub fn sent(&self) -> Vec<Sent> {
        self.mesh().sent().to_vec()
    }

    pub fn hits(&self) -> Vec<(String, u64)> {
        self.mesh().hits().map(|(name, hits)| (name.to_owned(), hits)).collect()
    }
}

impl Drop for RunningMesh {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        // A thread that has ended needs no waking.
        let _ = self.waker.wake();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Driver {
    poll: Poll,
    sockets: Vec<UdpSocket>,
    by_to: HashMap<SocketAddr, usize>,
    to: Vec<SocketAddr>,
    mesh: Arc<Mutex<Mesh>>,
    begun: Instant,
    /// By when: from which end to which, and what.
    late: BTreeMap<(Span, u64), (usize, usize, Vec<u8>)>,
}

impl Driver {
    fn now(&self) -> Span {
        Span::from_nanos(self.begun.elapsed().as_nanos() as i64)
    }

    fn run(&mut self, stop: &AtomicBool) -> io::Result<()> {
        let mut events = Events::with_capacity(256);
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            let due = self.late.first_key_value().map(|(&(at, _), _)| at);
            let wait = due.map(|at| Duration::from_nanos((at - self.now()).nanos().max(0) as u64));
            match self.poll.poll(&mut events, wait) {
                Err(fault) if fault.kind() == ErrorKind::Interrupted => continue,
                done => done?,
            }
            for event in &events {
                if event.token() != WAKE {
                    self.read(event.token().0, &mut number);
                }
            }
            let now = self.now();
            while let Some(first) = self.late.first_entry()
                && first.key().0 <= now
            {
                let (from, to, bytes) = first.remove();
                self.pass_on(from, to, &bytes);
            }
        }
        Ok(())
    }

    fn read(&mut self, to: usize, number: &mut u64) {
        let mut room = [0; 2048];
        loop {
            let Some(socket) = self.sockets.get(to) else { return };
            let (count, from) = match socket.recv_from(&mut room) {
                Ok(got) => got,
                Err(fault) if fault.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return,
            };
            // A stranger's goes on as it is, from the address that it was sent to: nobody is known there.
            let Some(&from) = self.by_to.get(&from) else {
                self.pass_on(to, to, &room[..count]);
                continue;
            };
            let now = self.now();
            let copies = {
                let mut mesh = self.mesh.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                mesh.came(now, from, to, count)
            };
            for late in copies {
                if late <= Span::ZERO {
                    self.pass_on(from, to, &room[..count]);
                } else if self.late.len() < MOST {
                    *number += 1;
                    self.late.insert((now + late, *number), (from, to, room[..count].to_vec()));
                }
            }
        }
    }

    /// One that can't be sent is lost.
    fn pass_on(&self, from: usize, to: usize, bytes: &[u8]) {
        if let (Some(socket), Some(&to)) = (self.sockets.get(from), self.to.get(to)) {
            let _ = socket.send_to(bytes, to);
        }
    }
}
