//! Test tooling for routers in front of emulated members: loads, drills, proofs, capacity measurements, results and charts.
//!
//! The program `ladderpass-testbed` and the tests use this package. Routers don't depend on it.
//!
//! | module | job |
//! | --- | --- |
//! | [`router`] | starts, pins, observes and stops a router as a child process |
//! | [`router_log`] | parses log lines of routers |
//! | [`load`] | load generator (clients, their arrivals and retries, the outcome of each RPC) and prober |
//! | [`run`] | executes one run with an emulator, one router, a load and fault events, and records it |
//! | [`drill`] | plays a YAML file with several routers and faults between all processes; records and reports it |
//! | [`history_checker`] | checks five invariants on the records of clients, the fault tool and members |
//! | [`chaos`] | searches for fault plans that break an invariant |
//! | [`results`] | prints results of a load as a table, writes them as JSON lines, and reports on such files |
//! | [`charts`] | draws charts as SVG |
//! | [`prove`] | proofs of finished subsystems, each of which prints one table |
//! | [`capacity`] | measures how cost grows with the size of a fleet, with real and simulated routers |

#![warn(clippy::too_many_lines)]

pub mod capacity;
pub mod chaos;
pub mod charts;
pub mod drill;
pub mod history_checker;
pub mod load;
pub mod prove;
pub mod results;
pub mod router;
pub mod router_log;
pub mod run;
mod step_error;
