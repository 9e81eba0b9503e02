//! A simulation of one router's own code, without sockets, before members that answer after a given time and clients that
//! send statements at random: exact counts, and the CPU time of the router's code alone.
//!
//! Only CPU time is read from a real clock. System calls are not part of it, so no figure of a machine can be taken from
//! here.

mod connections;
mod counts;
mod shape;
mod state;

pub use counts::{Counts, cpu};
pub use shape::{OF_GROUP, Shape};
pub use state::Simulation;
