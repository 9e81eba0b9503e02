//! Errors of plans, rules, records and commands of the control socket. Each error prints as one line.

use std::net::SocketAddr;
use thiserror::Error;

/// The reason why a plan or a rule is invalid, with the key at fault.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PlanError {
    /// The text can't be deserialized. The deserializer's message is on one line, which begins with the key if the YAML
    /// itself is well-formed.
    #[error("{0}")]
    Syntax(String),
    /// A value is not allowed.
    #[error("{key}: {problem}")]
    Invalid {
        /// Path of the key within the checked plan, rule or action.
        key: String,
        /// The reason why the key's value is not allowed.
        problem: PlanProblem,
    },
}

impl PlanError {
    pub(crate) fn invalid(key: impl Into<String>, problem: PlanProblem) -> PlanError {
        PlanError::Invalid { key: key.into(), problem }
    }

    /// Returns this error with `parent` put before the key that the error names.
    pub(crate) fn within(self, parent: &str) -> PlanError {
        match self {
            PlanError::Syntax(text) => PlanError::Syntax(format!("{parent}.{text}")),
            PlanError::Invalid { key, problem } => {
                PlanError::Invalid { key: format!("{parent}.{key}"), problem }
            }
        }
    }
}

/// The reason why a value of a plan is not allowed.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum PlanProblem {
    /// The address is not a loopback address, so the tool must neither listen on it nor connect to it.
    #[error("{0} is not a loopback address; allowed are 127.0.0.0/8 and [::1]")]
    NotLoopback(SocketAddr),
    /// Two links of the plan, or two rules, have this name.
    #[error("{0:?} stands twice")]
    DuplicateName(String),
    /// An earlier datagram end has the same name or the same `to` address.
    #[error("an earlier end has the same name, or the same address in to")]
    DuplicateEnd,
    /// The plan has no link with this name.
    #[error("there is no link {0:?}")]
    UnknownLink(String),
    /// A rule waits for itself, or for a rule that the plan does not have.
    #[error("there is no other rule {0:?}")]
    UnknownRule(String),
    /// A name is not one of the allowed names.
    #[error("{name:?}; allowed are {allowed}")]
    UnknownName {
        /// The rejected name.
        name: String,
        /// All allowed names, separated by commas.
        allowed: String,
    },
    /// A number is outside its allowed range.
    #[error("{value}; allowed are {allowed}")]
    OutOfRange {
        /// The rejected number.
        value: f64,
        /// The allowed range, such as `0 to 1`.
        allowed: &'static str,
    },
    /// The number of a connection or of a match is 0, but both are counted from 1.
    #[error("connections and matches are counted from 1")]
    CountedFromZero,
    /// A rule is triggered by the opening of a connection, which can't trigger the rule's action.
    #[error("{0} does nothing when a connection opens")]
    NotAtOpening(&'static str),
    /// A rule is not triggered by the opening of a connection, but nothing else can trigger the rule's action.
    #[error("{0} acts only with when.opens")]
    OnlyAtOpening(&'static str),
    /// A rule that is triggered by the opening of a connection also has a condition on messages or bytes.
    #[error("a connection that opens has no messages or bytes yet")]
    NoBytesAtOpening,
    /// An action limits a direction to a rate of 0 bytes per second.
    #[error("must be above 0; the action hold stops a direction")]
    ZeroRate,
}

/// The reason why a running engine rejects a change.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum EngineError {
    /// The new rule is not valid.
    #[error(transparent)]
    InvalidRule(#[from] PlanError),
    /// An active rule has the new rule's name.
    #[error("name: {0:?} is already in use")]
    DuplicateRule(String),
    /// No active rule has this name.
    #[error("there is no rule {0:?}")]
    UnknownRule(String),
    /// The plan has no link with this name.
    #[error("there is no link {0:?}")]
    UnknownLink(String),
}

/// The reason why a line of the control socket is rejected.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ControlError {
    /// The line does not begin with one of the commands, or the command has the wrong arguments.
    #[error(
        "{0:?}; allowed are add RULE, lift NAME, list, wait NAME HITS MS, stats, cut LINK, heal LINK, watch"
    )]
    UnknownCommand(String),
    /// The rule of an `add` command can't be read.
    #[error("add: {0}")]
    Rule(PlanError),
    /// The engine rejects the command's change.
    #[error("{command}: {source}")]
    Rejected {
        /// Name of the command.
        command: &'static str,
        /// The reason why the engine rejects the command's change.
        source: EngineError,
    },
    /// A `wait` command does not have exactly three arguments.
    #[error("wait: allowed is wait NAME HITS MS")]
    WaitArguments,
    /// The second argument of `wait` is not a number.
    #[error("wait: HITS {0:?} is not a number")]
    WaitHits(String),
    /// The third argument of `wait` is not a number of milliseconds.
    #[error("wait: MS {0:?} is not a number of milliseconds")]
    WaitMs(String),
    /// No rule has the name that `wait` gives.
    #[error("wait: there is no rule {0:?}")]
    WaitRule(String),
}

/// The reason why a command to a running tool failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The tool's thread has ended, or has not answered within the timeout.
    #[error("the tool has ended or does not answer")]
    Ended,
    /// The tool's thread can't be woken.
    #[error("{0}")]
    Wake(std::io::Error),
    /// The tool rejected the command with this answer.
    #[error("{0}")]
    Rejected(String),
}

/// The reason why a record can't be read.
#[derive(Debug, Error)]
#[error("line {line}: {source}")]
pub struct RecordError {
    /// Number of the first invalid line, counted from 1.
    pub line: usize,
    /// The error of the JSON parser.
    pub source: serde_json::Error,
}
