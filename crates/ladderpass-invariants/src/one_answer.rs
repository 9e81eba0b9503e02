//! Rule 1: each accepted RPC gets exactly one final answer, which arrives before its client's deadline and carries no
//! value that was made for another RPC.

use crate::checker::{Checker, Tolerance, Violation};
use crate::history::{Answer, Event, EventKind, RpcId};
use ladderpass_routing::{Span, Time};
use std::collections::{BTreeSet, HashMap};

/// How long after the client's deadline, beyond the tolerance, a late or second answer is still attributed to its RPC.
const TRACK_AFTER_DEADLINE: Span = Span::from_millis(5000);

/// The checker of rule 1.
pub struct OneAnswer {
    tolerance: Tolerance,
    rpcs: HashMap<RpcId, RpcState>,
    /// The time at which each RPC is checked next, in order of time. An RPC is checked for a missing answer once its
    /// deadline has passed, and checked again later to stop tracking it.
    check_at: BTreeSet<(Time, RpcId)>,
}

struct RpcState {
    accepted: Event,
    deadline: Time,
    answered: Option<Event>,
    /// Whether a missing answer is no longer to be reported, because the client has disconnected or the check
    /// at the deadline has been made.
    no_answer_due: bool,
}

impl OneAnswer {
    /// Creates a checker that has read no events.
    pub fn new(tolerance: Tolerance) -> OneAnswer {
        OneAnswer { tolerance, rpcs: HashMap::new(), check_at: BTreeSet::new() }
    }

    fn violation(rpc: RpcId, text: String, proof: Vec<Event>) -> Violation {
        Violation { rule: 1, rpc: Some(rpc), member: None, text, proof }
    }

    /// Reports RPCs that have passed their deadline without an answer, and stops tracking old RPCs.
    fn expire(&mut self, now: Time, violations: &mut Vec<Violation>) {
        while let Some(&(at, rpc)) = self.check_at.first()
            && at < now
        {
            self.check_at.pop_first();
            let Some(state) = self.rpcs.get(&rpc) else { continue };
            if state.answered.is_none() && !state.no_answer_due {
                let text = format!("RPC {rpc:x} has no answer in its time");
                violations.push(Self::violation(rpc, text, vec![state.accepted]));
            }
            let forget_at = state.deadline + self.tolerance.answer + TRACK_AFTER_DEADLINE;
            if at < forget_at {
                // The RPC is still tracked, to detect a late or second answer.
                if let Some(state) = self.rpcs.get_mut(&rpc) {
                    state.no_answer_due = true;
                }
                self.check_at.insert((forget_at, rpc));
            } else {
                self.rpcs.remove(&rpc);
            }
        }
    }

    fn on_accepted(&mut self, rpc: RpcId, deadline: Time, event: &Event) {
        let state = RpcState { accepted: *event, deadline, answered: None, no_answer_due: false };
        if self.rpcs.insert(rpc, state).is_none() {
            self.check_at.insert((deadline + self.tolerance.answer, rpc));
        }
    }

    /// Returns the violation that an answer proves, if there is one.
    fn on_answered(
        &mut self,
        rpc: RpcId,
        answer: Answer,
        made_for: Option<RpcId>,
        event: &Event,
    ) -> Option<Violation> {
        let Some(state) = self.rpcs.get_mut(&rpc) else {
            let text = format!("RPC {rpc:x} is answered, but was not accepted or is no longer tracked");
            return Some(Self::violation(rpc, text, vec![*event]));
        };
        if let Some(first) = state.answered {
            let text = format!("RPC {rpc:x} is answered twice");
            return Some(Self::violation(rpc, text, vec![state.accepted, first, *event]));
        }
        state.answered = Some(*event);
        let proof = vec![state.accepted, *event];
        if event.at > state.deadline + self.tolerance.answer {
            let late_ms = (event.at - state.deadline).secs() * 1e3;
            let text = format!("RPC {rpc:x} is answered {late_ms:.0} ms after its deadline");
            Some(Self::violation(rpc, text, proof))
        } else if answer == Answer::Ok && made_for.is_some_and(|other| other != rpc) {
            Some(Self::violation(
                rpc,
                format!("RPC {rpc:x} is answered with the value of another RPC"),
                proof,
            ))
        } else {
            None
        }
    }
}

impl Checker for OneAnswer {
    fn observe(&mut self, event: &Event, violations: &mut Vec<Violation>) {
        self.expire(event.at, violations);
        match event.kind {
            EventKind::Accepted { rpc, deadline, .. } => self.on_accepted(rpc, deadline, event),
            EventKind::Answered { rpc, answer, made_for } => {
                violations.extend(self.on_answered(rpc, answer, made_for, event));
            }
            EventKind::ClientLeft { rpc } => {
                if let Some(state) = self.rpcs.get_mut(&rpc) {
                    state.no_answer_due = true;
                }
            }
            _ => {}
        }
    }

    fn end(&mut self, at: Time, violations: &mut Vec<Violation>) {
        self.expire(at, violations);
    }

    fn tracked(&self) -> usize {
        self.rpcs.len()
    }
}
