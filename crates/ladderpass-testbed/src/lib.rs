//! Test tooling for routers: loads, drills, proofs, capacity measurements, results and charts, before an emulated fleet.
//!
//! The program `ladderpass-testbed` and the tests use it; routers don't depend on it.

pub mod capacity;
pub mod chaos;
pub mod charts;
pub mod drill;
pub mod history_checker;
pub mod load;
pub mod prove;
pub mod results;
pub mod router;
pub mod router_log;
pub mod run;
