//! What a load is: its arrivals, connections, deadlines and retries.

use ladderpass_routing::Span;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// How RPCs arrive.
#[derive(Clone, Debug)]
pub enum Pace {
    /// Poisson arrivals: phases one after the other, each with its length and its rate in RPCs a second.
    Open(Vec<(Span, f64)>),
    /// Each connection sends again once it is answered, for so long.
    Closed(Span),
}

/// A load, as [`run`](super::run) plays it.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How RPCs arrive, and for how long.
    pub pace: Pace,
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
            pace: Pace::Open(vec![(Span::from_millis(1000), 1000.0)]),
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
