//! The watch of discovery: its connections, silence and backoff, and its move to another address.
//!
//! There is one current watch; at most one late request before it that may still be answered; and, after a move, at most
//! one watch of the previous address, which serves until the new address has answered. When to poll is the routing
//! core's decision.

use super::Reducer;
use super::connection_id::ConnectionId;
use super::connections::{Connection, Remote};
use super::event::Effect;
use crate::discovery::{self, Listing, WatchReader};
use crate::limits::Limits;
use ladderpass_routing::{EndpointUpdate, Time};
use std::net::SocketAddr;

/// State of the watch.
pub(super) struct DiscoveryWatch {
    address: SocketAddr,
    /// The endpoint list in use, as discovery counts them.
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

/// A list that the watch has received, before its entries are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListVerdict {
    Accepted,
    /// Changes from the new address, whose generations count from a lower number: they do not apply to the list here.
    ChangesOfAnotherList,
    /// The first older list in a row.
    Older,
}

impl DiscoveryWatch {
    pub(super) fn new(now: Time, address: SocketAddr) -> DiscoveryWatch {
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

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    pub(super) fn set_generation(&mut self, generation: u64) {
        self.generation = generation;
    }

    /// The request that opens a watch. Where discovery's list is older than the one here all of it is wanted.
    pub(super) fn request(&self) -> String {
        let from = if self.offers_older_list { 0 } else { self.generation };
        discovery::watch_request(&self.address.to_string(), from)
    }

    pub(super) fn remove_connection(&mut self, id: ConnectionId) {
        for watch in [&mut self.current, &mut self.late, &mut self.previous] {
            *watch = watch.filter(|&watch| watch != id);
        }
    }

    pub(super) fn set_denied(&mut self, id: ConnectionId) {
        self.denied = Some(id);
    }

    fn is_current(&self, id: ConnectionId) -> bool {
        self.current == Some(id)
    }

    /// Discovery has moved. The current watch becomes the previous one if it has answered; gives the connections that are
    /// of no use any more.
    fn move_to(
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
    fn record_answer(&mut self, id: ConnectionId) -> bool {
        if self.is_current(id) {
            self.silent_since = None;
        }
        self.is_current(id) && std::mem::take(&mut self.is_moving)
    }

    /// Judges a list by its generation, before its entries are read.
    fn judge_list(
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
        match self.is_unconfirmed_older(now, listing, limits) {
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
    fn is_unconfirmed_older(&mut self, now: Time, listing: &Listing, limits: &Limits) -> bool {
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
    fn is_silence_within_limit(&self, now: Time, limits: &Limits) -> bool {
        self.silent_since.is_some_and(|since| now - since <= limits.notified_within)
    }
}

impl Reducer {
    /// The generation of the endpoint list in use, as discovery counts them.
    pub fn generation(&self) -> u64 {
        self.discovery.generation()
    }

    /// Follows discovery to another address, which is polled at once, whatever backoff the routing core has set.
    pub(super) fn move_watch(&mut self, now: Time, address: SocketAddr) {
        if address == self.discovery.address {
            return;
        }
        let connections = &self.connections;
        let has_answered = |id| connections.discovery(id).is_some_and(WatchReader::has_read_listing);
        let unused = self.discovery.move_to(address, has_answered);
        unused.into_iter().for_each(|id| self.close_connection(id));
        // The core starts the poll, so that its own backoff does not end, and start another, in the middle of this one.
        self.router.on_endpoint_update(now, EndpointUpdate::Failed { poll_immediately: true });
    }

    fn has_answered(&self, id: ConnectionId) -> bool {
        self.connections.discovery(id).is_some_and(WatchReader::has_read_listing)
    }

    /// Is the watch in the middle of a list?
    fn is_within_list(&self, id: ConnectionId) -> bool {
        self.connections.discovery(id).is_some_and(WatchReader::is_within_object)
    }

    pub(super) fn start_watch(&mut self, now: Time) {
        if let Some(current) = self.discovery.current {
            self.close_connection(current);
        }
        let id = self.next_id();
        self.discovery.current = Some(id);
        self.discovery.requested_at = now;
        let deadline = now + self.limits.watch_answer_timeout;
        self.add_connection(id, Some(deadline), Remote::Discovery(WatchReader::default()));
        self.effects.push(Effect::Connect(id, self.discovery.address));
    }

    /// Reads what discovery has sent.
    pub(super) fn read_watch(&mut self, now: Time, id: ConnectionId) {
        // A list that begins and never ends is no sign of life, however much of it arrives.
        let mut has_progressed = !self.is_within_list(id);
        loop {
            let Some(Connection { input, remote: Remote::Discovery(reader), .. }) =
                self.connections.get_mut(id)
            else {
                return;
            };
            match reader.read_listing(input, self.limits.discovery_line_bytes) {
                Ok(None) => return self.extend_watch_deadline(now, id, has_progressed),
                Ok(Some(listing)) => {
                    has_progressed = true;
                    if !self.on_listing(now, id, &listing) {
                        return;
                    }
                }
                Err(error) => return self.on_watch_failed(now, id, &error.to_string()),
            }
        }
    }

    fn extend_watch_deadline(&mut self, now: Time, id: ConnectionId, has_progressed: bool) {
        // A late request keeps the time that it has left.
        if self.discovery.late == Some(id) {
            return;
        }
        if !self.has_answered(id) {
            // Answered with a head, or the beginning of a list: it may take as long as a watch may be silent, and the rest
            // has the time of a first answer.
            let last = self.discovery.requested_at + self.limits.watch_silence_timeout;
            let deadline = last.min(now + self.limits.watch_answer_timeout);
            return self.connections.set_deadline(id, Some(deadline));
        }
        if has_progressed || !self.is_within_list(id) {
            let deadline = now + self.limits.watch_silence_timeout;
            self.connections.set_deadline(id, Some(deadline));
        }
    }

    /// Takes over a list; false where the watch has ended.
    fn on_listing(&mut self, now: Time, id: ConnectionId, listing: &Listing) -> bool {
        if !self.adopt_first_answer(id) {
            self.close_connection(id);
            return false;
        }
        let is_first_after_move = self.discovery.record_answer(id);
        let rejection = match self.discovery.judge_list(now, listing, is_first_after_move, &self.limits) {
            ListVerdict::Accepted => None,
            ListVerdict::ChangesOfAnotherList => Some("changes of another list"),
            ListVerdict::Older => Some("an older list"),
        };
        if let Some(reason) = rejection {
            self.end_watch(now, id, reason, true);
            return false;
        }
        let is_previous = self.discovery.previous == Some(id);
        if let Err(error) = self.apply_listing(now, listing, false, is_previous) {
            self.on_watch_failed(now, id, &error.to_string());
            return false;
        }
        if let Some(previous) = self.discovery.previous.filter(|_| is_first_after_move) {
            self.close_connection(previous);
        }
        true
    }

    /// An overloaded discovery takes long for each request, and puts the next at the end of its queue: of two requests the one
    /// that is answered first becomes the watch. False for one whose successor was answered before.
    fn adopt_first_answer(&mut self, id: ConnectionId) -> bool {
        let Some(late) = self.discovery.late else { return true };
        if late != id {
            if self.discovery.is_current(id) {
                self.close_connection(late);
            }
            return true;
        }
        let newer = self.discovery.current.take();
        if newer.is_some_and(|newer| self.has_answered(newer)) {
            self.discovery.current = newer;
            return false;
        }
        newer.into_iter().for_each(|newer| self.close_connection(newer));
        (self.discovery.current, self.discovery.late) = (Some(id), None);
        true
    }

    /// The deadline of a watch has passed: it was denied a descriptor, or is silent.
    pub(super) fn on_discovery_deadline(&mut self, now: Time, id: ConnectionId) {
        if self.discovery.denied.take() != Some(id) {
            return self.on_watch_silent(now, id);
        }
        if let Some(connection) = self.connections.get_mut(id) {
            connection.connect_denials = 0;
        }
        let deadline = now + self.limits.watch_answer_timeout;
        self.connections.set_deadline(id, Some(deadline));
        self.effects.push(Effect::Connect(id, self.discovery.address));
    }

    /// A watch that had answered has fallen silent, or a request after one has no answer: discovery is polled again at
    /// once, while what is missed does not count as notified yet.
    fn on_watch_silent(&mut self, now: Time, id: ConnectionId) {
        let is_unanswered = self.discovery.is_current(id) && !self.has_answered(id);
        if self.discovery.is_current(id) && !is_unanswered {
            self.discovery.silent_since = Some(now - self.limits.watch_silence_timeout);
        }
        let silent = self.discovery.is_silence_within_limit(now, &self.limits);
        let late_until = self.discovery.requested_at + self.limits.late_watch_timeout;
        if is_unanswered && now < late_until {
            tracing::warn!("discovery watch: no answer yet");
            self.discovery.late.into_iter().for_each(|late| self.close_connection(late));
            self.discovery.late = self.discovery.current.take();
            self.connections.set_deadline(id, Some(late_until));
            return self.router.on_endpoint_update(now, EndpointUpdate::Failed { poll_immediately: silent });
        }
        self.end_watch(now, id, "silence", silent);
    }

    pub(super) fn on_watch_failed(&mut self, now: Time, id: ConnectionId, reason: &str) {
        self.end_watch(now, id, reason, false);
    }

    fn end_watch(&mut self, now: Time, id: ConnectionId, reason: &str, silent: bool) {
        tracing::warn!(reason, "discovery watch: ended");
        let has_successor = self.discovery.previous == Some(id) || self.discovery.late == Some(id);
        self.close_connection(id);
        if !has_successor {
            self.router.on_endpoint_update(now, EndpointUpdate::Failed { poll_immediately: silent });
        }
    }
}
