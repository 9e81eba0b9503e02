//! Why a plan, a rule or a command of the control socket is rejected. Each error prints as one line.

use std::net::SocketAddr;
use thiserror::Error;

/// A plan or a rule that is not valid, by the key.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PlanError {
    /// It can't be read: the deserializer's message on one line, which begins with the key.
    #[error("{0}")]
    Syntax(String),
    /// A value that is not allowed.
    #[error("{key}: {problem}")]
    Invalid {
        /// Path of the key, from the start of what was checked.
        key: String,
        /// What is wrong with its value.
        problem: PlanProblem,
    },
}

impl PlanError {
    pub(crate) fn invalid(key: impl Into<String>, problem: PlanProblem) -> PlanError {
        PlanError::Invalid { key: key.into(), problem }
    }

    /// The same error, seen from the key that holds what was checked.
    pub(crate) fn within(self, parent: &str) -> PlanError {
        match self {
            PlanError::Syntax(text) => PlanError::Syntax(format!("{parent}.{text}")),
            PlanError::Invalid { key, problem } => {
                PlanError::Invalid { key: format!("{parent}.{key}"), problem }
            }
        }
    }
}

/// What is wrong with a value of a plan.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PlanProblem {
    /// An address that the tool must not listen on or connect to.
    #[error("{0} is off loopback; allowed is 127.0.0.0/8 or [::1]")]
    OffLoopback(SocketAddr),
    /// A name that is used already.
    #[error("{0:?} stands twice")]
    DuplicateName(String),
    /// An end of datagrams whose name or address is used already.
    #[error("its name or address stands twice")]
    DuplicateEnd,
    /// A link that the plan does not have.
    #[error("there is no link {0:?}")]
    UnknownLink(String),
    /// A rule that waits for itself, or for one that the plan does not have.
    #[error("there is no other rule {0:?}")]
    UnknownRule(String),
    /// A name that is not among the allowed ones.
    #[error("{name:?}; allowed are {allowed}")]
    UnknownName {
        /// The name that was given.
        name: String,
        /// All allowed names.
        allowed: String,
    },
    /// A number outside its range.
    #[error("{value}; allowed are {allowed}")]
    OutOfRange {
        /// The number that was given.
        value: f64,
        /// The range, as `0 to 1`.
        allowed: &'static str,
    },
    /// Connections or messages counted from 0.
    #[error("connections and messages are counted from 1 on")]
    CountedFromZero,
    /// An action that a connection's opening can't trigger.
    #[error("{0} does nothing when a connection opens")]
    NotAtOpening(&'static str),
    /// An action that only a connection's opening can trigger.
    #[error("{0} acts only with when.opens")]
    OnlyAtOpening(&'static str),
    /// A trigger by messages or bytes at a connection's opening.
    #[error("a connection that opens has no messages or bytes yet")]
    NoBytesAtOpening,
    /// A rate of 0.
    #[error("must be above 0; hold stops a direction")]
    ZeroRate,
}

/// Why a running engine rejects a change.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum EngineError {
    /// The new rule is not valid.
    #[error(transparent)]
    InvalidRule(#[from] PlanError),
    /// The new rule's name is in use.
    #[error("name: {0:?} is there already")]
    DuplicateRule(String),
    /// No rule of this name is active.
    #[error("there is no rule {0:?}")]
    UnknownRule(String),
    /// The plan has no link of this name.
    #[error("there is no link {0:?}")]
    UnknownLink(String),
}

/// Why a line of the control socket is rejected.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ControlError {
    /// Not one of the commands.
    #[error(
        "{0:?}; allowed are add RULE, lift NAME, list, wait NAME HITS MS, stats, cut LINK, heal LINK, watch"
    )]
    UnknownCommand(String),
    /// The rule of `add` can't be read.
    #[error("add: {0}")]
    Rule(PlanError),
    /// The engine rejects the change.
    #[error("{command}: {source}")]
    Rejected {
        /// The command's word.
        command: &'static str,
        /// Why.
        source: EngineError,
    },
    /// `wait` without its three words.
    #[error("wait: allowed is wait NAME HITS MS")]
    WaitForm,
    /// The second word of `wait`.
    #[error("wait: HITS {0:?} is no number")]
    WaitHits(String),
    /// The third word of `wait`.
    #[error("wait: MS {0:?} is no number of milliseconds")]
    WaitMs(String),
    /// A rule to wait for that is not there.
    #[error("wait: there is no rule {0:?}")]
    WaitRule(String),
}

/// Why a command to a running tool failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The tool's thread has ended.
    #[error("the tool has ended")]
    Ended,
    /// The tool's thread can't be woken.
    #[error("{0}")]
    Wake(std::io::Error),
    /// The tool's answer to a command that it rejects.
    #[error("{0}")]
    Rejected(String),
}

/// A record that can't be read.
#[derive(Debug, Error)]
#[error("line {line}: {source}")]
pub struct RecordError {
    /// Number of the line, from 1 on.
    pub line: usize,
    /// What is wrong with it.
    pub source: serde_json::Error,
}
