//! State of the watch of discovery: its connections, the generation of the list in use, and silence.
//!
//! There is one current watch; at most one late request before it that may still be answered; and, after a move, at most
//! one watch of the previous address, which serves until the new address has answered.

use crate::discovery::{self, Listing};
use crate::limits::Limits;
use crate::reducer::connection_id::ConnectionId;
use ladderpass_routing::Time;
use std::net::SocketAddr;

/// State of the watch.
pub(in crate::reducer) struct DiscoveryWatch {
    address: SocketAddr,
    /// The generation of the endpoint list in use, as discovery counts them.
    generation: u64,
    /// When this list, or a later one, was received last.
    received_at: Time,
    /// What discovery has sent since is older.
    offers_older_list: bool,
    current: Option<ConnectionId>,
    /// When the current watch was asked for.
    requested_at: Time,
    /// An earlier request that is still unanswered, kept open beside the next one: the first to be answered becomes the
    /// current watch.
    late: Option<ConnectionId>,
    /// The watch of the address that discovery had before.
    previous: Option<ConnectionId>,
    /// Discovery has another address, which has not answered yet.
    is_moving: bool,
    /// A watch that was denied a descriptor, while nothing could give one up.
    denied: Option<ConnectionId>,
    /// Since when a watch that had answered is silent, until another one answers.
    silent_since: Option<Time>,
}

/// What is decided on a list by its generation, before its entries are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::reducer) enum ListVerdict {
    Accepted,
    /// Changes from the new address, whose generations count from a lower number: they do not apply to the list here.
    ChangesOfAnotherList,
    /// The first older list in a row.
    Older,
}

impl DiscoveryWatch {
    pub(in crate::reducer) fn new(now: Time, address: SocketAddr) -> DiscoveryWatch {
        DiscoveryWatch {
            address,
            generation: 0,
            received_at: now,
            offers_older_list: false,
            current: None,
            requested_at: now,
            late: None,
            previous: None,
            is_moving: false,
            denied: None,
            silent_since: None,
        }
    }

    pub(in crate::reducer) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(in crate::reducer) fn generation(&self) -> u64 {
        self.generation
    }

    pub(in crate::reducer) fn set_generation(&mut self, generation: u64) {
        self.generation = generation;
    }

    /// The request that opens a watch. Where discovery's list is older than the one here all of it is wanted.
    pub(in crate::reducer) fn request(&self) -> String {
        let from = if self.offers_older_list { 0 } else { self.generation };
        discovery::watch_request(&self.address.to_string(), from)
    }

    pub(in crate::reducer) fn remove_connection(&mut self, id: ConnectionId) {
        for slot in [&mut self.current, &mut self.late, &mut self.previous] {
            *slot = slot.filter(|&watch| watch != id);
        }
    }

    pub(in crate::reducer) fn set_denied(&mut self, id: ConnectionId) {
        self.denied = Some(id);
    }

    /// Takes the watch that was denied a descriptor.
    pub(in crate::reducer) fn take_denied(&mut self) -> Option<ConnectionId> {
        self.denied.take()
    }

    pub(in crate::reducer) fn current(&self) -> Option<ConnectionId> {
        self.current
    }

    pub(in crate::reducer) fn late(&self) -> Option<ConnectionId> {
        self.late
    }

    pub(in crate::reducer) fn previous(&self) -> Option<ConnectionId> {
        self.previous
    }

    /// When the current watch was asked for.
    pub(in crate::reducer) fn requested_at(&self) -> Time {
        self.requested_at
    }

    /// Does another watch serve when this one ends?
    pub(in crate::reducer) fn has_successor(&self, id: ConnectionId) -> bool {
        self.previous == Some(id) || self.late == Some(id)
    }

    /// A request on this connection becomes the current watch.
    pub(in crate::reducer) fn begin_request(&mut self, now: Time, id: ConnectionId) {
        (self.current, self.requested_at) = (Some(id), now);
    }

    /// The current request stays open beside the next one.
    pub(in crate::reducer) fn demote_current(&mut self) {
        self.late = self.current.take();
    }

    /// The late request was answered first: it becomes the current watch.
    pub(in crate::reducer) fn promote_late(&mut self) {
        self.current = self.late.take();
    }

    /// The current watch had answered, and is silent since then.
    pub(in crate::reducer) fn record_silence(&mut self, since: Time) {
        self.silent_since = Some(since);
    }

    pub(in crate::reducer) fn is_current(&self, id: ConnectionId) -> bool {
        self.current == Some(id)
    }

    /// Discovery has moved. The current watch becomes the previous one if it has answered; gives the connections that are
    /// of no use any more.
    pub(in crate::reducer) fn move_to(
        &mut self,
        address: SocketAddr,
        has_answered: impl Fn(ConnectionId) -> bool,
    ) -> Vec<ConnectionId> {
        self.address = address;
        self.is_moving = true;
        let unused = match self.current.take() {
            Some(id) if has_answered(id) => self.previous.replace(id),
            requested => requested,
        };
        unused.into_iter().chain(self.late).collect()
    }

    /// A list has arrived on a watch; true for the first one of discovery's new address.
    pub(in crate::reducer) fn record_answer(&mut self, id: ConnectionId) -> bool {
        if self.is_current(id) {
            self.silent_since = None;
        }
        self.is_current(id) && std::mem::take(&mut self.is_moving)
    }

    /// Judges a list by its generation, before its entries are read.
    pub(in crate::reducer) fn judge_list(
        &mut self,
        now: Time,
        listing: &Listing,
        is_first_after_move: bool,
        limits: &Limits,
    ) -> ListVerdict {
        // Generations of the new address may count from a lower number, and all its lists would be rejected as older: a
        // complete list is accepted as it is; after changes the complete list is requested.
        if is_first_after_move && listing.generation < self.generation {
            self.generation = 0;
            if !listing.reset {
                return ListVerdict::ChangesOfAnotherList;
            }
        }
        match self.is_first_older_list(now, listing, limits) {
            true => ListVerdict::Older,
            false => ListVerdict::Accepted,
        }
    }

    /// Is this the first older list in a row? It may be a single delayed one, so it is rejected, and the complete list is
    /// requested at once.
    ///
    /// Discovery may also have restarted its generations, and all its lists would be rejected as older. No list is delayed
    /// for longer than `notified_within`: that long after the list here was received, a second older list that is complete
    /// is accepted, and its generation adopted.
    fn is_first_older_list(&mut self, now: Time, listing: &Listing, limits: &Limits) -> bool {
        let was_older = std::mem::replace(&mut self.offers_older_list, listing.generation < self.generation);
        if !self.offers_older_list {
            self.received_at = now;
        } else if was_older && listing.reset && now - self.received_at >= limits.notified_within {
            (self.generation, self.offers_older_list, self.received_at) = (0, false, now);
        }
        self.offers_older_list && !was_older
    }

    /// Has the watch been silent for no longer than `notified_within`? Changes that it missed do not yet count as notified
    /// by the protocol.
    pub(in crate::reducer) fn is_silence_within_limit(&self, now: Time, limits: &Limits) -> bool {
        self.silent_since.is_some_and(|since| now - since <= limits.notified_within)
    }
}
