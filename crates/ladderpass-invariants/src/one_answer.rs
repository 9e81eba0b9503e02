//! Rule 1: each RPC taken gets exactly one final answer in its client's time, and nothing is sent after it.

use crate::{Answer, Checker, Event, Grace, RpcId, Violation, What};
use ladderpass_routing::{Span, Time};
use std::collections::{BTreeSet, HashMap};

pub struct OneAnswer {
    grace: Grace,
    rpcs: HashMap<RpcId, Kept>,
    /// When each is looked at for the last time.
    until: BTreeSet<(Time, RpcId)>,
}

struct Kept {
    taken: Event,
    due: Time,
    answered: Option<Event>,
    left: bool,
}

/// A second answer this long after the client's time is still laid to its RPC.
const AFTER: Span = Span::from_millis(5000);

impl OneAnswer {
    pub fn new(grace: Grace) -> OneAnswer {
        OneAnswer { grace, rpcs: HashMap::new(), until: BTreeSet::new() }
    }

    fn broken(rpc: RpcId, text: String, proof: Vec<Event>) -> Violation {
        Violation { rule: 1, rpc: Some(rpc), member: None, text, proof }
    }

    /// Those whose time is over by now.
    fn pass(&mut self, now: Time, broken: &mut Vec<Violation>) {
        while let Some(&(at, rpc)) = self.until.first()
            && at < now
        {
            self.until.pop_first();
            let Some(kept) = self.rpcs.get(&rpc) else { continue };
            if kept.answered.is_none() && !kept.left {
                broken.push(Self::broken(
                    rpc,
                    format!("RPC {rpc:x} has no answer in its time"),
                    vec![kept.taken],
                ));
            }
            let forget = kept.due + self.grace.answer + AFTER;
            if at < forget {
                // Kept for a while, for an answer that comes too late or twice.
                if let Some(kept) = self.rpcs.get_mut(&rpc) {
                    kept.left = true;
                }
                self.until.insert((forget, rpc));
            } else {
                self.rpcs.remove(&rpc);
            }
        }
    }
}

impl Checker for OneAnswer {
    fn see(&mut self, event: &Event, broken: &mut Vec<Violation>) {
        self.pass(event.at, broken);
        match event.what {
            What::Taken { rpc, due, .. } => {
                let kept = Kept { taken: *event, due, answered: None, left: false };
                if self.rpcs.insert(rpc, kept).is_none() {
                    self.until.insert((due + self.grace.answer, rpc));
                }
            }
            What::Answered { rpc, answer, made_for } => {
                let Some(kept) = self.rpcs.get_mut(&rpc) else {
                    let text = format!("an answer to RPC {rpc:x}, which nobody waits for");
                    return broken.push(Self::broken(rpc, text, vec![*event]));
                };
                let proof = vec![kept.taken, *event];
                if let Some(first) = kept.answered {
                    let text = format!("RPC {rpc:x} is answered twice");
                    return broken.push(Self::broken(rpc, text, vec![kept.taken, first, *event]));
                }
                kept.answered = Some(*event);
                if event.at > kept.due + self.grace.answer {
                    let late = (event.at - kept.due).secs() * 1e3;
                    broken.push(Self::broken(
                        rpc,
                        format!("RPC {rpc:x} is answered {late:.0} ms past its time"),
                        proof,
                    ));
                } else if answer == Answer::Ok && made_for.is_some_and(|other| other != rpc) {
                    broken.push(Self::broken(
                        rpc,
                        format!("RPC {rpc:x} is served the value of another"),
                        proof,
                    ));
                }
            }
            What::Left { rpc } => {
                if let Some(kept) = self.rpcs.get_mut(&rpc) {
                    kept.left = true;
                }
            }
            _ => {}
        }
    }

    fn end(&mut self, at: Time, broken: &mut Vec<Violation>) {
        self.pass(at, broken);
    }

    fn kept(&self) -> usize {
        self.rpcs.len()
    }
}
