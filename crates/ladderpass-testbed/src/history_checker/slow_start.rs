//! Members that start cold, and the check of rule 4 on them over the attempts of all routers.

use super::replay::check_events_with;
use ladderpass_emulator::{ExecutionLog, Scenario};
use ladderpass_invariants::{Event, EventKind, SlowStart, Violation};
use ladderpass_routing::{Span, Time};

/// The start of a cold member, with the rates that it can serve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// When the member starts.
    pub at: Time,
    /// Index of the member.
    pub member: u32,
    /// RPCs per second that the member can serve after the warm-up.
    pub capacity: f64,
    /// Fraction of the member's capacity that the member has at its start.
    pub initial_fraction: f64,
    /// Time from the member's start until the member has its full capacity.
    pub warm_up_time: Span,
    /// Length of the windows over which the member's RPCs are compared with its capacity.
    pub overload_window: Span,
}

/// The warm-up time (`WarmWithin`) in the settings that the emulator gives the routers.
const WARM_UP_TIME: Span = Span::from_millis(10_000);
/// The initial fraction of the capacity (`ColdFrom`) in the settings that the emulator gives the routers.
const INITIAL_CAPACITY_FRACTION: f64 = 0.2;

impl ColdStart {
    /// Returns the cold members of a scenario, with their start at `at` and each with a `capacity` in RPCs per
    /// second.
    pub fn all(scenario: &Scenario, at: Time, capacity: f64) -> Vec<ColdStart> {
        let overload_window = Span::from_secs_f64(scenario.overload_ms / 1e3);
        let cold_start = |&member: &u32| ColdStart {
            at,
            member,
            capacity,
            initial_fraction: INITIAL_CAPACITY_FRACTION,
            warm_up_time: WARM_UP_TIME,
            overload_window,
        };
        scenario.cold.iter().map(cold_start).collect()
    }

    /// Returns the start of the cold member as an event for the checkers.
    pub(super) fn event(&self) -> Event {
        let ColdStart { at, member, capacity, initial_fraction, warm_up_time, overload_window } = *self;
        let kind = EventKind::Started { member, capacity, initial_fraction, warm_up_time, overload_window };
        Event { at, kind }
    }
}

/// Result of the check of rule 4 (cold members) over the attempts of all routers.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStartCheck {
    /// Windows in which a member got too many attempts.
    pub violations: Vec<Violation>,
    /// Largest excess of a window's attempts over the member's capacity in that window, as a multiple of the square
    /// root of that capacity ([`SlowStart::max_excess`]).
    pub max_excess: f64,
}

/// Checks rule 4 (cold members) over the attempts of all routers, by their arrivals at the members.
pub fn check_slow_start_at_members(
    cold_starts: &[ColdStart],
    execution_log: &ExecutionLog,
) -> SlowStartCheck {
    let numbered = (0..).zip(&execution_log.arrivals);
    let attempts = numbered.map(|(rpc, arrival)| Event {
        at: arrival.at,
        kind: EventKind::AttemptSent { rpc, member: arrival.member },
    });
    let events = cold_starts.iter().map(ColdStart::event).chain(attempts).collect();
    let mut checker = SlowStart::default();
    let violations = check_events_with(events, &mut checker);
    SlowStartCheck { violations, max_excess: checker.max_excess() }
}
