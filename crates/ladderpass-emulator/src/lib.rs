//! Emulated members and an emulated discovery service, for tests, loads and experiments: members with cores, queues and
//! replication logs, behind the protocols that the router speaks.
//!
//! - `model` is pure: requests and the time in, replies out, random draws from a seed.
//! - `loopback` drives it on sockets.
//! - `scenario` is the YAML file that describes the members, `scenario_error` why one can't be used.
//! - `execution_log` records what ran where, for the history checkers.
//!
//! The emulator knows nothing of a router's state, and no router uses it.

pub mod clock;
pub mod execution_log;
pub mod loopback;
pub mod model;
pub mod proto;
pub mod scenario;
mod scenario_error;

pub use clock::now;
pub use execution_log::ExecutionLog;
pub use loopback::RunningEmulator;
pub use model::{ConnectionId, Input, Model, Output, Reply, Request};
pub use scenario::Scenario;
pub use scenario_error::ScenarioError;
