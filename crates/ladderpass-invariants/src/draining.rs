//! Rule 3: a member is sent no new attempt once discovery has published that the member is draining.

use crate::checker::{Checker, Tolerance, Violation};
use crate::history::{Event, EventKind, MemberIndex};
use std::collections::HashMap;

/// The checker of rule 3.
pub struct Drains {
    tolerance: Tolerance,
    /// Draining members, with the event that published each drain.
    draining: HashMap<MemberIndex, Event>,
}

impl Drains {
    /// Creates a checker that has read no events.
    pub fn new(tolerance: Tolerance) -> Drains {
        Drains { tolerance, draining: HashMap::new() }
    }
}

impl Checker for Drains {
    fn observe(&mut self, event: &Event, violations: &mut Vec<Violation>) {
        match event.kind {
            EventKind::Draining { member } => {
                self.draining.entry(member).or_insert(*event);
            }
            EventKind::Serving { member } => {
                self.draining.remove(&member);
            }
            EventKind::AttemptSent { rpc, member } => {
                let Some(drain_event) = self.draining.get(&member) else { return };
                if event.at > drain_event.at + self.tolerance.endpoint_update {
                    let text = format!("RPC {rpc:x} is sent to member {member}, which is draining");
                    let (rpc, member) = (Some(rpc), Some(member));
                    violations.push(Violation {
                        rule: 3,
                        rpc,
                        member,
                        text,
                        proof: vec![*drain_event, *event],
                    });
                }
            }
            _ => {}
        }
    }

    fn tracked(&self) -> usize {
        self.draining.len()
    }
}
