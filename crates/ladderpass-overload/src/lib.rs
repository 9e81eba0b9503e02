//! Overload control of the router itself. From resource samples and the work of the event loop, this package computes a
//! pressure from 0 to 1, an admission threshold, and how many connections to accept in an iteration.
//!
//! - [`Governor`] (`governor`): the entry points. It composes the other modules.
//! - `queueing_delay`: how long statements wait for this router, measured and predicted.
//! - `cost_model`: the costs of serving and of rejecting an RPC, learnt by recursive least squares.
//! - `pressure`: one pressure from several gauges, smoothed, and its level with hysteresis.
//! - `priority_histogram`: the distribution of the offered work over priorities, and the threshold that sheds a given
//!   share of it.
//! - `fair_shares`: which connections send much more work than the other connections.
//! - `sample`: the measured resource usage of the process, and its limits.
//! - `settings`: the settings of an operator.
//!
//! The package does no I/O, reads no clock and rejects no RPC. The routing core rejects RPCs, by the threshold that it
//! is given (`docs/design/overload.md`).

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
