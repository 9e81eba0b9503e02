//! A retry budget that all routers share: how many retries all routers together may spend on a group, and this router's
//! quota of these retries.
//!
//! - [`RetryBudget`] (`budget`): withdrawals, refunds, and the step that recomputes the quotas.
//! - `quota`: the budget of all routers and this router's quota, from the rates of all routers.
//! - `rates`: rates of first attempts and retries, as routers report them.
//! - `metrics`: the metrics for the log.
//! - `faulty`: deliberate faults for tests.
//!
//! The retries of all routers stay within a ratio of the routers' first attempts. The retries may exceed the ratio
//! because reports are some time old, and by the one retry that each router may have saved. The ratio is high while
//! retries succeed and near zero while they fail. The quota that a router does not need goes to the other routers. A
//! router that receives too few reports does not raise its quota.
//!
//! The package does no I/O and reads no clock. The caller decides how to handle an RPC whose retry the budget does not
//! grant (`docs/design/fleet-budgets.md`).

mod budget;
mod faulty;
mod metrics;
mod quota;
mod rates;

pub use budget::RetryBudget;
pub use faulty::Faulty;
pub use metrics::GroupMetrics;
pub use rates::{RetryRates, WeightedRates};
