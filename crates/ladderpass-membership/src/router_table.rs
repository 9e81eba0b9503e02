//! The state of every known router, and the rules by which an update overrides that state.
//!
//! Invariants:
//!
//! - A state changes only to one of a higher incarnation, or to a greater state of the same incarnation. An exception
//!   is a death that this router found while it was isolated, which a report of the same incarnation corrects.
//! - Every suspicion has a deadline.
//! - The size of the table is limited. Only tombstones (routers that died or left) are evicted from it.

use crate::router_hash::{salted_hash, suspecting_router_id};
use crate::router_state::{Incarnation, State, StateUpdate};
use crate::settings::{Faulty, Settings};
use crate::suspicion_timeout::{Suspicion, suspicion_timeout};
use ladderpass_routing::{Span, Time};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// If other routers report the death of a router that has acked a probe of this router within this many rounds, the
/// router is suspected and not confirmed dead.
const RECENT_ACK_ROUNDS: f64 = 4.0;

/// What this router knows about another router.
#[derive(Clone, Debug)]
pub(crate) struct KnownRouter {
    pub state: State,
    pub incarnation: Incarnation,
    /// When this router began to count the other router's current process as alive, or to count the other router as
    /// dead or left.
    pub liveness_changed_at: Time,
    /// When the other router last acked a probe of this router. `Time::NEVER` if the other router has not done
    /// so since it started, or since it returned after it was dead or had left.
    pub last_ack: Time,
    /// The suspicion about the other router while that router is suspected.
    pub suspicion: Option<Suspicion>,
    /// Whether this router found the other router dead while this router was isolated, so that this router's
    /// own link may be the cause.
    pub found_dead_while_isolated: bool,
}

/// A change of what the view says about one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The router was not known before.
    Joined,
    /// A probe of the router by this router or another one failed.
    Suspected,
    /// The router refuted a suspicion, or has returned.
    Refuted,
    /// The router is confirmed dead.
    Died,
    /// The router shut down.
    Left,
}

/// How certain it is that a router is alive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Confidence {
    /// The router acked a probe of this router this long ago.
    Acked(Span),
    /// Only other routers have reported that the router is alive.
    Reported,
    /// The router is suspected and has this much time left to refute.
    Suspected(Span),
}

/// A router that is counted as alive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Peer {
    /// The address at which the router receives datagrams.
    pub address: SocketAddr,
    /// The router's start time in Unix milliseconds of its own clock. It changes when the router restarts.
    pub started_ms: u64,
    /// The time since which the router is counted as alive.
    pub alive_since: Time,
    /// How certain it is that the router is alive.
    pub confidence: Confidence,
}

/// The number of live routers and the digest of their addresses and incarnations, without this router.
#[derive(Clone, Copy)]
struct AliveSummary {
    count: usize,
    digest: u32,
}

/// All known routers except this router.
pub(crate) struct RouterTable {
    local: SocketAddr,
    routers: BTreeMap<SocketAddr, KnownRouter>,
    settings: Settings,
    /// The cached summary of the live routers, so that the cost of a message does not grow with the number of routers.
    /// `None` after a change of the table, until the summary is computed again.
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

    /// The number of known routers, including tombstones.
    pub fn len(&self) -> usize {
        self.routers.len()
    }

    pub fn is_alive(&self, router: SocketAddr) -> bool {
        self.routers.get(&router).is_some_and(|known| !known.state.is_dead_or_left())
    }

    /// The number of live routers, including this one.
    pub fn cluster_size(&mut self) -> usize {
        self.alive_summary().count + 1
    }

    /// Digest of the view. It is the same at two routers that count the same routers as alive in the same incarnations.
    pub fn digest(&mut self, local_incarnation: Incarnation) -> u32 {
        self.alive_summary().digest ^ salted_hash(self.local, local_incarnation.0)
    }

    /// The current state of a router, as the update that other routers are sent.
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

    /// Applies an update if it overrides the known state. Returns the change of the view, if there is one.
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
        // Any report that a router is alive or suspected overrides a death that this router found while it was
        // isolated.
        let corrects_isolated_finding =
            known.found_dead_while_isolated && same_incarnation && !update.state.is_dead_or_left();
        let overrides = is_newer || is_greater_state || corrects_isolated_finding;
        if !overrides && self.settings.faulty != Faulty::IgnoresIncarnations {
            return None;
        }
        match update.state {
            State::Alive => self.mark_alive(now, update),
            State::Suspect => self.mark_suspect(now, update),
            // The router that reports the death may be on the other side of a partition, or may not have
            // received an ack.
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

    /// Adds a router that was not known. If the router is dead or has left, it is stored as a tombstone, so that a late
    /// update does not add it as a live router.
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

    /// Whether there is space for a router in this state. If the table is full, the oldest tombstone is evicted to make
    /// space for a live router. A live router is never evicted.
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

    /// Marks a router as suspected and starts its suspicion.
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

    /// Records another router that suspects the given one, which shortens the suspicion timeout. This confirms the
    /// suspicion but not the death, which is confirmed by [`RouterTable::mark_dead_or_left`].
    pub fn confirm_suspicion(&mut self, router: SocketAddr, suspected_by: u16) {
        let max = self.settings.required_confirmations + 1;
        let cluster_size = self.cluster_size();
        let known = self.routers.get_mut(&router);
        let Some(suspicion) = known.and_then(|known| known.suspicion.as_mut()) else { return };
        suspicion.add_suspecting_router(suspected_by, max);
        let timeout = suspicion_timeout(&self.settings, cluster_size, suspicion.suspecting_router_count());
        suspicion.set_timeout(timeout);
    }

    /// Marks a router as confirmed dead or as left, so that its entry becomes a tombstone.
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

    /// Records that the given router acked a probe of this router.
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

    /// The suspected routers whose time to refute the suspicion is over.
    pub fn expired_suspicions(&self, now: Time) -> Vec<SocketAddr> {
        let has_expired = |suspicion: &Suspicion| suspicion.deadline() <= now;
        let expired =
            self.routers.iter().filter(|(_, known)| known.suspicion.as_ref().is_some_and(has_expired));
        expired.map(|(&router, _)| router).collect()
    }

    /// The earliest deadline of all suspicions.
    pub fn next_suspicion_deadline(&self) -> Option<Time> {
        self.suspicions().map(Suspicion::deadline).min()
    }

    fn suspicions(&self) -> impl Iterator<Item = &Suspicion> {
        self.routers.values().filter_map(|known| known.suspicion.as_ref())
    }

    fn suspicions_mut(&mut self) -> impl Iterator<Item = &mut Suspicion> {
        self.routers.values_mut().filter_map(|known| known.suspicion.as_mut())
    }

    /// Postpones the deadlines of all suspicions by the time for which this router did not run, since datagrams that it
    /// did not receive in that time prove nothing.
    pub fn postpone_suspicions(&mut self, by: Span) {
        self.suspicions_mut().for_each(|suspicion| suspicion.postpone(by));
    }

    /// Gives every suspected router its full time to refute once more, counted from `now`.
    pub fn restart_suspicions(&mut self, now: Time) {
        self.suspicions_mut().for_each(|suspicion| suspicion.restart(now));
    }

    /// Removes tombstones that have been kept for [`Settings::tombstone_retention`].
    pub fn remove_old_tombstones(&mut self, now: Time) {
        let max_age = self.settings.tombstone_retention;
        self.routers
            .retain(|_, known| !known.state.is_dead_or_left() || now - known.liveness_changed_at < max_age);
    }

    /// Returns a live router in the form that other parts of the router use.
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
