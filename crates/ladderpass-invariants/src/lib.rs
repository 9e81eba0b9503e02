//! The five invariants of ladderpass as checkers over a history: what clients sent and received, what reached members and
//! ran there, and what discovery published. Events come in order of time; each checker reads each event once, and tracks
//! an RPC no longer than it can still matter.
//!
//! The checkers judge from outside: they never see a router's state, and allow nothing that a rule forbids.

mod draining;
mod effects;
mod one_answer;
mod slow_start;
mod staleness;

pub use draining::Drains;
pub use effects::Effects;
pub use one_answer::OneAnswer;
pub use slow_start::Cold;
pub use staleness::Stale;

use ladderpass_routing::{Span, Time};
use std::fmt;

/// An RPC of the history.
pub type RpcId = u64;
/// A member, by its place in the endpoint list.
pub type MemberNo = u32;

/// The final answer of an RPC, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The result of the statement.
    Ok,
    /// It did not run.
    PushedBack,
    /// It may have run: its effect is unknown.
    Aborted,
}

/// What was observed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    /// A client's statement was received completely.
    Taken {
        /// The RPC that begins.
        rpc: RpcId,
        /// When its client gives up.
        due: Time,
        /// Its effect must not happen twice.
        once: bool,
        /// A replica's data must not be older than this when an attempt is sent there.
        bound: Option<Span>,
    },
    /// A client was answered.
    Answered {
        /// The RPC that ends.
        rpc: RpcId,
        /// What the client received.
        answer: Answer,
        /// The RPC for which the value was made, where the value shows it.
        made_for: Option<RpcId>,
    },
    /// The client disconnected: no answer is due any more.
    Left {
        /// Its RPC.
        rpc: RpcId,
    },
    /// The last byte of an attempt has reached the member's machine, or the fault injection in front of it.
    CalledOut {
        /// The RPC that is attempted.
        rpc: RpcId,
        /// Where it was sent.
        member: MemberNo,
    },
    /// That attempt has ended, as its connection shows: answered, rejected, or connection lost.
    CallOutOver {
        /// The RPC that was attempted.
        rpc: RpcId,
        /// Where it was sent.
        member: MemberNo,
    },
    /// A member rejected an attempt before running it.
    TurnedAway {
        /// The RPC that was attempted.
        rpc: RpcId,
        /// Who rejected it.
        member: MemberNo,
    },
    /// A member began to run an attempt: it has its effect.
    Ran {
        /// The RPC that runs.
        rpc: RpcId,
        /// Where it runs.
        member: MemberNo,
    },
    /// Discovery published that a member is draining.
    Draining {
        /// The member that accepts nothing new.
        member: MemberNo,
    },
    /// Discovery published that a member serves again.
    Serving {
        /// The member that accepts RPCs.
        member: MemberNo,
    },
    /// A member started and needs a slow start.
    Started {
        /// The member that warms up.
        member: MemberNo,
        /// RPCs a second once it is warm.
        capacity: f64,
        /// Fraction of `capacity` that it has at its start.
        cold_from: f64,
        /// How long it takes to warm up.
        warm_within: Span,
        /// The window in which too many RPCs overload it.
        overload_for: Span,
    },
    /// A member has applied its log up to a position.
    Reached {
        /// The member whose position it is.
        member: MemberNo,
        /// All that was committed up to then is applied.
        position: Time,
    },
    /// A member became or ceased to be the primary of its group, whose data is always current.
    Primary {
        /// The member whose role it is.
        member: MemberNo,
        /// Whether it is the primary from now on.
        primary: bool,
    },
}

/// One observation of a history.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    /// When it was observed, as Unix time.
    pub at: Time,
    /// What was observed.
    pub what: What,
}

/// A broken rule, with the few events that prove it.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Number of the rule, from 1 to 5.
    pub rule: u8,
    /// The RPC concerned, if one is.
    pub rpc: Option<RpcId>,
    /// The member concerned, if one is.
    pub member: Option<MemberNo>,
    /// What happened, in one line.
    pub text: String,
    /// The events that prove it, in order of time.
    pub proof: Vec<Event>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {}: {}", self.rule, self.text)?;
        for event in &self.proof {
            write!(f, "; at {:.3} ms {:?}", event.at.nanos() as f64 / 1e6, event.what)?;
        }
        Ok(())
    }
}

/// Checks one rule over a history.
pub trait Checker {
    /// Reads the next event, and appends what it proves broken.
    fn see(&mut self, event: &Event, broken: &mut Vec<Violation>);

    /// The history ends at this time.
    fn end(&mut self, _at: Time, _broken: &mut Vec<Violation>) {}

    /// How many RPCs, members and attempts it tracks now; bounded however long the history is.
    fn kept(&self) -> usize;
}

/// How far the clocks and sockets of the observers may differ.
#[derive(Clone, Copy, Debug)]
pub struct Grace {
    /// An answer may come this long after its client's deadline.
    pub answer: Span,
    /// An endpoint update counts as received this long after it was published.
    pub news: Span,
    /// A position counts as known this long after it was reported.
    pub position: Span,
}

impl Default for Grace {
    fn default() -> Grace {
        Grace { answer: Span::from_millis(50), news: Span::from_millis(50), position: Span::from_millis(100) }
    }
}

/// Checks all five rules over one history.
pub fn check(history: &[Event], grace: Grace) -> Vec<Violation> {
    let mut broken = Vec::new();
    let mut checkers = all(grace);
    for event in history {
        checkers.iter_mut().for_each(|checker| checker.see(event, &mut broken));
    }
    let end = history.last().map_or(Time::default(), |event| event.at);
    checkers.iter_mut().for_each(|checker| checker.end(end, &mut broken));
    broken
}

/// A checker of each rule, by the rule's number.
pub fn all(grace: Grace) -> Vec<Box<dyn Checker>> {
    vec![
        Box::new(OneAnswer::new(grace)),
        Box::new(Effects::default()),
        Box::new(Drains::new(grace)),
        Box::new(Cold::default()),
        Box::new(Stale::new(grace)),
    ]
}
