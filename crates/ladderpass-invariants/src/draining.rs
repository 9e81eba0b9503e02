//! Rule 3: a draining member gets no new attempt once its drain has been published.

use crate::checker::{Checker, Grace, Violation};
use crate::history::{Event, MemberNo, What};
use std::collections::HashMap;

/// Checks rule 3.
pub struct Drains {
    grace: Grace,
    /// Draining members, with the event that published it.
    draining: HashMap<MemberNo, Event>,
}

impl Drains {
    /// A checker of a history that is yet to begin.
    pub fn new(grace: Grace) -> Drains {
        Drains { grace, draining: HashMap::new() }
    }
}

impl Checker for Drains {
    fn see(&mut self, event: &Event, broken: &mut Vec<Violation>) {
        match event.what {
            What::Draining { member } => {
                self.draining.entry(member).or_insert(*event);
            }
            What::Serving { member } => {
                self.draining.remove(&member);
            }
            What::CalledOut { rpc, member } => {
                let Some(published) = self.draining.get(&member) else { return };
                if event.at > published.at + self.grace.news {
                    let text = format!("RPC {rpc:x} goes to member {member}, which wants nothing new");
                    let (rpc, member) = (Some(rpc), Some(member));
                    broken.push(Violation { rule: 3, rpc, member, text, proof: vec![*published, *event] });
                }
            }
            _ => {}
        }
    }

    fn kept(&self) -> usize {
        self.draining.len()
    }
}
