//! What the checkers have in common: the trait, the tolerance, and violations.

use crate::history::{Event, MemberIndex, RpcId};
use ladderpass_routing::{Span, Time};
use std::fmt;

/// A broken rule, with the few events that prove it.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Number of the rule, from 1 to 5.
    pub rule: u8,
    /// The RPC concerned, if one is.
    pub rpc: Option<RpcId>,
    /// The member concerned, if one is.
    pub member: Option<MemberIndex>,
    /// What happened, in one line.
    pub text: String,
    /// The events that prove it, in order of time.
    pub proof: Vec<Event>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "rule {}: {}", self.rule, self.text)?;
        for event in &self.proof {
            write!(f, "; at {:.3} ms {:?}", event.at.nanos() as f64 / 1e6, event.kind)?;
        }
        Ok(())
    }
}

/// Checks one rule over a history.
pub trait Checker {
    /// Reads the next event, and appends what it proves broken.
    fn observe(&mut self, event: &Event, violations: &mut Vec<Violation>);

    /// The history ends at this time.
    fn end(&mut self, _at: Time, _violations: &mut Vec<Violation>) {}

    /// How many RPCs, members and attempts it tracks now; bounded however long the history is.
    fn tracked(&self) -> usize;
}

/// How far the clocks and sockets of the observers may differ.
#[derive(Clone, Copy, Debug)]
pub struct Tolerance {
    /// An answer may come this long after its client's deadline.
    pub answer: Span,
    /// An endpoint update counts as received this long after it was published.
    pub endpoint_update: Span,
    /// A position counts as known this long after it was reported.
    pub position: Span,
}

impl Default for Tolerance {
    fn default() -> Tolerance {
        Tolerance {
            answer: Span::from_millis(50),
            endpoint_update: Span::from_millis(50),
            position: Span::from_millis(100),
        }
    }
}
