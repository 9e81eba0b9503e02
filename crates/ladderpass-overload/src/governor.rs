//! All of it together: what a front tells of itself and its work, and what it is told to do.

use crate::costs::{Costs, Work};
use crate::pressure::{GAUGES, Gauge, Level, Pressure};
use crate::ranks::Ranks;
use crate::sample::{Allowance, Sample};
use crate::settings::Settings;
use crate::shares::{Shares, Spent};
use ladderpass_routing::ring::Ring;
use ladderpass_routing::{OverloadState, PRIORITY_COUNT, Span, Time};

/// What operators are told.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    Level { before: Level, now: Level, pressure: f64, foremost: Gauge },
}

/// What one method's RPCs move.
#[derive(Clone, Debug)]
struct Row {
    kib: Ring<8>,
}

#[derive(Clone, Debug)]
pub struct Governor {
    settings: Settings,
    allowance: Allowance,
    pressure: Pressure,
    ranks: Ranks,
    shares: Shares,
    costs: Costs,
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
    last: Sample,
    /// Used CPU as a part of the allowance, smoothed over some looks.
    cpu: f64,
    stolen: f64,
    floor: f64,
    notes: Vec<Note>,
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
    pub fn new(now: Time, settings: Settings, allowance: Allowance, methods: usize) -> Governor {
        let row = Row { kib: Ring::new(Span::from_millis(500)) };
        Governor {
            pressure: Pressure::new(now, settings),
            settings,
            allowance,
            ranks: Ranks::default(),
            shares: Shares::default(),
            costs: Costs::default(),
            rows: vec![row; methods],
            looked: 0.0,
            waited: Span::ZERO,
            delay: Span::ZERO,
            longest: Span::ZERO,
            length: 128.0,
            woke: Time::NEVER,
            work: Work::default(),
            last: Sample::default(),
            cpu: 0.0,
            stolen: 0.0,
            floor: 0.0,
            notes: Vec::new(),
            changes: 0,
        }
    }

    /// Other settings or another allowance hold from now on; what was learnt stays.
    pub fn set(&mut self, now: Time, settings: Settings, allowance: Allowance) {
        (self.settings, self.allowance) = (settings, allowance);
        self.pressure = Pressure::new(now, settings);
    }

    /// A statement of this length is looked at that has waited so long for this front.
    pub fn looks(&mut self, now: Time, waited: Span, length: usize) {
        let waited = waited.min((now - self.woke).max(Span::ZERO));
        self.longest = self.longest.max(waited);
        self.waited += waited;
        self.looked += 1.0;
        self.length += (length as f64 - self.length) * LENGTH_BY;
    }

    /// The process did not run until now.
    pub fn stalled(&mut self, now: Time) {
        self.woke = now;
    }

    /// One look at the process.
    pub fn sample(&mut self, now: Time, sample: Sample) {
        let moved = 1.0 - (-sample.wall.secs() / CPU_OVER.secs()).exp();
        self.cpu += (sample.used(self.allowance.cores) - self.cpu) * moved;
        self.stolen += (sample.stolen() - self.stolen) * moved;
        let part = |used: usize, allowed: usize| used as f64 / allowed.max(1) as f64;
        let settings = &self.settings;
        for (gauge, told) in [
            (Gauge::Cpu, settings.cpu.part(self.cpu)),
            (Gauge::Memory, settings.memory.part(part(sample.resident, self.allowance.memory))),
            (Gauge::Rings, settings.rings.part(part(sample.rings, self.allowance.rings))),
            (
                Gauge::Descriptors,
                settings.descriptors.part(part(sample.descriptors, self.allowance.descriptors)),
            ),
        ] {
            self.pressure.tell(gauge, told);
        }
        self.last = sample;
        self.pass(now);
    }

    /// A turn of the loop is over. It was busy for so long; so many sockets still wait to be looked at, and so many bytes
    /// of statements that were read.
    pub fn turn(&mut self, now: Time, busy: Span, waiting: usize, bytes: usize) {
        let work = std::mem::take(&mut self.work);
        self.costs.learn(work, busy);
        // What is there will take so long, with the part refused that is refused now: told at once, where the time that
        // statements have waited tells of a jam only when it has grown as long.
        let statements = waiting as f64 + bytes as f64 / self.length.max(1.0);
        let refused = self.pressure.value();
        let each = self.costs.usual() * (1.0 - refused) + self.costs.refuse() * refused;
        let ahead = Span::from_secs_f64(statements * each);
        let waited = self.waited * (1.0 / f64::max(self.looked, 1.0));
        (self.waited, self.looked) = (Span::ZERO, 0.0);
        self.delay = ahead.max(waited * WAITED);
        self.pressure.tell(Gauge::Delay, self.settings.delay.bent(self.delay.secs()).min(MOST_BY_DELAY));
        self.pass(now);
    }

