//! The view of which routers are alive, in the form in which other parts of the router use the view.

use crate::router_hash::view_hash;
use crate::router_state::State;
use crate::router_table::RouterTable;
use crate::senders::Senders;
use crate::settings::{Faulty, Settings};
use std::net::SocketAddr;

/// A summary of which routers this router counts as alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// The index of this router among the live routers in the order of addresses, starting at 0.
    pub position: usize,
    /// The number of live routers, including this one.
    pub count: usize,
    /// A digest that is the same at two routers that count the same routers as alive.
    pub digest: u32,
    /// The number of live routers that are suspected.
    pub suspected: usize,
    /// The number of routers that are dead or have left, and of listed routers that were never seen.
    pub gone: usize,
}

impl View {
    pub(crate) fn compute(
        local: SocketAddr,
        routers: &RouterTable,
        senders: &Senders,
        settings: &Settings,
    ) -> View {
        // With the deliberate fault `CountsDeadRouters`, routers that are dead or have left are counted too.
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
