//! State of the watch of discovery: its connections, the generation of the endpoint list in use, and how long discovery
//! has been silent.
//!
//! A watch is a long-lived HTTP request to discovery, which answers with the endpoint list and its changes. There is
//! one current watch. There may be one earlier request that was not answered in time (the late request) and may still
//! be answered. After discovery has moved to another address, there may be one watch of the previous address, which
//! stays in use until the new address has answered.

use crate::discovery::{self, Listing};
use crate::limits::Limits;
use crate::reducer::connection_id::ConnectionId;
use ladderpass_routing::Time;
use std::net::SocketAddr;

/// The state of the watch by which this router gets the endpoint list from discovery.
pub(in crate::reducer) struct DiscoveryWatch {
    address: SocketAddr,
    /// The generation of the endpoint list in use, numbered by discovery.
    generation: u64,
    /// When a list that was not older than the list in use was last received.
    received_at: Time,
    /// Whether the last list that discovery sent is older than the list in use.
    offers_older_list: bool,
    current: Option<ConnectionId>,
    /// When the current watch was requested.
    requested_at: Time,
    /// An earlier request for a watch that is still unanswered and stays open at the same time as the current request.
    /// Whichever of the two is answered first becomes the current watch.
    late: Option<ConnectionId>,
    /// The watch at the previous address of discovery, which stays in use until the new address has answered.
    previous: Option<ConnectionId>,
    /// Whether discovery has moved to an address that has not answered yet.
    is_moving: bool,
    /// A watch whose connect failed because the system had no descriptor, memory or local port. The watch connects
    /// again after a pause, because no other connection could be closed to free a descriptor.
    denied: Option<ConnectionId>,
    /// The time since which discovery has been silent on a watch that had answered. The field is cleared when the
    /// current watch receives a list.
    silent_since: Option<Time>,
}

/// The decision whether to apply an endpoint list, made by the list's generation before its entries are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::reducer) enum ListVerdict {
    /// The list is passed on to be applied. If several consecutive lists are older than the list in use, all but the
    /// first of them are passed on too. The code that applies lists rejects these older lists, unless discovery has
    /// evidently restarted its generations (see `is_first_older_list`).
    Accepted,
    /// The list contains only changes, and comes from the new address of discovery, whose generations count from a
    /// lower number. These changes do not apply to the list in use.
    ChangesOfAnotherList,
    /// The list is the first of consecutive lists that are older than the list in use.
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

    /// Returns the HTTP request that opens a watch. The request asks for the complete list if the last list that
    /// discovery sent is older than the list in use.
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

    /// Removes and returns the watch whose connect failed for lack of a descriptor, memory or a local port and that
    /// waits to connect again, or returns `None` if there is no such watch.
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

    /// When the current watch was requested.
    pub(in crate::reducer) fn requested_at(&self) -> Time {
        self.requested_at
    }

    /// Returns whether another watch remains in use when the watch on this connection ends. This is true if the watch
    /// that ends is the watch at discovery's previous address or the late request.
    pub(in crate::reducer) fn has_successor(&self, id: ConnectionId) -> bool {
        self.previous == Some(id) || self.late == Some(id)
    }

    /// Records that the watch that is requested at `now` on this connection is the current watch.
    pub(in crate::reducer) fn begin_request(&mut self, now: Time, id: ConnectionId) {
        (self.current, self.requested_at) = (Some(id), now);
    }

    /// Makes the current request, which was not answered in time, the late request, which stays open at the same time
    /// as the next request.
    pub(in crate::reducer) fn demote_current(&mut self) {
        self.late = self.current.take();
    }

    /// Makes the late request the current watch, because it was answered first.
    pub(in crate::reducer) fn promote_late(&mut self) {
        self.current = self.late.take();
    }

    /// Records that the current watch, which had answered, is silent since the given time.
    pub(in crate::reducer) fn record_silence(&mut self, since: Time) {
        self.silent_since = Some(since);
    }

    pub(in crate::reducer) fn is_current(&self, id: ConnectionId) -> bool {
        self.current == Some(id)
    }

    /// Records that discovery has moved to another address. If the current watch has answered, it becomes the watch at
    /// the previous address. Returns the connections that are no longer needed, for the caller to close.
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

    /// Records that a list was received on a watch. Returns whether this is the first list from discovery's new
    /// address.
    pub(in crate::reducer) fn record_answer(&mut self, id: ConnectionId) -> bool {
        if self.is_current(id) {
            self.silent_since = None;
        }
        self.is_current(id) && std::mem::take(&mut self.is_moving)
    }

    /// Decides by an endpoint list's generation whether to apply the list, before its entries are read.
    pub(in crate::reducer) fn judge_list(
        &mut self,
        now: Time,
        listing: &Listing,
        is_first_after_move: bool,
        limits: &Limits,
    ) -> ListVerdict {
        // Generations of discovery's new address may count from a lower number, and then all lists from this address
        // would be rejected as older. So a first list that is complete is accepted despite its lower generation. If the
        // first list has only changes, the complete list is requested.
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

    /// Returns whether a list is the first of consecutive lists that are older than the list in use. The first older
    /// list may be a single delayed list, so it is rejected, and the complete list is requested at once.
    ///
    /// If discovery has restarted its generations, all its lists would be rejected as older. No list is delayed for
    /// longer than `Limits::notified_within`. So once this time has passed since the last list that was not older, a
    /// second consecutive older list is accepted if it is complete, and its generation replaces that of the list in
    /// use.
    fn is_first_older_list(&mut self, now: Time, listing: &Listing, limits: &Limits) -> bool {
        let was_older = std::mem::replace(&mut self.offers_older_list, listing.generation < self.generation);
        if !self.offers_older_list {
            self.received_at = now;
        } else if was_older && listing.reset && now - self.received_at >= limits.notified_within {
            (self.generation, self.offers_older_list, self.received_at) = (0, false, now);
        }
        self.offers_older_list && !was_older
    }

    /// Returns the time since which discovery has been silent on a watch that had answered, or `None` if discovery was
    /// not silent, or has sent a list since.
    pub(in crate::reducer) fn silent_since(&self) -> Option<Time> {
        self.silent_since
    }

    /// Returns whether discovery is silent on the watch, and has been for at most `Limits::notified_within`. The
    /// protocol gives a router this time to learn of a change, so changes that the router missed during the silence do
    /// not count as known to the router yet.
    pub(in crate::reducer) fn is_silence_within_limit(&self, now: Time, limits: &Limits) -> bool {
        self.silent_since.is_some_and(|since| now - since <= limits.notified_within)
    }
}
