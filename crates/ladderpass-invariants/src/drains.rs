//! Rule 3: drains are kept. A member that wants nothing new gets nothing new from when that was told.

use crate::{Checker, Event, Grace, MemberNo, Violation, What};
use std::collections::HashMap;

pub struct Drains {
    grace: Grace,
    draining: HashMap<MemberNo, Event>,
}

impl Drains {
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
                let Some(told) = self.draining.get(&member) else { return };
                if event.at > told.at + self.grace.news {
                    let text = format!("RPC {rpc:x} goes to member {member}, which wants nothing new");
                    let (rpc, member) = (Some(rpc), Some(member));
                    broken.push(Violation { rule: 3, rpc, member, text, proof: vec![*told, *event] });
                }
            }
            _ => {}
        }
    }

    fn kept(&self) -> usize {
        self.draining.len()
    }
}
