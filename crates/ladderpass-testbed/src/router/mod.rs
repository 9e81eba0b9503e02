//! Runs a router as a child process: writes its settings, starts it, pins it to a core, observes and stops it.
//!
//! | module | job |
//! | --- | --- |
//! | `start` | options of a start: program, limits and settings |
//! | `process` | the process from its start to its end, with its log and its temporary files |
//! | `resource_usage` | CPU time and memory of a process |
//! | `address` | finds free loopback addresses to listen on |
//! | `affinity` | sets the cores that processes and threads run on |

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
