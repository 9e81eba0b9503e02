//! The view of who is alive, as other mechanisms use it.

use crate::member_state::State;
use crate::member_table::MemberTable;
use crate::router_hash::view_hash;
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
        members: &MemberTable,
        senders: &Senders,
        settings: &Settings,
    ) -> View {
        // A deliberate fault counts the dead as well.
        let counts_gone = settings.faulty == Faulty::CountsDeadRouters;
        let counted = || {
            let members = members.iter().filter(|(_, member)| counts_gone || !member.state.is_gone());
            members.map(|(&router, _)| router)
        };
        let digest = counted().chain([local]).fold(0, |digest, router| digest ^ view_hash(router));
        let never_seen = senders.listed().filter(|&listed| !members.contains(listed));
        View {
            position: counted().filter(|&router| router < local).count(),
            count: counted().count() + 1,
            digest,
            suspected: members.alive().filter(|(_, member)| member.state == State::Suspect).count(),
            gone: members.gone().count() + never_seen.count(),
        }
    }
}
