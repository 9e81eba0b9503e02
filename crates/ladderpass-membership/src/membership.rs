//! The entry points of the failure detector: a datagram was received, time has passed, this router shuts down.
//!
//! Time runs in rounds of [`Settings::probe_interval`]. In each, one live router is probed; acks, suspicions and
//! datagrams are handled as they come. A silent router is dead only after its suspicion timeout, and the findings of a
//! router that stalled or is isolated don't count.

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

/// A gap between two ticks of more than so many rounds is a stall of this router.
const STALL_ROUNDS: f64 = 1.6;
/// Bounds the payloads that are stored until they are taken.
const MAX_RECEIVED_PIGGYBACKS: usize = 64;

/// This router.
#[derive(Clone, Copy, Debug)]
pub struct LocalRouter {
    /// Where the others send to.
    pub address: SocketAddr,
    /// The wall clock at its start, in Unix milliseconds.
    pub started_unix_ms: i64,
}

/// Datagrams since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DatagramCounts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent, without headers of UDP and IP.
    pub bytes: u64,
    /// Datagrams received and decoded.
    pub received: u64,
    /// Datagrams that could not be decoded, or came from an address that is not accepted.
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
    /// Routers still to be probed before any is probed again, the next one last.
    pub(crate) probe_order: Vec<SocketAddr>,
    pub(crate) probes: ProbeTable,
    pub(crate) updates: UpdateQueue,
    pub(crate) health: LocalHealth,
    pub(crate) next_round_at: Time,
    pub(crate) round: u64,
    /// Datagrams sent in this round that carry nothing but updates.
    pub(crate) gossip_sent: usize,
    /// Datagrams sent in this round that carry the view.
    pub(crate) view_syncs_sent: usize,
    pub(crate) last_tick_at: Time,
    pub(crate) is_leaving: bool,
    pub(crate) outgoing: Vec<(SocketAddr, Vec<u8>)>,
    pub(crate) changes: Vec<(SocketAddr, Change)>,
    pub(crate) counts: DatagramCounts,
    /// An update about this router came that only another process at its address can have sent.
    pub(crate) address_conflict: bool,
    pub(crate) piggyback: Vec<u8>,
    received_piggybacks: Vec<Vec<u8>>,
}

impl Membership {
    /// `listed`: addresses of other routers; `networks`: those from which others may join.
    pub fn start(
        now: Time,
        seed: u64,
        local: LocalRouter,
        listed: &[SocketAddr],
        networks: &[Network],
        settings: Settings,
    ) -> Membership {
        let mut rng = WyRand::new_seed(seed);
        // Routers that start together should not probe together.
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

    /// The present view of who is alive.
    pub fn view(&self) -> View {
        View::compute(self.local, &self.routers, &self.senders, &self.settings)
    }

    /// The other routers that are counted as alive.
    pub fn peers(&self, now: Time) -> impl Iterator<Item = Peer> {
        self.routers.alive().filter_map(move |(&router, _)| self.routers.peer(now, router))
    }

    /// Where gossip of other mechanisms is sent to: live routers, and legacy routers that sent gossip recently.
    pub fn gossip_targets(&self, now: Time) -> impl Iterator<Item = SocketAddr> {
        let legacy = self.senders.recent_legacy_routers(now).filter(|&router| !self.routers.contains(router));
        self.routers.alive().map(|(&router, _)| router).chain(legacy)
    }

    /// Records that gossip of other mechanisms came from this address. True where it may be accepted: from configured
    /// addresses and live routers. A configured router that is not in the router table runs a legacy version.
    pub fn record_gossip(&mut self, now: Time, from: SocketAddr) -> bool {
        self.senders.record_legacy_gossip(now, from) || self.routers.is_alive(from)
    }

    /// Takes the changes of the view since the last call.
    pub fn take_changes(&mut self) -> Vec<(SocketAddr, Change)> {
        std::mem::take(&mut self.changes)
    }

    /// Takes the datagrams to send.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Datagrams since the start.
    pub fn counts(&self) -> DatagramCounts {
        self.counts
    }

    /// Sets the payload that each ping and ack carries from now on, where it fits.
    pub fn set_piggyback(&mut self, payload: Vec<u8>) {
        self.piggyback = payload;
    }

    /// Takes the payloads that live routers have sent.
    pub fn take_piggybacked(&mut self) -> Vec<Vec<u8>> {
        std::mem::take(&mut self.received_piggybacks)
    }

    /// Lifeguard's local health score: 0 when healthy, up to 8.
    pub fn local_health(&self) -> u32 {
        self.health.score()
    }

    /// Does another process use this router's address? Reported once.
    pub fn take_address_conflict(&mut self) -> bool {
        std::mem::take(&mut self.address_conflict)
    }

    /// When [`Membership::tick`] is due.
    pub fn wake_at(&self) -> Time {
        let deadlines = self.probes.wake_at().into_iter().chain(self.routers.next_suspicion_deadline());
        deadlines.chain([self.next_round_at]).min().unwrap_or(self.next_round_at)
    }

    /// A datagram was received.
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

    /// Stores the piggybacked payload of a live router until it is taken. Beyond the limit it is dropped.
    fn store_piggyback(&mut self, from: SocketAddr, message: &Message) {
        let has_space = self.received_piggybacks.len() < MAX_RECEIVED_PIGGYBACKS;
        if !message.piggyback.is_empty() && self.routers.is_alive(from) && has_space {
            self.received_piggybacks.push(message.piggyback.clone());
        }
    }

    /// Accepts a datagram only from a known router or a configured address or network, and only where the sender
    /// reports its own state under that address.
    fn is_accepted(&self, from: SocketAddr, message: &Message) -> bool {
        message.sender_state.router == from && from != self.local && self.may_participate(from)
    }

    /// Does this router exchange membership with that one?
    pub(crate) fn may_participate(&self, router: SocketAddr) -> bool {
        self.routers.contains(router) || self.senders.is_configured(router)
    }

    /// The sender's own state. One that was confirmed dead is probed first, unless this is the ack of a probe: a
    /// datagram from before its death may arrive late, even with a refutation that no router has seen.
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
        // The first update of these names the target of the indirect probe.
        let has_probe_update = matches!(message.kind, Kind::PingRequest | Kind::IndirectAck | Kind::Nack);
        for update in message.updates.iter().skip(usize::from(has_probe_update)) {
            // The sender's own state stands in the message's head.
            if update.router != from {
                self.apply_update(now, update);
            }
        }
    }

    /// Time has passed.
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

    /// What did not arrive while this router did not run proves nothing about others.
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

    /// Shuts down: notifies some routers, which notify the others. From now on it neither probes nor answers.
    pub fn leave(&mut self, now: Time) {
        self.is_leaving = true;
        self.probes.clear();
        self.announce_leave(now);
    }

    /// This router's own state, as it is disseminated.
    pub(crate) fn local_state(&self) -> StateUpdate {
        let state = if self.is_leaving { State::Left } else { State::Alive };
        StateUpdate { router: self.local, state, incarnation: self.incarnation, suspected_by: 0 }
    }
}
