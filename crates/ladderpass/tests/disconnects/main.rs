//! Connections, watches of the endpoint list and processes that end at the worst moment, reproducibly, over real
//! connections on loopback (`docs/endings.md`). The test plays the clients, the members and discovery, and decides when
//! each byte is sent. To make several things happen at once for the router, the test pauses the router's process.

mod cancel_requests;
mod client_burst;
mod client_close;
#[path = "../common/mod.rs"]
mod common;
mod crossing_closes;
mod descriptors;
mod endpoint_list;
mod pipelined_clients;
#[path = "../router_harness/mod.rs"]
mod router_harness;
mod shutdown;
