//! Rates of a router in a simulation: messages, statements, and CPU time by subject.

use crate::capacity::simulated_routers::{About, Shape, Simulation};
use ladderpass_routing::Span;
use std::io;

/// Rates of a simulation: of one router, a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rates {
    /// Datagrams of gossip that it sent.
    pub words: f64,
    /// Bytes of these.
    pub words_bytes: f64,
    /// Datagrams of the membership protocol that it sent.
    pub membership: f64,
    /// Bytes of these.
    pub membership_bytes: f64,
    /// Datagrams that it received.
    pub heard: f64,
    /// Datagrams to it that were lost.
    pub lost: f64,
    /// Health checks of one member, by all routers.
    pub probes: f64,
    /// Connections that it opened.
    pub connects: f64,
    /// Ticks of its event loop.
    pub turns: f64,
    /// Ticks without data.
    pub quiet_turns: f64,
    /// Statements that it answered without an error.
    pub answered: f64,
    /// Statements that it answered with an error.
    pub refused: f64,
    /// Fraction of a core for gossip.
    pub of_words: f64,
    /// Fraction of a core for the membership protocol.
    pub of_membership: f64,
    /// Fraction of a core for connections of clients and members.
    pub of_data: f64,
    /// Fraction of a core for ticks without data.
    pub of_turns: f64,
    /// Fraction of a core for ticks with data.
    pub of_turns_of_data: f64,
}

/// Routers find each other and check the health of all members within this.
pub const SETTLES: Span = Span::from_millis(6000);

/// Rates of a simulation over a number of seconds, once it has settled.
///
/// # Errors
/// If the simulation can't be started.
pub fn rates(shape: &Shape, seconds: f64) -> io::Result<Rates> {
    rates_after(shape, SETTLES, seconds)
}

/// Rates over a number of seconds, after `settles`.
pub(super) fn rates_after(shape: &Shape, settles: Span, seconds: f64) -> io::Result<Rates> {
    let mut simulation = Simulation::start(shape.clone())?;
    simulation.run(settles)?;
    simulation.count_anew();
    simulation.run(Span::from_secs_f64(seconds))?;
    Ok(rates_of(&simulation, seconds))
}

/// Rates of a simulation that has been counted over a number of seconds.
pub fn rates_of(simulation: &Simulation, seconds: f64) -> Rates {
    let per_second = |count: f64| count / seconds;
    let observed = (simulation.shape.observed.min(simulation.shape.routers).max(1)) as f64;
    let cost = |about: About| simulation.cost.nanos[about as usize] as f64 / 1e9 / observed / seconds;
    let probes = simulation.mean(|counts| counts.probes) * simulation.shape.routers as f64;
    Rates {
        words: per_second(simulation.mean(|counts| counts.words.datagrams)),
        words_bytes: per_second(simulation.mean(|counts| counts.words.bytes)),
        membership: per_second(simulation.mean(|counts| counts.membership.datagrams)),
        membership_bytes: per_second(simulation.mean(|counts| counts.membership.bytes)),
        heard: per_second(simulation.mean(|counts| counts.heard)),
        lost: per_second(simulation.mean(|counts| counts.lost)),
        probes: per_second(probes / simulation.shape.members.max(1) as f64),
        connects: per_second(simulation.mean(|counts| counts.connects)),
        turns: per_second(simulation.mean(|counts| counts.turns)),
        quiet_turns: per_second(simulation.cost.events[About::Turn as usize] as f64 / observed),
        answered: per_second(simulation.mean(|counts| counts.answered)),
        refused: per_second(simulation.mean(|counts| counts.refused)),
        of_words: cost(About::Words),
        of_membership: cost(About::Membership),
        of_data: cost(About::Data),
        of_turns: cost(About::Turn),
        of_turns_of_data: cost(About::TurnOfData),
    }
}
