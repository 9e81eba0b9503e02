//! The router on real sockets. The modules of `sockets` turn readiness, timers and signals into events for the reducer,
//! and carry out the effects that the reducer returns.
//!
//! These modules own the sockets and the clock. The reducer decides which connection is used, when, and what is written
//! on it.
//!
//! | module | what it does |
//! | --- | --- |
//! | `start` | opens all sockets and registers them with the event loop, with retries |
//! | `signals` | registers the handlers of signals |
//! | `event_loop` | waits for events, and runs one iteration after another |
//! | `server` | holds the state that all iterations share, and passes events to the reducer |
//! | `effects` | carries out the reducer's effects |
//! | `accept` | accepts clients from the listener |
//! | `listener` | holds the listening socket, and enables or disables it in the event loop |
//! | `connection_io` | connects, reads, writes and closes connections |
//! | `deferred` | lists calls that failed temporarily and are made again |
//! | `datagrams` | sends and receives the messages between routers |
//! | `reload` | reads the configuration again after SIGHUP |
//! | `clock` | gives the time, and how long bytes had waited in the kernel |
//! | `resource_usage` | measures the resources that the process uses |

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
mod signals;
mod start;

pub use event_loop::{RunError, run};
pub use signals::block_reload_signal;
pub use start::StartError;
