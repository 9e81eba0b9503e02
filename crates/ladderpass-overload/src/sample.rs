//! The measured resource usage of the process, and the limits with which the usage is compared.

use ladderpass_routing::Span;

/// The process's resource usage. A value that is not known is zero.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceSample {
    /// Wall clock time since the previous sample.
    pub wall: Span,
    /// The part of the wall clock time in which the event loop did not wait for events.
    pub busy: Span,
    /// CPU time that the process used since the previous sample.
    pub cpu: Span,
    /// Resident memory of the process, in bytes.
    pub resident_bytes: usize,
    /// Memory of the connections' buffers, in bytes.
    pub buffer_bytes: usize,
    /// Number of open file descriptors of the process.
    pub descriptors: usize,
}

impl ResourceSample {
    /// Share of the wall clock time in which the process was runnable and had no core, because another process used the
    /// core or a CPU quota was used up.
    pub fn stolen_share(&self) -> f64 {
        let stolen = (self.busy - self.cpu).secs().max(0.0);
        if self.wall <= Span::ZERO { 0.0 } else { (stolen / self.wall.secs()).min(1.0) }
    }

    /// CPU time that the process used, as a share of the time of `cores` cores.
    pub fn cpu_share(&self, cores: f64) -> f64 {
        if self.wall <= Span::ZERO { 0.0 } else { self.cpu.secs() / (self.wall.secs() * cores.max(1e-3)) }
    }
}

/// The most resources that the process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceLimits {
    /// Number of CPU cores that the process may use, which may be fractional.
    pub cores: f64,
    /// Maximum resident memory of the process, in bytes.
    pub memory_bytes: usize,
    /// Maximum memory of the connections' buffers, in bytes, which is a part of `memory_bytes`.
    pub buffer_bytes: usize,
    /// Maximum number of open file descriptors of the process.
    pub descriptors: usize,
}
