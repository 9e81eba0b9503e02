//! The entry points of the overload control. The caller records statements, RPCs, iterations of the event loop and
//! resource samples, and queries the overload state for each RPC, the number of connections to accept and the slow
//! reader timeout.

use crate::cost_model::{CostModel, Work};
use crate::fair_shares::{ClientUsage, FairShares};
use crate::pressure::{GAUGES, Gauge, Level, Pressure};
use crate::priority_histogram::PriorityHistogram;
use crate::queueing_delay::{MeanCosts, QueueingDelay};
use crate::sample::{ResourceLimits, ResourceSample};
use crate::settings::Settings;
use ladderpass_routing::sliding_window::{SlidingWindow, WindowTotals};
use ladderpass_routing::{OverloadState, PRIORITY_COUNT, Span, Time};

/// Time constant with which two shares are smoothed: the share of the allowed CPU time that this process used
/// (`cpu_share`), and the share of the wall time in which the event loop had no CPU (`stolen_share`).
const CPU_TIME_CONSTANT: Span = Span::from_millis(250);
/// The queueing delay alone never raises the pressure above this limit. The highest priorities stay admitted, so that
/// a queue of RPCs that all have the same priority drains by serving as well as by rejecting.
const MAX_DELAY_PRESSURE: f64 = 0.97;
/// A pressure below this value sheds no RPC, since it is only a remainder of an earlier pressure that the smoothing has
/// left.
const MIN_SHEDDING_PRESSURE: f64 = 0.005;
/// What is left under full pressure, as a share of the value without pressure: of the connections accepted in an
/// iteration, and of the slow reader timeout, for which only the pressure of memory and buffers counts.
const MIN_ACCEPT_SHARE: f64 = 1.0 / 16.0;
const MIN_SLOW_READER_TIMEOUT_SHARE: f64 = 0.1;
/// The number and the width of the buckets of the sliding window over which the mean size of a method's RPCs is
/// computed.
const METHOD_SIZE_BUCKETS: usize = 8;
const METHOD_SIZE_BUCKET_WIDTH: Span = Span::from_millis(500);
/// The time in seconds that a nominal router takes to serve an RPC of mean size.
const NOMINAL_SERVE_SECS: f64 = 1e-4;
const BYTES_PER_KIB: f64 = 1024.0;
const BYTES_PER_MIB: f64 = 1_048_576.0;

/// An event that operators are notified of.
#[derive(Clone, Debug, PartialEq)]
pub enum OverloadEvent {
    /// The level of the pressure has changed.
    LevelChanged {
        /// The previous level of the pressure.
        before: Level,
        /// The new level of the pressure.
        after: Level,
        /// The current pressure, from 0 to 1.
        pressure: f64,
        /// The gauge that causes the pressure.
        dominant: Gauge,
    },
}

/// The overload control of one router.
#[derive(Clone, Debug)]
pub struct Governor {
    settings: Settings,
    limits: ResourceLimits,
    pressure: Pressure,
    priorities: PriorityHistogram,
    shares: FairShares,
    costs: CostModel,
    queueing_delay: QueueingDelay,
    /// The size in KiB of the statements and responses of recently answered RPCs, by method.
    method_kib: Vec<SlidingWindow<METHOD_SIZE_BUCKETS>>,
    /// Work of the current iteration of the event loop.
    work: Work,
    last_sample: ResourceSample,
    /// Smoothed share of the allowed CPU time that this process used.
    cpu_share: f64,
    /// Smoothed share of the wall time in which the event loop had work and no CPU, because other processes used the
    /// CPU or a CPU quota was used up.
    stolen_share: f64,
    admission_threshold: f64,
    events: Vec<OverloadEvent>,
    /// Number of changes of the pressure's level since the last call of `take_metrics`.
    level_changes: u32,
}

impl Governor {
    /// Creates the overload control, without pressure, of a router that serves `method_count` methods.
    pub fn new(now: Time, settings: Settings, limits: ResourceLimits, method_count: usize) -> Governor {
        Governor {
            pressure: Pressure::new(now, settings),
            settings,
            limits,
            priorities: PriorityHistogram::default(),
            shares: FairShares::default(),
            costs: CostModel::default(),
            queueing_delay: QueueingDelay::new(),
            method_kib: vec![SlidingWindow::new(METHOD_SIZE_BUCKET_WIDTH); method_count],
            work: Work::default(),
            last_sample: ResourceSample::default(),
            cpu_share: 0.0,
            stolen_share: 0.0,
            admission_threshold: 0.0,
            events: Vec::new(),
            level_changes: 0,
        }
    }

