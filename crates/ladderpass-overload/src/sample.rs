//! What a front measures of itself, and what it is allowed.

use ladderpass_routing::Span;

/// One look at the process. What is not known stands at zero.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceSample {
    /// Since the look before: time on the wall, time in which the loop was not waiting, and CPU time used.
    pub wall: Span,
    pub busy: Span,
    pub cpu: Span,
    /// Bytes of the process that are resident, and of the rings of connections.
    pub resident_bytes: usize,
    pub buffer_bytes: usize,
    pub descriptors: usize,
    /// Sockets that have told something and were not looked at yet.
    pub runnable_wait: usize,
}

impl ResourceSample {
    /// Part of the time in which the process wanted a core and had none: another's work, or a bound on its CPU.
    pub fn stolen_share(&self) -> f64 {
        let stolen = (self.busy - self.cpu).secs().max(0.0);
        if self.wall <= Span::ZERO { 0.0 } else { (stolen / self.wall.secs()).min(1.0) }
    }

    /// CPU used as a part of what is allowed.
    pub fn cpu_share(&self, cores: f64) -> f64 {
        if self.wall <= Span::ZERO { 0.0 } else { self.cpu.secs() / (self.wall.secs() * cores.max(1e-3)) }
    }
}

/// What the process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResourceLimits {
    pub cores: f64,
    pub memory_bytes: usize,
    /// Of that, what the rings of connections may have.
    pub buffer_bytes: usize,
    pub descriptors: usize,
}
