//! The entry points of the failure detector, which are called when a datagram was received, when time has passed, and
//! when this router shuts down.
//!
//! Time is divided into rounds of [`Settings::probe_interval`]. One live router is probed in each round. Acks,
//! suspicions and datagrams are handled as they arrive. A router that does not answer counts as dead only after its
//! suspicion timeout. Deaths that this router finds while it is isolated are not disseminated, and answers that are
//! missing because of a stall do not count.

use crate::local_health::LocalHealth;
use crate::message::{Kind, Message};
use crate::network::Network;
use crate::probe_table::ProbeTable;
use crate::router_state::{Incarnation, State, StateUpdate};
use crate::router_table::{Change, Peer, RouterTable};
use crate::senders::Senders;
use crate::settings::{Faulty, Settings};
use crate::update_queue::UpdateQueue;
use crate::view::View;
use ladderpass_routing::{Span, Time};
use nanorand::{Rng, WyRand};
use std::net::SocketAddr;

/// A gap between two calls of `Membership::tick` that is longer than this many rounds counts as a stall of this router.
const STALL_ROUNDS: f64 = 1.6;
/// Maximum number of received piggybacked payloads that are stored for `Membership::take_piggybacked`.
const MAX_RECEIVED_PIGGYBACKS: usize = 64;

/// The address and start time of this router.
#[derive(Clone, Copy, Debug)]
pub struct LocalRouter {
    /// The address to which other routers send datagrams.
    pub address: SocketAddr,
    /// The wall clock at this router's start, in Unix milliseconds.
    pub started_unix_ms: i64,
}

/// Counts of datagrams since this router's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Number of datagrams sent.
    pub sent: u64,
    /// Total size in bytes of the datagrams sent, without UDP and IP headers.
    pub bytes: u64,
    /// Number of datagrams received and decoded.
    pub received: u64,
    /// Number of datagrams that could not be decoded or came from an address that is not accepted.
    pub dropped: u64,
}

/// The failure detector of one router.
pub struct Membership {
    pub(crate) settings: Settings,
    pub(crate) local: SocketAddr,
    pub(crate) incarnation: Incarnation,
    pub(crate) routers: RouterTable,
    pub(crate) senders: Senders,
    pub(crate) rng: WyRand,
    /// Routers that have not been probed yet in the present cycle, in which each live router is probed once.
    /// The last router in the vector is probed next.
    pub(crate) probe_order: Vec<SocketAddr>,
    pub(crate) probes: ProbeTable,
    pub(crate) updates: UpdateQueue,
    pub(crate) health: LocalHealth,
    pub(crate) next_round_at: Time,
    pub(crate) round: u64,
    /// Number of datagrams that this router has sent in this round to spread one update at once, without
    /// waiting for the next probe.
    pub(crate) gossip_sent: usize,
    /// Number of gossip datagrams that this router has sent in this round and whose remaining space was filled
    /// with the view (the states of all known routers). Acks filled in this way are not counted.
    pub(crate) view_syncs_sent: usize,
    pub(crate) last_tick_at: Time,
    pub(crate) is_leaving: bool,
    pub(crate) outgoing: Vec<(SocketAddr, Vec<u8>)>,
    pub(crate) changes: Vec<(SocketAddr, Change)>,
    pub(crate) counts: DatagramCounts,
    /// Whether an update about this router's address was received whose start time is later than this router's
    /// own. Only another process at the same address can have such a start time.
    pub(crate) address_conflict: bool,
    pub(crate) piggyback: Vec<u8>,
    received_piggybacks: Vec<Vec<u8>>,
}

impl Membership {
    /// Starts the failure detector. `listed` are the addresses of other routers, `networks` the networks from which
    /// routers that are not listed may join.
    pub fn start(
        now: Time,
        seed: u64,
        local: LocalRouter,
        listed: &[SocketAddr],
        networks: &[Network],
        settings: Settings,
    ) -> Membership {
        let mut rng = WyRand::new_seed(seed);
        // The first round starts at a random time, so that routers started together do not probe at the same time.
        let first_round_share = rng.generate_range(0..1000u32) as f64 / 1000.0;
        let others = listed.iter().copied().filter(|&address| address != local.address);
        Membership {
            local: local.address,
            incarnation: Incarnation::of_start(local.started_unix_ms),
            routers: RouterTable::new(local.address, settings),
            senders: Senders::new(now, others, networks),
            probe_order: Vec::new(),
            probes: ProbeTable::new(rng.generate()),
            rng,
            updates: UpdateQueue::default(),
            health: LocalHealth::new(now, settings.isolation_timeout),
            next_round_at: now + settings.probe_interval * first_round_share,
            round: 0,
            gossip_sent: 0,
            view_syncs_sent: 0,
            last_tick_at: now,
            is_leaving: false,
            outgoing: Vec::new(),
            changes: Vec::new(),
            counts: DatagramCounts::default(),
            address_conflict: false,
            piggyback: Vec::new(),
            received_piggybacks: Vec::new(),
            settings,
        }
    }

