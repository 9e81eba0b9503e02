//! The router on real sockets: turns readiness, timers and signals into events for the reducer, and carries out the
//! effects that it returns.
//!
//! The modules here own the sockets and the clock. They decide nothing: which connection is used, when, and what is
//! written on it is up to the reducer.
//!
//! | module | what it does |
//! | --- | --- |
//! | `start` | opens all sockets and registers them with the event loop, with retries |
//! | `event_loop` | waits for events, and runs one iteration after another |
//! | `server` | the state that all iterations share; hands events to the reducer |
//! | `effects` | carries out the reducer's effects |
//! | `accept` | takes clients from the listener; `listener` is its socket, and whether it is enabled |
//! | `connection_io` | connects, reads, writes and closes connections |
//! | `deferred` | calls that failed for a moment and are made again |
//! | `datagrams` | messages of other routers |
//! | `reload` | reads the configuration again after SIGHUP |
//! | `clock`, `resource_usage` | the time; what the process uses |

mod accept;
mod clock;
mod connection_io;
mod datagrams;
mod deferred;
mod effects;
mod event_loop;
mod listener;
mod reload;
mod resource_usage;
mod server;
mod start;

pub use event_loop::{RunError, run};
pub use start::StartError;
