//! What is measured of the process, and the limits that it is compared with.

use ladderpass_routing::Span;

/// The process's resource usage. What is not known is zero.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceSample {
    /// Wall clock time since the previous sample.
    pub wall: Span,
    /// Of that, the time in which the event loop did not wait for events.
    pub busy: Span,
    /// CPU time used since the previous sample.
    pub cpu: Span,
    /// Resident memory of the process.
    pub resident_bytes: usize,
    /// Memory of the connections' buffers.
    pub buffer_bytes: usize,
    /// Open file descriptors.
    pub descriptors: usize,
}

impl ResourceSample {
    /// Share of the time in which the process was runnable and had no core: another process's work, or a CPU quota.
    pub fn stolen_share(&self) -> f64 {
        let stolen = (self.busy - self.cpu).secs().max(0.0);
        if self.wall <= Span::ZERO { 0.0 } else { (stolen / self.wall.secs()).min(1.0) }
    }

    /// CPU used, as a share of so many cores.
    pub fn cpu_share(&self, cores: f64) -> f64 {
        if self.wall <= Span::ZERO { 0.0 } else { self.cpu.secs() / (self.wall.secs() * cores.max(1e-3)) }
    }
}

/// What the process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceLimits {
    /// CPU cores, also fractions of one.
    pub cores: f64,
    /// Resident memory.
    pub memory_bytes: usize,
    /// Of that, memory of the connections' buffers.
    pub buffer_bytes: usize,
    /// File descriptors.
    pub descriptors: usize,
}
