//! Clusters of routers that run the real failure detector in simulated time. The tests check bounds on detection times,
//! false deaths, convergence and traffic.
//!
//! `cargo test -p ladderpass-membership --test model -- --nocapture` prints the measured values.

mod convergence;
mod failure_detection;
mod incarnations;
mod partitions;
mod simulation;
