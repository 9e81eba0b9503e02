//! One smoothed pressure from several gauges, and the level of the pressure with hysteresis, which operators see.

use crate::settings::Settings;
use ladderpass_routing::{Span, Time};

/// A resource, or the queueing delay, that can raise the pressure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gauge {
    /// How long statements wait for the router.
    Delay,
    /// The CPU time that the process uses.
    Cpu,
    /// Resident memory of the process.
    Memory,
    /// Memory of the connections' buffers.
    Buffers,
    /// Open file descriptors of the process.
    Descriptors,
}

/// The least pressure of the levels `Shedding` and `Saturated`.
const MIN_SHEDDING_LEVEL_PRESSURE: f64 = 0.05;
const MIN_SATURATED_LEVEL_PRESSURE: f64 = 0.9;

const GAUGE_COUNT: usize = 5;
pub(crate) const GAUGES: [Gauge; GAUGE_COUNT] =
    [Gauge::Delay, Gauge::Cpu, Gauge::Memory, Gauge::Buffers, Gauge::Descriptors];

impl Gauge {
    /// The name of the gauge in the log.
    pub fn name(self) -> &'static str {
        match self {
            Gauge::Delay => "delay",
            Gauge::Cpu => "cpu",
            Gauge::Memory => "memory",
            Gauge::Buffers => "rings",
            Gauge::Descriptors => "descriptors",
        }
    }

    /// The name of the metric that shows the smoothed reading of the gauge, from 0 to 1.
    pub fn metric_name(self) -> &'static str {
        match self {
            Gauge::Delay => "delay_part",
            Gauge::Cpu => "cpu_part",
            Gauge::Memory => "memory_part",
            Gauge::Buffers => "rings_part",
            Gauge::Descriptors => "descriptors_part",
        }
    }
}

/// A summary of the pressure for operators. No decision depends on the level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Few RPCs are shed, or none.
    #[default]
    Calm,
    /// Some RPCs of low priority are shed.
    Shedding,
    /// Few RPCs are admitted besides those of the highest priorities.
    Saturated,
}

impl Level {
    /// The name of the level in the log.
    pub fn name(self) -> &'static str {
        match self {
            Level::Calm => "calm",
            Level::Shedding => "shedding",
            Level::Saturated => "saturated",
        }
    }

    /// The level that belongs to a pressure, without hysteresis.
    fn of_pressure(pressure: f64) -> Level {
        let levels = [Level::Saturated, Level::Shedding, Level::Calm];
        levels.into_iter().find(|level| pressure >= level.min_pressure()).unwrap_or_default()
    }

    /// The least pressure of the level.
    fn min_pressure(self) -> f64 {
        match self {
            Level::Calm => 0.0,
            Level::Shedding => MIN_SHEDDING_LEVEL_PRESSURE,
            Level::Saturated => MIN_SATURATED_LEVEL_PRESSURE,
        }
    }
}

/// The router's pressure, which is the greatest of the gauges' smoothed readings. A rising gauge is smoothed with
/// another time constant than a falling one.
#[derive(Clone, Debug)]
pub struct Pressure {
    settings: Settings,
    /// The last reading of each gauge: the pressure that the gauge's value means, from 0 to 1 (see
    /// [`Band`](crate::settings::Band)).
    readings: [f64; GAUGE_COUNT],
    /// The smoothed reading of each gauge.
    smoothed: [f64; GAUGE_COUNT],
    updated_at: Time,
    level: Level,
    /// When the pressure fell below the current level. `None` while the pressure is not below the level.
    below_level_since: Option<Time>,
}

impl Pressure {
    /// Creates a pressure of zero.
    pub fn new(now: Time, settings: Settings) -> Pressure {
        Pressure {
            settings,
            readings: [0.0; GAUGE_COUNT],
            smoothed: [0.0; GAUGE_COUNT],
            updated_at: now,
            level: Level::Calm,
            below_level_since: None,
        }
    }

    /// Sets the reading of a gauge: the pressure that the gauge's value means, from 0 to 1. The reading counts until
    /// the next call for the gauge.
    pub fn set_gauge(&mut self, gauge: Gauge, fraction: f64) {
        self.readings[gauge as usize] = if fraction.is_finite() { fraction.clamp(0.0, 1.0) } else { 0.0 };
    }

    /// Moves the smoothed gauges towards their readings, up to `now`. Returns the previous level if the level changed.
    pub fn advance(&mut self, now: Time) -> Option<Level> {
        let elapsed = (now - self.updated_at).max(Span::ZERO);
        self.updated_at = self.updated_at.max(now);
        for (smoothed, &reading) in self.smoothed.iter_mut().zip(&self.readings) {
            let time_constant = if reading > *smoothed { self.settings.rise } else { self.settings.fall };
            let weight = 1.0 - (-elapsed.secs() / time_constant.secs().max(1e-6)).exp();
            *smoothed += (reading - *smoothed) * weight;
        }
        let before = self.level;
        self.update_level(now);
        (before != self.level).then_some(before)
    }

    /// Raises the level as soon as the pressure reaches a higher level. Lowers the level only after the pressure was
    /// below the current level for `calm_after`, so that the level does not follow every burst.
    fn update_level(&mut self, now: Time) {
        let reached = Level::of_pressure(self.value());
        if reached < self.level {
            let since = *self.below_level_since.get_or_insert(now);
            if now - since < self.settings.calm_after {
                return;
            }
        }
        self.level = reached;
        self.below_level_since = None;
    }

    /// The pressure, from 0 to 1.
    pub fn value(&self) -> f64 {
        self.smoothed.iter().copied().fold(0.0, f64::max)
    }

    /// The gauge with the greatest smoothed reading, which determines the pressure.
    pub fn dominant_gauge(&self) -> Gauge {
        let smoothed = |gauge: &Gauge| self.smoothed[*gauge as usize];
        let dominant = GAUGES.iter().max_by(|one, other| smoothed(one).total_cmp(&smoothed(other)));
        dominant.copied().unwrap_or(Gauge::Delay)
    }

    /// The smoothed reading of a gauge, from 0 to 1.
    pub fn gauge(&self, gauge: Gauge) -> f64 {
        self.smoothed[gauge as usize]
    }

    /// The current level of the pressure.
    pub fn level(&self) -> Level {
        self.level
    }
}
