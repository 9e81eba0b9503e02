//! The tables that make up the state of `Reducer`. Each table has a module of its own, and its fields are private to
//! that module. Only `Connection` opens some of its fields to the handlers.
//!
//! A table depends neither on the reducer nor on its events. The handlers change a table through its methods.

pub(super) mod cancel_keys;
pub(super) mod client;
pub(super) mod client_table;
pub(super) mod connection_limits;
pub(super) mod connections;
pub(super) mod discovery_watch;
pub(super) mod endpoint_indexes;
mod input_arrivals;
pub(super) mod member_connection;
pub(super) mod member_pools;
pub(super) mod methods;
pub(super) mod overload_monitor;
pub(super) mod peer_links;
pub(super) mod query_answer;
mod rpc_ids;
pub(super) mod rpc_table;
pub(super) mod shutdown;
pub(super) mod stats;
