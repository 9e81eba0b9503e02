//! Runs a simulation during an event, and measures the traffic and the statements.

use super::outcome::{EventOutcome, Moment};
use crate::capacity::simulated_routers::{Counts, Simulation};
use crate::capacity::traffic::Traffic;
use ladderpass_routing::{Span, Time};
use std::io;

/// Time over which each candidate for the peak traffic is measured.
const PEAK_WINDOW: Span = Span::from_millis(500);
/// Interval at which conditions are checked.
pub(super) const STEP: Span = Span::from_millis(50);
/// Time over which the traffic before an event is measured. This time covers several rounds of gossip.
const BASELINE: Span = Span::from_millis(2400);

/// Datagrams and bytes that all routers have sent since the start of the simulation.
#[derive(Clone, Copy)]
struct SentTotals {
    datagrams: u64,
    bytes: u64,
}

/// Numbers of statements that all clients sent, and of those that failed, since the start of the simulation.
#[derive(Clone, Copy)]
struct StatementTotals {
    sent: u64,
    failed: u64,
}

fn sent_totals(simulation: &Simulation) -> SentTotals {
    let totals_of = |counts: &Counts| SentTotals {
        datagrams: counts.gossip.datagrams + counts.membership.datagrams,
        bytes: counts.gossip.bytes + counts.membership.bytes,
    };
    simulation.counts.iter().map(totals_of).fold(SentTotals { datagrams: 0, bytes: 0 }, |sum, one| {
        SentTotals { datagrams: sum.datagrams + one.datagrams, bytes: sum.bytes + one.bytes }
    })
}

impl SentTotals {
    /// Returns the datagrams and bytes that were sent since an earlier time, multiplied by `factor`.
    fn rate_since(&self, earlier: SentTotals, factor: f64) -> Traffic {
        Traffic {
            datagrams_per_second: (self.datagrams - earlier.datagrams) as f64 * factor,
            bytes_per_second: (self.bytes - earlier.bytes) as f64 * factor,
        }
    }
}

fn statement_totals(simulation: &Simulation) -> StatementTotals {
    let failed = simulation.counts.iter().map(|counts| counts.errors + counts.unsent).sum();
    StatementTotals { sent: simulation.counts.iter().map(|counts| counts.statements).sum(), failed }
}

/// The observation of a simulation during an event.
pub(super) struct Observation<'a> {
    /// The observed simulation.
    pub simulation: &'a mut Simulation,
    /// When the event began.
    pub started_at: Time,
    traffic_before: Traffic,
    peak_traffic: Traffic,
    window_started_at: Time,
    sent_before_window: SentTotals,
    statements_before: StatementTotals,
}

impl Observation<'_> {
    /// Measures the traffic before the event, and then begins the event.
    pub fn begin(simulation: &mut Simulation) -> io::Result<Observation<'_>> {
        let sent_before = sent_totals(simulation);
        simulation.run(BASELINE)?;
        let sent_now = sent_totals(simulation);
        let factor = 1.0 / BASELINE.secs() / simulation.shape.routers as f64;
        let traffic_before = sent_now.rate_since(sent_before, factor);
        simulation.discovery = Default::default();
        let (started_at, statements_before) = (simulation.now, statement_totals(simulation));
        Ok(Observation {
            traffic_before,
            peak_traffic: traffic_before,
            sent_before_window: sent_now,
            window_started_at: started_at,
            started_at,
            statements_before,
            simulation,
        })
    }

    /// Runs the simulation for [`STEP`], and updates the peak traffic at the end of each [`PEAK_WINDOW`].
    pub fn step(&mut self) -> io::Result<()> {
        self.simulation.run(STEP)?;
        if self.simulation.now - self.window_started_at >= PEAK_WINDOW {
            let sent_now = sent_totals(self.simulation);
            let factor = 1.0
                / (self.simulation.now - self.window_started_at).secs()
                / self.simulation.shape.routers as f64;
            let rate = sent_now.rate_since(self.sent_before_window, factor);
            let peak = &mut self.peak_traffic;
            peak.datagrams_per_second = peak.datagrams_per_second.max(rate.datagrams_per_second);
            peak.bytes_per_second = peak.bytes_per_second.max(rate.bytes_per_second);
            (self.sent_before_window, self.window_started_at) = (sent_now, self.simulation.now);
        }
        Ok(())
    }

    /// Returns the seconds since the event began.
    pub fn elapsed_s(&self) -> f64 {
        (self.simulation.now - self.started_at).secs()
    }

    /// Runs until a condition holds. Returns the seconds since the event began, or infinity if the condition does not hold
    /// within `max_s` from now.
    pub fn run_until(&mut self, max_s: f64, condition: impl Fn(&Simulation) -> bool) -> io::Result<f64> {
        let end = self.simulation.now + Span::from_secs_f64(max_s);
        while !condition(self.simulation) {
            if self.simulation.now >= end {
                return Ok(f64::INFINITY);
            }
            self.step()?;
        }
        Ok(self.elapsed_s())
    }

    /// Runs for a number of seconds, rounded up to whole steps.
    pub fn run_for(&mut self, secs: f64) -> io::Result<()> {
        let end = self.simulation.now + Span::from_secs_f64(secs);
        while self.simulation.now < end {
            self.step()?;
        }
        Ok(())
    }

    /// Ends the observation, and returns its measurements.
    pub fn finish(self, name: &'static str, moments: Vec<Moment>) -> EventOutcome {
        let now = statement_totals(self.simulation);
        let sent = (now.sent - self.statements_before.sent).max(1);
        let failed = now.failed - self.statements_before.failed;
        EventOutcome {
            name,
            moments,
            traffic_before: self.traffic_before,
            peak_traffic: self.peak_traffic,
            failed_fraction: failed as f64 / sent as f64,
            discovery_bytes: self.simulation.discovery.bytes,
        }
    }
}
