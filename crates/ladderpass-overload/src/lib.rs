//! A front's own overload: what it measures of itself goes in, one pressure comes out, and from it the floor that an
//! RPC's rank must reach to be taken, the pace at which it accepts, and how long it waits for slow readers.
//!
//! It owns the front's belief about its own state. It does no I/O and reads no clock, and it must never refuse an RPC:
//! the core does, with the floor that stands here (`docs/design/overload.md`).

mod cost_model;
mod fair_shares;
mod governor;
mod pressure;
mod priority_histogram;
mod sample;
mod settings;

pub use cost_model::{CostModel, Work};
pub use fair_shares::{ClientUsage, FairShares};
pub use governor::{Governor, OverloadEvent};
pub use pressure::{Gauge, Level, Pressure};
pub use priority_histogram::PriorityHistogram;
pub use sample::{ResourceLimits, ResourceSample};
pub use settings::{Band, Settings};