    /// The current view of which routers are alive.
    pub fn view(&self) -> View {
        View::compute(self.local, &self.routers, &self.senders, &self.settings)
    }

    /// The other routers that are counted as alive.
    pub fn peers(&self, now: Time) -> impl Iterator<Item = Peer> {
        self.routers.alive().filter_map(move |(&router, _)| self.routers.peer(now, router))
    }

    /// The routers to which gossip of other parts of the router (not about membership) is sent: live routers, and
    /// legacy routers that sent gossip recently.
    pub fn gossip_targets(&self, now: Time) -> impl Iterator<Item = SocketAddr> {
        let legacy = self.senders.recent_legacy_routers(now).filter(|&router| !self.routers.contains(router));
        self.routers.alive().map(|(&router, _)| router).chain(legacy)
    }

    /// Records that gossip of other parts of the router (not about membership) came from this address. Returns whether
    /// the gossip may be accepted: it must come from a listed address or a live router. A listed router that is not in
    /// the router table runs a legacy version.
    pub fn record_gossip(&mut self, now: Time, from: SocketAddr) -> bool {
        self.senders.record_legacy_gossip(now, from) || self.routers.is_alive(from)
    }

    /// Returns the changes of the view since the last call, and clears them.
    pub fn take_changes(&mut self) -> Vec<(SocketAddr, Change)> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the datagrams that are to be sent, and clears them.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Counts of datagrams since this router's start.
    pub fn counts(&self) -> DatagramCounts {
        self.counts
    }

    /// Sets the opaque payload that each ping and ack carries from now on, if the payload fits into the datagram.
    pub fn set_piggyback(&mut self, payload: Vec<u8>) {
        self.piggyback = payload;
    }

    /// Returns the piggybacked payloads that were received from live routers, and clears them.
    pub fn take_piggybacked(&mut self) -> Vec<Vec<u8>> {
        std::mem::take(&mut self.received_piggybacks)
    }

    /// Lifeguard's local health score: 0 when healthy, up to 8.
    pub fn local_health(&self) -> u32 {
        self.health.score()
    }

    /// Returns whether an update since the last call showed that another process uses or has used this router's
    /// address.
    pub fn take_address_conflict(&mut self) -> bool {
        std::mem::take(&mut self.address_conflict)
    }

    /// When [`Membership::tick`] is next due.
    pub fn wake_at(&self) -> Time {
        let deadlines = self.probes.wake_at().into_iter().chain(self.routers.next_suspicion_deadline());
        deadlines.chain([self.next_round_at]).min().unwrap_or(self.next_round_at)
    }

