//! The parameters of a simulation: routers, groups and members, their load and their network.

use ladderpass_routing::Span;

/// The size, load and network of a simulation.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Number of routers.
    pub routers: usize,
    /// Number of groups of members.
    pub groups: usize,
    /// Number of members of all groups together. The first member of each group is its primary.
    pub members: usize,
    /// Statements a second that a router receives for all groups together.
    pub rate: f64,
    /// Fraction of the statements that write.
    pub writes: f64,
    /// Whether the routers know each other as peers and gossip.
    pub peers: bool,
    /// Whether the routers shed load and use retry budgets jointly, as a fleet.
    pub fleet: bool,
    /// Mean one-way latency between any two peers.
    pub latency: Span,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Number of routers whose CPU time is measured, beginning with the first.
    pub observed: usize,
    /// Whether the routers start with a cached endpoint list.
    pub cached_endpoints: bool,
    /// Seed of all random draws.
    pub seed: u64,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            routers: 16,
            groups: 8,
            members: 24,
            rate: 25.0,
            writes: 0.2,
            peers: true,
            fleet: false,
            latency: Span::from_nanos(250_000),
            loss: 0.0,
            observed: 0,
            cached_endpoints: false,
            seed: 1,
        }
    }
}

impl Shape {
    /// Returns a shape whose groups have three members each.
    pub fn of(routers: usize, groups: usize) -> Shape {
        Shape { routers, groups, members: 3 * groups, ..Shape::default() }
    }

    /// Returns the group of a member.
    pub fn group_of(&self, member: usize) -> usize {
        member % self.groups
    }

    /// Returns the zone of a member. The members of a group are in different zones, if there are at most [`ZONES`] of them.
    pub(super) fn zone_of_member(&self, member: usize) -> usize {
        (self.group_of(member) + 3 * (member / self.groups)) % ZONES
    }
}

/// Number of zones, over which routers and members are spread evenly.
pub const ZONES: usize = 8;
/// The region that each zone is in.
pub const REGION_OF_ZONE: [usize; ZONES] = [0, 0, 0, 1, 1, 1, 2, 2];
