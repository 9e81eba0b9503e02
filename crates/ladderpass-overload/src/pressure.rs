//! One pressure from many measures, smoothed, and the level that is told of it, with hysteresis.

use crate::settings::Settings;
use ladderpass_routing::{Span, Time};

/// What presses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gauge {
    Delay,
    Cpu,
    Memory,
    Buffers,
    Descriptors,
}

pub const GAUGES: [Gauge; 5] = [Gauge::Delay, Gauge::Cpu, Gauge::Memory, Gauge::Buffers, Gauge::Descriptors];

impl Gauge {
    pub fn name(self) -> &'static str {
        match self {
            Gauge::Delay => "delay",
            Gauge::Cpu => "cpu",
            Gauge::Memory => "memory",
            Gauge::Buffers => "rings",
            Gauge::Descriptors => "descriptors",
        }
    }

    /// Its key among the figures: how much of its band it fills.
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

/// What is told of the pressure: one word for operators. It decides nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    #[default]
    Calm,
    /// Some of what ranks lowest is refused.
    Shedding,
    /// Hardly anything but what ranks highest is taken.
    Saturated,
}

impl Level {
    pub fn name(self) -> &'static str {
        match self {
            Level::Calm => "calm",
            Level::Shedding => "shedding",
            Level::Saturated => "saturated",
        }
    }

    /// Where the pressure begins to mean it.
    fn from(self) -> f64 {
        match self {
            Level::Calm => 0.0,
            Level::Shedding => 0.05,
            Level::Saturated => 0.9,
        }
    }
}

/// The greatest of the gauges, each followed up and down at a pace of its own.
#[derive(Clone, Debug)]
pub struct Pressure {
    settings: Settings,
    /// By gauge: what it was told last, and the smoothed part of its band.
    told: [f64; 5],
    parts: [f64; 5],
    at: Time,
    level: Level,
    /// Since when the pressure is under the present level.
    under: Option<Time>,
}

impl Pressure {
    pub fn new(now: Time, settings: Settings) -> Pressure {
        let (told, parts) = ([0.0; 5], [0.0; 5]);
        Pressure { settings, told, parts, at: now, level: Level::Calm, under: None }
    }

    /// A gauge shows this part of its band, from now on.
    pub fn set_gauge(&mut self, gauge: Gauge, part: f64) {
        self.told[gauge as usize] = if part.is_finite() { part.clamp(0.0, 1.0) } else { 0.0 };
    }

    /// Time has passed: the parts follow what was told. Gives the level that was left, if it has changed.
    pub fn advance(&mut self, now: Time) -> Option<Level> {
        let passed = (now - self.at).max(Span::ZERO);
        self.at = self.at.max(now);
        for (part, &told) in self.parts.iter_mut().zip(&self.told) {
            let pace = if told > *part { self.settings.rise } else { self.settings.fall };
            let moved = 1.0 - (-passed.secs() / pace.secs().max(1e-6)).exp();
            *part += (told - *part) * moved;
        }
        let value = self.value();
        // Up at once; down a level only after a calm span, so that the level does not flutter with the load.
        let reached =
            [Level::Saturated, Level::Shedding, Level::Calm].into_iter().find(|level| value >= level.from());
        let reached = reached.unwrap_or_default();
        let before = self.level;
        match reached {
            reached if reached > self.level => (self.level, self.under) = (reached, None),
            reached if reached == self.level => self.under = None,
            reached => {
                let since = *self.under.get_or_insert(now);
                if now - since >= self.settings.calm_after {
                    (self.level, self.under) = (reached, None);
                }
            }
        }
        (before != self.level).then_some(before)
    }

    /// From 0, nothing presses, to 1.
    pub fn value(&self) -> f64 {
        self.parts.iter().copied().fold(0.0, f64::max)
    }

    /// What presses most.
    pub fn dominant_gauge(&self) -> Gauge {
        let most =
            |one: &&Gauge, two: &&Gauge| self.parts[**one as usize].total_cmp(&self.parts[**two as usize]);
        GAUGES.iter().max_by(most).copied().unwrap_or(Gauge::Delay)
    }

    pub fn gauge(&self, gauge: Gauge) -> f64 {
        self.parts[gauge as usize]
    }

    pub fn level(&self) -> Level {
        self.level
    }
}
