//! A retry budget that all routers share: how many retries all may spend on a group, and this router's quota of it.
//!
//! - [`RetryBudget`] (`budget`): withdrawals, refunds, and the step that computes the budget anew.
//! - `quota`: the budget of all routers and this router's quota, from the rates of all.
//! - `rates`: rates of first attempts and retries, as routers report them.
//! - `metrics`: what the log shows; `faulty`: deliberate faults for tests.
//!
//! What all routers spend stays within a ratio of their first attempts, up to the age of reports and one saved retry a
//! router. The ratio is high while retries succeed and near zero while they fail. What a router does not need the
//! others get; one that receives too few reports keeps its quota, never more.
//!
//! The package does no I/O and reads no clock. It never decides what becomes of an RPC whose retry is denied
//! (`docs/design/fleet-budgets.md`).

mod budget;
mod faulty;
mod metrics;
mod quota;
mod rates;

pub use budget::RetryBudget;
pub use faulty::Faulty;
pub use metrics::GroupMetrics;
pub use rates::{RetryRates, WeightedRates};
