//! History checker: the five invariants over one history of all clients, routers and members.
//!
//! Its inputs are what clients were answered, what the fault tool passed on beside each router, and what members saw; it
//! uses nothing that a router says about itself. It turns these records into events for the checkers of
//! `ladderpass-invariants`, and excuses an unanswered RPC only if its router was killed, frozen or cut off.
//!
//! | module | job |
//! | --- | --- |
//! | `inputs` | records beside those of the load, the fault tool and the emulator |
//! | `slow_start` | members that start cold, and the rule on them over all routers |
//! | `events` | records as events of the checkers |
//! | `replay` | events in order of time and cause through one checker |

mod events;
mod inputs;
mod replay;
mod slow_start;

pub use inputs::{Absence, DrainNotice, MemberLink};
pub use slow_start::{ColdStart, SlowStartCheck, check_slow_start_at_members};

use crate::load::RpcRecord;
use ladderpass_emulator::{ExecutionLog, Scenario};
use ladderpass_fault_injection::engine::AttemptEvent;
use ladderpass_invariants::{Drains, Effects, OneAnswer, SlowStart, Staleness, Tolerance, Violation};
use ladderpass_routing::Time;
use replay::check_events;
use std::collections::{BTreeSet, HashMap};

/// The records of a run, as one history.
pub struct History<'a> {
    /// The members and their methods.
    pub scenario: &'a Scenario,
    /// By number of a link in the fault tool: the router that uses it, and the member that it leads to.
    pub links: &'a HashMap<usize, MemberLink>,
    /// Seed of the load, which is part of its RPCs' ids.
    pub seed: u64,
    /// What clients saw.
    pub journal: &'a [RpcRecord],
    /// Begins and ends of attempts that the fault tool saw; empty without the tool.
    pub attempts: &'a [AttemptEvent],
    /// The start of the fault tool, from which the times of `attempts` count.
    pub tool_started_at: Time,
    /// What members saw.
    pub execution_log: &'a ExecutionLog,
    /// When routers could not answer.
    pub absences: &'a [Absence],
    /// When routers were notified that members drain.
    pub drain_notices: &'a [DrainNotice],
    /// Members that started cold.
    pub cold_starts: &'a [ColdStart],
    /// Tolerances of the checkers.
    pub tolerance: Tolerance,
}

impl History<'_> {
    /// All violations of the five rules.
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        violations.extend(check_events(self.answer_events(), OneAnswer::new(self.tolerance)));
        violations.extend(check_events(self.effect_events(), Effects::default()));
        let notified_routers: BTreeSet<usize> =
            self.drain_notices.iter().map(|notice| notice.router).collect();
        for router in notified_routers {
            violations.extend(check_events(self.drain_events(router), Drains::new(self.tolerance)));
        }
        violations.extend(check_events(self.slow_start_events(None), SlowStart::default()));
        violations.extend(check_events(self.read_events(), Staleness::new(self.tolerance)));
        violations.extend(self.wrong_write_answers());
        violations
    }

    /// Violations of rule 4 (cold members) by the attempts of one router alone.
    pub fn slow_start_violations_of(&self, router: usize) -> Vec<Violation> {
        check_events(self.slow_start_events(Some(router)), SlowStart::default())
    }
}
