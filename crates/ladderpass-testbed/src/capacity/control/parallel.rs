//! Runs the measurements for several values of x in parallel.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};

const THREADS: usize = 2;

/// Runs `measure` for all values of x in a few threads. Parallel runs don't distort the figures, as these are counted in
/// simulated time or measured as the thread's own CPU time. Returns each x with its result, in ascending order of x.
///
/// # Errors
/// If a measurement fails or a thread panics.
pub(super) fn measure_all<T: Send>(
    xs: &[usize],
    measure: impl Fn(usize) -> io::Result<T> + Sync,
) -> io::Result<Vec<(usize, T)>> {
    let next = AtomicUsize::new(0);
    let measure_next = || -> io::Result<Vec<(usize, T)>> {
        let mut measured = Vec::new();
        // The largest x is measured first, because it takes the longest.
        while let Some(&x) = xs.iter().rev().nth(next.fetch_add(1, Ordering::Relaxed)) {
            measured.push((x, measure(x)?));
        }
        Ok(measured)
    };
    let mut all = Vec::new();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(measure_next)).collect();
        for thread in threads {
            all.extend(
                thread.join().unwrap_or_else(|_| Err(io::Error::other("a measurement thread panicked")))?,
            );
        }
        io::Result::Ok(())
    })?;
    all.sort_by_key(|(x, _)| *x);
    Ok(all)
}
