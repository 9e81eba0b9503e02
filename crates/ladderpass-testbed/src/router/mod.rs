//! A router as a child process: its settings are written, it is started, pinned to a core, observed and stopped.
//!
//! | module | job |
//! | --- | --- |
//! | `start` | how a router is started: its program, limits and settings |
//! | `process` | the process, from its start to its end; its log and its temporary files |
//! | `resource_usage` | CPU time and memory of a process |
//! | `address` | free loopback addresses to listen on |
//! | `affinity` | which cores processes and threads run on |

mod address;
mod affinity;
mod process;
mod resource_usage;
mod start;

pub use address::free_loopback_address;
pub use affinity::{cores, exclude_core, pin};
pub use process::Router;
pub use resource_usage::ResourceUsage;
pub use start::Start;
