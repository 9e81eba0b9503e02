//! Capacity: slopes of the load on a router and a member, from which docs/CAPACITY.md works out the size of a deployment.

pub mod control;
pub mod data_path;
pub mod events;
pub mod simulated_routers;
pub mod slope;
pub mod traffic;
