//! All of it together: what a front tells of itself and its work, and what it is told to do.

use crate::cost_model::{CostModel, Work};
use crate::fair_shares::{ClientUsage, FairShares};
use crate::pressure::{GAUGES, Gauge, Level, Pressure};
use crate::priority_histogram::PriorityHistogram;
use crate::sample::{ResourceLimits, ResourceSample};
use crate::settings::Settings;
use ladderpass_routing::sliding_window::{SlidingWindow, WindowTotals};
use ladderpass_routing::{OverloadState, PRIORITY_COUNT, Span, Time};

/// What operators are told.
#[derive(Clone, Debug, PartialEq)]
pub enum OverloadEvent {
    LevelChanged { before: Level, after: Level, pressure: f64, dominant: Gauge },
}

/// What one method's RPCs move.
#[derive(Clone, Debug)]
struct Row {
    kib: SlidingWindow<8>,
}

#[derive(Clone, Debug)]
pub struct Governor {
    settings: Settings,
    allowance: ResourceLimits,
    pressure: Pressure,
    ranks: PriorityHistogram,
    shares: FairShares,
    costs: CostModel,
    rows: Vec<Row>,
    /// Statements looked at in this turn, how long they had waited together, and the mean of the turn before; the longest
    /// since the figures were told.
    looked: f64,
    waited: Span,
    delay: Span,
    longest: Span,
    /// Mean length of a statement, in bytes.
    length: f64,
    /// When the process woke from a stall: what had come before waited for that, not for this front's work.
    woke: Time,
    work: Work,
    last: ResourceSample,
    /// Used CPU as a part of the allowance, smoothed over some looks.
    cpu: f64,
    stolen: f64,
    floor: f64,
    notes: Vec<OverloadEvent>,
    changes: u32,
}

/// CPU is smoothed over this time.
const CPU_OVER: Span = Span::from_millis(250);
/// Delay alone never closes the door wholly: what ranks highest still gets in, so that a queue in which all RPCs are
/// alike drains by serving too.
const MOST_BY_DELAY: f64 = 0.97;
const NOTHING: f64 = 0.005;
/// How much each statement moves the mean length; what the time waited counts beside the time foreseen, which leads it.
const LENGTH_BY: f64 = 0.01;
const WAITED: f64 = 0.5;
/// Accepts and readers: what full pressure leaves.
const LEAST_ACCEPTS: f64 = 1.0 / 16.0;
const LEAST_WAIT: f64 = 0.1;

impl Governor {
    pub fn new(now: Time, settings: Settings, allowance: ResourceLimits, methods: usize) -> Governor {
        let row = Row { kib: SlidingWindow::new(Span::from_millis(500)) };
        Governor {
            pressure: Pressure::new(now, settings),
            settings,
            allowance,
            ranks: PriorityHistogram::default(),
            shares: FairShares::default(),
            costs: CostModel::default(),
            rows: vec![row; methods],
            looked: 0.0,
            waited: Span::ZERO,
            delay: Span::ZERO,
            longest: Span::ZERO,
            length: 128.0,
            woke: Time::NEVER,
            work: Work::default(),
            last: ResourceSample::default(),
            cpu: 0.0,
            stolen: 0.0,
            floor: 0.0,
            notes: Vec::new(),
            changes: 0,
        }
    }

    /// Other settings or another allowance hold from now on; what was learnt stays.
    pub fn reconfigure(&mut self, now: Time, settings: Settings, allowance: ResourceLimits) {
        (self.settings, self.allowance) = (settings, allowance);
        self.pressure = Pressure::new(now, settings);
    }

    /// A statement of this length is looked at that has waited so long for this front.
    pub fn record_statement(&mut self, now: Time, waited: Span, length: usize) {
        let waited = waited.min((now - self.woke).max(Span::ZERO));
        self.longest = self.longest.max(waited);
        self.waited += waited;
        self.looked += 1.0;
        self.length += (length as f64 - self.length) * LENGTH_BY;
    }

    /// The process did not run until now.
    pub fn record_stall(&mut self, now: Time) {
        self.woke = now;
    }

    /// One look at the process.
    pub fn record_sample(&mut self, now: Time, sample: ResourceSample) {
        let moved = 1.0 - (-sample.wall.secs() / CPU_OVER.secs()).exp();
        self.cpu += (sample.cpu_share(self.allowance.cores) - self.cpu) * moved;
        self.stolen += (sample.stolen_share() - self.stolen) * moved;
        let part = |used: usize, allowed: usize| used as f64 / allowed.max(1) as f64;
        let settings = &self.settings;
        for (gauge, told) in [
            (Gauge::Cpu, settings.cpu.fraction(self.cpu)),
            (
                Gauge::Memory,
                settings.memory.fraction(part(sample.resident_bytes, self.allowance.memory_bytes)),
            ),
            (
                Gauge::Buffers,
                settings.buffers.fraction(part(sample.buffer_bytes, self.allowance.buffer_bytes)),
            ),
            (
                Gauge::Descriptors,
                settings.descriptors.fraction(part(sample.descriptors, self.allowance.descriptors)),
            ),
        ] {
            self.pressure.set_gauge(gauge, told);
        }
        self.last = sample;
        self.pass(now);
    }

