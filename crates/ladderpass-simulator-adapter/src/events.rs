//! Event lines of the simulator: its words, mapped here and nowhere else onto the terms of the field.
//!
//! Times and durations are whole nanoseconds where a name has no other unit. Unknown fields are ignored. serde prints the
//! names of the structs in its errors, so they stay.

use crate::errors::{EventError, EventProblem};
use ladderpass_routing::{AttemptOutcome, EndpointState, Role};
use serde::Deserialize;
use serde_json::Value;
use std::borrow::Cow;

/// The kinds of event lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// The time of the events that follow.
    SetTime,
    /// The batch is complete.
    EndOfBatch,
    /// An endpoint list, which updates refer to by its number.
    EndpointList,
    /// A router starts.
    StartRouter,
    /// A router ends.
    StopRouter,
    /// An RPC arrives.
    Arrival,
    /// An attempt has ended.
    AttemptEnded,
    /// The head of a streamed answer has come; no method here streams.
    AnswerHead,
    /// The client has given up on its RPC.
    Abandoned,
    /// A health check has ended.
    HealthCheckEnded,
    /// A router gets an update of its endpoint list.
    EndpointUpdate,
    /// A timer has fired.
    TimerFired,
    /// A gossip message has come.
    Gossip,
}

impl EventKind {
    /// The kind by its word on the wire.
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

/// An event line of any kind; each kind has some of the fields.
#[derive(Deserialize)]
pub struct Line<'a> {
    /// The kind's word, as [`EventKind::parse`] takes it.
    #[serde(borrow)]
    pub kind: Cow<'a, str>,
    /// The time from now on.
    #[serde(rename = "AtTime")]
    pub time: Option<i64>,
    /// Name of the router that the event is for.
    #[serde(rename = "Who", borrow)]
    pub router: Option<Cow<'a, str>>,
    /// Seed of the router's random numbers.
    #[serde(rename = "Salt")]
    pub seed: Option<Value>,
    /// Settings of the deployment.
    #[serde(rename = "Info")]
    pub settings: Option<Value>,
    /// Number of an endpoint list.
    #[serde(rename = "Buffer")]
    pub list_number: Option<u32>,
    /// The endpoints of a list.
    #[serde(rename = "Entries", borrow)]
    pub endpoints: Option<Vec<ListLine<'a>>>,
    /// What an endpoint update is: all of the list, changes, or a cached list; or that discovery failed.
    #[serde(rename = "How", borrow)]
    pub update_kind: Option<Cow<'a, str>>,
    /// Id of the RPC.
    #[serde(rename = "RequestId", borrow)]
    pub request_id: Option<Cow<'a, str>>,
    /// Name of the RPC's method.
    #[serde(rename = "Service", borrow)]
    pub method: Option<Cow<'a, str>>,
    /// The client sends the RPC once more.
    #[serde(rename = "Resent", default)]
    pub is_client_retry: Option<bool>,
    /// Age of the session's last write, in milliseconds.
    #[serde(rename = "TokenMs")]
    pub last_write_age_ms: Option<f64>,
    /// When the client gives up.
    #[serde(rename = "Due")]
    pub deadline: Option<i64>,
    /// The session's key.
    #[serde(rename = "Key", borrow)]
    pub session: Option<Cow<'a, str>>,
    /// Number of the group that the RPC is for.
    #[serde(rename = "Cluster")]
    pub group: Option<f64>,
    /// Number of the attempt.
    #[serde(rename = "Attempt")]
    pub attempt: Option<u32>,
    /// Name of the member.
    #[serde(rename = "Node", borrow)]
    pub member: Option<Cow<'a, str>>,
    /// How an attempt or a health check ended, as [`parse_outcome`] takes it.
    #[serde(rename = "StateCode", borrow)]
    pub outcome: Option<Cow<'a, str>>,
    /// How long an attempt or a health check took.
    #[serde(rename = "Elapsed")]
    pub latency: Option<i64>,
    /// The client has its answer.
    #[serde(rename = "Complete", default)]
    pub is_complete: Option<bool>,
    /// What an answer says of the member, as [`MemberNote`] takes it.
    #[serde(rename = "Note")]
    pub member_note: Option<i64>,
    /// The values of a load report, in the order of the settings' columns.
    #[serde(rename = "Pressure")]
    pub load_report: Option<Vec<Option<f64>>>,
    /// Text of a gossip message.
    #[serde(rename = "Payload", borrow)]
    pub payload: Option<Cow<'a, str>>,
    /// The timer's handle.
    #[serde(rename = "Handle")]
    pub timer_handle: Option<i64>,
}

/// A member in an endpoint list.
#[derive(Clone, Deserialize)]
pub struct ListLine<'a> {
    /// Name of the member.
    #[serde(rename = "Node", borrow)]
    pub member: Cow<'a, str>,
    /// Kind of its machine.
    #[serde(rename = "ClassOfHost", borrow, default)]
    pub machine_kind: Cow<'a, str>,
    /// Its zone.
    #[serde(rename = "Site", borrow, default)]
    pub zone: Cow<'a, str>,
    /// From 0.5 on the member is listed as the primary.
    #[serde(rename = "IsPrimary", default)]
    pub primary: Option<f64>,
    /// Its weight.
    #[serde(rename = "Size", default)]
    pub weight: Option<f64>,
    /// Number of its group.
    #[serde(rename = "Shard")]
    pub group: f64,
    /// Its state, as [`parse_endpoint_state`] takes it.
    #[serde(rename = "StageState", borrow)]
    pub state: Cow<'a, str>,
    /// When it started; zero where that is not known.
    #[serde(rename = "Born", default)]
    pub started_at: Option<i64>,
}

impl ListLine<'_> {
    /// The same, for longer than the text that it was read from.
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

/// What an answer says of the member that gave it: the role in the lowest two bits, above them the replication position
/// in milliseconds.
#[derive(Clone, Copy)]
pub struct MemberNote(i64);

impl MemberNote {
    /// The note of a line; none where it is negative.
    pub fn parse(note: Option<i64>) -> Option<MemberNote> {
        note.filter(|&note| note >= 0).map(MemberNote)
    }

    /// The member's role, where the answer names it.
    pub fn role(self) -> Option<Role> {
        match self.0 % 4 {
            1 => Some(Role::Primary),
            2 => Some(Role::Replica),
            _ => None,
        }
    }

    /// The replication position in milliseconds; zero also where the member reports none.
    pub fn position_ms(self) -> i64 {
        self.0 / 4
    }
}

/// Reads an event line.
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

/// How an attempt or a health check ended, by its word on the wire.
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

/// The state of a member in an endpoint list, by its word on the wire.
pub fn parse_endpoint_state(text: &str) -> Result<EndpointState, EventProblem> {
    match text {
        "on" => Ok(EndpointState::Active),
        "fading" => Ok(EndpointState::Draining),
        "off" => Ok(EndpointState::Removed),
        other => Err(EventProblem::UnknownValue { field: "StageState", value: other.to_owned() }),
    }
}
