//! The types that all checkers share: the `Checker` trait, the tolerance and violations.

use crate::history::{Event, MemberIndex, RpcId};
use ladderpass_routing::{Span, Time};
use std::fmt;

/// A violation of a rule, with the few events that prove it.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Number of the violated rule, from 1 to 5.
    pub rule: u8,
    /// The RPC that the violation concerns, if there is one.
    pub rpc: Option<RpcId>,
    /// The member that the violation concerns, if there is one.
    pub member: Option<MemberIndex>,
    /// Description of the violation in one line.
    pub text: String,
    /// The events that prove the violation, in order of time.
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

/// A checker of one rule over a history.
pub trait Checker {
    /// Processes the next event, and appends the violations that it proves.
    fn observe(&mut self, event: &Event, violations: &mut Vec<Violation>);

    /// Ends the history at the given time, and appends the violations that the end proves, such as a missing
    /// answer.
    fn end(&mut self, _at: Time, _violations: &mut Vec<Violation>) {}

    /// Returns how many RPCs, members and attempts the checker tracks now. This number does not grow with the length of
    /// the history.
    fn tracked(&self) -> usize;
}

/// Allowance for differences between the clocks and sockets of the observers.
#[derive(Clone, Copy, Debug)]
pub struct Tolerance {
    /// How long after the client's deadline an answer may arrive without counting as late.
    pub answer: Span,
    /// An endpoint update counts as received this long after discovery has published it.
    pub endpoint_update: Span,
    /// By how much the age of a replica's data may exceed a read's maximum staleness, since a position is known
    /// only some time after the replica has reached it.
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
