//! Errors of event lines. Each error names the kind of the line and what is wrong with the line. A line with an error
//! causes no event in the routing core.

use ladderpass_config::SettingsError;

/// An event line that can't be used.
#[derive(Debug, thiserror::Error)]
#[error("{kind}: {problem}")]
pub struct EventError {
    /// The kind of the line, or a placeholder if the kind can't be read.
    pub kind: String,
    /// What is wrong with the line.
    pub problem: EventProblem,
}

/// What is wrong with an event line. The messages use the names of the fields on the wire.
#[derive(Debug, thiserror::Error)]
pub enum EventProblem {
    /// The line is not JSON, a field has a wrong type, or a field is missing that every line or every endpoint must
    /// have.
    #[error("malformed line: {0}")]
    Malformed(serde_json::Error),
    /// A field that this kind of line requires is missing.
    #[error("{0} is missing")]
    MissingField(&'static str),
    /// No earlier line has set the time.
    #[error("no TICK before this")]
    NoTime,
    /// The protocol has no event of the kind that the line names.
    #[error("unknown kind; line ignored")]
    UnknownKind,
    /// No running router has the name in the line.
    #[error("{0} has no CREATE before this")]
    UnknownRouter(String),
    /// The seed is not an integer.
    #[error("Salt is not a whole number")]
    SeedNotInteger,
    /// The settings of the deployment can't be used.
    #[error("Info: {0}")]
    Settings(#[from] SettingsError),
    /// The router has received no endpoint list with this member.
    #[error("unknown Node {0:?}")]
    UnknownMember(String),
    /// The settings have no method with the name in the line.
    #[error("unknown Service {0:?}")]
    UnknownMethod(String),
    /// An RPC arrives with the id of an active RPC, which is one that is not answered yet or has attempts in flight.
    #[error("RequestId {0:?} is already active")]
    DuplicateRequest(String),
    /// No active RPC, which is one that is not answered yet or has attempts in flight, has the id in the line.
    #[error("unknown RequestId {0:?}")]
    UnknownRequest(String),
    /// An attempt ends, but the RPC has no attempt in flight.
    #[error("RequestId {0:?} has no attempt in flight")]
    NoAttemptInFlight(String),
    /// No endpoint list was sent with the number in the line.
    #[error("no ROSTER {0} before this")]
    UnknownList(u32),
    /// A field has none of the values that the protocol allows.
    #[error("unknown {field} {value:?}")]
    UnknownValue {
        /// The name of the field on the wire.
        field: &'static str,
        /// The value that the field has.
        value: String,
    },
}

/// Returns the value of a required field, or an error if the field is missing.
pub fn require<T>(value: Option<T>, field: &'static str) -> Result<T, EventProblem> {
    value.ok_or(EventProblem::MissingField(field))
}
