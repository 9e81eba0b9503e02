//! Plays drills of a proof in parallel.

use crate::drill::Drill;
use crate::drill::play::{DrillRecord, Programs, play};
use std::io;
use std::thread::{ScopedJoinHandle, scope};

/// Plays drills at the same time, so that other load on the machine affects all of them. Their records can then be compared.
///
/// # Errors
/// Returns an error if a drill can't be played.
pub fn play_in_parallel<const N: usize>(
    drills: [&Drill; N],
    programs: Programs<'_>,
    seed: u64,
) -> io::Result<[DrillRecord; N]> {
    let records: Vec<DrillRecord> = scope(|scope| {
        let threads = drills.map(|drill| scope.spawn(move || play(drill, programs, seed)));
        threads.into_iter().map(join).collect::<io::Result<_>>()
    })?;
    records.try_into().map_err(|_| io::Error::other("a drill of the proof has no record"))
}

/// Waits for a thread of a proof and returns its result.
///
/// # Errors
/// Returns the error of the thread, or an error if the thread panicked.
pub fn join<T>(thread: ScopedJoinHandle<'_, io::Result<T>>) -> io::Result<T> {
    thread.join().unwrap_or_else(|_| Err(io::Error::other("a thread of the proof panicked")))
}
