//! The state of a router as one router reports it to another: alive, suspect, dead or left, in which incarnation.

use std::net::SocketAddr;

/// Low bits of an incarnation, which count refutations. The bits above are the milliseconds of the router's start.
const REFUTATION_BITS: u32 = 16;

/// Orders what is reported of a router: a start time in Unix milliseconds, and the number of refutations since. An
/// update with a higher incarnation overrides any with a lower one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The first incarnation of a router that started at this time.
    pub fn of_start(unix_ms: i64) -> Incarnation {
        Incarnation((unix_ms.max(0) as u64) << REFUTATION_BITS)
    }

    /// The incarnation after one more refutation. When the count overflows, the start moves on by a millisecond.
    pub fn next(self) -> Incarnation {
        Incarnation(self.0.saturating_add(1))
    }

    /// The first incarnation with a later start: for a router that restarted with its clock set back.
    pub fn next_start(self) -> Incarnation {
        let next_start_ms = (self.0 >> REFUTATION_BITS).saturating_add(1).min(u64::MAX >> REFUTATION_BITS);
        Incarnation(next_start_ms << REFUTATION_BITS)
    }

    /// The start of the router, in Unix milliseconds of its own clock.
    pub fn started_ms(self) -> u64 {
        self.0 >> REFUTATION_BITS
    }
}

/// The state of a router. In the same incarnation a greater state overrides a lesser one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It answers, or another router reported that it does.
    Alive,
    /// A probe of it failed. It is dead unless it refutes before the suspicion timeout.
    Suspect,
    /// The suspicion timeout passed without a refutation.
    Dead,
    /// It shut down and said so.
    Left,
}

impl State {
    /// Is the router dead, or has it left?
    pub fn is_dead_or_left(self) -> bool {
        self >= State::Dead
    }
}

/// The state of one router, as a message carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateUpdate {
    /// The router that the update is about.
    pub router: SocketAddr,
    /// Its state.
    pub state: State,
    /// The incarnation in which it has that state.
    pub incarnation: Incarnation,
    /// Of a suspicion: the id of the router that suspected it first. Zero otherwise.
    pub suspected_by: u16,
}
