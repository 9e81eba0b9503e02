//! Rates of a simulated router: its messages, its statements, and its CPU time by subject.

use crate::capacity::simulated_routers::{Shape, Simulation, Subject};
use ladderpass_routing::Span;
use std::fmt;
use std::io;

/// Mean rates of one router in a simulation, per second.
#[derive(Clone, Copy, Default)]
pub struct Rates {
    /// Gossip datagrams that the router sent per second.
    pub gossip_datagrams: f64,
    /// Bytes per second of the gossip datagrams that the router sent.
    pub gossip_bytes: f64,
    /// Datagrams of the membership protocol that the router sent per second.
    pub membership_datagrams: f64,
    /// Bytes per second of the membership datagrams that the router sent.
    pub membership_bytes: f64,
    /// Datagrams that the router received per second.
    pub received_datagrams: f64,
    /// Datagrams to the router that were lost, per second.
    pub lost_datagrams: f64,
    /// Health checks that all routers together send to one member per second.
    pub health_checks: f64,
    /// Connections that the router opened to members and to discovery, per second.
    pub connections_opened: f64,
    /// Ticks of the router's event loop per second.
    pub ticks: f64,
    /// Ticks per second without data from clients or members.
    pub idle_ticks: f64,
    /// Statements per second that the router answered without an error.
    pub answered: f64,
    /// Statements per second that the router answered with an error.
    pub errors: f64,
    /// CPU time per router for gossip, as a fraction of a core.
    pub gossip_cores: f64,
    /// CPU time per router for the membership protocol, as a fraction of a core.
    pub membership_cores: f64,
    /// CPU time per router for events of client and member connections, and for opening and closing connections to
    /// discovery, as a fraction of a core.
    pub connection_cores: f64,
    /// CPU time per router for ticks without data from clients or members, as a fraction of a core.
    pub idle_tick_cores: f64,
    /// CPU time per router for ticks with data from clients or members, as a fraction of a core.
    pub data_tick_cores: f64,
}

/// Prints the rates under the names that the output of the command `hollow` has.
impl fmt::Debug for Rates {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("Rates")
            .field("words", &self.gossip_datagrams)
            .field("words_bytes", &self.gossip_bytes)
            .field("membership", &self.membership_datagrams)
            .field("membership_bytes", &self.membership_bytes)
            .field("heard", &self.received_datagrams)
            .field("lost", &self.lost_datagrams)
            .field("probes", &self.health_checks)
            .field("connects", &self.connections_opened)
            .field("turns", &self.ticks)
            .field("quiet_turns", &self.idle_ticks)
            .field("answered", &self.answered)
            .field("refused", &self.errors)
            .field("of_words", &self.gossip_cores)
            .field("of_membership", &self.membership_cores)
            .field("of_data", &self.connection_cores)
            .field("of_turns", &self.idle_tick_cores)
            .field("of_turns_of_data", &self.data_tick_cores)
            .finish()
    }
}

/// Time within which the routers find each other and check the health of all members.
pub const SETTLE_TIME: Span = Span::from_millis(6000);

/// Measures the rates of a simulation over a number of seconds, after [`SETTLE_TIME`].
///
/// # Errors
/// If the simulation can't be started.
pub fn rates(shape: &Shape, seconds: f64) -> io::Result<Rates> {
    rates_after(shape, SETTLE_TIME, seconds)
}

/// Measures the rates of a simulation over a number of seconds, after a settling time.
pub(super) fn rates_after(shape: &Shape, settle_time: Span, seconds: f64) -> io::Result<Rates> {
    let mut simulation = Simulation::start(shape.clone())?;
    simulation.run(settle_time)?;
    simulation.reset_counts();
    simulation.run(Span::from_secs_f64(seconds))?;
    Ok(rates_of(&simulation, seconds))
}

/// Computes the rates of a simulation from its counts over a number of seconds.
pub fn rates_of(simulation: &Simulation, seconds: f64) -> Rates {
    let per_second = |count: f64| count / seconds;
    let observed = (simulation.shape.observed.min(simulation.shape.routers).max(1)) as f64;
    let cost = |subject: Subject| simulation.cost.nanos[subject as usize] as f64 / 1e9 / observed / seconds;
    let health_checks = simulation.mean(|counts| counts.health_checks) * simulation.shape.routers as f64;
    Rates {
        gossip_datagrams: per_second(simulation.mean(|counts| counts.gossip.datagrams)),
        gossip_bytes: per_second(simulation.mean(|counts| counts.gossip.bytes)),
        membership_datagrams: per_second(simulation.mean(|counts| counts.membership.datagrams)),
        membership_bytes: per_second(simulation.mean(|counts| counts.membership.bytes)),
        received_datagrams: per_second(simulation.mean(|counts| counts.received)),
        lost_datagrams: per_second(simulation.mean(|counts| counts.lost)),
        health_checks: per_second(health_checks / simulation.shape.members.max(1) as f64),
        connections_opened: per_second(simulation.mean(|counts| counts.connections_opened)),
        ticks: per_second(simulation.mean(|counts| counts.ticks)),
        idle_ticks: per_second(simulation.cost.events[Subject::IdleTick as usize] as f64 / observed),
        answered: per_second(simulation.mean(|counts| counts.answered)),
        errors: per_second(simulation.mean(|counts| counts.errors)),
        gossip_cores: cost(Subject::Gossip),
        membership_cores: cost(Subject::Membership),
        connection_cores: cost(Subject::Connections),
        idle_tick_cores: cost(Subject::IdleTick),
        data_tick_cores: cost(Subject::DataTick),
    }
}
