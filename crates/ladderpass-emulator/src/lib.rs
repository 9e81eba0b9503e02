//! An emulated fleet for tests, loads and experiments: members with cores, queues and logs, and a discovery service.
//!
//! `model` is pure: inputs and the time in, outputs out, chance from a seed. `loopback` drives it on sockets with the
//! protocols that the router speaks. `scenario` is what one YAML file tells; `truth` is what ran where, for checkers. It
//! must never know a router's beliefs, nor be used by one.

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
