//! The five rules as checkers over a history: what clients sent and were told, what reached members and ran there, and
//! what the list told. Events come in order of time; each checker reads each once, and keeps an RPC no longer than it
//! can still matter.
//!
//! It owns what the rules mean to an onlooker. It must never see a router's beliefs, nor forgive what a rule forbids.

mod cold;
mod drains;
mod effects;
mod one_answer;
mod stale;

pub use cold::Cold;
pub use drains::Drains;
pub use effects::Effects;
pub use one_answer::OneAnswer;
pub use stale::Stale;

use ladderpass_routing::{Span, Time};
use std::fmt;

pub type RpcId = u64;
pub type MemberNo = u32;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Ok,
    PushedBack,
    Aborted,
}

/// What someone saw.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    /// A client's statement was taken whole; it waits until `due`. `once`: its effect must not happen twice. `bound`: its
    /// data must not be older when a call-out is sent.
    Taken {
        rpc: RpcId,
        due: Time,
        once: bool,
        bound: Option<Span>,
    },
    /// A client was answered; with a value made for `made_for`, where it is told.
    Answered {
        rpc: RpcId,
        answer: Answer,
        made_for: Option<RpcId>,
    },
    /// The client went away: nothing is owed any more.
    Left {
        rpc: RpcId,
    },
    /// A call-out's last byte has reached a member's machine, or the fault tool before it.
    CalledOut {
        rpc: RpcId,
        member: MemberNo,
    },
    /// That call-out has ended, as its connection tells: answered, turned away, or broken.
    CallOutOver {
        rpc: RpcId,
        member: MemberNo,
    },
    /// A member turned it away unseen: it never ran there.
    TurnedAway {
        rpc: RpcId,
        member: MemberNo,
    },
    /// A member began it: it has its effect.
    Ran {
        rpc: RpcId,
        member: MemberNo,
    },
    /// The list told the router that a member wants nothing new, or that it does again.
    Draining {
        member: MemberNo,
    },
    Serving {
        member: MemberNo,
    },
    /// A member started, cold: it bears so much of `capacity` (RPCs a second) at first, all of it after `warm_within`. It
    /// falls over by what it gets within `overload_for`.
    Started {
        member: MemberNo,
        capacity: f64,
        cold_from: f64,
        warm_within: Span,
        overload_for: Span,
    },
    /// A member's data reaches up to here.
    Reached {
        member: MemberNo,
        position: Time,
    },
    /// It is the primary of its group: its data is current.
    Primary {
        member: MemberNo,
        primary: bool,
    },
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Event {
    pub at: Time,
    pub what: What,
}

/// A rule that was broken, with the few events that prove it.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: u8,
    pub rpc: Option<RpcId>,
    pub member: Option<MemberNo>,
    pub text: String,
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

/// One rule's reading of a history.
pub trait Checker {
    fn see(&mut self, event: &Event, broken: &mut Vec<Violation>);

    /// The history ends at this time.
    fn end(&mut self, _at: Time, _broken: &mut Vec<Violation>) {}

    /// RPCs and members that it keeps in mind.
    fn kept(&self) -> usize;
}

/// How far clocks and sockets may differ between those who saw.
#[derive(Clone, Copy, Debug)]
pub struct Grace {
    /// An answer may come this much after its client's time.
    pub answer: Span,
    /// News of the list count as told this long after they were written.
    pub news: Span,
    /// A position counts as known this long after it was told.
    pub position: Span,
}

impl Default for Grace {
    fn default() -> Grace {
        Grace { answer: Span::from_millis(50), news: Span::from_millis(50), position: Span::from_millis(100) }
    }
}

/// All five over one history.
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

pub fn all(grace: Grace) -> Vec<Box<dyn Checker>> {
    vec![
        Box::new(OneAnswer::new(grace)),
        Box::new(Effects::default()),
        Box::new(Drains::new(grace)),
        Box::new(Cold::default()),
        Box::new(Stale::new(grace)),
    ]
}
