//! The size of the reference deployment, for which docs/CAPACITY.md gives the figures, from the view of one router.

/// Number of groups at the reference size.
pub const GROUPS: f64 = 313.0;
/// Number of members of all groups at the reference size.
pub const MEMBERS: f64 = 940.0;
/// Number of routers at the reference size.
pub const ROUTERS: f64 = 460.0;
/// Number of clients of one router at the reference size.
pub const CLIENTS: f64 = 5900.0;
/// Statements per second that one router receives at the reference size.
pub const STATEMENTS: f64 = 520.0;
