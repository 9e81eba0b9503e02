//! What a front measures of itself, and what it is allowed.

use ladderpass_routing::Span;

/// One look at the process. What is not known stands at zero.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Since the look before: time on the wall, time in which the loop was not waiting, and CPU time used.
    pub wall: Span,
    pub busy: Span,
    pub cpu: Span,
    /// Bytes of the process that are resident, and of the rings of connections.
    pub resident: usize,
    pub rings: usize,
    pub descriptors: usize,
    /// Sockets that have told something and were not looked at yet.
    pub waiting: usize,
}

impl Sample {
    /// Part of the time in which the process wanted a core and had none: another's work, or a bound on its CPU.
    pub fn stolen(&self) -> f64 {
        let stolen = (self.busy - self.cpu).secs().max(0.0);
        if self.wall <= Span::ZERO { 0.0 } else { (stolen / self.wall.secs()).min(1.0) }
    }

    /// CPU used as a part of what is allowed.
    pub fn used(&self, cores: f64) -> f64 {
        if self.wall <= Span::ZERO { 0.0 } else { self.cpu.secs() / (self.wall.secs() * cores.max(1e-3)) }
    }
}

/// What the process may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    pub cores: f64,
    pub memory: usize,
    /// Of that, what the rings of connections may have.
    pub rings: usize,
    pub descriptors: usize,
}
