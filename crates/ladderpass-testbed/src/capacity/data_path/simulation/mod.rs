//! A simulation of one router's own code, without sockets, before members that answer after a given time and clients that
//! send statements at random: exact counts, and the CPU time of the router's code alone.
//!
//! Only CPU time is read from a real clock. System calls are not part of it, so no figure of a machine can be taken from
//! here.

mod connections;
mod counts;
mod shape;
mod state;

pub use counts::{Counts, thread_cpu_s};
pub use shape::{MEMBERS_PER_GROUP, Shape};
pub use state::Simulation;
