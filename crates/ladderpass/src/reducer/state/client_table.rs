//! The clients of the router: their number, the input that is awaited from each client, evictions in progress, and the
//! clients whose input is to be read.
//!
//! A client from which an input is awaited is in the set of that input, which is ordered by the time since which the
//! input is awaited. No input is awaited from a client while the client's RPC is in flight, while an answer to the
//! client is not fully written, or while a complete statement is not handled yet because the client's socket was not
//! read until it was empty. Such a client is in no set, so it is never evicted. A client that is being evicted is in no
//! set either. If its eviction is cancelled, it returns to a set only when its awaited input is set again.

use super::client::{Awaited, AwaitedInput, Client};
use crate::reducer::connection_id::ConnectionId;
use ladderpass_routing::{Span, Time};
use rustc_hash::FxHashSet;
use std::collections::{BTreeSet, VecDeque};

/// Number of sets of clients by awaited input. The sets are in the order in which their clients are evicted.
const AWAITED_INPUT_COUNT: usize = 3;

/// Which clients may be evicted.
#[derive(Clone, Copy, Debug)]
pub(in crate::reducer) enum EvictionScope {
    /// Clients whose input has been awaited, at the given time, for at least the age that `Limits::eviction_ages` gives
    /// for this kind of input.
    Overdue(Time),
    /// All clients from which an input is awaited.
    All,
}

/// The table of all connected clients.
#[derive(Default)]
pub(in crate::reducer) struct ClientTable {
    count: usize,
    /// For each `AwaitedInput`, the clients from which that input is awaited, with the time since which it is awaited.
    by_awaited_input: [BTreeSet<(Time, ConnectionId)>; AWAITED_INPUT_COUNT],
    /// Clients that will be closed unless more input is found in their sockets, each with the input that was awaited
    /// when its eviction began.
    evicting: Vec<(ConnectionId, Option<Awaited>)>,
    /// Clients whose input is to be handled in this iteration of the event loop, each once.
    ready: VecDeque<ConnectionId>,
    /// The clients in `ready`.
    is_ready: FxHashSet<ConnectionId>,
    /// Clients whose input is to be handled in the next iteration of the event loop. They have sent more messages than
    /// are handled in one iteration, or their RPC was just answered, or their output was just written.
    deferred: Vec<ConnectionId>,
    /// Number of bytes in the input buffers of all clients that are not consumed yet. The statements of RPCs in flight
    /// are included.
    unread_bytes: usize,
}

impl ClientTable {
    pub(in crate::reducer) fn len(&self) -> usize {
        self.count
    }

    pub(in crate::reducer) fn add(&mut self) {
        self.count += 1;
    }

    /// Removes a client with `unread_bytes` bytes in its input buffer that are not consumed yet. The caller has already
    /// cleared the client's awaited input.
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

    /// Returns the number of clients from which each kind of input is awaited, in the order of `AwaitedInput`.
    pub(in crate::reducer) fn awaited_counts(&self) -> [usize; AWAITED_INPUT_COUNT] {
        self.by_awaited_input.each_ref().map(BTreeSet::len)
    }

    /// The clients from which an input is awaited, with the time since which it is awaited, in the order of that time.
    pub(in crate::reducer) fn awaiting(
        &self,
        input: AwaitedInput,
    ) -> impl Iterator<Item = (Time, ConnectionId)> {
        self.by_awaited_input[input as usize].iter().copied()
    }

    /// Number of clients that are starting up or in the middle of a statement. Clients that have sent complete
    /// statements before are included.
    pub(in crate::reducer) fn awaiting_startup_or_rest(&self) -> usize {
        self.by_awaited_input[AwaitedInput::Startup as usize].len()
            + self.by_awaited_input[AwaitedInput::StatementRest as usize].len()
    }

    /// Returns the client within `scope` to evict first, or `None` if there is none. `ages` are
    /// `Limits::eviction_ages`, in the order of `AwaitedInput`.
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

    /// Returns the next client to evict while there are more than `limit` clients. Clients that are already being
    /// evicted do not count.
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

    /// Returns the time from which on the next client may be evicted, or `None` if no input is awaited from any client.
    pub(in crate::reducer) fn next_eviction_at(&self, ages: &[Span; AWAITED_INPUT_COUNT]) -> Option<Time> {
        self.by_awaited_input.iter().zip(ages).filter_map(|(set, &age)| Some(set.first()?.0 + age)).min()
    }

    /// Begins the eviction of a client. The client is removed from the set of its awaited input, which is stored with
    /// the eviction.
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

    /// Removes a client from the evictions in progress, because its eviction can be completed. Returns the input that
    /// was awaited from the client when the eviction began.
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

    /// Adds a client to those whose input is to be handled in this iteration. However many events concern the client,
    /// it is handled once, so that a client that sends without a pause gets no larger share of the iteration.
    pub(in crate::reducer) fn push_ready(&mut self, id: ConnectionId) {
        if self.is_ready.insert(id) {
            self.ready.push_back(id);
        }
    }

    pub(in crate::reducer) fn pop_ready(&mut self) -> Option<ConnectionId> {
        let id = self.ready.pop_front()?;
        self.is_ready.remove(&id);
        Some(id)
    }

    pub(in crate::reducer) fn defer(&mut self, id: ConnectionId) {
        self.deferred.push(id);
    }

    pub(in crate::reducer) fn take_deferred(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.deferred)
    }

    /// Returns whether some clients have work to do without waiting for the next event.
    pub(in crate::reducer) fn has_pending_work(&self) -> bool {
        !self.evicting.is_empty() || !self.deferred.is_empty() || !self.ready.is_empty()
    }

    /// Number of bytes in the input buffers of all clients that are not consumed yet. The statements of RPCs in flight
    /// are included.
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
