//! Proof of the fault tool and the history checker: each faulty router is found to break its rule in surroundings that the
//! real router passes, recordings can be repeated, and the overhead of the tool is reported.

mod cases;
mod detection;
mod overhead;
mod recording;

pub use recording::record_decisions;

use super::Table;
use std::io;
use std::path::Path;

/// Runs the proof and prints its table. Returns whether it passes.
///
/// # Errors
/// If a router, the emulator or the fault tool can't be started, or a connection fails.
pub fn prove(binary: &Path, faulty: Option<&Path>, seed: u64) -> io::Result<bool> {
    let mut table = Table::new("faults");
    detection::require_detection(&mut table, binary, faulty, seed)?;
    recording::require_repeatable_recordings(&mut table, seed)?;
    overhead::report_overhead(&mut table, seed)?;
    Ok(table.print())
}
