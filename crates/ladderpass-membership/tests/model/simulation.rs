//! A cluster of routers in simulated time. Datagrams are delayed and lost, links are cut, and processes end, freeze and
//! restart.

use ladderpass_membership::{Change, LocalRouter, Membership, Network, Settings};
use ladderpass_routing::{Span, Time};
use nanorand::{Rng, WyRand};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The state of a router's process.
#[derive(Clone, Copy, PartialEq)]
pub enum Process {
    Running,
    Frozen,
    Ended,
}

type Datagram = (SocketAddr, Vec<u8>);

pub struct Router {
    pub membership: Membership,
    pub process: Process,
    wake_at: Time,
    /// Senders and bytes of the datagrams that arrived while the process was frozen.
    socket_buffer: Vec<Datagram>,
    /// Running routers that this router counts as dead, and since when this router counts each of them as dead.
    false_deaths: BTreeMap<usize, Time>,
    pub false_death_count: usize,
    /// Receivers and bytes of the datagrams that this router sent and that were lost.
    pub lost: Vec<Datagram>,
}

/// A datagram in transit.
pub struct InTransit {
    from: SocketAddr,
    to: SocketAddr,
    bytes: Vec<u8>,
}

pub struct Simulation {
    pub now: Time,
    pub routers: Vec<Router>,
    pub rng: WyRand,
    /// Datagrams in transit, by time of arrival and then in the order of sending.
    in_transit: BTreeMap<(Time, u64), InTransit>,
    datagrams_sent: u64,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// A function of the indexes of two routers: whether the link from the first of them to the second is cut.
    pub is_cut: Box<dyn Fn(usize, usize) -> bool>,
    pub index_of: HashMap<SocketAddr, usize>,
    /// The longest time for which a router counted a running router as dead. Only false deaths that have ended
    /// are considered.
    longest_false_death: Span,
    /// How often a router counted a running router as dead.
    pub false_death_count: usize,
    pub settings: Settings,
    /// Milliseconds that are added to the wall clock when a router starts. The number increases by one with each start,
    /// so that the start times differ.
    pub start_clock_offset_ms: i64,
}

pub const STEP: Span = Span::from_millis(5);

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, (index >> 8) as u8, index as u8), 7400))
}

pub fn ms(millis: i64) -> Span {
    Span::from_millis(millis)
}

impl Simulation {
    pub fn new(seed: u64, settings: Settings) -> Simulation {
        Simulation {
            now: Time::from_nanos(1_800_000_000_000_000_000),
            routers: Vec::new(),
            rng: WyRand::new_seed(seed),
            in_transit: BTreeMap::new(),
            datagrams_sent: 0,
            loss: 0.0,
            is_cut: Box::new(|_, _| false),
            index_of: HashMap::new(),
            longest_false_death: Span::ZERO,
            false_death_count: 0,
            settings,
            start_clock_offset_ms: 0,
        }
    }

    /// Returns a cluster of `count` routers that has had 8 s to converge. Each router has the first three routers as
    /// its listed addresses.
    pub fn converged(seed: u64, count: usize) -> Simulation {
        let mut sim = Simulation::new(seed, Settings::default());
        (0..count).for_each(|_| sim.join());
        sim.run(ms(8000));
        sim.reset_false_deaths();
        sim
    }

    pub fn reset_false_deaths(&mut self) {
        (self.longest_false_death, self.false_death_count) = (Span::ZERO, 0);
        for router in &mut self.routers {
            router.false_deaths.clear();
            router.false_death_count = 0;
        }
    }

    fn start_membership(&mut self, index: usize) -> Membership {
        self.start_clock_offset_ms += 1;
        let started_unix_ms = self.now.nanos() / 1_000_000 + self.start_clock_offset_ms;
        let local = LocalRouter { address: address(index), started_unix_ms };
        let network = Network { address: IpAddr::V4(Ipv4Addr::new(10, 0, 0, 0)), prefix_bits: 8 };
        let listed = [address(0), address(1), address(2)];
        Membership::start(self.now, self.rng.generate(), local, &listed, &[network], self.settings)
    }

