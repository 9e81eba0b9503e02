//! The size of the reference deployment, for which docs/CAPACITY.md gives the figures, from the view of one router.

/// Groups of the reference size.
pub const GROUPS: f64 = 313.0;
/// Members of all groups of the reference size.
pub const MEMBERS: f64 = 940.0;
/// Routers of the reference size.
pub const ROUTERS: f64 = 460.0;
/// Clients of one router of the reference size.
pub const CLIENTS: f64 = 5900.0;
/// Statements a second that one router of the reference size receives.
pub const STATEMENTS: f64 = 520.0;
