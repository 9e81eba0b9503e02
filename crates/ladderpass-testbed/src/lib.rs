//! Loads, experiments, proofs and charts on the emulated fleet, for the command and for tests.
//!
//! It owns how a router is put to the test. It must never be needed by a router that serves.

pub mod capacity;
pub mod chaos;
pub mod charts;
pub mod drill;
pub mod history_checker;
pub mod load;
pub mod prove;
pub mod results;
pub mod router;
pub mod run;
