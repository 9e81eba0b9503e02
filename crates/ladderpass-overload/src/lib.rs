//! Overload of the router itself: resource samples and the work of the event loop come in; a pressure from 0 to 1, an
//! admission threshold, and the pace of accepts come out.
//!
//! - [`Governor`] (`governor`): the entry points. It composes the other modules.
//! - `queueing_delay`: how long statements wait for this router, measured and predicted.
//! - `cost_model`: what serving and rejecting an RPC cost, learnt by recursive least squares.
//! - `pressure`: one pressure from several gauges, smoothed, and its level with hysteresis.
//! - `priority_histogram`: how the offered work spreads over priorities, and the threshold that sheds a share of it.
//! - `fair_shares`: which connections take much more than their share.
//! - `sample`: what is measured of the process, and its limits; `settings`: what an operator can set.
//!
//! The package does no I/O, reads no clock and rejects no RPC: the routing core does, by the threshold that it is given
//! (`docs/design/overload.md`).

mod cost_model;
mod fair_shares;
mod governor;
mod pressure;
mod priority_histogram;
mod queueing_delay;
mod sample;
mod settings;

pub use cost_model::{CostModel, Work};
pub use fair_shares::{ClientUsage, FairShares};
pub use governor::{Governor, OverloadEvent};
pub use pressure::{Gauge, Level, Pressure};
pub use priority_histogram::PriorityHistogram;
pub use sample::{ResourceLimits, ResourceSample};
pub use settings::{Band, Settings};
