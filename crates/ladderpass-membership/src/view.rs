//! The view of who is alive, as other mechanisms use it.

use crate::router_hash::view_hash;
use crate::router_state::State;
use crate::router_table::RouterTable;
use crate::senders::Senders;
use crate::settings::{Faulty, Settings};
use std::net::SocketAddr;

/// Which routers this one counts as alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// This router's place among the live ones in the order of addresses, from 0.
    pub position: usize,
    /// Live routers, this one included.
    pub count: usize,
    /// The same at two routers that count the same ones as alive.
    pub digest: u32,
    /// Live routers that are suspected.
    pub suspected: usize,
    /// Routers that are dead or have left, and configured ones that were never seen.
    pub gone: usize,
}

impl View {
    pub(crate) fn compute(
        local: SocketAddr,
        routers: &RouterTable,
        senders: &Senders,
        settings: &Settings,
    ) -> View {
        // A deliberate fault counts the dead as well.
        let counts_dead_routers = settings.faulty == Faulty::CountsDeadRouters;
        let counted = || {
            let routers =
                routers.iter().filter(|(_, known)| counts_dead_routers || !known.state.is_dead_or_left());
            routers.map(|(&router, _)| router)
        };
        let digest = counted().chain([local]).fold(0, |digest, router| digest ^ view_hash(router));
        let never_seen = senders.listed().filter(|&listed| !routers.contains(listed));
        View {
            position: counted().filter(|&router| router < local).count(),
            count: counted().count() + 1,
            digest,
            suspected: routers.alive().filter(|(_, known)| known.state == State::Suspect).count(),
            gone: routers.tombstones().count() + never_seen.count(),
        }
    }
}
