//! Handles the watch, which is the long-lived HTTP request by which discovery sends the endpoint list: the watch's
//! answers, its silence, its end, and its move to another address of discovery. The routing core decides when discovery
//! is polled, which means that a new watch is opened.

use crate::discovery::{Listing, WatchReader};
use crate::reducer::Reducer;
use crate::reducer::connection_id::ConnectionId;
use crate::reducer::event::Effect;
use crate::reducer::log_target;
use crate::reducer::state::connections::{Connection, Remote};
use crate::reducer::state::discovery_watch::ListVerdict;
use ladderpass_routing::{EndpointUpdate, Time};
use std::net::SocketAddr;

impl Reducer {
    /// Returns the generation of the endpoint list in use, as discovery numbers its lists.
    pub fn generation(&self) -> u64 {
        self.discovery.generation()
    }

    /// Moves the watch to another address of discovery. The new address is polled at once, even if the routing core is
    /// in a backoff between polls.
    pub(in crate::reducer) fn move_watch(&mut self, now: Time, address: SocketAddr) {
        if address == self.discovery.address() {
            return;
        }
        let connections = &self.connections;
        let has_answered = |id| connections.discovery(id).is_some_and(WatchReader::has_read_listing);
        let unused = self.discovery.move_to(address, has_answered);
        unused.into_iter().for_each(|id| self.close_connection(id));
        // The routing core starts the poll of the new address itself. If the reducer started the poll, the routing
        // core's backoff could end in the middle of the poll and start another one.
        let notified_by = Some(now + self.limits.notified_after_move);
        self.router.on_endpoint_update(now, EndpointUpdate::Failed { poll_immediately: true, notified_by });
    }

    fn has_answered(&self, id: ConnectionId) -> bool {
        self.connections.discovery(id).is_some_and(WatchReader::has_read_listing)
    }

    /// Returns whether the watch has received the beginning of a list but not its end.
    fn is_within_list(&self, id: ConnectionId) -> bool {
        self.connections.discovery(id).is_some_and(WatchReader::is_within_object)
    }

    pub(in crate::reducer) fn start_watch(&mut self, now: Time) {
        if let Some(current) = self.discovery.current() {
            self.close_connection(current);
        }
        let id = self.next_id();
        self.discovery.begin_request(now, id);
        let deadline = now + self.limits.watch_answer_timeout;
        self.add_connection(id, Some(deadline), Remote::Discovery(WatchReader::default()));
        self.effects.push(Effect::Connect(id, self.discovery.address()));
    }

    /// Reads and applies the lists that discovery has sent on a watch.
    pub(super) fn read_watch(&mut self, now: Time, id: ConnectionId) {
        // Bytes in the middle of a list do not count as progress, so that a list that never ends does not extend the
        // deadline, however much of it arrives.
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
        // A request that discovery did not answer in time stays open in parallel with the next request (see
        // `Limits::late_watch_timeout`). The deadline of such a late request is not extended.
        if self.discovery.late() == Some(id) {
            return;
        }
        if !self.has_answered(id) {
            // Of the answer to the watch's request, only the HTTP head or the beginning of the first list has arrived.
            // The first list may take `Limits::watch_silence_timeout` in total, and `Limits::watch_answer_timeout` from
            // one read to the next.
            let latest = self.discovery.requested_at() + self.limits.watch_silence_timeout;
            let deadline = latest.min(now + self.limits.watch_answer_timeout);
            return self.connections.set_deadline(id, Some(deadline));
        }
        if has_progressed || !self.is_within_list(id) {
            let deadline = now + self.limits.watch_silence_timeout;
            self.connections.set_deadline(id, Some(deadline));
        }
    }

