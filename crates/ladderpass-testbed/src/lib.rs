//! Test tooling for routers: loads, drills, proofs, capacity measurements, results and charts, before emulated members.
//!
//! The program `ladderpass-testbed` and the tests use it; routers don't depend on it.
//!
//! | module | job |
//! | --- | --- |
//! | [`router`] | a router as a child process: started, pinned, observed, stopped |
//! | [`router_log`] | what log lines of routers say |
//! | [`load`] | load generator: clients, their arrivals and retries, what became of each RPC; the prober |
//! | [`run`] | one run: emulator, one router, load, fault events, and the record of all |
//! | [`drill`] | several routers with faults between all of them, from a YAML file; its record and report |
//! | [`history_checker`] | the five invariants over what clients, the fault tool and members saw |
//! | [`chaos`] | search for plans of faults that break an invariant |
//! | [`results`] | results of a load as a table and as JSON lines, and reports of these |
//! | [`charts`] | charts as SVG |
//! | [`prove`] | proofs of finished subsystems, one table each |
//! | [`capacity`] | how cost grows with the size of a fleet: measured slopes, simulated routers |

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
