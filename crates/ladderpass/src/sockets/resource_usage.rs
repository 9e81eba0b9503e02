//! What the process uses: time of the processor and of the loop, memory, descriptors.
//!
//! It owns the readings since the last sample. It must never judge them: `ladderpass-overload` does.

use ladderpass_overload::ResourceSample;
use ladderpass_routing::Span;
use nix::sys::resource::{UsageWho, getrusage};
use nix::sys::time::TimeValLike;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::time::{Duration, Instant};

/// What the process has used since the last sample.
pub(super) struct ResourceUsage {
    /// Since when the loop has not been waiting.
    pub(super) awake: Option<Instant>,
    pub(super) busy: Duration,
    at: Instant,
    cpu: Duration,
    statm: Option<File>,
}

/// Descriptors that are no connections: the standard streams, the loop's own, signals, listener, this file.
const OTHERS: usize = 10;
const PAGE: usize = 4096;

impl ResourceUsage {
    pub(super) fn new() -> ResourceUsage {
        ResourceUsage {
            awake: None,
            busy: Duration::ZERO,
            at: Instant::now(),
            cpu: cpu(),
            // Where it can't be read, memory of the rings alone tells.
            statm: File::open("/proc/self/statm").ok(),
        }
    }

    pub(super) fn take(&mut self, connections: usize) -> ResourceSample {
        let (at, cpu) = (Instant::now(), cpu());
        let span = |time: Duration| Span::from_nanos(time.as_nanos() as i64);
        let sample = ResourceSample {
            wall: span(at - self.at),
            busy: span(std::mem::take(&mut self.busy)),
            cpu: span(cpu.saturating_sub(self.cpu)),
            resident_bytes: self.resident().unwrap_or(0),
            buffer_bytes: 0,
            descriptors: connections + OTHERS,
            runnable_wait: 0,
        };
        (self.at, self.cpu) = (at, cpu);
        sample
    }

    fn resident(&self) -> Option<usize> {
        let mut text = [0; 128];
        let count = self.statm.as_ref()?.read_at(&mut text, 0).ok()?;
        let text = std::str::from_utf8(text.get(..count)?).ok()?;
        Some(text.split_whitespace().nth(1)?.parse::<usize>().ok()? * PAGE)
    }
}

/// CPU time that this process has used.
fn cpu() -> Duration {
    let Ok(usage) = getrusage(UsageWho::RUSAGE_SELF) else { return Duration::ZERO };
    let micros = usage.user_time().num_microseconds() + usage.system_time().num_microseconds();
    Duration::from_micros(micros.max(0) as u64)
}
