//! Errors of event lines: the line's kind, and what is wrong with it. A wrong line changes nothing.

use ladderpass_config::SettingsError;

/// An event line that can't be used.
#[derive(Debug, thiserror::Error)]
#[error("{kind}: {problem}")]
pub struct EventError {
    /// The line's kind, as far as it could be read.
    pub kind: String,
    /// What is wrong with the line.
    pub problem: EventProblem,
}

/// What is wrong with an event line. Fields are named as on the wire.
#[derive(Debug, thiserror::Error)]
pub enum EventProblem {
    /// The line is not JSON, or a field has another type.
    #[error("malformed line: {0}")]
    Malformed(serde_json::Error),
    /// A field that this kind needs is missing.
    #[error("{0} is missing")]
    MissingField(&'static str),
    /// No line has set the time yet.
    #[error("no TICK before this")]
    NoTime,
    /// The kind is none of the protocol's.
    #[error("unknown kind; line ignored")]
    UnknownKind,
    /// No router has this name.
    #[error("{0} has no CREATE before this")]
    UnknownRouter(String),
    /// The seed is not an integer.
    #[error("Salt is not a whole number")]
    SeedNotInteger,
    /// The settings of the deployment.
    #[error("Info: {0}")]
    Settings(#[from] SettingsError),
    /// No endpoint list had this member.
    #[error("unknown Node {0:?}")]
    UnknownMember(String),
    /// The settings name no such method.
    #[error("unknown Service {0:?}")]
    UnknownMethod(String),
    /// An RPC comes a second time.
    #[error("RequestId {0:?} is already active")]
    DuplicateRequest(String),
    /// No RPC has this id.
    #[error("unknown RequestId {0:?}")]
    UnknownRequest(String),
    /// An attempt ends that was never made.
    #[error("RequestId {0:?} has no attempt in flight")]
    NoAttemptInFlight(String),
    /// No endpoint list has this number.
    #[error("no ROSTER {0} before this")]
    UnknownList(u32),
    /// A field holds none of the protocol's words.
    #[error("unknown {field} {value:?}")]
    UnknownValue {
        /// The field.
        field: &'static str,
        /// The word that was read.
        value: String,
    },
}

/// The value of a field that must be there.
pub fn require<T>(value: Option<T>, field: &'static str) -> Result<T, EventProblem> {
    value.ok_or(EventProblem::MissingField(field))
}
