//! The clients of the router: their number, what is awaited from each, evictions under way, and whose input is to be
//! read.
//!
//! A client that waits for an answer is in no set, so it is never evicted. Each other client is in the set of
//! the input that is awaited from it, the longest first.

use super::client::{Awaited, AwaitedInput, Client};
use crate::reducer::connection_id::ConnectionId;
use ladderpass_routing::{Span, Time};
use std::collections::{BTreeSet, VecDeque};

/// How many sets there are; they stand in the order of eviction.
const AWAITED_INPUT_COUNT: usize = 3;

/// Which clients may be evicted.
#[derive(Clone, Copy, Debug)]
pub(in crate::reducer) enum EvictionScope {
    /// Those whose input has been awaited, at this time, for its eviction age or longer.
    Overdue(Time),
    /// All whose input is awaited.
    All,
}

/// All clients.
#[derive(Default)]
pub(in crate::reducer) struct ClientTable {
    count: usize,
    /// By `AwaitedInput`: the clients that it is awaited from, and since when.
    by_awaited_input: [BTreeSet<(Time, ConnectionId)>; AWAITED_INPUT_COUNT],
    /// Clients that are closed unless their sockets still hold something, with what was awaited from them.
    evicting: Vec<(ConnectionId, Option<Awaited>)>,
    /// Clients whose input is to be read in this iteration.
    ready: VecDeque<ConnectionId>,
    /// Clients whose input is to be read in the next iteration: they have sent more statements than one reads, or
    /// something behind the RPC that was just answered.
    deferred: Vec<ConnectionId>,
    /// Bytes in input buffers that were not read, or whose RPC is in flight.
    unread_bytes: usize,
}

impl ClientTable {
    pub(in crate::reducer) fn len(&self) -> usize {
        self.count
    }

    pub(in crate::reducer) fn add(&mut self) {
        self.count += 1;
    }

    /// Forgets a client, whose awaited input was cleared before, with so many bytes of input.
    pub(in crate::reducer) fn remove(&mut self, id: ConnectionId, unread_bytes: usize) {
        self.subtract_unread_bytes(unread_bytes);
        self.cancel_eviction(id);
        self.count -= 1;
    }

    pub(in crate::reducer) fn set_awaited(
        &mut self,
        id: ConnectionId,
        client: &mut Client,
        awaited: Option<Awaited>,
    ) {
        if let Some((previous, since)) = client.replace_awaited(awaited) {
            self.by_awaited_input[previous as usize].remove(&(since, id));
        }
        if let Some((input, since)) = awaited {
            self.by_awaited_input[input as usize].insert((since, id));
        }
    }

    /// How many clients the router awaits each input from.
    pub(in crate::reducer) fn awaited_counts(&self) -> [usize; AWAITED_INPUT_COUNT] {
        self.by_awaited_input.each_ref().map(BTreeSet::len)
    }

    /// Clients from which an input is awaited, and since when, the longest first.
    pub(in crate::reducer) fn awaiting(
        &self,
        input: AwaitedInput,
    ) -> impl Iterator<Item = (Time, ConnectionId)> {
        self.by_awaited_input[input as usize].iter().copied()
    }

    /// Clients that are starting up or in the middle of a statement, also if they have sent complete ones before.
    pub(in crate::reducer) fn awaiting_startup_or_rest(&self) -> usize {
        self.by_awaited_input[AwaitedInput::Startup as usize].len()
            + self.by_awaited_input[AwaitedInput::StatementRest as usize].len()
    }

    /// The client to evict first.
    pub(in crate::reducer) fn first_evictable(
        &self,
        scope: EvictionScope,
        ages: &[Span; AWAITED_INPUT_COUNT],
    ) -> Option<ConnectionId> {
        self.by_awaited_input.iter().zip(ages).find_map(|(set, &age)| {
            let &(since, id) = set.first()?;
            let is_evictable = match scope {
                EvictionScope::Overdue(now) => now - since >= age,
                EvictionScope::All => true,
            };
            is_evictable.then_some(id)
        })
    }

    /// The next client to evict while there are more than `limit`, not counting those that are already being evicted.
    pub(in crate::reducer) fn next_in_excess(
        &self,
        now: Time,
        limit: usize,
        ages: &[Span; AWAITED_INPUT_COUNT],
    ) -> Option<ConnectionId> {
        if self.count <= limit + self.evicting.len() {
            return None;
        }
        self.first_evictable(EvictionScope::Overdue(now), ages)
    }

    /// When the next client may be evicted.
    pub(in crate::reducer) fn next_eviction_at(&self, ages: &[Span; AWAITED_INPUT_COUNT]) -> Option<Time> {
        self.by_awaited_input.iter().zip(ages).filter_map(|(set, &age)| Some(set.first()?.0 + age)).min()
    }

    /// Takes a client out of its set; what is awaited from it is remembered.
    pub(in crate::reducer) fn begin_eviction(&mut self, id: ConnectionId, awaited: Option<Awaited>) {
        if let Some((input, since)) = awaited {
            self.by_awaited_input[input as usize].remove(&(since, id));
        }
        self.evicting.push((id, awaited));
    }

    pub(in crate::reducer) fn cancel_eviction(&mut self, id: ConnectionId) {
        self.evicting.retain(|&(evicting, _)| evicting != id);
    }

    pub(in crate::reducer) fn is_evicting(&self, id: ConnectionId) -> bool {
        self.evicting.iter().any(|&(evicting, _)| evicting == id)
    }

    /// Takes an eviction that can be completed, with what was awaited from the client when it began.
    pub(in crate::reducer) fn take_eviction(&mut self, id: ConnectionId) -> Option<Awaited> {
        let index = self.evicting.iter().position(|&(evicting, _)| evicting == id)?;
        self.evicting.remove(index).1
    }

    pub(in crate::reducer) fn evicting(&self) -> impl Iterator<Item = ConnectionId> {
        self.evicting.iter().map(|&(id, _)| id)
    }

    pub(in crate::reducer) fn evicting_count(&self) -> usize {
        self.evicting.len()
    }

    pub(in crate::reducer) fn push_ready(&mut self, id: ConnectionId) {
        self.ready.push_back(id);
    }

    pub(in crate::reducer) fn pop_ready(&mut self) -> Option<ConnectionId> {
        self.ready.pop_front()
    }

    pub(in crate::reducer) fn defer(&mut self, id: ConnectionId) {
        self.deferred.push(id);
    }

    pub(in crate::reducer) fn take_deferred(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.deferred)
    }

    /// Is something to be done before the next event?
    pub(in crate::reducer) fn has_pending_work(&self) -> bool {
        !self.evicting.is_empty() || !self.deferred.is_empty() || !self.ready.is_empty()
    }

    /// Bytes in input buffers that were not read, or whose RPC is in flight.
    pub(in crate::reducer) fn unread_bytes(&self) -> usize {
        self.unread_bytes
    }

    pub(in crate::reducer) fn add_unread_bytes(&mut self, count: usize) {
        self.unread_bytes += count;
    }

    pub(in crate::reducer) fn subtract_unread_bytes(&mut self, count: usize) {
        self.unread_bytes = self.unread_bytes.saturating_sub(count);
    }
}
