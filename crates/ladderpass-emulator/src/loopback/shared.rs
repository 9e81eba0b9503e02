//! State shared by the threads of an emulator: the model, the endpoint lists, and the replies that each thread has yet
//! to send on its connections.

use crate::clock::now;
use crate::model::{Input, Model, Output};
use crate::scenario::Scenario;
use ladderpass_routing::Time;
use mio::Waker;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

/// The member or the discovery service to which a listener or a connection belongs.
#[derive(Clone, Copy, PartialEq)]
pub enum Owner {
    /// The member with this index.
    Member(u32),
    /// The discovery service of the endpoint list with this index.
    Discovery(usize),
}

/// A command from the thread that controls the emulator to the driver of another thread.
pub enum Command {
    /// Closes this driver's connections of the member with this index, which has crashed.
    Crash(u32),
    /// Sends this line to this driver's watches of the endpoint list with this index.
    SendLine(usize, String),
    /// Stops the driver that receives the command, and its thread.
    Stop,
}

/// The state of one endpoint list.
#[derive(Clone)]
pub struct EndpointList {
    /// Addresses of the members, by member index.
    pub addresses: Vec<SocketAddr>,
    pub draining: BTreeSet<u32>,
    pub generation: u64,
}

/// A record that discovery published a member as draining in an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PublishedDrain {
    /// When discovery published the member as draining.
    pub at: Time,
    /// Index of the endpoint list in which the member was published as draining.
    pub list: usize,
    /// Index of the member that is draining.
    pub member: u32,
}

/// State that all threads of an emulator use.
pub struct Shared {
    model: Mutex<Model>,
    /// Replies that each thread has yet to send on its connections, by thread index.
    outboxes: Vec<Mutex<Vec<Output>>>,
    /// The waker of each thread, by thread index.
    wakers: Vec<Waker>,
    pub scenario: Scenario,
    lists: Mutex<Vec<EndpointList>>,
    /// When the emulator started, which is also the start time of the members in slow start.
    pub started_at: Time,
    drains: Mutex<Vec<PublishedDrain>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics while it holds a lock")
}

impl Shared {
    /// Creates the shared state of as many threads as there are `wakers`.
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

    /// Applies an input to a member, and hands the replies to the threads that own the connections. `thread` is the
    /// index of the calling thread, which needs no waking.
    pub fn apply(&self, thread: usize, member: u32, input: Input) {
        let mut model = self.model();
        model.apply(now(), member, input);
        self.distribute(thread, &mut model);
    }

    /// Advances the model to the current time, and returns when the model's next timer is due.
    pub fn advance(&self, thread: usize) -> Option<Time> {
        let mut model = self.model();
        model.advance(now());
        self.distribute(thread, &mut model);
        model.next_wake()
    }

    /// Removes and returns the replies that a thread has yet to send on its connections.
    pub fn take_outbox(&self, thread: usize) -> Vec<Output> {
        std::mem::take(&mut *lock(&self.outboxes[thread]))
    }

    fn distribute(&self, thread: usize, model: &mut Model) {
        for output in model.take_outputs() {
            let owner = output.connection.0 as usize % self.outboxes.len();
            lock(&self.outboxes[owner]).push(output);
            if owner != thread {
                // Waking a thread fails only if the thread has ended, and an ended thread has no connections left.
                let _ = self.wakers[owner].wake();
            }
        }
    }

    /// Returns a line that a watch of an endpoint list receives: the complete list, or only the entry of the member
    /// `changed`.
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

    /// Marks a member as draining in an endpoint list, without sending the change to the list's watches.
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
