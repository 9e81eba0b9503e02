//! What an operator can set, with the defaults. It is read and checked elsewhere.

use ladderpass_routing::Span;

/// Where the concave curve reaches half of the full pressure, in widths of the band.
const CONCAVE_HALF_WIDTHS: f64 = 0.25;
/// Pressure at the end of a band by the concave curve: 1 / (1 + [`CONCAVE_HALF_WIDTHS`]).
const CONCAVE_FRACTION_AT_FULL: f64 = 0.8;
/// What is left of the full pressure beyond the band: 1 - [`CONCAVE_FRACTION_AT_FULL`].
const CONCAVE_FRACTION_BEYOND: f64 = 0.2;
/// How slowly the pressure rises beyond the band, in widths of it.
const CONCAVE_TAIL_WIDTHS: f64 = 8.0;

/// The range of a gauge over which its pressure rises, in the gauge's unit: seconds for the delay, a share of what is
/// allowed for the resources.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Band {
    /// Up to here there is no pressure.
    pub from: f64,
    /// From here on the pressure is full.
    pub full: f64,
}

impl Band {
    /// A band.
    pub const fn new(from: f64, full: f64) -> Band {
        Band { from, full }
    }

    /// Pressure of a value: from 0 to 1 in proportion within the band.
    pub fn fraction(self, value: f64) -> f64 {
        ((value - self.from) / (self.full - self.from).max(1e-9)).clamp(0.0, 1.0)
    }

    /// Pressure of a value by a curve that rises quickly at first, reaches four fifths at `full` and approaches 1 ever
    /// more slowly beyond. So the highest priorities are shed last, and only by a queue that stays.
    pub fn concave_fraction(self, value: f64) -> f64 {
        let widths = ((value - self.from) / (self.full - self.from).max(1e-9)).max(0.0);
        let beyond = widths - 1.0;
        if beyond > 0.0 {
            CONCAVE_FRACTION_AT_FULL + CONCAVE_FRACTION_BEYOND * beyond / (beyond + CONCAVE_TAIL_WIDTHS)
        } else {
            widths / (widths + CONCAVE_HALF_WIDTHS)
        }
    }
}

/// Bands and times of the overload control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How long statements wait for the router, in seconds, by the concave curve.
    pub delay: Band,
    /// CPU, as a share of what is allowed. On a whole core CPU can't pass its allowance and shows as delay; the band is
    /// for a process with a fraction of a core.
    pub cpu: Band,
    /// Resident memory, as a share of what is allowed.
    pub memory: Band,
    /// Memory of the connections' buffers, as a share of what is allowed.
    pub buffers: Band,
    /// File descriptors, as a share of what is allowed.
    pub descriptors: Band,
    /// Time constant with which the pressure follows a rising gauge.
    pub rise: Span,
    /// Time constant with which the pressure follows a falling gauge.
    pub fall: Span,
    /// A level is lowered once the pressure was below it for this long.
    pub calm_after: Span,
    /// A connection that takes more than so many times its fair share has a lower priority.
    pub fair_share_multiple: f64,
    /// A client that reads none of its responses is closed after this, and after a tenth of it under full memory
    /// pressure.
    pub slow_reader_timeout: Span,
    /// The most that unread responses of one client may hold.
    pub slow_reader_bytes: usize,
    /// How often the resource usage is sampled.
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