    pub fn join(&mut self) {
        let index = self.routers.len();
        let membership = self.start_membership(index);
        let (wake_at, socket_buffer, false_deaths) = (self.now, Vec::new(), BTreeMap::new());
        self.index_of.insert(address(index), index);
        self.routers.push(Router {
            membership,
            process: Process::Running,
            wake_at,
            socket_buffer,
            false_deaths,
            false_death_count: 0,
            lost: Vec::new(),
        });
    }

    /// Starts a new process of a router, at the address of the router's previous process.
    pub fn restart(&mut self, index: usize) {
        self.routers[index].membership = self.start_membership(index);
        (self.routers[index].process, self.routers[index].wake_at) = (Process::Running, self.now);
        self.routers[index].socket_buffer.clear();
    }

    /// Puts the outgoing datagrams of a router in transit unless they are lost.
    pub fn transmit(&mut self, index: usize) {
        for (to, bytes) in self.routers[index].membership.take_outgoing() {
            let Some(&other) = self.index_of.get(&to) else { continue };
            let lost = self.rng.generate::<f64>() < self.loss || (self.is_cut)(index, other);
            if lost {
                self.routers[index].lost.push((to, bytes));
            } else {
                let delay = ms(1) + Span::from_secs_f64(0.009 * self.rng.generate::<f64>());
                self.datagrams_sent += 1;
                let datagram = InTransit { from: address(index), to, bytes };
                self.in_transit.insert((self.now + delay, self.datagrams_sent), datagram);
            }
        }
        self.routers[index].wake_at = self.routers[index].membership.wake_at();
    }

