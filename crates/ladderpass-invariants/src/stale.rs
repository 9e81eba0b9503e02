//! Rule 5: no stale read. A read with a bound goes to no replica whose data was older than that when it was sent.

use crate::{Checker, Event, Grace, MemberNo, RpcId, Violation, What};
use ladderpass_routing::{Span, Time};
use std::collections::{BTreeSet, HashMap, VecDeque};

pub struct Stale {
    grace: Grace,
    bounds: HashMap<RpcId, Span>,
    until: BTreeSet<(Time, RpcId)>,
    members: HashMap<MemberNo, Kept>,
}

#[derive(Default)]
struct Kept {
    primary: bool,
    /// Positions lately reached: a read may rest on what the member reaches within the grace.
    reached: VecDeque<(Time, Time)>,
}

impl Stale {
    pub fn new(grace: Grace) -> Stale {
        Stale { grace, bounds: HashMap::new(), until: BTreeSet::new(), members: HashMap::new() }
    }
}

impl Checker for Stale {
    fn see(&mut self, event: &Event, broken: &mut Vec<Violation>) {
        while let Some(&(at, rpc)) = self.until.first()
            && at < event.at
        {
            self.until.pop_first();
            self.bounds.remove(&rpc);
        }
        match event.what {
            What::Taken { rpc, due, bound: Some(bound), .. } => {
                self.bounds.insert(rpc, bound);
                self.until.insert((due + Span::from_millis(1000), rpc));
            }
            What::Primary { member, primary } => self.members.entry(member).or_default().primary = primary,
            What::Reached { member, position } => {
                let kept = self.members.entry(member).or_default();
                kept.reached.push_back((event.at, position));
                while kept.reached.len() > 64 {
                    kept.reached.pop_front();
                }
            }
            What::CalledOut { rpc, member } => {
                let (Some(&bound), Some(kept)) = (self.bounds.get(&rpc), self.members.get(&member)) else {
                    return;
                };
                // The best that it had reached by now; nothing told of it is no proof against it.
                let Some(best) = kept.reached.iter().map(|&(_, position)| position).max() else { return };
                if !kept.primary && best + bound + self.grace.position < event.at {
                    let age = (event.at - best).secs() * 1e3;
                    let text = format!(
                        "RPC {rpc:x} goes to replica {member}, whose data is {age:.0} ms old, past its {:.0} ms",
                        bound.secs() * 1e3
                    );
                    let (rpc, member) = (Some(rpc), Some(member));
                    broken.push(Violation { rule: 5, rpc, member, text, proof: vec![*event] });
                }
            }
            _ => {}
        }
    }

    fn kept(&self) -> usize {
        self.bounds.len() + self.members.len()
    }
}
