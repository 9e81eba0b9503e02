//! History checker: checks the five invariants over one history of all clients, routers and members.
//!
//! Its inputs are the answers to clients, the attempts that the fault tool forwarded for each router, and what
//! members observed. It uses no data that routers report about themselves. It converts these records into events for
//! the checkers of `ladderpass-invariants`. It excuses an unanswered or late RPC only if its router was killed,
//! frozen or cut off, if the RPC was sent after its router began to shut down, or if the RPC arrived at a connection that
//! the router had closed in its shutdown.
//!
//! | module | job |
//! | --- | --- |
//! | `inputs` | records that the load, the fault tool and the emulator do not make |
//! | `slow_start` | members that start cold, and rule 4 on them over the attempts of all routers |
//! | `clocks` | records whose times show that their clocks disagree |
//! | `events` | conversion of records into events for the checkers |
//! | `replay` | passes events to one checker, in order of time and cause |

mod clocks;
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

/// The records of a run, combined into one history.
pub struct History<'a> {
    /// The members and their methods.
    pub scenario: &'a Scenario,
    /// The links to members, by index of the link in the fault tool's plan.
    pub links: &'a HashMap<usize, MemberLink>,
    /// Seed of the load, which is part of the ids of its RPCs.
    pub seed: u64,
    /// What clients observed, with one entry per RPC in the order of sending.
    pub journal: &'a [RpcRecord],
    /// Begins and ends of attempts that the fault tool observed. The list is empty in a run without the tool.
    pub attempts: &'a [AttemptEvent],
    /// Start of the fault tool, from which the times of `attempts` are counted.
    pub tool_started_at: Time,
    /// What members observed.
    pub execution_log: &'a ExecutionLog,
    /// Times in which routers could not answer.
    pub absences: &'a [Absence],
    /// Notices to routers that members drain.
    pub drain_notices: &'a [DrainNotice],
    /// Members that started cold.
    pub cold_starts: &'a [ColdStart],
    /// Tolerances of the checkers.
    pub tolerance: Tolerance,
}

impl History<'_> {
    /// Returns all violations of the five rules.
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
        violations.extend(self.clock_disagreements());
        violations
    }

    /// Returns the violations of rule 4 (cold members) that the attempts of one router cause by themselves, without the
    /// attempts of the other routers.
    pub fn slow_start_violations_of(&self, router: usize) -> Vec<Violation> {
        check_events(self.slow_start_events(Some(router)), SlowStart::default())
    }
}
