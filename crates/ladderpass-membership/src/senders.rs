//! The addresses from which datagrams are accepted besides those of known routers: listed routers, and routers in a
//! configured network. Also tracks listed addresses that still run a legacy router, which exchanges gossip but takes no
//! part in the membership protocol.

use crate::network::Network;
use ladderpass_routing::{Span, Time};
use std::net::SocketAddr;

/// A legacy router counts as running for this long after its last gossip.
const LEGACY_GOSSIP_TIMEOUT: Span = Span::from_millis(60_000);

/// A router address that the operator has listed.
#[derive(Clone, Copy)]
struct ListedRouter {
    address: SocketAddr,
    /// When legacy gossip last came from this address. Before any gossip came, the time of this router's start,
    /// since any listed router may be a legacy router.
    last_legacy_gossip_at: Time,
}

/// The listed routers and the configured networks.
pub(crate) struct Senders {
    listed: Vec<ListedRouter>,
    networks: Vec<Network>,
}

impl Senders {
    pub fn new(now: Time, listed: impl Iterator<Item = SocketAddr>, networks: &[Network]) -> Senders {
        Senders {
            listed: listed.map(|address| ListedRouter { address, last_legacy_gossip_at: now }).collect(),
            networks: networks.to_vec(),
        }
    }

    /// The router addresses that the operator has listed, except this router's own.
    pub fn listed(&self) -> impl Iterator<Item = SocketAddr> {
        self.listed.iter().map(|listed| listed.address)
    }

    /// Whether a router at this address may take part in the membership protocol even if that router is not in the
    /// router table.
    pub fn is_configured(&self, router: SocketAddr) -> bool {
        self.listed().any(|address| address == router)
            || self.networks.iter().any(|network| network.contains(router.ip()))
    }

    /// Records that legacy gossip came from a listed address. Returns false, and records nothing, if the address is not
    /// listed.
    pub fn record_legacy_gossip(&mut self, now: Time, from: SocketAddr) -> bool {
        let Some(listed) = self.listed.iter_mut().find(|listed| listed.address == from) else { return false };
        listed.last_legacy_gossip_at = now;
        true
    }

    /// Listed addresses from which legacy gossip came within `LEGACY_GOSSIP_TIMEOUT`. While this router has run for
    /// less than that time, all listed addresses.
    pub fn recent_legacy_routers(&self, now: Time) -> impl Iterator<Item = SocketAddr> {
        let is_recent =
            move |listed: &&ListedRouter| now - listed.last_legacy_gossip_at < LEGACY_GOSSIP_TIMEOUT;
        self.listed.iter().filter(is_recent).map(|listed| listed.address)
    }
}
