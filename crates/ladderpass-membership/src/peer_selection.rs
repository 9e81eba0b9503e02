//! Selects the routers that are probed, that relay an indirect probe, or that receive gossip.

use crate::membership::Membership;
use crate::router_state::State;
use ladderpass_routing::Time;
use nanorand::Rng;
use std::net::SocketAddr;

/// Routers are ranked by the time since their last ack, counted in steps of this many rounds.
const ACK_AGE_STEP_ROUNDS: i64 = 4;
/// Routers whose last ack is at least this many steps ago are ranked equally.
const MAX_ACK_AGE_STEPS: i64 = 16;

/// A router that may be selected. Routers are selected in ascending order of these fields.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RankedPeer {
    ack_age_steps: i64,
    tie_break: u32,
    router: SocketAddr,
}

impl Membership {
    /// Returns the live router to probe next, which has no probe in flight. Routers are returned in random order, and
    /// the order is shuffled again once each router has had its turn. Returns `None` if no router can be probed now.
    pub(crate) fn next_probe_target(&mut self) -> Option<SocketAddr> {
        loop {
            let Some(router) = self.probe_order.pop() else {
                self.probe_order = self.routers.alive().map(|(&router, _)| router).collect();
                self.rng.shuffle(&mut self.probe_order);
                if self.probe_order.is_empty() {
                    return None;
                }
                continue;
            };
            if self.routers.is_alive(router) && !self.probes.is_probing(router) {
                return Some(router);
            }
            if self.probe_order.is_empty() {
                return None;
            }
        }
    }

    /// Routers that are dead, and listed routers that were never seen.
    pub(crate) fn absent_routers(&self) -> Vec<SocketAddr> {
        let dead = self.routers.iter().filter(|(_, known)| known.state == State::Dead);
        let never_seen = self.senders.listed().filter(|&listed| !self.routers.contains(listed));
        dead.map(|(&router, _)| router).chain(never_seen).collect()
    }

    /// Returns a random one of `routers`, or `None` if there are no routers.
    pub(crate) fn pick_random(&mut self, routers: &[SocketAddr]) -> Option<SocketAddr> {
        if routers.is_empty() {
            return None;
        }
        Some(routers[self.rng.generate_range(0..routers.len())])
    }

    /// Returns up to `count` routers other than `except` that are alive and not suspected. Routers with the latest acks
    /// come first, in random order among equals. When many routers die at once, a router that has just acked is the
    /// most likely one to be still running.
    pub(crate) fn select_responsive_peers(
        &mut self,
        now: Time,
        count: usize,
        except: SocketAddr,
    ) -> Vec<SocketAddr> {
        let step = self.settings.probe_interval.nanos().max(1) * ACK_AGE_STEP_ROUNDS;
        let mut ranked: Vec<RankedPeer> = Vec::new();
        for (&router, known) in self.routers.alive() {
            if router != except && known.state == State::Alive {
                let ack_age_steps = ((now - known.last_ack).nanos() / step).min(MAX_ACK_AGE_STEPS);
                ranked.push(RankedPeer { ack_age_steps, tie_break: self.rng.generate(), router });
            }
        }
        ranked.sort_unstable();
        ranked.into_iter().take(count).map(|peer| peer.router).collect()
    }
}
