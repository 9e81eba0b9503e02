//! Proofs. Each proof runs the testbed, compares its measurements with fixed requirements, and prints one table. A proof
//! passes if every requirement of its table holds.
//!
//! A requirement is a constant or a ratio between runs of the same proof. No requirement depends on the seed.

pub mod capacity;
mod checks;
pub mod faults;
pub mod fleet_budgets;
pub mod fleet_overload;
pub mod fleet_ramp;
pub mod membership;
pub mod overload;
mod parallel;
mod scenarios;
mod table;
mod traffic;

pub use table::Table;
