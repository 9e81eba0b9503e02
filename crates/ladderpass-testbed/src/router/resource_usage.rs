//! Reads CPU time and memory of a process from `/proc/PID/stat`.

use nix::unistd::Pid;

/// Indices of fields of `/proc/PID/stat`, where the field after the name of the process has index 0.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;
const RESIDENT_PAGES_FIELD: usize = 21;
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: f64 = 4096.0;

/// CPU time that a process has used so far, and its resident memory. All values are zero if the process no longer exists.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// CPU time in seconds, in user mode and in the kernel.
    pub cpu_seconds: f64,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

impl ResourceUsage {
    pub(super) fn of(process: Pid) -> ResourceUsage {
        let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
        let after_name = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
        let fields: Vec<f64> =
            after_name.split_whitespace().map(|field| field.parse().unwrap_or(0.0)).collect();
        let field = |index: usize| fields.get(index).copied().unwrap_or(0.0);
        let ticks = field(USER_TICKS_FIELD) + field(SYSTEM_TICKS_FIELD);
        ResourceUsage {
            cpu_seconds: ticks / TICKS_PER_SECOND,
            resident_bytes: (field(RESIDENT_PAGES_FIELD) * PAGE_BYTES) as u64,
        }
    }
}
