//! What an event caused.

use crate::capacity::traffic::Traffic;

/// What an event caused.
#[derive(Clone, Debug)]
pub struct EventOutcome {
    /// Name of the event.
    pub name: &'static str,
    /// When conditions came to hold, and how many routers and members an event concerned.
    pub moments: Vec<Moment>,
    /// Traffic of a router before the event.
    pub traffic_before: Traffic,
    /// The same in the half second in which it was highest.
    pub peak_traffic: Traffic,
    /// Fraction of the statements since its begin that failed.
    pub failed_fraction: f64,
    /// Bytes that discovery sent since its begin.
    pub discovery_bytes: u64,
}

/// A value that an event is described by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Moment {
    /// What it is.
    pub label: &'static str,
    /// Seconds since the event's begin, or a count.
    pub value: f64,
}
