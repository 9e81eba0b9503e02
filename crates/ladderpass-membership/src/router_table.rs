//! The state of every known router, and which update overrides it.
//!
//! Invariants: a state changes only to a higher incarnation, or to a greater state of the same incarnation; every
//! suspicion has a deadline; the table is bounded, and tombstones (routers that died or left) are evicted first.

use crate::router_hash::{salted_hash, suspecting_router_id};
use crate::router_state::{Incarnation, State, StateUpdate};
use crate::settings::{Faulty, Settings};
use crate::suspicion_timeout::{Suspicion, suspicion_timeout};
use ladderpass_routing::{Span, Time};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A router that acked within so many rounds is suspected, not confirmed dead, when others report its death.
const RECENT_ACK_ROUNDS: f64 = 4.0;

/// What is known of another router.
#[derive(Clone, Debug)]
pub(crate) struct KnownRouter {
    pub state: State,
    pub incarnation: Incarnation,
    /// Since when this router counts it as alive, or as gone.
    pub liveness_changed_at: Time,
    /// When it last acked a probe of this router, since its last start.
    pub last_ack: Time,
    /// Present while it is suspected.
    pub suspicion: Option<Suspicion>,
    /// Its death was found while this router was isolated, so it may be this router's own fault.
    pub found_dead_while_isolated: bool,
}

/// How an update changed the view of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was not known before.
    Joined,
    /// A probe of it failed, here or at another router.
    Suspected,
    /// It refuted a suspicion, or has returned.
    Refuted,
    /// It is confirmed dead.
    Died,
    /// It shut down.
    Left,
}

/// How sure it is that a router is alive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Confidence {
    /// It acked a probe of this router so long ago.
    Acked(Span),
    /// Only other routers reported it.
    Reported,
    /// It is suspected, and has so much time left to refute.
    Suspected(Span),
}

/// A router that is counted as alive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Peer {
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Its start in Unix milliseconds of its own clock. Another number means that it has restarted.
    pub started_ms: u64,
    /// Since when it is counted as alive.
    pub alive_since: Time,
    /// How sure that is.
    pub confidence: Confidence,
}

/// Number of live routers and the digest of their incarnations.
#[derive(Clone, Copy)]
struct AliveSummary {
    count: usize,
    digest: u32,
}

/// All known routers but this one.
pub(crate) struct RouterTable {
    local: SocketAddr,
    routers: BTreeMap<SocketAddr, KnownRouter>,
    settings: Settings,
    /// Cached, so that a message's cost does not grow with the number of routers. None after a change.
    alive_summary: Option<AliveSummary>,
}

impl RouterTable {
    pub fn new(local: SocketAddr, settings: Settings) -> RouterTable {
        RouterTable { local, routers: BTreeMap::new(), settings, alive_summary: None }
    }

    fn alive_summary(&mut self) -> AliveSummary {
        if let Some(summary) = self.alive_summary {
            return summary;
        }
        let mut summary = AliveSummary { count: 0, digest: 0 };
        for (&router, known) in self.alive() {
            summary.count += 1;
            summary.digest ^= salted_hash(router, known.incarnation.0);
        }
        *self.alive_summary.insert(summary)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&SocketAddr, &KnownRouter)> {
        self.routers.iter()
    }

    pub fn alive(&self) -> impl Iterator<Item = (&SocketAddr, &KnownRouter)> {
        self.routers.iter().filter(|(_, known)| !known.state.is_dead_or_left())
    }

    /// Routers that are dead or have left.
    pub fn tombstones(&self) -> impl Iterator<Item = &SocketAddr> {
        self.routers.iter().filter(|(_, known)| known.state.is_dead_or_left()).map(|(router, _)| router)
    }

    pub fn get(&self, router: SocketAddr) -> Option<&KnownRouter> {
        self.routers.get(&router)
    }

    pub fn contains(&self, router: SocketAddr) -> bool {
        self.routers.contains_key(&router)
    }

    /// Known routers, tombstones included.
    pub fn len(&self) -> usize {
        self.routers.len()
    }

    pub fn is_alive(&self, router: SocketAddr) -> bool {
        self.routers.get(&router).is_some_and(|known| !known.state.is_dead_or_left())
    }

    /// Live routers, this one included.
    pub fn cluster_size(&mut self) -> usize {
        self.alive_summary().count + 1
    }

    /// Digest of the view: the same for two routers that count the same ones as alive, in the same incarnations.
    pub fn digest(&mut self, local_incarnation: Incarnation) -> u32 {
        self.alive_summary().digest ^ salted_hash(self.local, local_incarnation.0)
    }

