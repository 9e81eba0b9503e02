//! Slopes of a router's control traffic, measured with simulated routers: the rates, CPU time and memory of gossip,
//! membership, health checks and endpoint lists.

mod costs;
mod figures;
mod parallel;
mod rates;
mod reference_size;
mod slopes;

pub use costs::{AdmissionReports, death_detection_s, measure_admission_reports, memory};
pub use figures::figures;
pub use rates::{Rates, SETTLE_TIME, rates, rates_of};
pub use reference_size::{GROUPS, MEMBERS, ROUTERS, STATEMENT_RATE, reference_shape};
pub use slopes::{Settings, measure};
