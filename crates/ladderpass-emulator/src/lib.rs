//! Emulated members and an emulated discovery service for tests, load generation and experiments. The members have
//! cores, queues and replication logs, and are reached through the protocols that the router uses.
//!
//! - `model` is a deterministic model without I/O: it takes requests and the time, returns replies, and draws random
//!   numbers from a seed.
//! - `loopback` runs the model on loopback sockets.
//! - `scenario` is the YAML file that describes the members, and `scenario_error` the reasons to reject one.
//! - `execution_log` records which statements ran at which member, for the history checkers.
//! - `proto` encodes and decodes PostgreSQL's wire protocol, and `clock` is the clock that all of these share.
//!
//! The emulator has no access to a router's state, and a router uses this crate only in its tests.

pub mod clock;
pub mod execution_log;
pub mod loopback;
pub mod model;
pub mod proto;
pub mod scenario;
mod scenario_error;

pub use clock::{now, time_of};
pub use execution_log::ExecutionLog;
pub use loopback::RunningEmulator;
pub use model::{ConnectionId, Input, Model, Output, Reply, Request};
pub use scenario::Scenario;
pub use scenario_error::ScenarioError;
