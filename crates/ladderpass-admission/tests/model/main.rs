//! Routers that run the real admission control in simulated time, with bounds on what they measure.
//! `cargo test -p ladderpass-admission --test model -- --nocapture` prints the measures.

mod capacity;
mod reports;
mod simulation;
mod threshold;
