//! Requirements of the operators' pages at their limits, over real connections (`docs/terms-audit.md`): events at the
//! earliest and the latest moment allowed, repeated or in quick succession, and with a second failure inside the
//! window.

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

/// Short for `Duration::from_millis`.
pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
