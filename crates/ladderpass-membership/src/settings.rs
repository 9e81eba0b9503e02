//! Settings of the failure detector.
//!
//! The time to detect a dead router is the time until a probe of it fails plus the suspicion timeout. The suspicion
//! timeout is shortest if enough other routers confirm the suspicion, and longest if none does. With the default
//! settings the suspicion timeout is 1.98 s with two routers, and between 2.2 s and 4.9 s with 300 routers.

use ladderpass_routing::Span;

/// Intervals, timeouts and limits of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Length of a protocol round. One live router is probed in each round, or more if acks are missing.
    pub probe_interval: Span,
    /// How long to wait for a direct ack before other routers are asked for an indirect probe.
    pub ack_timeout: Span,
    /// How many routers are asked for an indirect probe.
    pub indirect_probes: usize,
    /// The shortest suspicion timeout with up to ten routers. With more routers the timeout grows with the logarithm of
    /// their number.
    pub min_suspicion_timeout: Span,
    /// The longest suspicion timeout as a multiple of the shortest one. The longest timeout applies to a suspicion that
    /// no other router has confirmed.
    pub max_suspicion_factor: f64,
    /// Number of confirmations by other routers that reduce the suspicion timeout to the shortest one.
    pub required_confirmations: usize,
    /// Maximum size of a datagram, in bytes.
    pub max_datagram_bytes: usize,
    /// Maximum number of routers in the table, including tombstones.
    pub max_routers: usize,
    /// How long the tombstone of a router that died or left is kept. As long as the tombstone of a dead router is kept,
    /// the router is probed to detect its return.
    pub tombstone_retention: Span,
    /// This router counts as isolated if no other router has acknowledged a datagram of this router for this long.
    pub isolation_timeout: Span,
    /// The deliberate fault of this router, if it has one.
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

/// Deliberate faults that the tests must detect. No release can switch these faults on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Faulty {
    /// No fault.
    #[default]
    NotFaulty,
    /// A router that was alive once is never suspected.
    NeverSuspects,
    /// One failed probe, or one update with a suspicion, confirms a death.
    ConfirmsImmediately,
    /// The latest update overrides any other, regardless of the incarnations.
    IgnoresIncarnations,
    /// Dead routers are counted in the view.
    CountsDeadRouters,
}
