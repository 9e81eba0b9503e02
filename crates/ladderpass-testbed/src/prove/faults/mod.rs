//! Proof of the fault tool and the history checker. The checker finds that each faulty router breaks its rule under
//! conditions under which the real router breaks none. Recordings can be repeated, and the overhead of the fault tool is
//! reported.

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
/// Returns an error if a router, the emulator or the fault tool can't be started, or if a connection fails.
pub fn prove(binary: &Path, faulty: Option<&Path>, seed: u64) -> io::Result<bool> {
    let mut table = Table::new("faults");
    detection::require_detection(&mut table, binary, faulty, seed)?;
    recording::require_repeatable_recordings(&mut table, seed)?;
    overhead::report_overhead(&mut table, seed)?;
    Ok(table.print())
}
