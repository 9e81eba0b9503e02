//! The figures of the detector, with what each trades; the defaults find a death within two seconds.
//!
//! It owns the figures alone. It must never hold what was learnt.

use ladderpass_routing::Span;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How often a router is asked. All else is measured in this.
    pub probe_interval: Span,
    /// How long its own answer is waited for before others are asked to try.
    pub ack_timeout: Span,
    /// How many others try.
    pub indirect_probes: usize,
    /// The shortest suspicion, in a fleet of up to ten: it grows with the logarithm of the number of routers.
    pub min_suspicion: Span,
    /// The longest, in shortest ones: without any other router that suspects the same one.
    pub max_suspicion_factor: f64,
    /// So many others that suspect it too make it the shortest.
    pub confirmations: usize,
    /// Most bytes of a datagram.
    pub max_datagram_bytes: usize,
    /// Most routers that are kept in mind, the dead among them.
    pub max_routers: usize,
    /// A dead one is asked whether it is back, and then forgotten after this.
    pub forget_dead_after: Span,
    /// Without a sign of any router for this long, it is this one that may be cut off.
    pub isolated_after: Span,
    pub faulty: Faulty,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            probe_interval: Span::from_millis(250),
            ack_timeout: Span::from_millis(80),
            indirect_probes: 3,
            min_suspicion: Span::from_millis(900),
            max_suspicion_factor: 2.2,
            confirmations: 2,
            max_datagram_bytes: 256,
            max_routers: 2000,
            forget_dead_after: Span::from_millis(120_000),
            isolated_after: Span::from_millis(1500),
            faulty: Faulty::Nowhere,
        }
    }
}

/// Deliberate faults, for the proof that tells them apart. No release has a switch for them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Faulty {
    #[default]
    Nowhere,
    /// Whoever was alive once stays so.
    NeverSuspects,
    /// One missed answer, or one word of a suspicion, is a death.
    ConfirmsImmediately,
    /// Takes the latest word for the truest.
    IgnoresIncarnations,
    /// Counts the dead among those whose turn comes.
    CountsDeadRouters,
}
