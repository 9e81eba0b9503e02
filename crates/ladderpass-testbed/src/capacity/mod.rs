//! Slopes of what a router, a control machine and a member bear, from which docs/CAPACITY.md works out a
//! size.
//!
//! It owns the parts' order alone. It must never be needed by a router that serves.

pub mod control;
pub mod data_path;
pub mod events;
pub mod hollow;
pub mod slope;
