//! The reference deployment whose figures docs/CAPACITY.md gives.

use crate::capacity::simulated_routers::Shape;

/// Routers of the reference size.
pub const ROUTERS: usize = 460;
/// Groups of the reference size.
pub const GROUPS: usize = 313;
/// Members of the reference size.
pub const MEMBERS: usize = 940;
/// Statements a second at one router of the reference size.
pub const STATEMENT_RATE: f64 = 522.0;

/// A shape with the rate of statements for each pair of router and group that the reference size has.
pub fn reference_shape(routers: usize, groups: usize, seed: u64) -> Shape {
    let members = groups * MEMBERS / GROUPS;
    Shape {
        members,
        rate: STATEMENT_RATE * groups as f64 / GROUPS as f64,
        seed,
        ..Shape::of(routers, groups)
    }
}
