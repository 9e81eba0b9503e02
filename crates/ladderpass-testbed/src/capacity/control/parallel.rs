//! Measures several values of x at the same time.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};

const THREADS: usize = 2;

/// Measures all values of x in a few threads; figures are of simulated time, or of the thread's own CPU time. Returns them
/// by x, in ascending order.
///
/// # Errors
/// The first error of a measurement, or that a thread panicked.
pub(super) fn measure_all<T: Send>(
    xs: &[usize],
    measure: impl Fn(usize) -> io::Result<T> + Sync,
) -> io::Result<Vec<(usize, T)>> {
    let next = AtomicUsize::new(0);
    let measure_next = || -> io::Result<Vec<(usize, T)>> {
        let mut measured = Vec::new();
        // The largest first: it takes the longest.
        while let Some(&x) = xs.iter().rev().nth(next.fetch_add(1, Ordering::Relaxed)) {
            measured.push((x, measure(x)?));
        }
        Ok(measured)
    };
    let mut all = Vec::new();
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(measure_next)).collect();
        for thread in threads {
            all.extend(thread.join().unwrap_or_else(|_| Err(io::Error::other("a lane failed")))?);
        }
        io::Result::Ok(())
    })?;
    all.sort_by_key(|(x, _)| *x);
    Ok(all)
}
