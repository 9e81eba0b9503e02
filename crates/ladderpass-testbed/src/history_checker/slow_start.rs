//! Members that start cold, and the rule on them over the attempts of all routers.

use super::replay::check_events_with;
use ladderpass_emulator::{ExecutionLog, Scenario};
use ladderpass_invariants::{Event, EventKind, SlowStart, Violation};
use ladderpass_routing::{Span, Time};

/// A member that starts cold, and what it can serve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// When it starts.
    pub at: Time,
    /// Number of the member.
    pub member: u32,
    /// RPCs a second that it can serve once it is warm.
    pub capacity: f64,
    /// Fraction of the capacity at its start.
    pub initial_fraction: f64,
    /// From its start until it has its whole capacity.
    pub warm_up_time: Span,
    /// The window over which too many RPCs overload it.
    pub overload_window: Span,
}

/// As the routers' settings give the warm-up.
const WARM_UP_TIME: Span = Span::from_millis(10_000);
const INITIAL_CAPACITY_FRACTION: f64 = 0.2;

impl ColdStart {
    /// The members of a scenario that start cold at `at`, each with a `capacity` in RPCs a second.
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

    pub(super) fn event(&self) -> Event {
        let ColdStart { at, member, capacity, initial_fraction, warm_up_time, overload_window } = *self;
        let kind = EventKind::Started { member, capacity, initial_fraction, warm_up_time, overload_window };
        Event { at, kind }
    }
}

/// What rule 4 (cold members) finds over the attempts of all routers.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStartCheck {
    /// Windows in which a member got too many attempts.
    pub violations: Vec<Violation>,
    /// How far above its capacity the worst window of a member was, in square roots of that capacity
    /// ([`SlowStart::max_excess`]).
    pub max_excess: f64,
}

/// Checks rule 4 (cold members) over the attempts that came to members, whichever router sent them.
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
