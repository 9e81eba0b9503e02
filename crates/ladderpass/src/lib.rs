//! The router as a library: the process (`main.rs`) runs it on sockets, simulations run it without any.
//!
//! Events go one way: `sockets` turns readiness, timers and signals into events, and hands them to `reducer`, which
//! holds all state and returns effects for `sockets` to carry out.

pub mod buffer;
mod connection_table;
pub mod discovery;
pub mod faulty;
mod io_errors;
pub mod launch;
pub mod limits;
pub mod pg;
pub mod reducer;
pub mod sockets;
pub mod wall_clock;
