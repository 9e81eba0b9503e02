//! What a load is: its arrivals, connections, deadlines and retries.

use ladderpass_routing::Span;
use serde::Deserialize;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// How RPCs arrive, and for how long.
#[derive(Clone, Debug)]
pub enum Arrivals {
    /// Open: Poisson arrivals in phases, one after the other, whether or not earlier RPCs are answered.
    Open(Vec<Phase>),
    /// Closed: each connection sends again once it is answered, for so long.
    Closed(Span),
}

/// A phase of a load with open arrivals.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(from = "(f64, f64)")]
pub struct Phase {
    /// Its length, in seconds.
    pub seconds: f64,
    /// RPCs a second that are due, on average.
    pub rate_per_second: f64,
}

impl Phase {
    /// Its length.
    pub(super) fn duration(&self) -> Span {
        Span::from_secs_f64(self.seconds)
    }
}

/// Files of drills give a phase as a pair.
impl From<(f64, f64)> for Phase {
    fn from((seconds, rate_per_second): (f64, f64)) -> Phase {
        Phase { seconds, rate_per_second }
    }
}

impl Arrivals {
    /// For how long RPCs are due.
    pub fn duration(&self) -> Span {
        match self {
            Arrivals::Open(phases) => phases.iter().fold(Span::ZERO, |sum, phase| sum + phase.duration()),
            Arrivals::Closed(duration) => *duration,
        }
    }

    /// The phases of open arrivals; none if they are closed.
    pub(super) fn phases(&self) -> &[Phase] {
        match self {
            Arrivals::Open(phases) => phases,
            Arrivals::Closed(_) => &[],
        }
    }
}

/// A load, as [`run`](super::run) plays it.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How RPCs arrive, and for how long.
    pub arrivals: Arrivals,
    /// Connections that share the arrivals.
    pub connections: usize,
    /// RPCs that a connection may have in flight.
    pub pipeline: usize,
    /// From when an RPC is due to when its client gives up.
    pub deadline: Span,
    /// How often a client retries after a rejection, each time after its Retry-After.
    pub max_retries: u32,
    /// Connections that ask for the largest values and never read.
    pub slow_readers: usize,
    /// Connections that send RPCs as fast as they can, with `flood_depth` in flight.
    pub floods: usize,
    /// RPCs that a flooding connection has in flight.
    pub flood_depth: usize,
    /// Seed of all random draws; part of each RPC's id too.
    pub seed: u64,
    /// Keep an [`RpcRecord`](super::RpcRecord) for each RPC, for the history checker.
    pub journal: bool,
    /// Ends the load early once it is set.
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
