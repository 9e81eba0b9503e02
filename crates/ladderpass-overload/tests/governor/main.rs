//! Tests of the governor in a simulated router: one server with fixed costs for serving and rejecting, the routing
//! core, which rejects RPCs, and clients that send at random. Runs are deterministic, since each case has a fixed seed.
//! Each case fails without the governor.

mod resources;
mod shedding;
mod simulation;
