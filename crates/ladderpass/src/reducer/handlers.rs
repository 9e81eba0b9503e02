//! Handles the events of the reducer, with one module for each mechanism. Each module has methods of `Reducer`, which
//! change the tables in `state` and request effects from the event loop.

mod accept_rpc;
mod attempts;
mod cancellation;
mod client_input;
mod connection_events;
mod connection_limits;
mod deadlines;
mod discovery_watch;
mod endpoint_list;
mod eviction;
mod member_answers;
mod member_jobs;
mod member_pools;
mod overload;
mod peers;
mod rejections;
mod rpc_answers;
mod shutdown;
mod stats_log;
