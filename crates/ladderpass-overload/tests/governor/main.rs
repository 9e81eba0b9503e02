//! The governor before a simulated router: one server with fixed costs for serving and rejecting, random clients from a
//! seed, and the routing core, which rejects. Each run is the same again; each case fails without the governor.

mod resources;
mod shedding;
mod simulation;
