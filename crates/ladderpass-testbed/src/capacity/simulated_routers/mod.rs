//! Simulated routers: many real reducers in one process, with a simulated clock, network, members, discovery and clients.
//!
//! All decisions and messages of the routers come from the router's own code. The simulation determines which peers can
//! reach each other and when bytes arrive, and counts the messages. The same shape and seed give the same simulation,
//! except for CPU times.

mod clients;
mod connections;
mod counts;
mod discovery;
mod event_loop;
mod member;
mod settings;
mod shape;
mod simulation;

pub use counts::{Cost, Counts, Flow, Subject, thread_cpu_time};
pub use member::Member;
pub use settings::{member_id, read_launch, router_address, write_config};
pub use shape::{REGION_OF_ZONE, Shape, ZONES};
pub use simulation::Simulation;
