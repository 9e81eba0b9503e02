//! Proofs: each runs the testbed, compares what it measured with fixed requirements, and prints one table. A proof passes
//! if every requirement of its table holds.
//!
//! Requirements are constants or ratios between runs of the same proof; none depends on the seed.

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
