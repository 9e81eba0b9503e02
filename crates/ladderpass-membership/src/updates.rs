//! Applies received updates to the router table, and reports and disseminates the resulting changes of the view.

use crate::membership::Membership;
use crate::router_state::StateUpdate;
use crate::router_table::Change;
use ladderpass_routing::Time;
use nanorand::Rng;
use std::net::SocketAddr;

impl Membership {
    /// Applies an update about any router, including this one.
    pub(crate) fn apply_update(&mut self, now: Time, update: &StateUpdate) {
        if update.router == self.local {
            return self.refute(now, update);
        }
        let before = self.routers.state_update(update.router);
        if let Some(change) = self.routers.apply(now, update) {
            self.on_change(now, update.router, change);
        } else {
            let version = |known: StateUpdate| (known.incarnation, known.state);
            let after = self.routers.state_update(update.router);
            if before.map(version) != after.map(version) {
                self.updates.push(update.router);
            }
        }
        self.forward_rejected_death(update);
    }

    /// If this router still counts a router as alive after a report that it is dead or has left, the report is
    /// sent immediately to the router that it is about, which can then refute it.
    fn forward_rejected_death(&mut self, update: &StateUpdate) {
        let known = self.routers.state_update(update.router);
        let is_current = known.is_some_and(|known| update.incarnation >= known.incarnation);
        if update.state.is_dead_or_left() && is_current && self.routers.is_alive(update.router) {
            self.gossip(update.router, *update);
        }
    }

    /// Handles a change of the view of a router: reports the change and disseminates it.
    pub(crate) fn on_change(&mut self, now: Time, router: SocketAddr, change: Change) {
        self.changes.push((router, change));
        self.updates.push(router);
        self.updates.enforce_limit();
        match change {
            Change::Joined | Change::Refuted => {
                // The router is inserted at a random position, so that a router that joined last is not always probed
                // last.
                let position = self.rng.generate_range(0..=self.probe_order.len());
                self.probe_order.insert(position, router);
            }
            Change::Suspected | Change::Died | Change::Left => {}
        }
        let Some(update) = self.routers.state_update(router) else { return };
        if matches!(change, Change::Suspected | Change::Died) {
            // The router that the update is about must learn of the suspicion or death, so that it can refute.
            self.gossip_change_to_subject(now, update);
        } else {
            self.gossip_change(now, update);
        }
    }
}
