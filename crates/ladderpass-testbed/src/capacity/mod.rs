//! Capacity measurements: how the load on a router and on a member grows. docs/CAPACITY.md computes the size of a
//! deployment from these slopes.

pub mod control;
pub mod data_path;
pub mod events;
pub mod simulated_routers;
pub mod slope;
pub mod traffic;
