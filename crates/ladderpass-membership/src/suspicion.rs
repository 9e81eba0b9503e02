//! Suspicions. A router is suspected when a probe of it fails. That router may refute the suspicion, and is otherwise
//! confirmed dead after the suspicion timeout, which the module `suspicion_timeout` computes.
//!
//! This router refutes a suspicion about itself with a higher incarnation.

use crate::membership::Membership;
use crate::router_hash::suspecting_router_id;
use crate::router_state::{State, StateUpdate};
use crate::settings::Faulty;
use ladderpass_routing::Time;
use std::net::SocketAddr;

impl Membership {
    /// Handles a probe that received no ack, direct or indirect. Starts a suspicion, or, if other routers
    /// suspect the target already, adds this router to them, which shortens the timeout of the suspicion.
    pub(crate) fn suspect(&mut self, now: Time, target: SocketAddr, probe_sent_at: Time) {
        let Some(last_ack) = self.routers.get(target).map(|known| known.last_ack) else { return };
        let has_acked_since = last_ack > probe_sent_at;
        let Some(known) = self.routers.state_update(target) else { return };
        if known.state.is_dead_or_left() || has_acked_since {
            return;
        }
        let suspicion = StateUpdate { suspected_by: suspecting_router_id(self.local), ..known };
        if known.state == State::Suspect {
            self.routers.confirm_suspicion(target, suspicion.suspected_by);
            self.gossip_change(now, suspicion);
        } else if let Some(change) = self.routers.mark_suspect(now, &suspicion) {
            self.on_change(now, target, change);
        }
    }

    /// Marks a router as confirmed dead after its suspicion timeout has passed.
    pub(crate) fn confirm_dead(&mut self, now: Time, router: SocketAddr) {
        let Some(known) = self.routers.state_update(router) else { return };
        let is_isolated = self.health.is_isolated(now);
        let Some(change) = self.routers.mark_dead_or_left(now, router, known.incarnation, State::Dead) else {
            return;
        };
        if is_isolated {
            // The death is not disseminated, since this router may be the one that is cut off.
            self.routers.mark_found_dead_while_isolated(router);
            self.changes.push((router, change));
            return;
        }
        self.on_change(now, router, change);
    }

    /// Refutes a report that this router is not alive. If another process at this router's address had a higher
    /// incarnation, this router takes an incarnation with a later start time than that process.
    pub(crate) fn refute(&mut self, now: Time, update: &StateUpdate) {
        if self.is_leaving || self.settings.faulty == Faulty::IgnoresIncarnations {
            return;
        }
        let is_later = update.incarnation > self.incarnation;
        let is_earlier = update.incarnation < self.incarnation;
        let is_own_state = !is_later && update.state == State::Alive;
        if is_earlier || is_own_state {
            return;
        }
        self.address_conflict |= is_later && update.incarnation.started_ms() > self.incarnation.started_ms();
        self.incarnation = if is_later { update.incarnation.next_start() } else { update.incarnation.next() };
        self.gossip_change(now, self.local_state());
        if update.state != State::Alive && !is_later {
            // Other routers received no ack from this router, so this router may be slow.
            self.health.degrade(1);
        }
    }
}