    /// The present state of a router, in the form in which it is disseminated.
    pub fn state_update(&self, router: SocketAddr) -> Option<StateUpdate> {
        let known = self.routers.get(&router)?;
        let suspected_by = known.suspicion.as_ref().and_then(Suspicion::first_suspecting_router);
        Some(StateUpdate {
            router,
            state: known.state,
            incarnation: known.incarnation,
            suspected_by: suspected_by.unwrap_or_default(),
        })
    }

    /// Applies an update where it overrides what is known. Returns the change of the view, if there is one.
    pub fn apply(&mut self, now: Time, update: &StateUpdate) -> Option<Change> {
        let Some(known) = self.routers.get(&update.router) else { return self.insert(now, update) };
        let same_incarnation = update.incarnation == known.incarnation;
        let confirms_suspicion =
            update.state == State::Suspect && known.state == State::Suspect && same_incarnation;
        if confirms_suspicion {
            self.confirm_suspicion(update.router, update.suspected_by);
            return None;
        }
        let is_newer = update.incarnation > known.incarnation;
        let is_greater_state = same_incarnation && update.state > known.state;
        // What this router found while it was isolated counts for less than any report of a live router.
        let corrects_isolated_finding =
            known.found_dead_while_isolated && same_incarnation && !update.state.is_dead_or_left();
        let overrides = is_newer || is_greater_state || corrects_isolated_finding;
        if !overrides && self.settings.faulty != Faulty::IgnoresIncarnations {
            return None;
        }
        match update.state {
            State::Alive => self.mark_alive(now, update),
            State::Suspect => self.mark_suspect(now, update),
            // The report may come from the other side of a partition, or from a router that did not receive the ack.
            State::Dead if self.has_acked_recently(now, update.router) => {
                let suspected_by = suspecting_router_id(update.router);
                self.mark_suspect(now, &StateUpdate { state: State::Suspect, suspected_by, ..*update })
            }
            State::Dead | State::Left => {
                self.mark_dead_or_left(now, update.router, update.incarnation, update.state)
            }
        }
    }

    fn has_acked_recently(&self, now: Time, router: SocketAddr) -> bool {
        let max_ack_age = self.settings.probe_interval * RECENT_ACK_ROUNDS;
        let has_acked =
            |known: &KnownRouter| now - known.last_ack < max_ack_age && !known.state.is_dead_or_left();
        self.settings.faulty != Faulty::ConfirmsImmediately
            && self.routers.get(&router).is_some_and(has_acked)
    }

    /// Adds a router that was not known. One that is dead or has left is kept as a tombstone, so that a late update
    /// does not bring it back.
    fn insert(&mut self, now: Time, update: &StateUpdate) -> Option<Change> {
        if update.router == self.local || !self.ensure_space_for(update.state) {
            return None;
        }
        let known = KnownRouter {
            state: if update.state == State::Suspect { State::Alive } else { update.state },
            incarnation: update.incarnation,
            liveness_changed_at: now,
            last_ack: Time::NEVER,
            suspicion: None,
            found_dead_while_isolated: false,
        };
        self.routers.insert(update.router, known);
        self.alive_summary = None;
        match update.state {
            State::Alive => Some(Change::Joined),
            State::Suspect => {
                self.mark_suspect(now, update);
                Some(Change::Joined)
            }
            State::Dead | State::Left => None,
        }
    }

    /// Is there space for a router in this state? In a full table the oldest tombstone is evicted for a live router. A
    /// live router is never evicted.
    fn ensure_space_for(&mut self, state: State) -> bool {
        if self.routers.len() < self.settings.max_routers {
            return true;
        }
        let tombstones = self.routers.iter().filter(|(_, known)| known.state.is_dead_or_left());
        let oldest = tombstones.min_by_key(|(_, known)| known.liveness_changed_at).map(|(&router, _)| router);
        match oldest {
            Some(oldest) if !state.is_dead_or_left() => self.routers.remove(&oldest).is_some(),
            _ => false,
        }
    }

    fn mark_alive(&mut self, now: Time, update: &StateUpdate) -> Option<Change> {
        self.alive_summary = None;
        let known = self.routers.get_mut(&update.router)?;
        let previous = known.state;
        let has_restarted = known.incarnation.started_ms() != update.incarnation.started_ms();
        if previous.is_dead_or_left() || has_restarted {
            known.liveness_changed_at = now;
            known.last_ack = Time::NEVER;
        }
        known.state = State::Alive;
        known.incarnation = update.incarnation;
        known.suspicion = None;
        known.found_dead_while_isolated = false;
        (previous != State::Alive).then_some(Change::Refuted)
    }

