//! Deliberate faults of a router, of which the environment variable `LADDERPASS_FAULTY` selects one. The invariant
//! checkers are tested against routers with such a fault. Only builds with the feature `faulty` contain the faults, and
//! no release has that feature.

use ladderpass_admission as admission;
use ladderpass_membership as membership;
use ladderpass_retry_budget as retry_budget;
use ladderpass_routing::Span;
use thiserror::Error;

/// The deliberate fault that a router has, if any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Faulty {
    /// The router has no fault.
    #[default]
    NotFaulty,
    /// Treats a write whose connection was lost as one that never ran at the member, and sends the write again.
    Resends,
    /// Answers a client twice.
    AnswersTwice,
    /// Continues an RPC for one second past its client's deadline.
    AnswersLate,
    /// Forwards a row of a member's answer even if the row's column is not as long as its length field states.
    ForwardsTornRows,
    /// Treats every replication position that a member reports as up to date.
    IgnoresLag,
    /// Continues to send RPCs to draining members.
    IgnoresDrains,
    /// Sends as many RPCs to members that are warming up as to other members.
    IgnoresWarmUp,
    /// Uses a connection to a member again although an answer to an earlier query may still arrive on it.
    ReusesBusyConnections,
    /// Treats what a member has sent as a complete answer when the next message has an impossible length, and forwards
    /// that answer.
    TrustsLengths,
    /// Exits at SIGTERM with RPCs in flight.
    DropsRequestsAtStop,
    /// A fault of the membership protocol, which the value names.
    Membership(membership::Faulty),
    /// A fault of the shared admission control, which the value names.
    Admission(admission::Faulty),
    /// A fault of the shared retry budget, which the value names.
    RetryBudget(retry_budget::Faulty),
}

/// An environment variable for faulty routers has an invalid value.
#[derive(Debug, Error)]
pub enum FaultyError {
    /// `LADDERPASS_FAULTY` is not the name of a fault.
    #[error("LADDERPASS_FAULTY: {0:?} is not a known fault")]
    UnknownSwitch(String),
    /// `LADDERPASS_CLOCK_MS` is not a number of milliseconds.
    #[error("LADDERPASS_CLOCK_MS: {0:?} is not a number of milliseconds")]
    ClockOffset(String),
}

impl Faulty {
    /// Returns the fault that the value of `LADDERPASS_FAULTY` names.
    ///
    /// # Errors
    ///
    /// Fails if no fault has this name.
    pub fn read(name: Option<String>) -> Result<Faulty, FaultyError> {
        match name.as_deref().filter(|_| cfg!(feature = "faulty")) {
            None => Ok(Faulty::NotFaulty),
            Some("resends") => Ok(Faulty::Resends),
            Some("answers-twice") => Ok(Faulty::AnswersTwice),
            Some("answers-late") => Ok(Faulty::AnswersLate),
            Some("passes-on-torn-rows") => Ok(Faulty::ForwardsTornRows),
            Some("ignores-lag") => Ok(Faulty::IgnoresLag),
            Some("ignores-drains") => Ok(Faulty::IgnoresDrains),
            Some("ignores-warm-up") => Ok(Faulty::IgnoresWarmUp),
            Some("reuses-unquiet") => Ok(Faulty::ReusesBusyConnections),
            Some("trusts-lengths") => Ok(Faulty::TrustsLengths),
            Some("loses-at-stop") => Ok(Faulty::DropsRequestsAtStop),
            Some("never-suspects") => Ok(Faulty::Membership(membership::Faulty::NeverSuspects)),
            Some("believes-the-first-rumour") => {
                Ok(Faulty::Membership(membership::Faulty::ConfirmsImmediately))
            }
            Some("forgets-incarnations") => Ok(Faulty::Membership(membership::Faulty::IgnoresIncarnations)),
            Some("keeps-the-deads-turns") => Ok(Faulty::Membership(membership::Faulty::CountsDeadRouters)),
            Some("ignores-the-floor") => Ok(Faulty::Admission(admission::Faulty::IgnoresThreshold)),
            Some("tells-tenfold") => Ok(Faulty::Admission(admission::Faulty::ReportsTenfold)),
            Some("keeps-the-deads-words") => {
                Ok(Faulty::Admission(admission::Faulty::KeepsReportsOfDeadRouters))
            }
            Some("spends-without-asking") => Ok(Faulty::RetryBudget(retry_budget::Faulty::GrantsEveryRetry)),
            Some("never-gives-back") => Ok(Faulty::RetryBudget(retry_budget::Faulty::NeverRefunds)),
            Some(other) => Err(FaultyError::UnknownSwitch(other.to_owned())),
        }
    }

    /// Returns whether the router has this fault. Without the feature `faulty` the result is always false, so the
    /// compiler removes the code of the fault.
    pub fn is(self, other: Faulty) -> bool {
        cfg!(feature = "faulty") && self == other
    }

    /// Returns the fault of the shared retry budget, or `NotFaulty` if the router has no such fault.
    pub fn retry_budget(self) -> retry_budget::Faulty {
        match self {
            Faulty::RetryBudget(faulty) if cfg!(feature = "faulty") => faulty,
            _ => retry_budget::Faulty::NotFaulty,
        }
    }

    /// Returns the fault of the shared admission control, or `NotFaulty` if the router has no such fault.
    pub fn admission(self) -> admission::Faulty {
        match self {
            Faulty::Admission(faulty) if cfg!(feature = "faulty") => faulty,
            _ => admission::Faulty::NotFaulty,
        }
    }

    /// Returns the fault of the membership protocol, or `NotFaulty` if the router has no such fault.
    pub fn membership(self) -> membership::Faulty {
        match self {
            Faulty::Membership(faulty) if cfg!(feature = "faulty") => faulty,
            _ => membership::Faulty::NotFaulty,
        }
    }
}

/// Returns the offset of the wall clock that `LADDERPASS_CLOCK_MS` sets, which simulates a machine whose clock is
/// wrong. Without the feature `faulty` the offset is zero.
///
/// # Errors
///
/// Fails if the value is not a number of milliseconds.
pub fn clock_offset(value: Option<String>) -> Result<Span, FaultyError> {
    let Some(text) = value.filter(|_| cfg!(feature = "faulty")) else { return Ok(Span::ZERO) };
    let ms = text.parse::<i32>().map_err(|_| FaultyError::ClockOffset(text))?;
    Ok(Span::from_millis(i64::from(ms)))
}
