//! Passes events to one checker, in order of time and cause.

use ladderpass_invariants::{Checker, Event, EventKind, Violation};
use ladderpass_routing::Time;

/// Returns the rank of an event among events at the same time, by which causes precede their effects.
fn causal_order(kind: &EventKind) -> u8 {
    match kind {
        EventKind::Started { .. }
        | EventKind::Draining { .. }
        | EventKind::Serving { .. }
        | EventKind::Primary { .. } => 0,
        EventKind::Accepted { .. } => 1,
        EventKind::PositionReached { .. } => 2,
        EventKind::AttemptSent { .. } => 3,
        EventKind::Executed { .. } => 4,
        EventKind::Rejected { .. } => 5,
        EventKind::AttemptEnded { .. } => 6,
        EventKind::Answered { .. } => 7,
        EventKind::ClientLeft { .. } => 8,
    }
}

/// Sorts events and returns the violations that a checker finds in them.
pub(super) fn check_events(events: Vec<Event>, mut checker: impl Checker) -> Vec<Violation> {
    check_events_with(events, &mut checker)
}

/// Does the same as [`check_events`], but borrows the checker, so that the caller can read the checker's state
/// afterwards.
pub(super) fn check_events_with(mut events: Vec<Event>, checker: &mut impl Checker) -> Vec<Violation> {
    events.sort_by_key(|event| (event.at, causal_order(&event.kind)));
    let mut violations = Vec::new();
    events.iter().for_each(|event| checker.observe(event, &mut violations));
    checker.end(events.last().map_or(Time::default(), |event| event.at), &mut violations);
    violations
}
