//! A tool between sockets: its links listen on loopback and forward to an address, and a plan of rules says what is
//! done to what passes.
//!
//! - `plan` is the input: rules, each a trigger and an action, checked.
//! - `stream` finds messages in bytes, however they are split into reads.
//! - `engine` is the pure part: what arrives and the time in, operations on connections out, with a record of each
//!   decision.
//! - `driver` owns the sockets, `control` the commands while it runs.
//! - `datagrams` and `datagram_driver` are engine and driver for datagrams.
//!
//! It does nothing that the plan doesn't say, and never connects off loopback.

pub mod control;
pub mod datagram_driver;
pub mod datagrams;
pub mod driver;
pub mod engine;
pub mod errors;
pub mod plan;
pub mod protocol;
mod random;
pub mod record;
pub mod stream;

pub use datagram_driver::RunningDatagrams;
pub use datagrams::TrafficCounts;
pub use engine::{ConnectionId, Engine, Operation, ScheduledOperation};
pub use plan::{Action, DatagramAction, DatagramPlan, DatagramRule, End, Plan, Protocol, Rule, Side};
pub use record::{Decision, first_difference};
