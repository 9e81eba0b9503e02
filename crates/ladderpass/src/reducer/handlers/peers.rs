//! Handles the datagrams of the other routers, and applies what the membership protocol finds out about which routers
//! are alive.
//!
//! The routing core gets this router's position among the routers from the membership's view. Gossip about members goes
//! to routers that are alive, and is accepted from routers that may send it.

use crate::reducer::Reducer;
use crate::reducer::event::Effect;
use crate::reducer::log_target;
use ladderpass_admission::GroupMetrics;
use ladderpass_membership::FIRST_BYTE;
use ladderpass_routing::{MemberUpdate, Time};
use std::net::SocketAddr;

impl Reducer {
    /// Returns how many routers are alive, this router included, and a digest of the set of these routers. Returns
    /// `None` if the operator's file has no `peers` section.
    pub fn fleet_view(&self) -> Option<(usize, u32)> {
        self.peers.as_ref().map(|peers| (peers.view().count, peers.view().digest))
    }

    /// Returns the metrics of shared admission control, by group.
    pub fn admission_metrics(&self) -> Vec<GroupMetrics> {
        self.peers.as_ref().map_or(Vec::new(), |peers| peers.admission_metrics())
    }

    /// Removes and returns the datagrams that are to be sent to other routers, each with its destination.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.peers.as_mut().map_or(Vec::new(), |peers| peers.take_datagrams())
    }

    /// Handles a datagram from another router. The first byte distinguishes datagrams of the membership protocol from
    /// gossip about members.
    pub(in crate::reducer) fn on_datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        let Some(peers) = self.peers.as_deref_mut() else { return };
        if bytes.first() == Some(&FIRST_BYTE) {
            peers.on_membership_datagram(now, from, bytes);
            return self.apply_membership(now);
        }
        if !peers.record_gossip(now, from) {
            return;
        }
        let Ok(text) = std::str::from_utf8(bytes) else { return };
        for update in self.gossip_codec.decode(text, now) {
            self.router.on_peer_update(now, update);
        }
    }

    /// Sends the routing core's updates about members to the other routers that receive gossip.
    pub(in crate::reducer) fn publish_updates(&mut self, now: Time, updates: &[MemberUpdate]) {
        let messages = self.gossip_codec.encode(updates, self.members.names());
        let Some(peers) = self.peers.as_deref_mut() else { return };
        peers.publish(now, &messages);
        self.effects.push(Effect::SendDatagrams);
    }

    pub(in crate::reducer) fn tick_peers(&mut self, now: Time) {
        let Some(peers) = self.peers.as_deref_mut() else { return };
        peers.tick_admission(now, &mut self.router, self.endpoints.groups());
        if peers.tick_membership(now) {
            self.apply_membership(now);
        }
    }

    pub(super) fn leave_fleet(&mut self, now: Time) {
        if let Some(peers) = self.peers.as_deref_mut() {
            peers.leave(now);
            self.apply_membership(now);
        }
    }

    /// Sends the datagrams of the membership protocol, and applies its present view of which routers are alive.
    fn apply_membership(&mut self, now: Time) {
        let Some(peers) = self.peers.as_deref_mut() else { return };
        if peers.collect_membership_output() {
            self.effects.push(Effect::SendDatagrams);
        }
        if peers.take_address_conflict() {
            tracing::warn!(
                target: log_target::PEER_LINKS,
                "another incarnation of this router's address was seen: its clock may have gone back"
            );
        }
        let view = peers.newest_view();
        let alive_count = peers.alive_count(now, &view);
        self.router.set_router_position(view.position as u32, alive_count as u32);
        peers.apply_changes(now, view);
    }
}
