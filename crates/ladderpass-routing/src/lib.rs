//! ladderpass decides which member of a group (a primary and its replicas) serves each RPC.
//!
//! This crate knows no wire: a front decodes what it hears into calls on [`Router`] and on the handle
//! [`Rpc`], and carries out the [`Decision`]s it gets back.

mod decide;
pub mod reasons;
pub mod reference_clock;
pub mod sliding_window;
mod state;
pub mod time;
pub mod types;

pub use decide::Router;
pub use time::{Span, Time};
pub use types::*;
