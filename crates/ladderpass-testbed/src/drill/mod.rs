//! Drills: several router processes in front of emulated members, with fault events on the processes and on all links
//! between them.
//!
//! | module | job |
//! | --- | --- |
//! | `file`, `event`, `places` | the format of a drill file |
//! | `errors` | errors of a drill file |
//! | `play` | runs a drill and records it |
//! | `report` | tables, JSON lines and charts of a record |

mod errors;
mod event;
mod file;
mod places;
pub mod play;
pub mod report;

pub use errors::{DrillError, FaultEventError};
pub use event::{FaultEvent, LoggedEvent};
pub use file::Drill;
