//! The settings of the overload control that an operator can change, and their defaults. The package that reads the
//! operator's file parses and checks the settings.

use ladderpass_routing::Span;

/// The concave curve of [`Band::concave_fraction`] reaches half of the full pressure at this many widths of the band
/// beyond its start.
const CONCAVE_HALF_WIDTHS: f64 = 0.25;
/// The pressure of the concave curve at the end of the band: 1 / (1 + [`CONCAVE_HALF_WIDTHS`]).
const CONCAVE_FRACTION_AT_FULL: f64 = 0.8;
/// The remaining pressure, which the concave curve approaches beyond the end of the band: 1 -
/// [`CONCAVE_FRACTION_AT_FULL`].
const CONCAVE_FRACTION_BEYOND: f64 = 0.2;
/// Beyond the end of the band, the concave curve takes this many widths of the band to cover half of the remaining
/// pressure, [`CONCAVE_FRACTION_BEYOND`].
const CONCAVE_TAIL_WIDTHS: f64 = 8.0;

/// The range of a gauge over which the gauge's pressure rises. Both ends are in the gauge's unit: seconds for the
/// queueing delay, and a share of what is allowed for a resource.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Band {
    /// Up to this value of the gauge, the gauge causes no pressure.
    pub from: f64,
    /// The end of the band. From here on a resource's pressure is 1 ([`Band::fraction`]), while the pressure of the
    /// queueing delay is four fifths here and approaches 1 beyond ([`Band::concave_fraction`]).
    pub full: f64,
}

impl Band {
    /// Creates a band from `from` to `full`. There is no pressure up to `from`.
    pub const fn new(from: f64, full: f64) -> Band {
        Band { from, full }
    }

    /// The pressure of a resource at this value of its gauge. The pressure is 0 up to `from`, rises linearly within the
    /// band, and is 1 from `full` on.
    pub fn fraction(self, value: f64) -> f64 {
        ((value - self.from) / (self.full - self.from).max(1e-9)).clamp(0.0, 1.0)
    }

    /// The pressure of the queueing delay at this value, by a concave curve. The curve rises quickly at first, reaches
    /// four fifths at `full`, and approaches 1 ever more slowly beyond `full`. The highest priorities are therefore
    /// shed last, and only by a queue that persists.
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

/// The bands (see [`Band`]) and times of the overload control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// The band of the queueing delay, in seconds. The pressure of the delay follows the curve of
    /// [`Band::concave_fraction`].
    pub delay: Band,
    /// The range over which the pressure rises with the CPU time in use, as a share of the allowed CPU time.
    /// By default the range begins at a share of 1, which only a process that is allowed a fraction of a core
    /// can exceed. A process that is allowed a whole core can't use more than that, and a lack of CPU shows
    /// as queueing delay instead.
    pub cpu: Band,
    /// The band of the resident memory, as a share of the allowed memory.
    pub memory: Band,
    /// The band of the memory of the connections' buffers, as a share of the memory allowed for buffers.
    pub buffers: Band,
    /// The band of the open file descriptors, as a share of the allowed number.
    pub descriptors: Band,
    /// Time constant with which the pressure follows a rising gauge.
    pub rise: Span,
    /// Time constant with which the pressure follows a falling gauge.
    pub fall: Span,
    /// The level of the pressure is lowered once the pressure has been below the level for this long.
    pub calm_after: Span,
    /// The RPCs of a connection get a lower priority if the connection has recently sent more work than this multiple
    /// of what the other active connections sent on average.
    pub fair_share_multiple: f64,
    /// A client that reads none of its responses is disconnected after this time, and after a tenth of this time when
    /// the pressure of the memory or of the connections' buffers is full.
    pub slow_reader_timeout: Span,
    /// The most bytes of unread responses that one client may have.
    pub slow_reader_bytes: usize,
    /// Interval between two samples of the process's resource usage.
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
