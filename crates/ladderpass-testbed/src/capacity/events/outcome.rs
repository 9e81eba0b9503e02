//! The measured effects of an event.

use crate::capacity::traffic::Traffic;

/// The measured effects of an event.
#[derive(Clone, Debug)]
pub struct EventOutcome {
    /// Name of the event.
    pub name: &'static str,
    /// Times at which conditions began to hold, and the numbers of routers and members that failed.
    pub moments: Vec<Moment>,
    /// Mean traffic of a router before the event.
    pub traffic_before: Traffic,
    /// Highest mean traffic of a router over half a second. Datagrams and bytes have their maxima independently, and are at
    /// least those before the event.
    pub peak_traffic: Traffic,
    /// Statements that failed or found no free client connection, divided by the statements that were sent, both during the
    /// observation.
    pub failed_fraction: f64,
    /// Bytes that discovery sent during the observation.
    pub discovery_bytes: u64,
}

/// A time or a count that describes an event.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Moment {
    /// Meaning of the value.
    pub label: &'static str,
    /// Seconds since the event began, or a count.
    pub value: f64,
}
