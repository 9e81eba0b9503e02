//! Tests of the reducer without sockets, on a simulated clock: random runs with the invariants checked after every
//! step, parsers and buffers with input that is split and damaged at any byte, and single cases of the behaviour of
//! clients and members.

mod actions;
mod attempts;
mod cancel_requests;
mod checks;
mod client_errors;
#[path = "../common/mod.rs"]
mod common;
mod limits;
mod malformed_answers;
mod parsers;
mod pipelined_rejections;
mod random_runs;
mod rpc_ids;
mod scenarios;
mod simulation;
mod waiting_attempts;
