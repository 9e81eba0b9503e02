//! The description of a load: its arrivals, connections, deadlines and retries.

use ladderpass_routing::Span;
use serde::Deserialize;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// How RPCs arrive, and for how long.
#[derive(Clone, Debug)]
pub enum Arrivals {
    /// Open arrivals: a Poisson process in consecutive phases, whether or not earlier RPCs are answered.
    Open(Vec<Phase>),
    /// Closed arrivals: for this duration, each connection sends an RPC when an earlier RPC is answered.
    Closed(Span),
}

/// A phase of a load with open arrivals.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(from = "(f64, f64)")]
pub struct Phase {
    /// Duration in seconds.
    pub seconds: f64,
    /// Mean number of RPCs per second that are due.
    pub rate_per_second: f64,
}

impl Phase {
    /// Returns the duration.
    pub(super) fn duration(&self) -> Span {
        Span::from_secs_f64(self.seconds)
    }
}

/// Drill files give a phase as a pair of its duration and its rate.
impl From<(f64, f64)> for Phase {
    fn from((seconds, rate_per_second): (f64, f64)) -> Phase {
        Phase { seconds, rate_per_second }
    }
}

impl Arrivals {
    /// Returns the time over which RPCs are due.
    pub fn duration(&self) -> Span {
        match self {
            Arrivals::Open(phases) => phases.iter().fold(Span::ZERO, |sum, phase| sum + phase.duration()),
            Arrivals::Closed(duration) => *duration,
        }
    }

    /// Returns the phases of open arrivals, or none for closed arrivals.
    pub(super) fn phases(&self) -> &[Phase] {
        match self {
            Arrivals::Open(phases) => phases,
            Arrivals::Closed(_) => &[],
        }
    }
}

/// The plan of a load, which [`run`](super::run) carries out.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How RPCs arrive, and for how long.
    pub arrivals: Arrivals,
    /// Number of connections that share the arrivals.
    pub connections: usize,
    /// Maximum number of RPCs in flight on a connection.
    pub pipeline: usize,
    /// Time from when an RPC is due until its client gives up.
    pub deadline: Span,
    /// Maximum number of a client's retries of a rejected RPC, each after the rejection's Retry-After.
    pub max_retries: u32,
    /// Number of connections that request the largest values and never read their answers.
    pub slow_readers: usize,
    /// Number of connections that send RPCs as fast as they can, with `flood_depth` in flight.
    pub floods: usize,
    /// Number of RPCs that a flooding connection keeps in flight.
    pub flood_depth: usize,
    /// Seed of all random draws. The seed is also part of each RPC's id.
    pub seed: u64,
    /// Whether to keep an [`RpcRecord`](super::RpcRecord) of each RPC for the history checker.
    pub journal: bool,
    /// Flag that ends the load early when it is set.
    pub stop: Option<Arc<AtomicBool>>,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            arrivals: Arrivals::Open(vec![Phase { seconds: 1.0, rate_per_second: 1000.0 }]),
            connections: 64,
            pipeline: 16,
            deadline: Span::from_millis(1000),
            max_retries: 0,
            slow_readers: 0,
            floods: 0,
            flood_depth: 64,
            seed: 1,
            journal: false,
            stop: None,
        }
    }
}
