//! The state of a router as other routers report it: alive, suspect, dead or left, in a given incarnation.

use std::net::SocketAddr;

/// The number of low bits of an incarnation that count refutations. The bits above are the router's start time in
/// milliseconds.
const REFUTATION_BITS: u32 = 16;

/// A version number that orders the reports about a router. It consists of the router's start time in Unix
/// milliseconds and the number of refutations since then. An update with a higher incarnation overrides any update with
/// a lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The first incarnation of a router that started at this time.
    pub fn of_start(unix_ms: i64) -> Incarnation {
        Incarnation((unix_ms.max(0) as u64) << REFUTATION_BITS)
    }

    /// The incarnation after one more refutation. If the count overflows, the start time increases by one millisecond.
    pub fn next(self) -> Incarnation {
        Incarnation(self.0.saturating_add(1))
    }

    /// The first incarnation with a later start time. Used by a router that receives a higher incarnation of its own
    /// address, for example after a restart with its clock set back.
    pub fn next_start(self) -> Incarnation {
        let next_start_ms = (self.0 >> REFUTATION_BITS).saturating_add(1).min(u64::MAX >> REFUTATION_BITS);
        Incarnation(next_start_ms << REFUTATION_BITS)
    }

    /// The router's start time, in Unix milliseconds of its own clock.
    pub fn started_ms(self) -> u64 {
        self.0 >> REFUTATION_BITS
    }
}

/// The state of a router. Within the same incarnation a greater state overrides a lesser one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// The router answers, or another router reported that it does.
    Alive,
    /// A probe of the router failed. The router counts as dead after the suspicion timeout unless it refutes.
    Suspect,
    /// The suspicion timeout has passed without a refutation.
    Dead,
    /// The router shut down and announced it.
    Left,
}

impl State {
    /// Whether the router is dead or has left.
    pub fn is_dead_or_left(self) -> bool {
        self >= State::Dead
    }
}

/// The state of one router as a message carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateUpdate {
    /// The router that the update is about.
    pub router: SocketAddr,
    /// The state of that router.
    pub state: State,
    /// The incarnation in which the router has that state.
    pub incarnation: Incarnation,
    /// If the state is `Suspect`, the id of the router that was first to suspect `router`, and otherwise zero.
    pub suspected_by: u16,
}
