//! A drill: several routers as processes before emulated members, with fault events on them and on all links between.
//!
//! | module | job |
//! | --- | --- |
//! | `file`, `event`, `places` | the form of a drill's file |
//! | `errors` | why a file is refused |
//! | `play` | carries a drill out, and records it |
//! | `report` | shows what came of it |

mod errors;
mod event;
mod file;
mod places;
pub mod play;
pub mod report;

pub use errors::{DrillError, FaultEventError};
pub use event::{FaultEvent, LoggedEvent};
pub use file::Drill;
