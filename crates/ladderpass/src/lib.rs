//! The router as a library. The process (`main.rs`) runs the router on sockets, and simulations run the router without
//! sockets.
//!
//! Data flows in one direction: `sockets` turns readiness, timers and signals into events and passes them to `reducer`,
//! which holds all state and returns effects for `sockets` to carry out.

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