    pub fn run(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + STEP;
            while let Some(first) = self.in_transit.first_entry()
                && first.key().0 <= self.now
            {
                let InTransit { from, to, bytes } = first.remove();
                let Some(&index) = self.index_of.get(&to) else { continue };
                match self.routers[index].process {
                    Process::Running => {
                        self.routers[index].membership.on_datagram(self.now, from, &bytes);
                        self.transmit(index);
                    }
                    Process::Frozen if self.routers[index].socket_buffer.len() < 200 => {
                        self.routers[index].socket_buffer.push((from, bytes));
                    }
                    _ => {}
                }
            }
            for index in 0..self.routers.len() {
                if self.routers[index].process == Process::Running && self.routers[index].wake_at <= self.now
                {
                    self.routers[index].membership.tick(self.now);
                    self.transmit(index);
                }
            }
            self.record_changes();
        }
    }

    /// Runs the simulation step by step, and after each step copies the given router's datagrams that are in
    /// transit. Returns their receivers and bytes.
    pub fn run_and_capture(&mut self, router: SocketAddr, steps: usize) -> Vec<Datagram> {
        let mut captured = Vec::new();
        for _ in 0..steps {
            self.run(STEP);
            let sent = self.in_transit.values().filter(|datagram| datagram.from == router);
            captured.extend(sent.map(|datagram| (datagram.to, datagram.bytes.clone())));
        }
        captured
    }

    /// Resumes a frozen process, which first reads the datagrams that arrived while it was frozen.
    pub fn resume(&mut self, index: usize) {
        self.routers[index].process = Process::Running;
        for (from, bytes) in std::mem::take(&mut self.routers[index].socket_buffer) {
            self.routers[index].membership.on_datagram(self.now, from, &bytes);
        }
        self.transmit(index);
    }

    /// Compares the changes that the routers report with the actual states of the processes.
    fn record_changes(&mut self) {
        for index in 0..self.routers.len() {
            if self.routers[index].process != Process::Running {
                continue;
            }
            for (router, change) in self.routers[index].membership.take_changes() {
                let other = self.index_of[&router];
                match change {
                    Change::Died | Change::Left if self.routers[other].process == Process::Running => {
                        self.false_death_count += 1;
                        self.routers[index].false_death_count += 1;
                        self.routers[index].false_deaths.insert(other, self.now);
                    }
                    Change::Joined | Change::Refuted => {
                        if let Some(since) = self.routers[index].false_deaths.remove(&other) {
                            self.longest_false_death = self.longest_false_death.max(self.now - since);
                        }
                    }
                    Change::Died | Change::Left | Change::Suspected => {}
                }
            }
        }
    }

    /// The longest time for which a router counted a running router as dead, including false deaths that have not
    /// ended.
    pub fn longest_false_death(&self) -> Span {
        let pending = self.routers.iter().filter(|router| router.process == Process::Running);
        let pending = pending.flat_map(|router| router.false_deaths.iter());
        let pending = pending.filter(|&(&other, _)| self.routers[other].process == Process::Running);
        pending.map(|(_, &since)| self.now - since).fold(self.longest_false_death, Span::max)
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.routers.len()).filter(|&index| self.routers[index].process == Process::Running).collect()
    }

    /// The routers that the given router counts as alive, including itself.
    pub fn alive_at(&self, index: usize) -> Vec<SocketAddr> {
        let mut alive: Vec<_> =
            self.routers[index].membership.peers(self.now).map(|peer| peer.address).collect();
        alive.push(address(index));
        alive.sort_unstable();
        alive
    }

    /// Whether every running router counts exactly the running routers as alive.
    pub fn has_converged(&self) -> bool {
        let mut running: Vec<SocketAddr> = self.running().into_iter().map(address).collect();
        running.sort_unstable();
        self.running().into_iter().all(|index| self.alive_at(index) == running)
    }

    /// Runs the simulation until the cluster has converged, for at most `timeout`. Returns how long the simulation ran.
    pub fn run_until_converged(&mut self, timeout: Span) -> Span {
        let started = self.now;
        while !self.has_converged() && self.now - started < timeout {
            self.run(ms(20));
        }
        assert!(self.has_converged(), "not converged after {:.1} s", (self.now - started).secs());
        self.now - started
    }

    /// Ends the processes of the victims. Returns the seconds until each running router has detected the death of each
    /// victim, sorted.
    pub fn kill(&mut self, victims: &[usize], timeout: Span) -> Vec<f64> {
        victims.iter().for_each(|&index| self.routers[index].process = Process::Ended);
        let started = self.now;
        let mut detected = Vec::new();
        let mut pending: Vec<(usize, usize)> = Vec::new();
        for &dead in victims {
            pending.extend(self.running().into_iter().map(|index| (index, dead)));
        }
        while !pending.is_empty() && self.now - started < timeout {
            self.run(ms(20));
            let now = self.now;
            let mut alive_at: HashMap<usize, HashSet<SocketAddr>> = HashMap::new();
            pending.retain(|&(index, dead)| {
                let alive = alive_at.entry(index).or_insert_with(|| {
                    self.routers[index].membership.peers(now).map(|peer| peer.address).collect()
                });
                let is_pending = alive.contains(&address(dead));
                if !is_pending {
                    detected.push((now - started).secs());
                }
                is_pending
            });
        }
        assert!(
            pending.is_empty(),
            "{} pairs of a router and a death that it did not detect in time",
            pending.len()
        );
        detected.sort_by(f64::total_cmp);
        detected
    }

    /// Runs the simulation for this time. Returns the datagrams and bytes that each running router has sent per second
    /// on average.
    pub fn load(&mut self, span: Span) -> (f64, f64) {
        let sum = |sim: &Simulation| {
            let counts = sim.running().into_iter().map(|index| sim.routers[index].membership.counts());
            counts.fold((0, 0), |sum, counts| (sum.0 + counts.sent, sum.1 + counts.bytes))
        };
        let before = sum(self);
        self.run(span);
        let after = sum(self);
        let router_seconds = self.running().len() as f64 * span.secs();
        ((after.0 - before.0) as f64 / router_seconds, (after.1 - before.1) as f64 / router_seconds)
    }
}

pub fn median(sorted: &[f64]) -> f64 {
    sorted[sorted.len() / 2]
}
