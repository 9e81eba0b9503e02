//! What an operator may set of this, with its defaults. Read and checked elsewhere.

use ladderpass_routing::Span;

/// A measure presses from `from` on, and fully at `full`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Band {
    pub from: f64,
    pub full: f64,
}

impl Band {
    pub const fn new(from: f64, full: f64) -> Band {
        Band { from, full }
    }

    /// As `part`, but quick at first: four fifths at `full`, and beyond it ever more slowly towards one. What ranks highest
    /// is given up last, and for a jam that stays, not for the first moments of one or what a stall has left.
    pub fn convex_fraction(self, value: f64) -> f64 {
        let over = ((value - self.from) / (self.full - self.from).max(1e-9)).max(0.0);
        match over - 1.0 {
            past if past > 0.0 => 0.8 + 0.2 * past / (past + 8.0),
            _ => over / (over + 0.25),
        }
    }

    pub fn fraction(self, value: f64) -> f64 {
        ((value - self.from) / (self.full - self.from).max(1e-9)).clamp(0.0, 1.0)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How long what has come waits for the front, in seconds; four fifths of all pressure at `full`.
    pub delay: Band,
    /// CPU, memory, rings and descriptors, as parts of what is allowed. On a whole core CPU can't pass its allowance
    /// and shows as delay; the band serves those with a part of a core.
    pub cpu: Band,
    pub memory: Band,
    pub buffers: Band,
    pub descriptors: Band,
    /// How quickly the pressure follows a measure up, and down.
    pub rise: Span,
    pub fall: Span,
    /// A level is left once the pressure was under it for this long.
    pub calm_after: Span,
    /// A connection that takes more than so many times its fair share ranks behind the others.
    pub fair_share_multiple: f64,
    /// A client that takes nothing of its answers is closed after this when calm, and after a tenth of it under full
    /// pressure; and the most that answers of one client may hold.
    pub slow_reader_timeout: Span,
    pub slow_reader_bytes: usize,
    /// How often the process is looked at.
    pub sample_interval: Span,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            delay: Band::new(0.008, 0.030),
            cpu: Band::new(1.0, 1.25),
            memory: Band::new(0.75, 0.95),
            buffers: Band::new(0.6, 0.95),
            descriptors: Band::new(0.85, 0.98),
            rise: Span::from_millis(10),
            fall: Span::from_millis(60),
            calm_after: Span::from_millis(1000),
            fair_share_multiple: 4.0,
            slow_reader_timeout: Span::from_millis(5000),
            slow_reader_bytes: 160 << 10,
            sample_interval: Span::from_millis(50),
        }
    }
}