    fn pass(&mut self, now: Time) {
        if let Some(before) = self.pressure.pass(now) {
            self.changes += 1;
            let (level, pressure, foremost) =
                (self.pressure.level(), self.pressure.value(), self.pressure.foremost());
            self.notes.push(Note::Level { before, now: level, pressure, foremost });
        }
        // Less than this is what is left of a pressure that has passed.
        let pressure = self.pressure.value();
        self.floor = if pressure < NOTHING { 0.0 } else { self.ranks.floor(pressure) };
    }

    /// What the core is told of the front's state for an RPC of this method on a connection that took so much.
    pub fn strain(&self, now: Time, method: u32, spent: &Spent) -> OverloadState {
        OverloadState {
            pressure: self.pressure.value(),
            admission_threshold: self.floor,
            cost_secs: self.cost(now, method),
            exceeds_fair_share: self.shares.floods(spent, self.settings.fair),
            queueing_delay: self.delay,
        }
    }

    /// What an RPC of this method costs the front, in seconds.
    fn cost(&self, now: Time, method: u32) -> f64 {
        let kib = self.rows.get(method as usize).map_or((0.0, 0.0), |row| row.kib.last(now, 8));
        self.costs.serve(if kib.0 > 0.0 { kib.1 / kib.0 } else { 0.0 })
    }

    /// An RPC of this rank has come on a connection, under this strain, whatever becomes of it.
    pub fn offered(&mut self, now: Time, strain: &OverloadState, rank: u32, spent: &mut Spent) {
        self.ranks.offered(now, rank, strain.cost_secs);
        // In RPCs that come on average, so that shares are told in a unit that stays.
        self.shares.spend(now, spent, strain.cost_secs / self.costs.usual());
    }

    /// An RPC of this method was answered with so many bytes, its statement counted.
    pub fn served(&mut self, now: Time, method: u32, bytes: usize) {
        let kib = bytes as f64 / 1024.0;
        if let Some(row) = self.rows.get_mut(method as usize) {
            row.kib.add(now, kib);
        }
        self.work.served += 1.0;
        self.work.kib += kib;
    }

    pub fn refused(&mut self) {
        self.work.refused += 1.0;
    }

    pub fn pressure(&self) -> f64 {
        self.pressure.value()
    }

    pub fn level(&self) -> Level {
        self.pressure.level()
    }

    /// How many connections to accept in one go, of so many when calm.
    pub fn accepts(&self, most: usize) -> usize {
        let part = 1.0 - self.pressure.value() * (1.0 - LEAST_ACCEPTS);
        ((most as f64 * part) as usize).max(1)
    }

    /// How long a client that reads nothing is waited for.
    pub fn reader_wait(&self) -> Span {
        let memory = self.pressure.part(Gauge::Memory).max(self.pressure.part(Gauge::Rings));
        self.settings.slow_reader * (1.0 - memory * (1.0 - LEAST_WAIT))
    }

    /// The most that answers of one client may hold.
    pub fn reader_bytes(&self) -> usize {
        self.settings.slow_reader_bytes
    }

    /// Bytes of rings up to which they press on nobody.
    pub fn rings_at_ease(&self) -> usize {
        (self.settings.rings.from * self.allowance.rings as f64) as usize
    }

    pub fn look_every(&self) -> Span {
        self.settings.look
    }

    pub fn notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Figures for the log and the lab; the longest delay and the changes of level are since it was asked last.
    pub fn figures(&mut self) -> Vec<(&'static str, f64)> {
        let longest = std::mem::take(&mut self.longest);
        let mut figures = vec![
            ("pressure", self.pressure.value()),
            ("floor", self.floor / PRIORITY_COUNT as f64),
            ("delay_ms", longest.secs() * 1e3),
            ("cpu_used", self.cpu),
            ("stolen", self.stolen),
            ("resident_mib", self.last.resident as f64 / 1_048_576.0),
            ("rings_mib", self.last.rings as f64 / 1_048_576.0),
            ("descriptors", self.last.descriptors as f64),
            ("serve_us", self.costs.usual() * 1e6),
            ("refuse_us", self.costs.refuse() * 1e6),
            ("active", self.shares.active()),
            ("changes", f64::from(std::mem::take(&mut self.changes))),
        ];
        figures.extend(GAUGES.map(|gauge| (gauge.part_name(), self.pressure.part(gauge))));
        figures
    }
}
