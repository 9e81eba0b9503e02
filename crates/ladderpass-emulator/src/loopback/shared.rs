//! What the threads of an emulator share: the model, the endpoint lists, and replies for connections of other threads.

use crate::clock::now;
use crate::model::{Input, Model, Output};
use crate::scenario::Scenario;
use ladderpass_routing::Time;
use mio::Waker;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

/// The owner of a listener or of a connection.
#[derive(Clone, Copy, PartialEq)]
pub enum Owner {
    /// The member with this index.
    Member(u32),
    /// The discovery service of the endpoint list with this index.
    Discovery(usize),
}

/// A command of the controlling thread to the drivers.
pub enum Command {
    /// The member with this index crashes: its connections are closed.
    Crash(u32),
    /// Sends a line to the watches of the endpoint list with this index.
    SendLine(usize, String),
    /// Ends the thread.
    Stop,
}

/// One endpoint list.
#[derive(Clone)]
pub struct EndpointList {
    /// The members' addresses, by their index.
    pub addresses: Vec<SocketAddr>,
    pub draining: BTreeSet<u32>,
    pub generation: u64,
}

/// An endpoint list has published that a member is draining.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PublishedDrain {
    /// When it was published.
    pub at: Time,
    /// Index of the endpoint list.
    pub list: usize,
    /// Index of the member.
    pub member: u32,
}

/// What all threads of an emulator use.
pub struct Shared {
    model: Mutex<Model>,
    /// By thread: replies for its connections.
    outboxes: Vec<Mutex<Vec<Output>>>,
    /// By thread.
    wakers: Vec<Waker>,
    pub scenario: Scenario,
    lists: Mutex<Vec<EndpointList>>,
    /// When the emulator started, and with it the members in slow start.
    pub started_at: Time,
    drains: Mutex<Vec<PublishedDrain>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}

impl Shared {
    /// `wakers` holds one of each thread.
    pub fn new(scenario: Scenario, seed: u64, lists: Vec<EndpointList>, wakers: Vec<Waker>) -> Shared {
        Shared {
            model: Mutex::new(Model::new(now(), scenario.clone(), seed)),
            outboxes: wakers.iter().map(|_| Mutex::new(Vec::new())).collect(),
            wakers,
            lists: Mutex::new(lists),
            started_at: now(),
            drains: Mutex::default(),
            scenario,
        }
    }

    pub fn model(&self) -> MutexGuard<'_, Model> {
        lock(&self.model)
    }

    pub fn wakers(&self) -> &[Waker] {
        &self.wakers
    }

    pub fn thread_count(&self) -> usize {
        self.outboxes.len()
    }

    /// Something happens to a member; the replies go to the threads that own the connections.
    pub fn apply(&self, thread: usize, member: u32, input: Input) {
        let mut model = self.model();
        model.apply(now(), member, input);
        self.distribute(thread, &mut model);
    }

    /// Lets the model run up to now; gives the time of its next timer.
    pub fn advance(&self, thread: usize) -> Option<Time> {
        let mut model = self.model();
        model.advance(now());
        self.distribute(thread, &mut model);
        model.next_wake()
    }

    /// Takes the replies for a thread's connections.
    pub fn take_outbox(&self, thread: usize) -> Vec<Output> {
        std::mem::take(&mut *lock(&self.outboxes[thread]))
    }

    fn distribute(&self, thread: usize, model: &mut Model) {
        for output in model.take_outputs() {
            let owner = output.connection.0 as usize % self.outboxes.len();
            lock(&self.outboxes[owner]).push(output);
            if owner != thread {
                // A thread that has ended has no connections left.
                let _ = self.wakers[owner].wake();
            }
        }
    }

    /// A complete endpoint list, or the entry of one member, as a line of a watch.
    pub fn list_line(&self, list: usize, changed: Option<u32>) -> String {
        let lists = lock(&self.lists);
        let Some(list) = lists.get(list) else { return String::new() };
        let mut entries = self.scenario.endpoint_entries(self.started_at, &list.addresses);
        for &member in &list.draining {
            if let Some(entry) = entries.get_mut(member as usize) {
                entry["lifecycle"] = "DRAINING".into();
            }
        }
        if let Some(member) = changed {
            entries = entries.into_iter().skip(member as usize).take(1).collect();
        }
        let (generation, reset) = (list.generation, changed.is_none());
        format!("{}\n", serde_json::json!({"generation": generation, "reset": reset, "instances": entries}))
    }

    pub fn set_addresses(&self, list: usize, addresses: &[SocketAddr]) {
        if let Some(list) = lock(&self.lists).get_mut(list) {
            list.addresses = addresses.to_vec();
        }
    }

    /// Marks a member as draining in a list; watches are not notified here.
    pub fn mark_draining(&self, list: usize, member: u32) {
        if let Some(list) = lock(&self.lists).get_mut(list) {
            list.draining.insert(member);
            list.generation += 1;
        }
    }

    pub fn record_drain(&self, list: usize, member: u32) {
        lock(&self.drains).push(PublishedDrain { at: now(), list, member });
    }

    pub fn drains(&self) -> Vec<PublishedDrain> {
        lock(&self.drains).clone()
    }
}
