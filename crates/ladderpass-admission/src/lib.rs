//! Admission control that all routers share: each reports what it was offered and what became of it, and all compute
//! the same admission threshold by group, and this router's limit of RPCs in flight at each member.
//!
//! - [`AdmissionController`] (`controller`): the entry points. It composes the other modules, every 250 ms.
//! - `rates`: moving averages of what this router was offered and served.
//! - `report`: the encoding of what a router reports of a group, the rates of its retry budget included;
//!   `peer_reports`: those received, weighted by age.
//! - `totals`: what all routers were offered and served, from the reports.
//! - `threshold`: how many RPCs a second are admitted, and the priority below which all routers reject.
//! - `capacity`: how many RPCs all routers may have in flight at a member, and this router's quota of it.
//! - `consensus`: how a router's estimate follows those of the others.
//! - `group`: the state of one group; `draw`: the random draw of a session, the same at all routers.
//!
//! The package does no I/O, reads no clock and rejects no RPC: the routing core does, by the threshold
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
