//! Dissemination of updates: piggybacked on every datagram, as gossip after a change, and by view synchronisation.
//!
//! The number of times that an update is sent grows with the logarithm of the number of routers. The updates that were
//! sent least often go first. Each datagram carries a digest of its sender's view. A router that receives a ping or an
//! ack with a digest other than its own sends the states of all routers that it knows (anti-entropy), within limits
//! per round.

use crate::membership::Membership;
use crate::message::{Kind, Message, update_bytes};
use crate::router_state::{State, StateUpdate};
use ladderpass_routing::Time;
use nanorand::Rng;
use std::net::SocketAddr;

/// Maximum number of datagrams that this router sends in a round (`Settings::probe_interval`) to spread one
/// update at once. When this router leaves, it notifies at most this many routers.
const MAX_GOSSIP_PER_ROUND: usize = 6;
/// Maximum number of gossip datagrams filled with the view (the states of all known routers) that this router sends in
/// a round.
const MAX_VIEW_SYNCS_PER_ROUND: usize = 16;
/// Maximum number of gossip datagrams filled with the view that are sent after one ping or ack was received.
const MAX_VIEW_SYNCS_AT_ONCE: usize = 5;
/// Number of routers to which a change of the view is sent immediately, besides the router that the change is about.
const CHANGE_FANOUT: usize = 2;
/// An update is sent `RETRANSMIT_MULTIPLIER * log2(live routers + 1)` times, rounded up.
const RETRANSMIT_MULTIPLIER: f64 = 3.0;
/// A received datagram whose digest shows that the sender has the same view as this router counts as this many
/// transmissions of each update that the digest covers.
const TRANSMISSIONS_PER_SAME_VIEW: u32 = 3;
/// Encoded size of the shortest update, in bytes.
const MIN_UPDATE_BYTES: usize = 15;

/// A message before the sender's state, the digest and the pending updates are added.
pub(crate) struct Draft {
    pub kind: Kind,
    pub sequence: u32,
    /// Updates that must be in the message.
    pub updates: Vec<StateUpdate>,
    /// Whether the remaining space of the datagram is filled with the states of known routers.
    pub fill_with_view: bool,
}

impl Draft {
    pub fn new(kind: Kind, sequence: u32) -> Draft {
        Draft { kind, sequence, updates: Vec::new(), fill_with_view: false }
    }

    fn gossip() -> Draft {
        Draft::new(Kind::Gossip, 0)
    }

    pub fn with_update(self, update: StateUpdate) -> Draft {
        Draft { updates: vec![update], ..self }
    }
}

impl Membership {
    /// Completes a draft of a message and queues the encoded message as an outgoing datagram.
    pub(crate) fn send(&mut self, to: SocketAddr, draft: Draft) {
        let bytes = self.compose(to, draft).encode();
        self.counts.sent += 1;
        self.counts.bytes += bytes.len() as u64;
        self.outgoing.push((to, bytes));
    }

    /// Makes a message of a draft: adds this router's state, the digest, the piggybacked payload and as many pending
    /// updates as fit. If `fill_with_view` is set, the remaining space is filled with the view.
    fn compose(&mut self, to: SocketAddr, draft: Draft) -> Message {
        let digest = self.routers.digest(self.incarnation);
        let mut updates = draft.updates;
        let is_probe = matches!(draft.kind, Kind::Ping | Kind::Ack);
        if is_probe || draft.fill_with_view {
            // Lifeguard's buddy system: a receiver that this router counts as suspected, dead or left is sent
            // the state that this router counts it in, so that the receiver can refute.
            let state_of_receiver = self.routers.state_update(to);
            updates.extend(state_of_receiver.filter(|known| known.state != State::Alive));
        }
        let piggyback = if is_probe { self.piggyback.clone() } else { Vec::new() };
        let sender_state = self.local_state();
        let mut message =
            Message { kind: draft.kind, sequence: draft.sequence, digest, sender_state, updates, piggyback };
        if message.encoded_bytes() > self.settings.max_datagram_bytes {
            message.piggyback.clear();
        }
        let space = self.settings.max_datagram_bytes.saturating_sub(message.encoded_bytes());
        let space = self.append_pending_updates(&mut message, space);
        if draft.fill_with_view && self.routers.len() > 0 {
            self.append_view(&mut message, space);
        }
        message
    }

