//! Rule 5: no stale read. A read with a maximum staleness is not sent to a replica whose data is older than this
//! maximum when the read is sent.

use crate::checker::{Checker, Tolerance, Violation};
use crate::history::{Event, EventKind, MemberIndex, RpcId};
use ladderpass_routing::{Span, Time};
use std::collections::{BTreeSet, HashMap, VecDeque};

/// How long after the client's deadline an attempt is still attributed to its RPC.
const TRACK_AFTER_DEADLINE: Span = Span::from_millis(1000);
/// Number of latest positions that are tracked for each member.
const MAX_POSITIONS_PER_MEMBER: usize = 64;

/// The checker of rule 5.
pub struct Staleness {
    tolerance: Tolerance,
    max_staleness: HashMap<RpcId, Span>,
    /// The time after which each RPC is no longer tracked, in order of time.
    forget_at: BTreeSet<(Time, RpcId)>,
    members: HashMap<MemberIndex, MemberState>,
}

#[derive(Default)]
struct MemberState {
    primary: bool,
    /// The latest positions that the member has reported, in order of their reports.
    positions: VecDeque<Time>,
}

impl Staleness {
    /// Creates a checker that has read no events.
    pub fn new(tolerance: Tolerance) -> Staleness {
        Staleness {
            tolerance,
            max_staleness: HashMap::new(),
            forget_at: BTreeSet::new(),
            members: HashMap::new(),
        }
    }

    fn forget_expired(&mut self, now: Time) {
        while let Some(&(at, rpc)) = self.forget_at.first()
            && at < now
        {
            self.forget_at.pop_first();
            self.max_staleness.remove(&rpc);
        }
    }

    /// Returns the violation that an attempt proves, if there is one.
    fn on_attempt(&self, rpc: RpcId, member: MemberIndex, event: &Event) -> Option<Violation> {
        let max_staleness = *self.max_staleness.get(&rpc)?;
        let state = self.members.get(&member)?;
        // The data of a member without a reported position can't be proven stale.
        let position = state.positions.iter().copied().max()?;
        if state.primary || position + max_staleness + self.tolerance.position >= event.at {
            return None;
        }
        let age_ms = (event.at - position).secs() * 1e3;
        let text = format!(
            "RPC {rpc:x} is sent to replica {member}, whose data is {age_ms:.0} ms old; the read's maximum staleness is {:.0} ms",
            max_staleness.secs() * 1e3
        );
        Some(Violation { rule: 5, rpc: Some(rpc), member: Some(member), text, proof: vec![*event] })
    }
}

impl Checker for Staleness {
    fn observe(&mut self, event: &Event, violations: &mut Vec<Violation>) {
        self.forget_expired(event.at);
        match event.kind {
            EventKind::Accepted { rpc, deadline, max_staleness: Some(max_staleness), .. } => {
                self.max_staleness.insert(rpc, max_staleness);
                self.forget_at.insert((deadline + TRACK_AFTER_DEADLINE, rpc));
            }
            EventKind::Primary { member, primary } => {
                self.members.entry(member).or_default().primary = primary
            }
            EventKind::PositionReached { member, position } => {
                let state = self.members.entry(member).or_default();
                state.positions.push_back(position);
                while state.positions.len() > MAX_POSITIONS_PER_MEMBER {
                    state.positions.pop_front();
                }
            }
            EventKind::AttemptSent { rpc, member } => violations.extend(self.on_attempt(rpc, member, event)),
            _ => {}
        }
    }

    fn tracked(&self) -> usize {
        self.max_staleness.len() + self.members.len()
    }
}
