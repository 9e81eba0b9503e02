//! Emulated members and an emulated discovery service, for tests, loads and experiments: members with cores, queues and
//! replication logs, behind the protocols that the router speaks.
//!
//! - `model` is pure: requests and the time in, replies out, random draws from a seed.
//! - `loopback` drives it on sockets.
//! - `scenario` is the YAML file that describes the members.
//! - `truth` records what ran where, for the history checkers.
//!
//! The emulator knows nothing of a router's state, and no router uses it.

pub mod clock;
pub mod loopback;
pub mod model;
pub mod proto;
pub mod scenario;
pub mod truth;

pub use clock::now;
pub use loopback::Running;
pub use model::{Ask, Conn, Input, Model, Output, Reply};
pub use scenario::Scenario;
pub use truth::Truth;