    /// Applies new settings and resource limits. The learnt costs of RPCs are kept, and the pressure starts from zero
    /// again.
    pub fn reconfigure(&mut self, now: Time, settings: Settings, limits: ResourceLimits) {
        self.settings = settings;
        self.limits = limits;
        self.pressure = Pressure::new(now, settings);
    }

    /// Records that a statement of this length is being handled, and that the statement waited for this router for
    /// `waited` before.
    pub fn record_statement(&mut self, now: Time, waited: Span, length_bytes: usize) {
        self.queueing_delay.record_statement(now, waited, length_bytes);
    }

    /// Records that the process did not run for a while and has resumed now.
    pub fn record_stall(&mut self, now: Time) {
        self.queueing_delay.record_stall(now);
    }

    /// Records a sample of the process's resource usage.
    pub fn record_sample(&mut self, now: Time, sample: ResourceSample) {
        let weight = 1.0 - (-sample.wall.secs() / CPU_TIME_CONSTANT.secs()).exp();
        self.cpu_share += (sample.cpu_share(self.limits.cores) - self.cpu_share) * weight;
        self.stolen_share += (sample.stolen_share() - self.stolen_share) * weight;
        let share = |used: usize, limit: usize| used as f64 / limit.max(1) as f64;
        let memory = share(sample.resident_bytes, self.limits.memory_bytes);
        let buffers = share(sample.buffer_bytes, self.limits.buffer_bytes);
        let descriptors = share(sample.descriptors, self.limits.descriptors);
        let settings = &self.settings;
        for (gauge, fraction) in [
            (Gauge::Cpu, settings.cpu.fraction(self.cpu_share)),
            (Gauge::Memory, settings.memory.fraction(memory)),
            (Gauge::Buffers, settings.buffers.fraction(buffers)),
            (Gauge::Descriptors, settings.descriptors.fraction(descriptors)),
        ] {
            self.pressure.set_gauge(gauge, fraction);
        }
        self.last_sample = sample;
        self.update_pressure(now);
    }

    /// Ends an iteration of the event loop. `busy` is how long the iteration was busy. At the end of the iteration,
    /// `waiting_sockets` sockets have pending events, and `waiting_bytes` bytes of statements have been read but not
    /// handled.
    pub fn end_iteration(&mut self, now: Time, busy: Span, waiting_sockets: usize, waiting_bytes: usize) {
        let work = std::mem::take(&mut self.work);
        self.costs.learn(work, busy);
        let costs = MeanCosts {
            serve_secs: self.costs.mean_serve_secs(),
            reject_secs: self.costs.reject_secs(),
            rejected_share: self.pressure.value(),
        };
        self.queueing_delay.end_iteration(waiting_sockets, waiting_bytes, &costs);
        let delay_secs = self.queueing_delay.current().secs();
        let fraction = self.settings.delay.concave_fraction(delay_secs).min(MAX_DELAY_PRESSURE);
        self.pressure.set_gauge(Gauge::Delay, fraction);
        self.update_pressure(now);
    }

    fn update_pressure(&mut self, now: Time) {
        if let Some(before) = self.pressure.advance(now) {
            self.level_changes += 1;
            self.events.push(OverloadEvent::LevelChanged {
                before,
                after: self.pressure.level(),
                pressure: self.pressure.value(),
                dominant: self.pressure.dominant_gauge(),
            });
        }
        let pressure = self.pressure.value();
        self.admission_threshold = if pressure < MIN_SHEDDING_PRESSURE {
            0.0
        } else {
            self.priorities.admission_threshold(pressure)
        };
    }

    /// The overload state by which the routing core decides whether to admit an RPC of this method on this connection.
    pub fn overload_state(&self, now: Time, method: u32, client: &ClientUsage) -> OverloadState {
        OverloadState {
            pressure: self.pressure.value(),
            admission_threshold: self.admission_threshold,
            cost_secs: self.nominal_serve_secs(now, method),
            exceeds_fair_share: self.shares.exceeds_fair_share(client, self.settings.fair_share_multiple),
            queueing_delay: self.queueing_delay.current(),
        }
    }