    /// Handles a received datagram.
    pub fn on_datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        let Some(message) = Message::decode(bytes).filter(|message| self.is_accepted(from, message)) else {
            self.counts.dropped += 1;
            return;
        };
        self.counts.received += 1;
        let view_differs = message.digest != self.routers.digest(self.incarnation);
        if !view_differs {
            self.record_same_view();
        }
        self.apply_sender_state(now, from, &message);
        self.store_piggyback(from, &message);
        self.apply_updates_about_other_routers(now, from, &message);
        if self.is_leaving {
            return;
        }
        let first_update = message.updates.first().copied();
        match message.kind {
            Kind::Ping => self.on_ping(from, message.sequence, view_differs),
            Kind::Ack => self.on_ack(now, from, &message, view_differs),
            Kind::PingRequest => self.on_ping_request(now, from, message.sequence, first_update),
            Kind::IndirectAck => self.on_indirect_ack(now, message.sequence, first_update),
            Kind::Nack => self.on_nack(now, message.sequence),
            Kind::Gossip => {}
        }
    }

    /// Stores the piggybacked payload of a live router for `take_piggybacked`. The payload is dropped if
    /// `MAX_RECEIVED_PIGGYBACKS` payloads are stored already.
    fn store_piggyback(&mut self, from: SocketAddr, message: &Message) {
        let has_space = self.received_piggybacks.len() < MAX_RECEIVED_PIGGYBACKS;
        if !message.piggyback.is_empty() && self.routers.is_alive(from) && has_space {
            self.received_piggybacks.push(message.piggyback.clone());
        }
    }

    /// Whether a datagram is accepted. It must come from a known router, a listed address or a configured network, and
    /// the sender must report its own state under the address that it sends from.
    fn is_accepted(&self, from: SocketAddr, message: &Message) -> bool {
        message.sender_state.router == from && from != self.local && self.may_participate(from)
    }

    /// Whether this router exchanges membership datagrams with the given router.
    pub(crate) fn may_participate(&self, router: SocketAddr) -> bool {
        self.routers.contains(router) || self.senders.is_configured(router)
    }

    /// Applies the sender's own state. A sender that was confirmed dead is probed first, unless the message is
    /// the ack of a probe of that sender: a datagram that was sent before the confirmed death may arrive late,
    /// and may carry a refutation that no router has received before.
    fn apply_sender_state(&mut self, now: Time, from: SocketAddr, message: &Message) {
        let acks_probe = message.kind == Kind::Ack && self.probes.is_target(message.sequence, from);
        if !acks_probe && self.is_confirmed_dead(from) {
            self.probe_for_return(now, from);
        } else {
            self.apply_update(now, &message.sender_state);
        }
    }

    fn is_confirmed_dead(&self, router: SocketAddr) -> bool {
        self.routers.get(router).is_some_and(|known| known.state == State::Dead)
            && self.settings.faulty != Faulty::IgnoresIncarnations
    }

    fn apply_updates_about_other_routers(&mut self, now: Time, from: SocketAddr, message: &Message) {
        // The first update in a `PingRequest`, `IndirectAck` or `Nack` belongs to the indirect probe and is handled
        // with that probe.
        let has_probe_update = matches!(message.kind, Kind::PingRequest | Kind::IndirectAck | Kind::Nack);
        for update in message.updates.iter().skip(usize::from(has_probe_update)) {
            // The sender's own state is in `sender_state`, which has been handled already.
            if update.router != from {
                self.apply_update(now, update);
            }
        }
    }

    /// Handles the passage of time: stalls, due probes, expired suspicions and the start of a round.
    pub fn tick(&mut self, now: Time) {
        let since_last_tick = now - self.last_tick_at;
        self.last_tick_at = now;
        if self.is_leaving {
            return;
        }
        if since_last_tick > self.settings.probe_interval * STALL_ROUNDS {
            self.recover_from_stall(now, since_last_tick);
        }
        self.advance_relayed_probes(now);
        self.advance_probes(now);
        for router in self.routers.expired_suspicions(now) {
            self.confirm_dead(now, router);
        }
        if now >= self.next_round_at {
            self.start_round(now);
        }
    }

    /// Discards the probes in flight and extends all suspicions after a stall. Datagrams that did not arrive while this
    /// router did not run prove nothing about other routers.
    fn recover_from_stall(&mut self, now: Time, stall: Span) {
        self.probes.clear();
        self.routers.postpone_suspicions(stall);
        self.health.record_stall(stall);
        self.next_round_at = now;
    }

    fn start_round(&mut self, now: Time) {
        self.round += 1;
        self.gossip_sent = 0;
        self.view_syncs_sent = 0;
        self.next_round_at = now + self.settings.probe_interval;
        self.routers.remove_old_tombstones(now);
        self.probe_next_router(now);
        self.probe_absent_routers(now);
    }

    /// Shuts down. This router notifies some routers, which notify the others, and from then on neither probes nor
    /// answers.
    pub fn leave(&mut self, now: Time) {
        self.is_leaving = true;
        self.probes.clear();
        self.announce_leave(now);
    }

    /// This router's own state as it is disseminated.
    pub(crate) fn local_state(&self) -> StateUpdate {
        let state = if self.is_leaving { State::Left } else { State::Alive };
        StateUpdate { router: self.local, state, incarnation: self.incarnation, suspected_by: 0 }
    }
}
