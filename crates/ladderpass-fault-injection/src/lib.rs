//! A fault-injecting proxy for loopback sockets. Each link listens on a loopback address and forwards to another one,
//! and the rules of a plan define which faults are injected into the traffic.
//!
//! - `plan` reads and checks the input: links, and rules with a trigger and an action each.
//! - `stream` finds messages in a stream of bytes, independently of how the bytes are split into reads.
//! - `engine` decides without input or output: it takes received bytes and the time, returns operations on connections,
//!   and records each decision.
//! - `driver` owns the sockets, and `control` executes commands while the tool runs.
//! - `datagrams` and `datagram_driver` are the engine and the driver for datagrams.
//!
//! The tool injects no fault that neither the plan nor a command asks for, and connects to loopback addresses only.

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
