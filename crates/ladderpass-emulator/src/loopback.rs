//! Runs the model on loopback sockets. Several threads each serve the sockets of some members, and the first thread
//! also serves discovery. This module handles sockets, time and encoding; the model decides what a member does.

mod driver;
mod shared;

pub use crate::clock::now;
pub use shared::PublishedDrain;

use crate::execution_log::ExecutionLog;
use crate::model::Input;
use crate::scenario::Scenario;
use driver::{Driver, WAKE_TOKEN};
use ladderpass_routing::{Span, Time};
use mio::net::TcpListener;
use mio::{Poll, Waker};
use shared::{Command, EndpointList, Owner, Shared};
use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;

/// Maximum number of threads that serve the members. There are never more threads than members, and several threads
/// keep the emulator itself from slowing a test down.
const MAX_THREADS: usize = 3;
/// The shortest interval, in milliseconds, between the empty lines that a watch of an endpoint list receives. A shorter
/// interval in the scenario is raised to this one.
const MIN_WATCH_INTERVAL_MS: f64 = 10.0;
/// Used in place of a thread's index where the calling thread owns no connections.
const NO_THREAD: usize = usize::MAX;

/// An emulator that runs on its own threads until it is stopped or dropped.
pub struct RunningEmulator {
    /// Addresses of the members, by member index.
    pub addresses: Vec<SocketAddr>,
    /// Address of the first discovery service.
    pub discovery: SocketAddr,
    /// Addresses of all discovery services. Each service publishes an endpoint list of its own.
    pub discoveries: Vec<SocketAddr>,
    commands: Vec<Sender<Command>>,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl RunningEmulator {
    /// Starts the members and one discovery service at this IP address, at ports that the operating system chooses.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket, a poll instance or a thread can't be created.
    pub fn start(scenario: Scenario, seed: u64, address: Ipv4Addr) -> io::Result<RunningEmulator> {
        RunningEmulator::start_with_lists(scenario, seed, address, 1)
    }

    /// Starts the members and `lists` discovery services (at least one) with an endpoint list each, so that routers can
    /// reach the members at different addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket, a poll instance or a thread can't be created.
    pub fn start_with_lists(
        scenario: Scenario,
        seed: u64,
        address: Ipv4Addr,
        lists: usize,
    ) -> io::Result<RunningEmulator> {
        let thread_count = MAX_THREADS.min(scenario.member_count());
        let polls = (0..thread_count).map(|_| Poll::new()).collect::<io::Result<Vec<_>>>()?;
        let wakers = polls
            .iter()
            .map(|poll| Waker::new(poll.registry(), WAKE_TOKEN))
            .collect::<io::Result<Vec<_>>>()?;
        let bind = || TcpListener::bind(SocketAddr::V4(SocketAddrV4::new(address, 0)));
        let listeners =
            (0..scenario.member_count() + lists.max(1)).map(|_| bind()).collect::<io::Result<Vec<_>>>()?;
        let mut addresses = listeners.iter().map(TcpListener::local_addr).collect::<io::Result<Vec<_>>>()?;
        let discoveries = addresses.split_off(scenario.member_count());
        let discovery = *discoveries.first().ok_or_else(|| io::Error::other("no discovery listener"))?;
        let list = EndpointList { addresses: addresses.clone(), draining: BTreeSet::new(), generation: 1 };
        let watch_interval = Span::from_secs_f64(scenario.watch_every_ms.max(MIN_WATCH_INTERVAL_MS) / 1e3);
        let listeners = assign_listeners_to_threads(listeners, scenario.member_count(), thread_count);
        let shared = Arc::new(Shared::new(scenario, seed, vec![list; discoveries.len()], wakers));
        let (mut commands, mut threads) = (Vec::new(), Vec::new());
        for (thread, (poll, listeners)) in polls.into_iter().zip(listeners).enumerate() {
            let (sender, receiver) = channel();
            commands.push(sender);
            let driver = Driver::new(thread, poll, shared.clone(), listeners, receiver, watch_interval)?;
            threads.push(spawn(thread, driver)?);
        }
        Ok(RunningEmulator { addresses, discovery, discoveries, commands, shared, threads })
    }

    /// Sets the members' addresses in all endpoint lists, for example to those of proxies in front of the members. Only
    /// watches that begin later receive the new addresses.
    pub fn set_addresses(&self, addresses: &[SocketAddr]) {
        for list in 0..self.discoveries.len() {
            self.set_list_addresses(list, addresses);
        }
    }

    /// Sets the members' addresses in one endpoint list. Only watches that begin later receive the new addresses.
    pub fn set_list_addresses(&self, list: usize, addresses: &[SocketAddr]) {
        self.shared.set_addresses(list, addresses);
    }

    /// Marks a member as draining in all endpoint lists, and sends the change to the watches of the lists.
    pub fn drain(&self, member: u32) {
        for list in 0..self.discoveries.len() {
            self.shared.mark_draining(list, member);
            self.send_line(list, &self.shared.list_line(list, Some(member)));
            self.shared.record_drain(list, member);
        }
    }

    /// Returns when the emulator started.
    pub fn started_at(&self) -> Time {
        self.shared.started_at
    }

    /// Returns a record of each member that an endpoint list has published as draining so far.
    pub fn drains(&self) -> Vec<PublishedDrain> {
        self.shared.drains()
    }

    /// Sends a line unchanged to the watches of one endpoint list.
    pub fn send_line(&self, list: usize, line: &str) {
        self.send(|| Command::SendLine(list, line.to_owned()));
    }

    /// Applies an input to a member. A crash also closes the sockets of the member's connections.
    pub fn apply(&self, member: u32, input: Input) {
        if input == Input::Crash {
            self.send(|| Command::Crash(member));
        }
        self.shared.apply(NO_THREAD, member, input);
    }

    /// Stops the emulator and returns its execution log.
    pub fn stop(mut self) -> ExecutionLog {
        self.join();
        std::mem::take(&mut self.shared.model().execution_log)
    }

    fn send(&self, command: impl Fn() -> Command) {
        for (sender, waker) in self.commands.iter().zip(self.shared.wakers()) {
            // Sending a command to a thread fails only if the thread has ended, and an ended thread needs no command.
            let _ = (sender.send(command()), waker.wake());
        }
    }

    fn join(&mut self) {
        self.send(|| Command::Stop);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for RunningEmulator {
    fn drop(&mut self) {
        self.join();
    }
}

/// Assigns the members' listeners to the threads in round-robin order, and the discovery listeners to the first thread.
fn assign_listeners_to_threads(
    listeners: Vec<TcpListener>,
    members: usize,
    thread_count: usize,
) -> Vec<Vec<(Owner, TcpListener)>> {
    let mut assigned: Vec<Vec<(Owner, TcpListener)>> = (0..thread_count).map(|_| Vec::new()).collect();
    for (index, listener) in listeners.into_iter().enumerate() {
        let (owner, thread) = match index.checked_sub(members) {
            None => (Owner::Member(index as u32), index % thread_count),
            Some(list) => (Owner::Discovery(list), 0),
        };
        assigned[thread].push((owner, listener));
    }
    assigned
}

fn spawn(thread: usize, mut driver: Driver) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name(format!("emulator-{thread}")).spawn(move || {
        if let Err(error) = driver.run() {
            eprintln!("emulator thread {thread}: {error}");
        }
    })
}
