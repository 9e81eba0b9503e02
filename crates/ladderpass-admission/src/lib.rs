//! Admission control that all routers share. Each router reports the RPCs that it was offered and their outcomes. From
//! these reports each router computes, for each group, the admission threshold that is the same at all routers, and
//! this router's own limits of RPCs in flight at the members.
//!
//! - [`AdmissionController`] (`controller`): the entry points. It composes the other modules, every 250 ms.
//! - `rates`: moving averages of the rates of RPCs that this router was offered and served.
//! - `report`: the encoding of a router's report of a group, which includes the rates of its retry budget.
//! - `peer_reports`: the reports received from other routers, weighted by age.
//! - `totals`: the rates of RPCs that all routers were offered and served, from the reports.
//! - `threshold`: how many RPCs a second are admitted, and the priority below which all routers reject.
//! - `capacity`: how many RPCs all routers may have in flight at a member, and this router's quota of these RPCs.
//! - `consensus`: how a router's estimate follows the estimates of the other routers.
//! - `group`: the state of one group.
//! - `draw`: the random draw of a session, which is the same at all routers.
//! - `faulty`: deliberate faults for tests.
//!
//! The package does no I/O, reads no clock and rejects no RPC. The routing core rejects RPCs, by the threshold
//! (`docs/design/fleet-overload.md`).

mod capacity;
mod consensus;
mod controller;
mod draw;
mod faulty;
mod group;
mod peer_reports;
mod rates;
mod report;
mod threshold;
mod totals;

pub use capacity::{MemberLimit, MemberLimits};
pub use controller::AdmissionController;
pub use draw::admission_draw;
pub use faulty::Faulty;
pub use group::GroupMetrics;
#[doc(hidden)]
pub use report::REPORT_VERSION;
pub use report::{GroupReport, MemberReport, OfferedRate, append_report, decode_reports};
pub use threshold::GroupThreshold;
