//! The five invariants of ladderpass as checkers over a history: what clients sent and received, what reached members
//! and ran there, and what discovery published. Events come in order of time; each checker reads each event once, and
//! tracks an RPC no longer than it can still matter.
//!
//! The checkers observe from outside: they never see a router's state, and allow nothing that a rule forbids.

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

/// Checks all five rules over one history.
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

/// A checker of each rule, by the rule's number.
pub fn all_checkers(tolerance: Tolerance) -> Vec<Box<dyn Checker>> {
    vec![
        Box::new(OneAnswer::new(tolerance)),
        Box::new(Effects::default()),
        Box::new(Drains::new(tolerance)),
        Box::new(SlowStart::default()),
        Box::new(Staleness::new(tolerance)),
    ]
}
