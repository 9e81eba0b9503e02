//! Overload answered by the fleet as one, without I/O or clock: what this router measured and what others told in, words
//! for the others, a floor by group and this router's part of each member's room out.
//!
//! `word` is the form of what is told. `concert` reckons: from what all asked and what members served, which ranks all
//! refuse, and how much may be in flight at each member. Each router reckons alone, by the same rule on the same words.
//!
//! It owns the floor and the parts. It must never refuse an RPC (the core does), nor ask anything of a member.

mod controller;
mod report;

pub use controller::{AdmissionController, Faulty, GroupMetrics, MemberLimits, admission_draw};
#[doc(hidden)]
pub use report::REPORT_VERSION;
pub use report::{GroupReport, MemberReport, read, write};
