//! Deliberately faulty routers: one switch each, set by `LADDERPASS_FAULTY`. The invariant checkers are tested against
//! them. Only builds with the feature `faulty` have them, and no release is one.

use ladderpass_admission as admission;
use ladderpass_membership as membership;
use ladderpass_retry_budget as retry_budget;
use ladderpass_routing::Span;
use thiserror::Error;

/// What a router does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Faulty {
    /// Nothing.
    #[default]
    NotFaulty,
    /// Takes a write whose connection was lost for one that never ran, and sends it again.
    Resends,
    /// Answers a client twice.
    AnswersTwice,
    /// Goes on with an RPC for a second past its client's deadline.
    AnswersLate,
    /// Forwards a row whose column is not as long as it says.
    ForwardsTornRows,
    /// Takes every reported position for up to date.
    IgnoresLag,
    /// Goes on sending to draining members.
    IgnoresDrains,
    /// Sends as much to members that are warming up as to the others.
    IgnoresWarmUp,
    /// Uses a connection again on which an answer may still be under way.
    ReusesBusyConnections,
    /// Forwards what there is of a message whose length is impossible.
    TrustsLengths,
    /// Exits at SIGTERM with RPCs in flight.
    DropsRequestsAtStop,
    /// A fault of the membership protocol.
    Membership(membership::Faulty),
    /// A fault of the shared admission control.
    Admission(admission::Faulty),
    /// A fault of the shared retry budget.
    RetryBudget(retry_budget::Faulty),
}

/// An environment variable for faulty routers that can't be read.
#[derive(Debug, Error)]
pub enum FaultyError {
    /// It names no fault.
    #[error("LADDERPASS_FAULTY: {0:?} is no switch")]
    UnknownSwitch(String),
    /// It is no number of milliseconds.
    #[error("LADDERPASS_CLOCK_MS: {0:?} is no number")]
    ClockOffset(String),
}

impl Faulty {
    /// The fault with this name in `LADDERPASS_FAULTY`.
    ///
    /// # Errors
    ///
    /// There is no such name.
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

    /// Whether the router has this fault. Never without the feature, so that the compiler leaves the fault out.
    pub fn is(self, other: Faulty) -> bool {
        cfg!(feature = "faulty") && self == other
    }

    /// The fault of the shared retry budget, if that is where it is.
    pub fn retry_budget(self) -> retry_budget::Faulty {
        match self {
            Faulty::RetryBudget(faulty) if cfg!(feature = "faulty") => faulty,
            _ => retry_budget::Faulty::NotFaulty,
        }
    }

    /// The fault of the shared admission control, if that is where it is.
    pub fn admission(self) -> admission::Faulty {
        match self {
            Faulty::Admission(faulty) if cfg!(feature = "faulty") => faulty,
            _ => admission::Faulty::NotFaulty,
        }
    }

    /// The fault of the membership protocol, if that is where it is.
    pub fn membership(self) -> membership::Faulty {
        match self {
            Faulty::Membership(faulty) if cfg!(feature = "faulty") => faulty,
            _ => membership::Faulty::NotFaulty,
        }
    }
}

/// How far the wall clock is off by `LADDERPASS_CLOCK_MS`: a machine whose clock was stepped. Zero without the feature.
///
/// # Errors
///
/// The value is no number of milliseconds.
pub fn clock_offset(value: Option<String>) -> Result<Span, FaultyError> {
    let Some(text) = value.filter(|_| cfg!(feature = "faulty")) else { return Ok(Span::ZERO) };
    let ms = text.parse::<i32>().map_err(|_| FaultyError::ClockOffset(text))?;
    Ok(Span::from_millis(i64::from(ms)))
}
