//! Places that fault events refer to (`rN`, `member-N`, `discovery`, `front`), and the links between them.

use super::file::Drill;

/// An end of a link: a router, a member, discovery, or all clients.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Place {
    Router(usize),
    Member(usize),
    Discovery,
    /// All clients and their load balancer, which the file calls `front`.
    Clients,
}

impl Drill {
    /// Returns the router, member, discovery or `front` (all clients) that a fault event refers to by this
    /// name, or `None` if the drill has none of this name.
    pub(super) fn place(&self, name: &str) -> Option<Place> {
        if let Some(router) = self.router(name) {
            return Some(Place::Router(router));
        }
        match name {
            "discovery" => return Some(Place::Discovery),
            "front" => return Some(Place::Clients),
            _ => {}
        }
        let member: usize = name.strip_prefix("member-")?.parse().ok()?;
        (member < self.scenario.member_count()).then_some(Place::Member(member))
    }

    /// Returns the name of the fault tool's link between two places, or `None` where there is no link. There is no link
    /// between two routers, since they exchange only datagrams.
    pub fn link(&self, one: &str, other: &str) -> Option<String> {
        match (self.place(one)?, self.place(other)?) {
            (Place::Router(router), Place::Member(member))
            | (Place::Member(member), Place::Router(router)) => Some(format!("r{router}>member-{member}")),
            (Place::Router(router), Place::Discovery) | (Place::Discovery, Place::Router(router)) => {
                Some(format!("r{router}>discovery"))
            }
            (Place::Router(router), Place::Clients) | (Place::Clients, Place::Router(router)) => {
                Some(format!("front>r{router}"))
            }
            _ => None,
        }
    }

    /// Returns the names of the links between different sides of a split.
    pub fn split_links(&self, sides: &[Vec<String>]) -> Vec<String> {
        let mut links = Vec::new();
        for (index, side) in sides.iter().enumerate() {
            for other in sides.iter().skip(index + 1) {
                let pairs = side.iter().flat_map(|one| other.iter().map(move |two| (one, two)));
                links.extend(pairs.filter_map(|(one, two)| self.link(one, two)));
            }
        }
        links
    }
}
