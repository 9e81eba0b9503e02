//! ladderpass decides which member of a group (a primary and its replicas) serves each RPC.
//!
//! This crate contains no wire protocol and reads no clock. A front (the program around this crate) decodes what it
//! receives into calls on [`Router`] and on the handle [`RpcId`], and carries out each [`Decision`] that they return.
//! Each mechanism is a module of functions over the router's state. The module `router` contains only the public calls.

#![warn(clippy::too_many_lines)]

mod attempt;
mod attempt_outcome;
mod concurrency_limit;
mod eligibility;
mod endpoints;
mod exception_log;
pub mod fnv1a;
mod gossip;
mod health_check;
mod health_check_schedule;
mod load;
mod outlier_ejection;
mod pending;
mod position;
mod primary;
pub mod reasons;
pub mod reference_clock;
mod rejection;
mod retry;
mod router;
mod selection;
pub mod sliding_window;
mod slow_start;
mod staleness;
mod state;
pub mod time;
pub mod types;

pub use router::Router;
pub use time::{Span, Time};
pub use types::*;
