//! A simulation that runs the code of one router without sockets. Its members answer after a given time, and its clients
//! send statements at random. It gives exact counts, and the CPU time of the router's code alone.
//!
//! Only CPU time is read from a real clock. It does not include system calls, so that it does not show the load of a whole
//! machine.

mod connections;
mod counts;
mod shape;
mod state;

pub use counts::{Counts, thread_cpu_s};
pub use shape::{MEMBERS_PER_GROUP, Shape};
pub use state::Simulation;
