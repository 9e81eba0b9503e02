//! The router as a library: the process (`main.rs`) runs it on sockets, the lab in worlds without any.
//!
//! It owns the parts' order alone. It must never hold anything.

pub mod arrival;
pub mod buffer;
mod connection_table;
pub mod discovery;
mod failures;
pub mod faulty;
pub mod launch;
pub mod limits;
pub mod pg;
pub mod reducer;
pub mod sockets;
