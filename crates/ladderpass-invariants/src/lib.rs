//! Checkers of the five invariants (rules) of ladderpass over a history. A history records what clients sent and
//! received, what reached members and ran there, and what discovery published. Events must be in order of time; a
//! checker reads each event once, and tracks an RPC only as long as it can still affect a result.
//!
//! The checkers observe the system from outside: they have no access to a router's state. Apart from [`Tolerance`]
//! and the margin of rule 4 for random variation, they allow no exception to a rule.

mod checker;
mod draining;
mod effects;
mod history;
mod one_answer;
mod slow_start;
mod staleness;

pub use checker::{Checker, Tolerance, Violation};
pub use draining::Drains;
pub use effects::Effects;
pub use history::{Answer, Event, EventKind, MemberIndex, RpcId};
pub use one_answer::OneAnswer;
pub use slow_start::SlowStart;
pub use staleness::Staleness;

use ladderpass_routing::Time;

/// Checks all five rules over one history, which ends at its last event, and returns the violations.
pub fn check_history(history: &[Event], tolerance: Tolerance) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut checkers = all_checkers(tolerance);
    for event in history {
        checkers.iter_mut().for_each(|checker| checker.observe(event, &mut violations));
    }
    let end = history.last().map_or(Time::default(), |event| event.at);
    checkers.iter_mut().for_each(|checker| checker.end(end, &mut violations));
    violations
}

/// Returns one checker for each rule, ordered by rule number.
pub fn all_checkers(tolerance: Tolerance) -> Vec<Box<dyn Checker>> {
    vec![
        Box::new(OneAnswer::new(tolerance)),
        Box::new(Effects::default()),
        Box::new(Drains::new(tolerance)),
        Box::new(SlowStart::default()),
        Box::new(Staleness::new(tolerance)),
    ]
}