    /// Starts a suspicion.
    pub fn mark_suspect(&mut self, now: Time, update: &StateUpdate) -> Option<Change> {
        match self.settings.faulty {
            Faulty::NeverSuspects => return None,
            Faulty::ConfirmsImmediately => {
                return self.mark_dead_or_left(now, update.router, update.incarnation, State::Dead);
            }
            _ => {}
        }
        self.alive_summary = None;
        let known = self.routers.get_mut(&update.router)?;
        let was_dead_or_left = known.state.is_dead_or_left();
        if was_dead_or_left {
            known.liveness_changed_at = now;
        }
        known.state = State::Suspect;
        known.incarnation = update.incarnation;
        known.found_dead_while_isolated = false;
        known.suspicion = Some(Suspicion::start(now));
        self.confirm_suspicion(update.router, update.suspected_by);
        Some(if was_dead_or_left { Change::Refuted } else { Change::Suspected })
    }

    /// Records one more router that suspects this one, which shortens the timeout. This confirms the suspicion, not
    /// the death: [`RouterTable::mark_dead_or_left`] does that.
    pub fn confirm_suspicion(&mut self, router: SocketAddr, suspected_by: u16) {
        let max = self.settings.required_confirmations + 1;
        let cluster_size = self.cluster_size();
        let known = self.routers.get_mut(&router);
        let Some(suspicion) = known.and_then(|known| known.suspicion.as_mut()) else { return };
        suspicion.add_suspecting_router(suspected_by, max);
        let timeout = suspicion_timeout(&self.settings, cluster_size, suspicion.suspecting_router_count());
        suspicion.set_timeout(timeout);
    }

    /// Makes a router a tombstone: confirmed dead, or left.
    pub fn mark_dead_or_left(
        &mut self,
        now: Time,
        router: SocketAddr,
        incarnation: Incarnation,
        state: State,
    ) -> Option<Change> {
        self.alive_summary = None;
        let known = self.routers.get_mut(&router)?;
        let previous = known.state;
        known.state = state;
        known.incarnation = incarnation;
        known.suspicion = None;
        known.found_dead_while_isolated = false;
        if previous.is_dead_or_left() {
            return None;
        }
        known.liveness_changed_at = now;
        Some(if state == State::Left { Change::Left } else { Change::Died })
    }

    /// A probe of this router was acked.
    pub fn record_ack(&mut self, now: Time, router: SocketAddr) {
        if let Some(known) = self.routers.get_mut(&router) {
            known.last_ack = now;
        }
    }

    pub fn mark_found_dead_while_isolated(&mut self, router: SocketAddr) {
        if let Some(known) = self.routers.get_mut(&router) {
            known.found_dead_while_isolated = true;
        }
    }

    /// Routers whose time to refute is over.
    pub fn expired_suspicions(&self, now: Time) -> Vec<SocketAddr> {
        let has_expired = |suspicion: &Suspicion| suspicion.deadline() <= now;
        let expired =
            self.routers.iter().filter(|(_, known)| known.suspicion.as_ref().is_some_and(has_expired));
        expired.map(|(&router, _)| router).collect()
    }

    /// When the first suspicion ends.
    pub fn next_suspicion_deadline(&self) -> Option<Time> {
        self.suspicions().map(Suspicion::deadline).min()
    }

    fn suspicions(&self) -> impl Iterator<Item = &Suspicion> {
        self.routers.values().filter_map(|known| known.suspicion.as_ref())
    }

    fn suspicions_mut(&mut self) -> impl Iterator<Item = &mut Suspicion> {
        self.routers.values_mut().filter_map(|known| known.suspicion.as_mut())
    }

    /// This router did not run for so long: what it did not receive meanwhile proves nothing.
    pub fn postpone_suspicions(&mut self, by: Span) {
        self.suspicions_mut().for_each(|suspicion| suspicion.postpone(by));
    }

    /// Gives every suspected router its full time to refute once more.
    pub fn restart_suspicions(&mut self, now: Time) {
        self.suspicions_mut().for_each(|suspicion| suspicion.restart(now));
    }

    /// Removes tombstones that are old enough.
    pub fn remove_old_tombstones(&mut self, now: Time) {
        let max_age = self.settings.tombstone_retention;
        self.routers
            .retain(|_, known| !known.state.is_dead_or_left() || now - known.liveness_changed_at < max_age);
    }

    /// A live router, as other mechanisms see it.
    pub fn peer(&self, now: Time, router: SocketAddr) -> Option<Peer> {
        let known = self.routers.get(&router).filter(|known| !known.state.is_dead_or_left())?;
        let confidence = match &known.suspicion {
            Some(suspicion) => Confidence::Suspected((suspicion.deadline() - now).max(Span::ZERO)),
            None if known.last_ack != Time::NEVER => Confidence::Acked(now - known.last_ack),
            None => Confidence::Reported,
        };
        Some(Peer {
            address: router,
            started_ms: known.incarnation.started_ms(),
            alive_since: known.liveness_changed_at,
            confidence,
        })
    }
}
