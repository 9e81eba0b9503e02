//! Clusters that run the real failure detector in simulated time, with bounds on what they measure.
//! `cargo test -p ladderpass-membership --test model -- --nocapture` prints the measures.

mod convergence;
mod failure_detection;
mod incarnations;
mod partitions;
mod simulation;
