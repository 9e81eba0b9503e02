//! The state of a router, with one module for each kind of state. These modules make no decisions.

pub mod group;
pub mod latency;
pub mod member;
pub mod router_state;
pub mod rpc;
pub mod session;
