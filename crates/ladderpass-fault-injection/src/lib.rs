//! A tool between sockets: links listen on loopback and forward to an address, and do to what passes what a plan says.
//!
//! `plan` is what is told: rules, each a trigger and an action, checked. `stream` finds messages in bytes, however these
//! come in. `engine` is the pure part: what comes in and the time, and what is to be done out, with a record of each
//! decision. `driver` has the sockets. `datagrams` and `mesh` are the same two parts
//! for datagrams. It must never act on anything but the plan, nor lead off loopback.

pub mod control;
pub mod datagrams;
pub mod driver;
pub mod engine;
pub mod mesh;
pub mod plan;
pub mod record;
pub mod stream;
pub mod talk;

pub use datagrams::{DatagramRule, Deed, End, MeshPlan, Sent};
pub use engine::{Conn, Do, Engine, What};
pub use mesh::RunningMesh;
pub use plan::{Action, Plan, Rule, Side, Talk};
pub use record::{Decision, difference};