    /// A turn of the loop is over. It was busy for so long; so many sockets still wait to be looked at, and so many bytes
    /// of statements that were read.
    pub fn end_iteration(&mut self, now: Time, busy: Span, waiting: usize, bytes: usize) {
        let work = std::mem::take(&mut self.work);
        self.costs.learn(work, busy);
        // What is there will take so long, with the part refused that is refused now: told at once, where the time that
        // statements have waited tells of a jam only when it has grown as long.
        let statements = waiting as f64 + bytes as f64 / self.length.max(1.0);
        let refused = self.pressure.value();
        let each = self.costs.mean_serve_secs() * (1.0 - refused) + self.costs.reject_secs() * refused;
        let ahead = Span::from_secs_f64(statements * each);
        let waited = self.waited * (1.0 / f64::max(self.looked, 1.0));
        (self.waited, self.looked) = (Span::ZERO, 0.0);
        self.delay = ahead.max(waited * WAITED);
        self.pressure.set_gauge(
            Gauge::Delay,
            self.settings.delay.convex_fraction(self.delay.secs()).min(MOST_BY_DELAY),
        );
        self.pass(now);
    }

    fn pass(&mut self, now: Time) {
        if let Some(before) = self.pressure.advance(now) {
            self.changes += 1;
            let (level, pressure, foremost) =
                (self.pressure.level(), self.pressure.value(), self.pressure.dominant_gauge());
            self.notes.push(OverloadEvent::LevelChanged {
                before,
                after: level,
                pressure,
                dominant: foremost,
            });
        }
        // Less than this is what is left of a pressure that has passed.
        let pressure = self.pressure.value();
        self.floor = if pressure < NOTHING { 0.0 } else { self.ranks.admission_threshold(pressure) };
    }

    /// What the core is told of the front's state for an RPC of this method on a connection that took so much.
    pub fn overload_state(&self, now: Time, method: u32, spent: &ClientUsage) -> OverloadState {
        OverloadState {
            pressure: self.pressure.value(),
            admission_threshold: self.floor,
            cost_secs: self.cost(now, method),
            exceeds_fair_share: self.shares.exceeds_fair_share(spent, self.settings.fair_share_multiple),
            queueing_delay: self.delay,
        }
    }

    /// What an RPC of this method costs the front, in seconds.
    fn cost(&self, now: Time, method: u32) -> f64 {
        let kib =
            self.rows.get(method as usize).map_or(WindowTotals::default(), |row| row.kib.totals(now, 8));
        self.costs.serve_secs(kib.mean().unwrap_or(0.0))
    }

    /// An RPC of this rank has come on a connection, under this strain, whatever becomes of it.
    pub fn record_arrival(&mut self, now: Time, strain: &OverloadState, rank: u32, spent: &mut ClientUsage) {
        self.ranks.record(now, rank, strain.cost_secs);
        // In RPCs that come on average, so that shares are told in a unit that stays.
        self.shares.record(now, spent, strain.cost_secs / self.costs.mean_serve_secs());
    }

    /// An RPC of this method was answered with so many bytes, its statement counted.
    pub fn record_served(&mut self, now: Time, method: u32, bytes: usize) {
        let kib = bytes as f64 / 1024.0;
        if let Some(row) = self.rows.get_mut(method as usize) {
            row.kib.record(now, kib);
        }
        self.work.served += 1.0;
        self.work.kib += kib;
    }

    pub fn record_rejected(&mut self) {
        self.work.rejected += 1.0;
    }

    pub fn pressure(&self) -> f64 {
        self.pressure.value()
    }

    pub fn level(&self) -> Level {
        self.pressure.level()
    }

    /// How many connections to accept in one go, of so many when calm.
    pub fn accept_budget(&self, most: usize) -> usize {
        let part = 1.0 - self.pressure.value() * (1.0 - LEAST_ACCEPTS);
        ((most as f64 * part) as usize).max(1)
    }

    /// How long a client that reads nothing is waited for.
    pub fn slow_reader_timeout(&self) -> Span {
        let memory = self.pressure.gauge(Gauge::Memory).max(self.pressure.gauge(Gauge::Buffers));
        self.settings.slow_reader_timeout * (1.0 - memory * (1.0 - LEAST_WAIT))
    }

    /// The most that answers of one client may hold.
    pub fn slow_reader_max_bytes(&self) -> usize {
        self.settings.slow_reader_bytes
    }

    /// Bytes of rings up to which they press on nobody.
    pub fn unpressured_buffer_bytes(&self) -> usize {
        (self.settings.buffers.from * self.allowance.buffer_bytes as f64) as usize
    }

    pub fn sample_interval(&self) -> Span {
        self.settings.sample_interval
    }

    pub fn take_events(&mut self) -> Vec<OverloadEvent> {
        std::mem::take(&mut self.notes)
    }

    /// Figures for the log and the lab; the longest delay and the changes of level are since it was asked last.
    pub fn take_metrics(&mut self) -> Vec<(&'static str, f64)> {
        let longest = std::mem::take(&mut self.longest);
        let mut figures = vec![
            ("pressure", self.pressure.value()),
            ("floor", self.floor / PRIORITY_COUNT as f64),
            ("delay_ms", longest.secs() * 1e3),
            ("cpu_used", self.cpu),
            ("stolen", self.stolen),
            ("resident_mib", self.last.resident_bytes as f64 / 1_048_576.0),
            ("rings_mib", self.last.buffer_bytes as f64 / 1_048_576.0),
            ("descriptors", self.last.descriptors as f64),
            ("serve_us", self.costs.mean_serve_secs() * 1e6),
            ("refuse_us", self.costs.reject_secs() * 1e6),
            ("active", self.shares.active_clients()),
            ("changes", f64::from(std::mem::take(&mut self.changes))),
        ];
        figures.extend(GAUGES.map(|gauge| (gauge.metric_name(), self.pressure.gauge(gauge))));
        figures
    }
}