    /// Seconds that this router would take to serve an RPC of this method, given the recent mean size of the method's
    /// RPCs, if it took `NOMINAL_SERVE_SECS` to serve an RPC of mean size. Priorities are compared with those of the last
    /// second, so they must not all change whenever the router learns that its work costs less or more.
    fn nominal_serve_secs(&self, now: Time, method: u32) -> f64 {
        let window = self.method_kib.get(method as usize);
        let kib = window.map_or(WindowTotals::default(), |window| window.totals(now, METHOD_SIZE_BUCKETS));
        let relative_cost = self.costs.serve_secs(kib.mean().unwrap_or(0.0)) / self.costs.mean_serve_secs();
        NOMINAL_SERVE_SECS * relative_cost
    }

    /// Records an RPC of this priority that arrived on a connection, whether it is admitted or not. `state` is what
    /// `overload_state` returned for the RPC.
    pub fn record_arrival(
        &mut self,
        now: Time,
        state: &OverloadState,
        priority: u32,
        client: &mut ClientUsage,
    ) {
        self.priorities.record(now, priority, state.cost_secs);
        self.shares.record(now, client, state.cost_secs / NOMINAL_SERVE_SECS);
    }

    /// Records that an RPC of this method was answered. `bytes` is the total length of the RPC's statement and
    /// response.
    pub fn record_served(&mut self, now: Time, method: u32, bytes: usize) {
        let kib = bytes as f64 / BYTES_PER_KIB;
        if let Some(window) = self.method_kib.get_mut(method as usize) {
            window.record(now, kib);
        }
        self.work.served += 1.0;
        self.work.kib += kib;
    }

    /// Records that an RPC was rejected, or was admitted and not answered successfully. The cost model counts both as
    /// a rejection.
    pub fn record_rejected(&mut self) {
        self.work.rejected += 1.0;
    }

    /// The current pressure, from 0 to 1.
    pub fn pressure(&self) -> f64 {
        self.pressure.value()
    }

    /// The current level of the pressure.
    pub fn level(&self) -> Level {
        self.pressure.level()
    }

    /// How many connections to accept in an iteration: `max` without pressure, fewer under pressure, and at least one.
    pub fn accept_budget(&self, max: usize) -> usize {
        let share = 1.0 - self.pressure.value() * (1.0 - MIN_ACCEPT_SHARE);
        ((max as f64 * share) as usize).max(1)
    }

    /// How long a client that reads none of its responses may stay connected. Pressure from memory or connection
    /// buffers shortens this time.
    pub fn slow_reader_timeout(&self) -> Span {
        let memory_pressure = self.pressure.gauge(Gauge::Memory).max(self.pressure.gauge(Gauge::Buffers));
        self.settings.slow_reader_timeout * (1.0 - memory_pressure * (1.0 - MIN_SLOW_READER_TIMEOUT_SHARE))
    }

    /// The most bytes of unread responses that one client may have.
    pub fn slow_reader_max_bytes(&self) -> usize {
        self.settings.slow_reader_bytes
    }

    /// The most bytes that connection buffers may take without raising the pressure.
    pub fn unpressured_buffer_bytes(&self) -> usize {
        (self.settings.buffers.from * self.limits.buffer_bytes as f64) as usize
    }

    /// How often to call `record_sample`.
    pub fn sample_interval(&self) -> Span {
        self.settings.sample_interval
    }

    /// Returns the overload events since the last call of this function, and clears them.
    pub fn take_events(&mut self) -> Vec<OverloadEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the metrics, under the names that the log and the testbed use. The longest delay and the number of level
    /// changes are those since the last call of this function.
    pub fn take_metrics(&mut self) -> Vec<(&'static str, f64)> {
        let longest_delay = self.queueing_delay.take_longest();
        let level_changes = std::mem::take(&mut self.level_changes);
        let mut metrics = vec![
            ("pressure", self.pressure.value()),
            ("floor", self.admission_threshold / PRIORITY_COUNT as f64),
            ("delay_ms", longest_delay.secs() * 1e3),
            ("cpu_used", self.cpu_share),
            ("stolen", self.stolen_share),
            ("resident_mib", self.last_sample.resident_bytes as f64 / BYTES_PER_MIB),
            ("rings_mib", self.last_sample.buffer_bytes as f64 / BYTES_PER_MIB),
            ("descriptors", self.last_sample.descriptors as f64),
            ("serve_us", self.costs.mean_serve_secs() * 1e6),
            ("refuse_us", self.costs.reject_secs() * 1e6),
            ("active", self.shares.active_clients()),
            ("changes", f64::from(level_changes)),
        ];
        metrics.extend(GAUGES.map(|gauge| (gauge.metric_name(), self.pressure.gauge(gauge))));
        metrics
    }
}
