//! Records whose times show that the clocks of their observers disagree.
//!
//! The checkers sort the events of all observers by time. With clocks that disagree, a second execution of a write could
//! pass as a retry after a rejection, or a retry as a second execution.

use super::History;
use super::events::EFFECTS_RULE;
use ladderpass_emulator::execution_log::Arrival;
use ladderpass_invariants::{Event, EventKind, Violation};
use ladderpass_routing::Time;
use std::collections::HashMap;

impl History<'_> {
    /// Returns the attempts that the fault tool received before their clients sent the RPCs, and the attempts that
    /// arrived at a member before the fault tool received them.
    pub(super) fn clock_disagreements(&self) -> Vec<Violation> {
        let mut first_attempts: HashMap<(u64, u32), Time> = HashMap::new();
        let mut violations = Vec::new();
        let sent_at: HashMap<u64, Time> =
            self.journal.iter().map(|entry| (entry.number, entry.sent)).collect();
        for attempt in self.observed_attempts().filter(|attempt| attempt.begins) {
            let (rpc, member) = (attempt.rpc, attempt.link.member);
            let first = first_attempts.entry((rpc, member)).or_insert(attempt.at);
            *first = attempt.at.min(*first);
            if sent_at.get(&rpc).is_some_and(|&sent_at| attempt.at < sent_at) {
                let text = format!("an attempt of RPC {rpc:x} is older than the RPC: clocks disagree");
                violations.push(violation(rpc, member, text, attempt.event()));
            }
        }
        for arrival in &self.execution_log.arrivals {
            let Some(rpc) = self.rpc_number(&arrival.id) else { continue };
            let &Arrival { at, member, .. } = arrival;
            if first_attempts.get(&(rpc, member)).is_some_and(|&first| at < first) {
                let text = format!("RPC {rpc:x} arrives at a member before it is sent: clocks disagree");
                let event = Event { at, kind: EventKind::AttemptSent { rpc, member } };
                violations.push(violation(rpc, member, text, event));
            }
        }
        violations
    }
}

fn violation(rpc: u64, member: u32, text: String, event: Event) -> Violation {
    Violation { rule: EFFECTS_RULE, rpc: Some(rpc), member: Some(member), text, proof: vec![event] }
}
