//! The size of the reference deployment, for which docs/CAPACITY.md gives the figures.

use crate::capacity::simulated_routers::Shape;

/// Number of routers at the reference size.
pub const ROUTERS: usize = 460;
/// Number of groups at the reference size.
pub const GROUPS: usize = 313;
/// Number of members at the reference size.
pub const MEMBERS: usize = 940;
/// Statements a second that one router of the reference size receives.
pub const STATEMENT_RATE: f64 = 522.0;

/// Returns a shape in which each pair of a router and a group has the same statement rate as at the reference size.
pub fn reference_shape(routers: usize, groups: usize, seed: u64) -> Shape {
    let members = groups * MEMBERS / GROUPS;
    Shape {
        members,
        rate: STATEMENT_RATE * groups as f64 / GROUPS as f64,
        seed,
        ..Shape::of(routers, groups)
    }
}