    /// Appends as many updates as fit into `space` bytes, those that were sent least often first. Returns the remaining
    /// space.
    fn append_pending_updates(&mut self, message: &mut Message, mut space: usize) -> usize {
        let limit = self.transmission_limit();
        let max = self.settings.max_datagram_bytes / MIN_UPDATE_BYTES + 1;
        for pending in self.updates.least_transmitted(max) {
            if let Some(update) = self.routers.state_update(pending.router)
                && !has_update_about(message, pending.router)
            {
                if update_bytes(&update) > space {
                    break;
                }
                space -= update_bytes(&update);
                message.updates.push(update);
            }
            self.updates.record_transmission(pending, limit);
        }
        space
    }

    /// Appends as many states of known routers as fit, starting at a random router. Deaths that this router found while
    /// it was isolated are not disseminated.
    fn append_view(&mut self, message: &mut Message, mut space: usize) {
        let first = self.rng.generate_range(0..self.routers.len());
        let disseminated = self.routers.iter().filter(|(_, known)| !known.found_dead_while_isolated);
        let disseminated: Vec<SocketAddr> = disseminated.map(|(&router, _)| router).collect();
        let first = first.min(disseminated.len());
        for &router in disseminated[first..].iter().chain(&disseminated[..first]) {
            let Some(update) = self.routers.state_update(router) else { continue };
            if update_bytes(&update) > space {
                return;
            }
            if !has_update_about(message, router) {
                space -= update_bytes(&update);
                message.updates.push(update);
            }
        }
    }

    /// The number of transmissions after which an update is no longer sent.
    fn transmission_limit(&mut self) -> u32 {
        let doublings = ((self.routers.cluster_size() + 1) as f64).log2();
        (RETRANSMIT_MULTIPLIER * doublings).ceil() as u32
    }

    /// Records that another router has the same view as this router. The other router therefore knows all
    /// updates that the digest covers, which are all updates except suspicions.
    pub(crate) fn record_same_view(&mut self) {
        let limit = self.transmission_limit();
        let routers = &self.routers;
        self.updates.add_transmissions(TRANSMISSIONS_PER_SAME_VIEW, limit, |router| {
            routers.state_update(router).is_some_and(|known| known.state != State::Suspect)
        });
    }

    /// Sends the view in several datagrams, at most `MAX_VIEW_SYNCS_AT_ONCE` now and `MAX_VIEW_SYNCS_PER_ROUND`
    /// in a round. The number of datagrams is estimated from the size of the shortest update.
    pub(crate) fn send_view(&mut self, to: SocketAddr) {
        let view_bytes = self.routers.len() * MIN_UPDATE_BYTES;
        let datagrams = view_bytes
            .div_ceil(self.settings.max_datagram_bytes)
            .min(MAX_VIEW_SYNCS_AT_ONCE)
            .min(MAX_VIEW_SYNCS_PER_ROUND.saturating_sub(self.view_syncs_sent));
        self.view_syncs_sent += datagrams;
        for _ in 0..datagrams {
            self.send(to, Draft { fill_with_view: true, ..Draft::gossip() });
        }
    }

    /// Sends one update immediately, unless `MAX_GOSSIP_PER_ROUND` is reached in this round.
    pub(crate) fn gossip(&mut self, to: SocketAddr, update: StateUpdate) {
        if self.gossip_sent < MAX_GOSSIP_PER_ROUND {
            self.gossip_sent += 1;
            self.send(to, Draft::gossip().with_update(update));
        }
    }

    /// Sends an update about a change of the view to `CHANGE_FANOUT` routers immediately, without waiting for the next
    /// probe.
    pub(crate) fn gossip_change(&mut self, now: Time, update: StateUpdate) {
        for peer in self.select_responsive_peers(now, CHANGE_FANOUT, update.router) {
            self.gossip(peer, update);
        }
    }

    /// Sends an update about a change of the view first to the router that the update is about, and then to
    /// `CHANGE_FANOUT` others as `gossip_change` does.
    pub(crate) fn gossip_change_to_subject(&mut self, now: Time, update: StateUpdate) {
        let peers = self.select_responsive_peers(now, CHANGE_FANOUT, update.router);
        for to in [update.router].into_iter().chain(peers) {
            self.gossip(to, update);
        }
    }

    /// Notifies some routers that this router is leaving.
    pub(crate) fn announce_leave(&mut self, now: Time) {
        for peer in self.select_responsive_peers(now, MAX_GOSSIP_PER_ROUND, self.local) {
            self.send(peer, Draft::gossip());
        }
    }
}

fn has_update_about(message: &Message, router: SocketAddr) -> bool {
    message.updates.iter().any(|update| update.router == router)
}
