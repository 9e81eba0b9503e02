//! Settings of the failure detector.
//!
//! The time to find a dead router is that until its probe fails plus the suspicion timeout. The timeout is the shortest
//! where enough other routers suspect it too, and the longest where none does: by the defaults 1.98 s with two routers,
//! and from 2.2 s to 4.9 s with 300.

use ladderpass_routing::Span;

/// Intervals, timeouts and limits of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Length of a protocol round: one router is probed in each.
    pub probe_interval: Span,
    /// How long to wait for a direct ack before other routers are asked for an indirect probe.
    pub ack_timeout: Span,
    /// How many routers are asked for an indirect probe.
    pub indirect_probes: usize,
    /// The shortest suspicion timeout, for up to ten routers. It grows with the logarithm of their number.
    pub min_suspicion_timeout: Span,
    /// The longest suspicion timeout, without any confirmation, as a multiple of the shortest.
    pub max_suspicion_factor: f64,
    /// Confirmations by other routers that shorten a suspicion timeout to the shortest.
    pub required_confirmations: usize,
    /// Maximum size of a datagram, in bytes.
    pub max_datagram_bytes: usize,
    /// Maximum number of routers in the table, tombstones included.
    pub max_routers: usize,
    /// How long a tombstone of a router that died or left is kept. A dead router is probed for its return meanwhile.
    pub tombstone_retention: Span,
    /// Without an acknowledgement by any router for this long, this router counts as isolated.
    pub isolation_timeout: Span,
    /// A deliberate fault, for tests of the tests.
    pub faulty: Faulty,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            probe_interval: Span::from_millis(250),
            ack_timeout: Span::from_millis(80),
            indirect_probes: 3,
            min_suspicion_timeout: Span::from_millis(900),
            max_suspicion_factor: 2.2,
            required_confirmations: 2,
            max_datagram_bytes: 256,
            max_routers: 2000,
            tombstone_retention: Span::from_millis(120_000),
            isolation_timeout: Span::from_millis(1500),
            faulty: Faulty::NotFaulty,
        }
    }
}

/// Deliberate faults that the tests must detect. No release can switch them on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Faulty {
    /// No fault.
    #[default]
    NotFaulty,
    /// A router that was alive once is never suspected.
    NeverSuspects,
    /// One missed ack, or one update with a suspicion, confirms a death.
    ConfirmsImmediately,
    /// The latest update overrides any other, whatever its incarnation.
    IgnoresIncarnations,
    /// Dead routers are counted in the view.
    CountsDeadRouters,
}
