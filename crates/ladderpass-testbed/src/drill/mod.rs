//! A drill: several routers as processes before an emulated fleet, with fault events on them and on all links between.
//!
//! `file`, `event` and `places` are the form of a drill's file, `play` carries it out, `report` shows what came of it.

mod event;
mod file;
mod places;
pub mod play;
pub mod report;

pub use event::FaultEvent;
pub use file::Drill;
