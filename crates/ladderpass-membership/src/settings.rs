//! The figures of the detector, with what each trades; the defaults find a death within two seconds.
//!
//! It owns the figures alone. It must never hold what was learnt.

use ladderpass_routing::Span;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How often a router is asked. All else is measured in this.
    pub every: Span,
    /// How long its own answer is waited for before others are asked to try.
    pub answer_within: Span,
    /// How many others try.
    pub helpers: usize,
    /// The shortest suspicion, in a fleet of up to ten: it grows with the logarithm of the number of routers.
    pub suspicion: Span,
    /// The longest, in shortest ones: without any other router that suspects the same one.
    pub alone: f64,
    /// So many others that suspect it too make it the shortest.
    pub confirmed_by: usize,
    /// Most bytes of a datagram.
    pub bytes: usize,
    /// Most routers that are kept in mind, the dead among them.
    pub most: usize,
    /// A dead one is asked whether it is back, and then forgotten after this.
    pub forget: Span,
    /// Without a sign of any router for this long, it is this one that may be cut off.
    pub cut_off: Span,
    pub faulty: Faulty,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            every: Span::from_millis(250),
            answer_within: Span::from_millis(80),
            helpers: 3,
            suspicion: Span::from_millis(900),
            alone: 2.2,
            confirmed_by: 2,
            bytes: 256,
            most: 2000,
            forget: Span::from_millis(120_000),
            cut_off: Span::from_millis(1500),
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
    BelievesTheFirstRumour,
    /// Takes the latest word for the truest.
    ForgetsIncarnations,
    /// Counts the dead among those whose turn comes.
    KeepsTheDeadsTurns,
}
