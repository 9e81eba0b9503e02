//! Tests of routers that run the real admission control in simulated time, with bounds on the measured results.
//! `cargo test -p ladderpass-admission --test model -- --nocapture` prints the results.

mod capacity;
mod reports;
mod simulation;
mod threshold;
