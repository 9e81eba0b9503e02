//! Which cores processes and threads run on.

use nix::sched::{CpuSet, sched_getaffinity, sched_setaffinity};
use nix::unistd::Pid;
use std::io;
use std::sync::OnceLock;

/// Pins a process, or this thread (0), to one core.
///
/// # Errors
/// If there is no such process or core.
pub fn pin(pid: Pid, cpu: usize) -> io::Result<()> {
    let mut set = CpuSet::new();
    set.set(cpu)?;
    Ok(sched_setaffinity(pid, &set)?)
}

/// Keeps this thread, and those that it starts, off one core, if there is another.
///
/// # Errors
/// If the affinity can't be set.
pub fn exclude_core(cpu: usize) -> io::Result<()> {
    // Read once: a later call would read what an earlier one has set.
    static INITIAL: OnceLock<CpuSet> = OnceLock::new();
    let initial = INITIAL.get_or_init(|| sched_getaffinity(Pid::from_raw(0)).unwrap_or_default());
    let mut others = *initial;
    others.unset(cpu)?;
    let has_others = (0..CpuSet::count()).any(|other| others.is_set(other).unwrap_or(false));
    Ok(sched_setaffinity(Pid::from_raw(0), if has_others { &others } else { initial })?)
}

/// How many cores the machine has. Read once: [`exclude_core`] would change it later.
pub fn cores() -> usize {
    static CORES: OnceLock<usize> = OnceLock::new();
    *CORES.get_or_init(|| std::thread::available_parallelism().map_or(1, usize::from))
}
