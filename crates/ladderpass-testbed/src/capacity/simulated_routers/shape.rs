//! What a simulation is made of: routers, groups and members, their load and their network.

use ladderpass_routing::Span;

/// A simulation's size, load and network.
#[derive(Clone, Debug)]
pub struct Shape {
    /// How many routers there are.
    pub routers: usize,
    /// How many groups of members there are.
    pub groups: usize,
    /// Members of all groups together; the first of each group is its primary.
    pub members: usize,
    /// Statements a second that come to a router, over all groups.
    pub rate: f64,
    /// Fraction of the statements that write.
    pub writes: f64,
    /// Routers are peers: they gossip.
    pub peers: bool,
    /// Routers shed load and use retry budgets together.
    pub fleet: bool,
    /// One-way latency between any two.
    pub latency: Span,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Routers whose CPU time is measured, from the first on.
    pub observed: usize,
    /// Routers start with a cached endpoint list.
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
    /// Groups of three members.
    pub fn of(routers: usize, groups: usize) -> Shape {
        Shape { routers, groups, members: 3 * groups, ..Shape::default() }
    }

    /// The group of a member.
    pub fn group_of(&self, member: usize) -> usize {
        member % self.groups
    }

    /// The zone of a member: those of a group are in different ones.
    pub(super) fn zone_of_member(&self, member: usize) -> usize {
        (self.group_of(member) + 3 * (member / self.groups)) % ZONES
    }
}

/// Zones, among which routers and members are spread evenly.
pub const ZONES: usize = 8;
/// The region that each zone is in.
pub const REGION_OF_ZONE: [usize; ZONES] = [0, 0, 0, 1, 1, 1, 2, 2];