    /// Applies an endpoint list that was received on a watch, or rejects the list and ends the watch. Returns false if
    /// the watch has ended.
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
        let is_previous = self.discovery.previous() == Some(id);
        if let Err(error) = self.apply_listing(now, listing, false, is_previous) {
            self.on_watch_failed(now, id, &error.to_string());
            return false;
        }
        if let Some(previous) = self.discovery.previous().filter(|_| is_first_after_move) {
            self.close_connection(previous);
        }
        true
    }

    /// If two requests for a watch are open, makes the request that is answered first the current watch, and closes the
    /// other. An overloaded discovery takes long for each request and puts the next request at the end of its queue, so
    /// the earlier request, which is late, may be answered first. Returns false if the answered request is the late one
    /// and the next request was answered before it.
    fn adopt_first_answer(&mut self, id: ConnectionId) -> bool {
        let Some(late) = self.discovery.late() else { return true };
        if late != id {
            if self.discovery.is_current(id) {
                self.close_connection(late);
            }
            return true;
        }
        let newer = self.discovery.current();
        if newer.is_some_and(|newer| self.has_answered(newer)) {
            return false;
        }
        newer.into_iter().for_each(|newer| self.close_connection(newer));
        self.discovery.promote_late();
        true
    }

    /// Handles the deadline of a watch. If the watch's connect failed for lack of a descriptor, memory or a local port,
    /// the watch connects again. Otherwise discovery has been silent on the watch for too long.
    pub(super) fn on_discovery_deadline(&mut self, now: Time, id: ConnectionId) {
        if self.discovery.take_denied() != Some(id) {
            return self.on_watch_silent(now, id);
        }
        if let Some(connection) = self.connections.get_mut(id) {
            connection.clear_connect_denials();
        }
        let deadline = now + self.limits.watch_answer_timeout;
        self.connections.set_deadline(id, Some(deadline));
        self.effects.push(Effect::Connect(id, self.discovery.address()));
    }

    /// Handles a watch on which discovery was silent for too long, or a request for a watch that has no answer. After a
    /// watch that had answered falls silent, discovery is polled again without a pause, until the silence has lasted
    /// for `Limits::notified_within`. By the protocol, the router may learn of a change up to this time after the
    /// change.
    fn on_watch_silent(&mut self, now: Time, id: ConnectionId) {
        let is_unanswered = self.discovery.is_current(id) && !self.has_answered(id);
        if self.discovery.is_current(id) && !is_unanswered {
            self.discovery.record_silence(now - self.limits.watch_silence_timeout);
        }
        let poll_immediately = self.discovery.is_silence_within_limit(now, &self.limits);
        let late_until = self.discovery.requested_at() + self.limits.late_watch_timeout;
        if is_unanswered && now < late_until {
            tracing::warn!(target: log_target::DISCOVERY_WATCH, "discovery watch: no answer yet");
            self.discovery.late().into_iter().for_each(|late| self.close_connection(late));
            self.discovery.demote_current();
            self.connections.set_deadline(id, Some(late_until));
            return self.report_watch_failure(now, poll_immediately);
        }
        self.end_watch(now, id, "silence", poll_immediately);
    }

    pub(super) fn on_watch_failed(&mut self, now: Time, id: ConnectionId, reason: &str) {
        self.end_watch(now, id, reason, false);
    }

    fn end_watch(&mut self, now: Time, id: ConnectionId, reason: &str, poll_immediately: bool) {
        tracing::warn!(target: log_target::DISCOVERY_WATCH, reason, "discovery watch: ended");
        let has_successor = self.discovery.has_successor(id);
        self.close_connection(id);
        if !has_successor {
            self.report_watch_failure(now, poll_immediately);
        }
    }

    /// Reports to the routing core that a watch has ended, or that a request for one was not answered.
    fn report_watch_failure(&mut self, now: Time, poll_immediately: bool) {
        let notified_by = self.discovery.silent_since().map(|since| since + self.limits.notified_within);
        self.router.on_endpoint_update(now, EndpointUpdate::Failed { poll_immediately, notified_by });
    }
}
