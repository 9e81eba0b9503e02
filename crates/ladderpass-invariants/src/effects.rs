//! Rule 2: no RPC whose effect must happen at most once is executed or possibly executed twice, and every RPC has at
//! most one attempt in flight.

use crate::checker::{Checker, Violation};
use crate::history::{Event, EventKind, RpcId};
use ladderpass_routing::{Span, Time};
use std::collections::{BTreeSet, HashMap};

/// How long after the client's deadline an execution is still attributed to its RPC.
const TRACK_AFTER_DEADLINE: Span = Span::from_millis(10_000);

/// The checker of rule 2.
#[derive(Default)]
pub struct Effects {
    rpcs: HashMap<RpcId, RpcState>,
    /// The time after which each RPC is no longer tracked, in order of time.
    forget_at: BTreeSet<(Time, RpcId)>,
}

struct RpcState {
    run_once: bool,
    /// The event of sending the attempt that is in flight, if there is one.
    in_flight: Option<Event>,
    /// The event at which the last execution of the RPC began.
    executed: Option<Event>,
    /// The event of sending the last attempt, which may have run. `None` if that attempt was rejected.
    may_have_run: Option<Event>,
}

impl Effects {
    fn forget_expired(&mut self, now: Time) {
        while let Some(&(at, rpc)) = self.forget_at.first()
            && at < now
        {
            self.forget_at.pop_first();
            self.rpcs.remove(&rpc);
        }
    }
}

impl Checker for Effects {
    fn observe(&mut self, event: &Event, violations: &mut Vec<Violation>) {
        self.forget_expired(event.at);
        let mut report = |rpc, member, text: String, proof| {
            violations.push(Violation { rule: 2, rpc: Some(rpc), member: Some(member), text, proof });
        };
        match event.kind {
            EventKind::Accepted { rpc, deadline, run_once, .. } => {
                let state = RpcState { run_once, in_flight: None, executed: None, may_have_run: None };
                if self.rpcs.insert(rpc, state).is_none() {
                    self.forget_at.insert((deadline + TRACK_AFTER_DEADLINE, rpc));
                }
            }
            EventKind::AttemptSent { rpc, member } => {
                let Some(state) = self.rpcs.get_mut(&rpc) else { return };
                if let Some(first) = state.in_flight {
                    let text = format!("RPC {rpc:x} is sent while another attempt of it is in flight");
                    report(rpc, member, text, vec![first, *event]);
                } else if let (true, Some(first)) = (state.run_once, state.may_have_run) {
                    // Sending the RPC again is a violation even if its first attempt did not run, because the
                    // router could not know that.
                    let text = format!("RPC {rpc:x} is sent again though it may have run");
                    report(rpc, member, text, vec![first, *event]);
                }
                state.in_flight = Some(*event);
                state.may_have_run = Some(*event);
            }
            EventKind::AttemptEnded { rpc, .. } => {
                if let Some(state) = self.rpcs.get_mut(&rpc) {
                    state.in_flight = None;
                }
            }
            // A rejected attempt never ran, so the RPC may be sent again.
            EventKind::Rejected { rpc, .. } => {
                if let Some(state) = self.rpcs.get_mut(&rpc) {
                    state.in_flight = None;
                    state.may_have_run = None;
                }
            }
            EventKind::Executed { rpc, member } => {
                let Some(state) = self.rpcs.get_mut(&rpc) else { return };
                if let (true, Some(first)) = (state.run_once, state.executed) {
                    report(rpc, member, format!("RPC {rpc:x} is executed twice"), vec![first, *event]);
                }
                state.executed = Some(*event);
            }
            _ => {}
        }
    }

    fn tracked(&self) -> usize {
        self.rpcs.len()
    }
}
