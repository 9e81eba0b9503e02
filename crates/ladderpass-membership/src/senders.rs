//! From which addresses datagrams are accepted: routers that are configured, those in a configured network, and known
//! routers. Also tracks configured addresses that still run a legacy router, which exchanges gossip but not membership.

use crate::network::Network;
use ladderpass_routing::{Span, Time};
use std::net::SocketAddr;

/// A legacy router counts as present for this long after its last gossip.
const LEGACY_GOSSIP_TIMEOUT: Span = Span::from_millis(60_000);

/// A configured router address.
#[derive(Clone, Copy)]
struct ListedRouter {
    address: SocketAddr,
    /// When legacy gossip last came from it. At the start each may be a legacy router.
    last_legacy_gossip_at: Time,
}

/// The configured routers and networks.
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

    /// The configured addresses.
    pub fn listed(&self) -> impl Iterator<Item = SocketAddr> {
        self.listed.iter().map(|listed| listed.address)
    }

    /// May a router at this address participate though it is not in the router table?
    pub fn is_configured(&self, router: SocketAddr) -> bool {
        self.listed().any(|address| address == router)
            || self.networks.iter().any(|network| network.contains(router.ip()))
    }

    /// Records legacy gossip. True where it came from a configured address.
    pub fn record_legacy_gossip(&mut self, now: Time, from: SocketAddr) -> bool {
        let Some(listed) = self.listed.iter_mut().find(|listed| listed.address == from) else { return false };
        listed.last_legacy_gossip_at = now;
        true
    }

    /// Configured addresses that legacy gossip came from recently.
    pub fn recent_legacy_routers(&self, now: Time) -> impl Iterator<Item = SocketAddr> {
        let is_recent =
            move |listed: &&ListedRouter| now - listed.last_legacy_gossip_at < LEGACY_GOSSIP_TIMEOUT;
        self.listed.iter().filter(is_recent).map(|listed| listed.address)
    }
}
