//! The state of a router: one module for each kind of thing. Nothing here decides.

pub mod group;
pub mod latency;
pub mod member;
pub mod router_state;
pub mod rpc;
pub mod session;
