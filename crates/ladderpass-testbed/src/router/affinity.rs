//! Sets the cores that processes and threads run on.

use nix::sched::{CpuSet, sched_getaffinity, sched_setaffinity};
use nix::unistd::Pid;
use std::io;
use std::sync::OnceLock;

/// Pins a process to one core. A process id of 0 stands for the calling thread.
///
/// # Errors
/// If there is no such process or core.
pub fn pin(pid: Pid, cpu: usize) -> io::Result<()> {
    let mut set = CpuSet::new();
    set.set(cpu)?;
    Ok(sched_setaffinity(pid, &set)?)
}

/// Excludes one core from those that the calling thread, and threads that it starts later, may run on. An exclusion by an
/// earlier call ends. If there is no other core, no core is excluded.
///
/// # Errors
/// If the affinity can't be set.
pub fn exclude_core(cpu: usize) -> io::Result<()> {
    // The initial affinity is read in the first call only, since a later call would read what an earlier call has set.
    static INITIAL: OnceLock<CpuSet> = OnceLock::new();
    let initial = INITIAL.get_or_init(|| sched_getaffinity(Pid::from_raw(0)).unwrap_or_default());
    let mut others = *initial;
    others.unset(cpu)?;
    let has_others = (0..CpuSet::count()).any(|other| others.is_set(other).unwrap_or(false));
    Ok(sched_setaffinity(Pid::from_raw(0), if has_others { &others } else { initial })?)
}

/// Returns the number of cores that are available to this process. The number is read in the first call only, since
/// [`exclude_core`] changes what a later call would read.
pub fn cores() -> usize {
    static CORES: OnceLock<usize> = OnceLock::new();
    *CORES.get_or_init(|| std::thread::available_parallelism().map_or(1, usize::from))
}
