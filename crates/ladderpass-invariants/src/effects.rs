//! Rule 2: no effect twice, and one call-out of an RPC at a time.

use crate::{Checker, Event, RpcId, Violation, What};
use ladderpass_routing::{Span, Time};
use std::collections::{BTreeSet, HashMap};

#[derive(Default)]
pub struct Effects {
    rpcs: HashMap<RpcId, Kept>,
    until: BTreeSet<(Time, RpcId)>,
}

struct Kept {
    once: bool,
    out: Option<Event>,
    /// A call-out that ended without having run can't have had an effect.
    ran: Option<Event>,
    /// Sent, and not known to have been turned away unseen.
    sent: Option<Event>,
}

/// What runs this long after the client's time is still laid to its RPC.
const AFTER: Span = Span::from_millis(10_000);

impl Checker for Effects {
    fn see(&mut self, event: &Event, broken: &mut Vec<Violation>) {
        while let Some(&(at, rpc)) = self.until.first()
            && at < event.at
        {
            self.until.pop_first();
            self.rpcs.remove(&rpc);
        }
        let mut breaks = |rpc, member, text: String, proof| {
            broken.push(Violation { rule: 2, rpc: Some(rpc), member: Some(member), text, proof });
        };
        match event.what {
            What::Taken { rpc, due, once, .. } => {
                let kept = Kept { once, out: None, ran: None, sent: None };
                if self.rpcs.insert(rpc, kept).is_none() {
                    self.until.insert((due + AFTER, rpc));
                }
            }
            What::CalledOut { rpc, member } => {
                let Some(kept) = self.rpcs.get_mut(&rpc) else { return };
                if let Some(first) = kept.out {
                    let text = format!("RPC {rpc:x} is called out while a call-out of it is out");
                    breaks(rpc, member, text, vec![first, *event]);
                } else if let (true, Some(first)) = (kept.once, kept.sent) {
                    // Also where the first did not run after all: nobody could know.
                    let text = format!("RPC {rpc:x} is sent again though it may have run");
                    breaks(rpc, member, text, vec![first, *event]);
                }
                (kept.out, kept.sent) = (Some(*event), Some(*event));
            }
            What::CallOutOver { rpc, .. } => {
                if let Some(kept) = self.rpcs.get_mut(&rpc) {
                    kept.out = None;
                }
            }
            // Turned away unseen: it never ran there, and may be sent again.
            What::TurnedAway { rpc, .. } => {
                if let Some(kept) = self.rpcs.get_mut(&rpc) {
                    (kept.out, kept.sent) = (None, None);
                }
            }
            What::Ran { rpc, member } => {
                let Some(kept) = self.rpcs.get_mut(&rpc) else { return };
                if let (true, Some(first)) = (kept.once, kept.ran) {
                    breaks(rpc, member, format!("RPC {rpc:x} has its effect twice"), vec![first, *event]);
                }
                kept.ran = Some(*event);
            }
            _ => {}
        }
    }

    fn kept(&self) -> usize {
        self.rpcs.len()
    }
}
