//! The sockets for datagrams, one for each end (a process that exchanges datagrams through the tool). An end's socket receives
//! the datagrams that others send to that end, and sends the datagrams of that end to the others. So the others see an end at
//! its listening address in the plan. The `datagrams` module decides what happens to a datagram.

use crate::datagrams::{DatagramEngine, TrafficCounts};
use crate::errors::PlanError;
use crate::plan::{DatagramPlan, DatagramRule};
use ladderpass_routing::Span;
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const WAKE: Token = Token(usize::MAX);
/// The highest number of datagrams that are delayed at the same time. Further datagrams are lost, as on a congested
/// path.
const MAX_DELAYED: usize = 100_000;
const MAX_DATAGRAM_BYTES: usize = 2048;
const EVENTS_PER_POLL: usize = 256;

/// The part of a tool that forwards datagrams. Its thread ends when this value is dropped.
pub struct RunningDatagrams {
    engine: Arc<Mutex<DatagramEngine>>,
    started: Instant,
    stop: Arc<AtomicBool>,
    waker: Waker,
    thread: Option<std::thread::JoinHandle<()>>,
    /// Address that the tool listens on for each end, in the order of the plan. Where the plan has port 0, the address
    /// has the port that the system assigned.
    pub addresses: Vec<SocketAddr>,
}

impl RunningDatagrams {
    /// Starts a plan.
    ///
    /// # Errors
    ///
    /// If the plan is invalid, or a socket or the thread can't be created.
    pub fn start(plan: DatagramPlan) -> io::Result<RunningDatagrams> {
        plan.check().map_err(io::Error::other)?;
        let poll = Poll::new()?;
        let waker = Waker::new(poll.registry(), WAKE)?;
        let (mut sockets, mut addresses) = (Vec::new(), Vec::new());
        let mut end_by_address = HashMap::new();
        for (index, end) in plan.ends.iter().enumerate() {
            let named = |error: io::Error| io::Error::new(error.kind(), format!("end {}: {error}", end.name));
            let mut socket = UdpSocket::bind(end.address).map_err(named)?;
            addresses.push(socket.local_addr()?);
            poll.registry().register(&mut socket, Token(index), Interest::READABLE)?;
            end_by_address.insert(end.to, index);
            sockets.push(socket);
        }
        let targets: Vec<SocketAddr> = plan.ends.iter().map(|end| end.to).collect();
        let engine = Arc::new(Mutex::new(DatagramEngine::new(plan)));
        let (stop, started) = (Arc::new(AtomicBool::new(false)), Instant::now());
        let mut event_loop = EventLoop {
            poll,
            sockets,
            end_by_address,
            targets,
            engine: engine.clone(),
            started,
            delayed: BTreeMap::new(),
            last_sequence: 0,
        };
        let stopped = stop.clone();
        let thread = std::thread::Builder::new().name("mesh".into()).spawn(move || {
            if let Err(error) = event_loop.run(&stopped) {
                eprintln!("ladderpass-fault-injection: datagrams: {error}");
            }
        })?;
        Ok(RunningDatagrams { engine, started, stop, waker, thread: Some(thread), addresses })
    }

    /// Adds a rule. The rule counts its times from the addition.
    ///
    /// # Errors
    ///
    /// If the rule is invalid, or a rule with its name has not been lifted.
    pub fn add_rule(&self, rule: DatagramRule) -> Result<(), PlanError> {
        let now = since(self.started);
        lock(&self.engine).add_rule(now, rule)
    }

    /// Lifts the rules with this name, so that they no longer act. Returns whether a rule was lifted.
    pub fn lift_rule(&self, name: &str) -> bool {
        lock(&self.engine).lift_rule(name)
    }

    /// Returns the counters of each end's sent datagrams, in the order of the plan.
    pub fn traffic(&self) -> Vec<TrafficCounts> {
        lock(&self.engine).traffic().to_vec()
    }

    /// Returns the name of each rule, with the number of datagrams that it has acted on.
    pub fn hits(&self) -> Vec<(String, u64)> {
        lock(&self.engine).hits().map(|(name, hits)| (name.to_owned(), hits)).collect()
    }
}

impl Drop for RunningDatagrams {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        // A failure to wake the thread is ignored, since the thread may have ended already.
        let _ = self.waker.wake();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn lock(engine: &Mutex<DatagramEngine>) -> MutexGuard<'_, DatagramEngine> {
    engine.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn since(started: Instant) -> Span {
    Span::from_nanos(started.elapsed().as_nanos() as i64)
}

struct Datagram {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

struct EventLoop {
    poll: Poll,
    /// The socket that the tool listens on for each end, by index of the end.
    sockets: Vec<UdpSocket>,
    end_by_address: HashMap<SocketAddr, usize>,
    /// Address of each end's process, by index of the end.
    targets: Vec<SocketAddr>,
    engine: Arc<Mutex<DatagramEngine>>,
    started: Instant,
    /// Delayed datagrams by the time at which they are due and a sequence number, which keeps the order of arrival.
    delayed: BTreeMap<(Span, u64), Datagram>,
    /// Sequence number of the datagram that was delayed last.
    last_sequence: u64,
}

impl EventLoop {
    fn run(&mut self, stop: &AtomicBool) -> io::Result<()> {
        let mut events = Events::with_capacity(EVENTS_PER_POLL);
        while !stop.load(Ordering::Relaxed) {
            let due = self.delayed.first_key_value().map(|(&(at, _), _)| at);
            let wait = due.map(|at| Duration::from_nanos((at - since(self.started)).nanos().max(0) as u64));
            match self.poll.poll(&mut events, wait) {
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                result => result?,
            }
            for event in &events {
                if event.token() != WAKE {
                    self.read(event.token().0);
                }
            }
            let now = since(self.started);
            while let Some(first) = self.delayed.first_entry()
                && first.key().0 <= now
            {
                let datagram = first.remove();
                self.forward(datagram.from, datagram.to, &datagram.bytes);
            }
        }
        Ok(())
    }

    /// Receives the datagrams that others have sent to an end.
    fn read(&mut self, to: usize) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            let Some(socket) = self.sockets.get(to) else { return };
            let (count, sender) = match socket.recv_from(&mut buffer) {
                Ok(received) => received,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return,
            };
            let bytes = &buffer[..count];
            // A datagram from an unknown sender passes unchanged. The tool sends the datagram from the receiver's own listening
            // address, because the addresses of other ends would name a wrong sender.
            let Some(&from) = self.end_by_address.get(&sender) else {
                self.forward(to, to, bytes);
                continue;
            };
            let now = since(self.started);
            let delays = lock(&self.engine).on_datagram(now, from, to, count);
            for delay in delays {
                if delay <= Span::ZERO {
                    self.forward(from, to, bytes);
                } else if self.delayed.len() < MAX_DELAYED {
                    self.last_sequence += 1;
                    let datagram = Datagram { from, to, bytes: bytes.to_vec() };
                    self.delayed.insert((now + delay, self.last_sequence), datagram);
                }
            }
        }
    }

    /// Sends a datagram to the end `to`, from the address that the tool listens on for the end `from`, by which the receiver
    /// knows the sender. A datagram that can't be sent is lost.
    fn forward(&self, from: usize, to: usize, bytes: &[u8]) {
        if let (Some(socket), Some(&target)) = (self.sockets.get(from), self.targets.get(to)) {
            let _ = socket.send_to(bytes, target);
        }
    }
}
