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
    /// Highest mean traffic per router in any half second of the event, and at least `traffic_before`. The maxima of
    /// datagrams and of bytes may come from different half seconds.
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
    /// What the value means.
    pub label: &'static str,
    /// Seconds since the event began, or a count.
    pub value: f64,
}
