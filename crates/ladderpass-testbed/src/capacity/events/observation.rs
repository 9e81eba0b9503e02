//! Runs a simulation during an event, and measures the traffic and the statements meanwhile.

use super::outcome::{EventOutcome, Moment};
use crate::capacity::simulated_routers::{Counts, Simulation};
use crate::capacity::traffic::Traffic;
use ladderpass_routing::{Span, Time};
use std::io;

/// Over which the peak is measured.
const SLICE: Span = Span::from_millis(500);
/// How often conditions are checked.
pub(super) const STEP: Span = Span::from_millis(50);
/// Over which the state before an event is measured: several rounds of gossip.
const BASELINE: Span = Span::from_millis(2400);

/// Datagrams and bytes that all routers sent.
#[derive(Clone, Copy)]
struct Sent {
    datagrams: u64,
    bytes: u64,
}

/// Statements of all clients.
#[derive(Clone, Copy)]
struct Statements {
    sent: u64,
    failed: u64,
}

fn sent(simulation: &Simulation) -> Sent {
    let of = |counts: &Counts| Sent {
        datagrams: counts.gossip.datagrams + counts.membership.datagrams,
        bytes: counts.gossip.bytes + counts.membership.bytes,
    };
    simulation.counts.iter().map(of).fold(Sent { datagrams: 0, bytes: 0 }, |sum, one| Sent {
        datagrams: sum.datagrams + one.datagrams,
        bytes: sum.bytes + one.bytes,
    })
}

impl Sent {
    /// Datagrams and bytes since an earlier time, each times `factor`.
    fn rate_since(&self, earlier: Sent, factor: f64) -> Traffic {
        Traffic {
            datagrams_per_second: (self.datagrams - earlier.datagrams) as f64 * factor,
            bytes_per_second: (self.bytes - earlier.bytes) as f64 * factor,
        }
    }
}

fn statements(simulation: &Simulation) -> Statements {
    let failed = simulation.counts.iter().map(|counts| counts.errors + counts.unsent).sum();
    Statements { sent: simulation.counts.iter().map(|counts| counts.statements).sum(), failed }
}

/// Runs a simulation during an event, and measures it.
pub(super) struct Observation<'a> {
    /// The simulation.
    pub simulation: &'a mut Simulation,
    /// The event's begin.
    pub from: Time,
    traffic_before: Traffic,
    peak_traffic: Traffic,
    slice_began: Time,
    sent_before_slice: Sent,
    statements_before: Statements,
}

impl Observation<'_> {
    /// Measures the traffic before the event, which begins then.
    pub fn begin(simulation: &mut Simulation) -> io::Result<Observation<'_>> {
        let sent_before = sent(simulation);
        simulation.run(BASELINE)?;
        let sent_now = sent(simulation);
        let factor = 1.0 / BASELINE.secs() / simulation.shape.routers as f64;
        let traffic_before = sent_now.rate_since(sent_before, factor);
        simulation.discovery = Default::default();
        let (from, statements_before) = (simulation.now, statements(simulation));
        Ok(Observation {
            traffic_before,
            peak_traffic: traffic_before,
            sent_before_slice: sent_now,
            slice_began: from,
            from,
            statements_before,
            simulation,
        })
    }

    /// Runs for [`STEP`].
    pub fn step(&mut self) -> io::Result<()> {
        self.simulation.run(STEP)?;
        if self.simulation.now - self.slice_began >= SLICE {
            let sent_now = sent(self.simulation);
            let factor =
                1.0 / (self.simulation.now - self.slice_began).secs() / self.simulation.shape.routers as f64;
            let rate = sent_now.rate_since(self.sent_before_slice, factor);
            let peak = &mut self.peak_traffic;
            peak.datagrams_per_second = peak.datagrams_per_second.max(rate.datagrams_per_second);
            peak.bytes_per_second = peak.bytes_per_second.max(rate.bytes_per_second);
            (self.sent_before_slice, self.slice_began) = (sent_now, self.simulation.now);
        }
        Ok(())
    }

    /// Seconds since the event's begin.
    pub fn elapsed_s(&self) -> f64 {
        (self.simulation.now - self.from).secs()
    }

    /// Runs until a condition holds. Returns the seconds since the event's begin, or infinity after `max_s`.
    pub fn run_until(&mut self, max_s: f64, holds: impl Fn(&Simulation) -> bool) -> io::Result<f64> {
        let end = self.simulation.now + Span::from_secs_f64(max_s);
        while !holds(self.simulation) {
            if self.simulation.now >= end {
                return Ok(f64::INFINITY);
            }
            self.step()?;
        }
        Ok(self.elapsed_s())
    }

    /// Runs for a time.
    pub fn run_for(&mut self, secs: f64) -> io::Result<()> {
        let end = self.simulation.now + Span::from_secs_f64(secs);
        while self.simulation.now < end {
            self.step()?;
        }
        Ok(())
    }

    /// What was measured since the event's begin.
    pub fn finish(self, name: &'static str, moments: Vec<Moment>) -> EventOutcome {
        let now = statements(self.simulation);
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
