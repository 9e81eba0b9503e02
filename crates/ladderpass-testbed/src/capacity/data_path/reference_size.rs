//! The reference deployment whose figures docs/CAPACITY.md gives, as one router of it sees it.

/// Groups.
pub const GROUPS: f64 = 313.0;
/// Members of all groups.
pub const MEMBERS: f64 = 940.0;
/// Routers.
pub const ROUTERS: f64 = 460.0;
/// Clients of one router.
pub const CLIENTS: f64 = 5900.0;
/// Statements a second at one router.
pub const STATEMENTS: f64 = 520.0;
