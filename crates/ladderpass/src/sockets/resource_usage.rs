//! Measures the resources that the process uses: CPU time, busy time of the event loop, memory and file descriptors.
//!
//! Times in a sample are measured since the sample before. `ladderpass-overload` evaluates the samples.

use super::clock::span;
use ladderpass_overload::ResourceSample;
use nix::sys::resource::{UsageWho, getrusage};
use nix::sys::time::TimeValLike;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::time::{Duration, Instant};

/// The assumed number of descriptors in addition to connections: three standard streams, and those of the event loop,
/// its wake-up and signals, the epoll set, the listener, the peer socket and `statm`.
const OTHER_DESCRIPTORS: usize = 10;
const PAGE_BYTES: usize = 4096;

/// Measures the resource usage of the process since the last sample.
pub(super) struct ResourceUsage {
    /// When the event loop woke from its wait, or `None` while the event loop waits.
    awake_since: Option<Instant>,
    busy: Duration,
    sampled_at: Instant,
    cpu: Duration,
    /// The file `/proc/self/statm`, which gives the process's memory, or `None` if the file can't be opened. Without it
    /// only the memory of the connections' buffers is known.
    statm: Option<File>,
}

impl ResourceUsage {
    pub(super) fn start() -> ResourceUsage {
        ResourceUsage {
            awake_since: None,
            busy: Duration::ZERO,
            sampled_at: Instant::now(),
            cpu: cpu_time(),
            statm: File::open("/proc/self/statm").ok(),
        }
    }

    /// Records that the event loop has woken from its wait.
    pub(super) fn mark_awake(&mut self) {
        self.awake_since.get_or_insert_with(Instant::now);
    }

    /// Records that the event loop is about to wait, and returns how long the event loop has been busy since it woke.
    pub(super) fn mark_waiting(&mut self) -> Duration {
        let busy = self.awake_since.take().map_or(Duration::ZERO, |since| since.elapsed());
        self.busy += busy;
        busy
    }

    /// Returns the resource usage since the previous sample.
    pub(super) fn sample(&mut self, connections: usize) -> ResourceSample {
        let (now, cpu) = (Instant::now(), cpu_time());
        let sample = ResourceSample {
            wall: span(now - self.sampled_at),
            busy: span(std::mem::take(&mut self.busy)),
            cpu: span(cpu.saturating_sub(self.cpu)),
            resident_bytes: self.resident_bytes().unwrap_or(0),
            // The reducer, which counts the memory of the buffers, replaces this zero.
            buffer_bytes: 0,
            descriptors: connections + OTHER_DESCRIPTORS,
        };
        (self.sampled_at, self.cpu) = (now, cpu);
        sample
    }

    fn resident_bytes(&self) -> Option<usize> {
        let mut text = [0; 128];
        let count = self.statm.as_ref()?.read_at(&mut text, 0).ok()?;
        let text = std::str::from_utf8(text.get(..count)?).ok()?;
        Some(text.split_whitespace().nth(1)?.parse::<usize>().ok()? * PAGE_BYTES)
    }
}

/// Returns the CPU time that the process has used in user and system mode.
fn cpu_time() -> Duration {
    let Ok(usage) = getrusage(UsageWho::RUSAGE_SELF) else { return Duration::ZERO };
    let micros = usage.user_time().num_microseconds() + usage.system_time().num_microseconds();
    Duration::from_micros(micros.max(0) as u64)
}
