//! Clauses of the operators' pages at their extremes, over real connections (`docs/terms-audit.md`): at the earliest and the
//! latest moment, twice, in series, with a second failure inside the window.

mod attempts;
#[path = "../common/mod.rs"]
mod common;
mod endpoint_list;
mod memory;
mod rejections;
#[path = "../router_harness/mod.rs"]
mod router_harness;
mod shutdown;

use std::time::Duration;

/// A time in milliseconds.
pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
