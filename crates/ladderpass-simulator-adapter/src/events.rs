//! Event lines of the simulator. Only this module maps the names that the simulator uses to the names in the code.
//!
//! Times and durations are in nanoseconds, as integers, unless the name of a field has another unit. Unknown fields are
//! ignored. serde prints the names of the structs in its errors, so the structs keep their names.

use crate::errors::{EventError, EventProblem};
use ladderpass_routing::{AttemptOutcome, EndpointState, Role};
use serde::Deserialize;
use serde_json::Value;
use std::borrow::Cow;

/// The kinds of event lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// The line sets the time of the events that follow the line.
    SetTime,
    /// The batch of events is complete.
    EndOfBatch,
    /// The line contains an endpoint list with a number. Endpoint updates refer to the list by this number.
    EndpointList,
    /// A router starts.
    StartRouter,
    /// A router stops.
    StopRouter,
    /// An RPC arrives.
    Arrival,
    /// An attempt has ended.
    AttemptEnded,
    /// The head of a streamed answer has arrived. The event is ignored, because no method streams its answers.
    AnswerHead,
    /// A client has given up on its RPC.
    Abandoned,
    /// A health check has ended.
    HealthCheckEnded,
    /// A router receives an update of its endpoint list.
    EndpointUpdate,
    /// A timer has fired.
    TimerFired,
    /// A gossip message has arrived.
    Gossip,
}

impl EventKind {
    /// Returns the kind with this name on the wire.
    pub fn parse(text: &str) -> Option<EventKind> {
        Some(match text {
            "TICK" => EventKind::SetTime,
            "END" => EventKind::EndOfBatch,
            "ROSTER" => EventKind::EndpointList,
            "CREATE" => EventKind::StartRouter,
            "DETACH" => EventKind::StopRouter,
            "ASK" => EventKind::Arrival,
            "VERDICT" => EventKind::AttemptEnded,
            "HEAD_RECEIVED" => EventKind::AnswerHead,
            "LAPSED" => EventKind::Abandoned,
            "PROBE_DONE" => EventKind::HealthCheckEnded,
            "FLEET" => EventKind::EndpointUpdate,
            "TICK_DUE" => EventKind::TimerFired,
            "WHISPER" => EventKind::Gossip,
            _ => return None,
        })
    }
}

/// An event line of any kind. Each kind of line uses some of these fields.
#[derive(Deserialize)]
pub struct Line<'a> {
    /// The name of the kind, which [`EventKind::parse`] reads.
    #[serde(borrow)]
    pub kind: Cow<'a, str>,
    /// The time of the events that follow this line, in nanoseconds.
    #[serde(rename = "AtTime")]
    pub time: Option<i64>,
    /// The name of the router to which the event belongs.
    #[serde(rename = "Who", borrow)]
    pub router: Option<Cow<'a, str>>,
    /// The seed of the router's random numbers.
    #[serde(rename = "Salt")]
    pub seed: Option<Value>,
    /// The settings of the deployment.
    #[serde(rename = "Info")]
    pub settings: Option<Value>,
    /// The number of an endpoint list.
    #[serde(rename = "Buffer")]
    pub list_number: Option<u32>,
    /// The endpoints (members) of an endpoint list.
    #[serde(rename = "Entries", borrow)]
    pub endpoints: Option<Vec<ListLine<'a>>>,
    /// The kind of an endpoint update: the complete list, changes, a cached list, or a failure of discovery.
    #[serde(rename = "How", borrow)]
    pub update_kind: Option<Cow<'a, str>>,
    /// The id on the wire of the RPC to which the event belongs.
    #[serde(rename = "RequestId", borrow)]
    pub request_id: Option<Cow<'a, str>>,
    /// The name of the method of the RPC that arrives.
    #[serde(rename = "Service", borrow)]
    pub method: Option<Cow<'a, str>>,
    /// Whether the RPC that arrives is a retry by the client.
    #[serde(rename = "Resent", default)]
    pub is_client_retry: Option<bool>,
    /// The age of the last write of the RPC's session, in milliseconds.
    #[serde(rename = "TokenMs")]
    pub last_write_age_ms: Option<f64>,
    /// The time at which the client gives up on the RPC that arrives, in nanoseconds.
    #[serde(rename = "Due")]
    pub deadline: Option<i64>,
    /// The key of the session of the RPC.
    #[serde(rename = "Key", borrow)]
    pub session: Option<Cow<'a, str>>,
    /// The number of the group to which the RPC is sent.
    #[serde(rename = "Cluster")]
    pub group: Option<f64>,
    /// The number of the attempt that has ended.
    #[serde(rename = "Attempt")]
    pub attempt: Option<u32>,
    /// The name of the member.
    #[serde(rename = "Node", borrow)]
    pub member: Option<Cow<'a, str>>,
    /// The outcome of an attempt or a health check, which [`parse_outcome`] reads.
    #[serde(rename = "StateCode", borrow)]
    pub outcome: Option<Cow<'a, str>>,
    /// The time that an attempt or a health check took, in nanoseconds.
    #[serde(rename = "Elapsed")]
    pub latency: Option<i64>,
    /// Whether the RPC of the ended attempt is complete, so that the client has its answer.
    #[serde(rename = "Complete", default)]
    pub is_complete: Option<bool>,
    /// What an answer reports about the member, which [`MemberNote`] reads.
    #[serde(rename = "Note")]
    pub member_note: Option<i64>,
    /// The values of a load report, in the order in which the settings list the report's columns.
    #[serde(rename = "Pressure")]
    pub load_report: Option<Vec<Option<f64>>>,
    /// The text of a gossip message.
    #[serde(rename = "Payload", borrow)]
    pub payload: Option<Cow<'a, str>>,
    /// The handle that the router gave the timer when it set the timer.
    #[serde(rename = "Handle")]
    pub timer_handle: Option<i64>,
}

/// A member in an endpoint list.
#[derive(Clone, Deserialize)]
pub struct ListLine<'a> {
    /// The name of the member.
    #[serde(rename = "Node", borrow)]
    pub member: Cow<'a, str>,
    /// The kind of the member's machine.
    #[serde(rename = "ClassOfHost", borrow, default)]
    pub machine_kind: Cow<'a, str>,
    /// The member's zone.
    #[serde(rename = "Site", borrow, default)]
    pub zone: Cow<'a, str>,
    /// Whether the list names the member as the primary, as a number: yes from 0.5 on.
    #[serde(rename = "IsPrimary", default)]
    pub primary: Option<f64>,
    /// The member's weight.
    #[serde(rename = "Size", default)]
    pub weight: Option<f64>,
    /// The number of the member's group.
    #[serde(rename = "Shard")]
    pub group: f64,
    /// The member's state, which [`parse_endpoint_state`] reads.
    #[serde(rename = "StageState", borrow)]
    pub state: Cow<'a, str>,
    /// The time at which the member started, or zero if the time is unknown.
    #[serde(rename = "Born", default)]
    pub started_at: Option<i64>,
}

impl ListLine<'_> {
    /// Copies the texts that the entry borrows from a line, so that the entry can outlive the line.
    pub fn into_owned(self) -> ListLine<'static> {
        let into_static = |text: Cow<str>| Cow::Owned(text.into_owned());
        ListLine {
            member: into_static(self.member),
            machine_kind: into_static(self.machine_kind),
            zone: into_static(self.zone),
            primary: self.primary,
            weight: self.weight,
            group: self.group,
            state: into_static(self.state),
            started_at: self.started_at,
        }
    }
}

/// What an answer reports about the member that sent it. The lowest two bits are the role, and the bits above them are
/// the replication position in milliseconds.
#[derive(Clone, Copy)]
pub struct MemberNote(i64);

impl MemberNote {
    /// Reads the field `Note`, which says what an answer reports about the member. Returns `None` if the number is
    /// absent or negative.
    pub fn parse(note: Option<i64>) -> Option<MemberNote> {
        note.filter(|&note| note >= 0).map(MemberNote)
    }

    /// Returns the member's role, or `None` if the answer does not report the role.
    pub fn role(self) -> Option<Role> {
        match self.0 % 4 {
            1 => Some(Role::Primary),
            2 => Some(Role::Replica),
            _ => None,
        }
    }

    /// Returns the member's replication position in milliseconds, which is zero if the answer reports none.
    pub fn position_ms(self) -> i64 {
        self.0 / 4
    }
}

/// Parses an event line.
pub fn parse_line(text: &str) -> Result<Line<'_>, EventError> {
    serde_json::from_str(text).map_err(|error| {
        let line = serde_json::from_str::<Value>(text).ok();
        let kind = line.as_ref().and_then(|line| line.get("kind")).and_then(Value::as_str);
        EventError {
            kind: kind.unwrap_or("line without a kind").to_owned(),
            problem: EventProblem::Malformed(error),
        }
    })
}

/// Parses the outcome of an attempt or a health check.
pub fn parse_outcome(text: &str) -> Result<AttemptOutcome, EventProblem> {
    Ok(match text {
        "success" => AttemptOutcome::Ok,
        "failure" => AttemptOutcome::Failed,
        "overloaded" => AttemptOutcome::Rejected,
        "timed_out" => AttemptOutcome::TimedOut,
        "unreachable" => AttemptOutcome::Unreachable,
        "broken" => AttemptOutcome::ConnectionLost,
        "withdrawn" => AttemptOutcome::Cancelled,
        "void" => AttemptOutcome::NeverSent,
        "absent" => AttemptOutcome::NotServedHere,
        other => return Err(EventProblem::UnknownValue { field: "StateCode", value: other.to_owned() }),
    })
}

/// Parses the state of a member in an endpoint list.
pub fn parse_endpoint_state(text: &str) -> Result<EndpointState, EventProblem> {
    match text {
        "on" => Ok(EndpointState::Active),
        "fading" => Ok(EndpointState::Draining),
        "off" => Ok(EndpointState::Removed),
        other => Err(EventProblem::UnknownValue { field: "StageState", value: other.to_owned() }),
    }
}
