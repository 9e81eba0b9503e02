//! The types at the door of the decision module. Nothing here decides.

use crate::reasons::Exceptions;
use crate::time::{Span, Time};

/// A member of a group, by the small index that the front gave its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u32);

/// Handle of an RPC that was taken. What happens to it later is a call on this handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RpcId {
    pub(crate) slot: u32,
    pub(crate) generation: u32,
}

/// How recent the data behind an answer must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    Any,
    /// Not older than this when the call-out is sent.
    BoundedStaleness(Span),
    /// All that the session has written.
    Session,
    /// All that was committed before the RPC arrived.
    Fresh,
    /// Taken by the primary alone.
    Write,
}

impl Consistency {
    /// Is it for the primary of its group, and no other member?
    pub fn primary_only(self) -> bool {
        matches!(self, Consistency::Fresh | Consistency::Write)
    }

    pub fn max_staleness(self) -> Option<Span> {
        match self {
            Consistency::BoundedStaleness(bound) => Some(bound),
            _ => None,
        }
    }
}

/// What running an RPC twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    /// Repeats are known and dropped for `window` after the first send that may have run;
    /// `anywhere`: by every member of every group, else by the members of its own group.
    IdempotencyKey {
        across_groups: bool,
        window: Span,
    },
    NonIdempotent,
}

/// One row a method.
#[derive(Clone, Debug)]
pub struct Method {
    pub consistency: Consistency,
    pub idempotency: Idempotency,
    pub soft_deadline: Span,
    pub utility: f64,
    /// Share of the utility that an answer after the soft deadline still earns.
    pub late_utility_share: f64,
}

/// How the list names the primary of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryInList {
    Delayed,
    AtStart,
    Absent,
}

/// What a router is handed at start.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub methods: Vec<Method>,
    pub primary_in_list: PrimaryInList,
    /// Session reads say themselves how old the session's last write is.
    pub session_write_age_carried: bool,
    /// The list comes only when it is asked for.
    pub endpoint_poll_interval: Option<Span>,
    pub health_checks: bool,
    /// A probe's answer tells a position and the role, not life alone.
    pub health_checks_report_position: bool,
    /// How many there are of this one's kind, and which of them this is.
    pub router_count: u32,
    pub router_index: u32,
    /// Routers may tell each other what they were told.
    pub gossip: bool,
    pub max_attempts: u32,
    pub max_retry_after: Span,
    /// Least time between two batches of events.
    pub tick: Span,
    pub slow_start_capacity: f64,
    pub slow_start_duration: Span,
    pub overload_window: Span,
    /// A cold member bears this multiple of its present capacity for that time.
    pub overload_multiple: f64,
    /// Only an entry that says `Fading` binds; a member that left the list may still be called.
    pub removal_is_advisory: bool,
}

impl Deployment {
    /// A probe by one router saves the others theirs.
    pub fn shares_health_checks(&self) -> bool {
        self.gossip && self.health_checks_report_position
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    Active,
    Draining,
    Removed,
}

/// A member as the list tells it.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    pub member: MemberId,
    pub group: u32,
    pub primary: bool,
    pub state: EndpointState,
    pub started_at: Option<Time>,
    /// Kind of machine, by the small index that the front gave it.
    pub machine_kind: u32,
    /// RPCs that it works on at once without slowing them, where the list tells.
    pub concurrency: Option<f64>,
    /// Its zone, likewise; zero is the router's own.
    pub zone: u32,
    /// A number by which all routers know it.
    pub id_hash: u32,
}

#[derive(Clone, Copy, Debug)]
pub enum EndpointUpdate<'a> {
    /// The whole list as this router last held it, before its start or before it asks another; it may be stale.
    Cached(&'a [Endpoint]),
    Complete(&'a [Endpoint]),
    Changes(&'a [Endpoint]),
    /// Changes from the list of before, while another is being asked for: they don't stand for its answer.
    ChangesDuringMove(&'a [Endpoint]),
    /// A call for the list failed, or the subscription broke. `silent`: nobody said so; what it misses counts as told soon.
    Failed {
        silent: bool,
    },
}

/// How many ranks there are.
pub const PRIORITY_COUNT: usize = 256;

/// The front's own state, when it is pressed for what its process has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadState {
    /// From 0, calm, to 1.
    pub pressure: f64,
    /// What ranks below this is refused; the fraction is the part of that rank which is.
    pub admission_threshold: f64,
    /// What an RPC of this method costs the front, in seconds.
    pub cost_secs: f64,
    /// Its connection takes far more than a fair share.
    pub exceeds_fair_share: bool,
    /// How long what has come waits for the front.
    pub queueing_delay: Span,
}

#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub method: u32,
    pub group: u32,
    /// When the client gives this try up.
    pub deadline: Time,
    /// The client said that this is a repeat.
    pub is_client_retry: bool,
    pub session: Option<u32>,
    /// Age of the session's last write, where it is carried.
    pub last_write_age: Option<Span>,
    /// None: the front does not watch itself.
    pub router_overload: Option<OverloadState>,
    /// What all routers together refuse; None: they don't tell each other.
    pub fleet_overload: Option<OverloadState>,
    /// Drawn for its session by all routers alike, from 0 to 1: the smaller, the sooner it is refused.
    pub admission_draw: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Primary,
    Replica,
}

/// How a call-out or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Ok,
    /// Answered with an error; it may have had an effect.
    Failed,
    /// Turned away unseen: full, or fading.
    Rejected,
    TimedOut,
    /// No connection could be made; it never ran.
    Unreachable,
    ConnectionLost,
    Cancelled,
    /// Never sent.
    NeverSent,
    /// Turned away without effect: not the primary, or too far behind.
    NotServedHere,
    /// Never sent: its connection was up too late for the decision to hold. It tells nothing of the member, and is no
    /// attempt.
    DecisionExpired,
}

impl AttemptOutcome {
    /// How many ways to end there are.
    pub const COUNT: usize = AttemptOutcome::DecisionExpired as usize + 1;

    /// It proves that the RPC never ran.
    pub fn never_ran(self) -> bool {
        use AttemptOutcome::{DecisionExpired, NeverSent, NotServedHere, Rejected, Unreachable};
        matches!(self, NeverSent | Unreachable | Rejected | NotServedHere | DecisionExpired)
    }
}

#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    pub member: MemberId,
    pub outcome: AttemptOutcome,
    pub latency: Span,
    /// The RPC has its final answer, by this outcome or before it.
    pub rpc_complete: bool,
    /// A further call-out of this RPC is more than all routers may spend.
    pub retry_denied: bool,
    pub role: Option<Role>,
    /// A proven position of the member; for a write that went through, its commit.
    pub position: Option<Time>,
}

/// What a member says of itself when probed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    pub position: Option<Time>,
    pub is_primary: Option<bool>,
    /// RPCs that it holds.
    pub in_flight: Option<f64>,
}

/// What one router passes on to the others: what a member told it, or that it is out of its reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberObservation {
    Replica,
    Primary,
    Unreachable,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberUpdate {
    pub member: MemberId,
    pub observation: MemberObservation,
    /// A position of a replica; when a primary was shown to be one, or a member was lost.
    pub at: Time,
    /// Its teller is in the zone of the router that hears it.
    pub same_zone: bool,
    /// Its answer time over the usual one, as its teller met it; zero: not known.
    pub latency_ratio: f64,
    /// RPCs that it holds, by its report.
    pub in_flight: Option<f64>,
}

impl MemberUpdate {
    pub fn new(member: MemberId, word: MemberObservation, at: Time) -> MemberUpdate {
        MemberUpdate { member, observation: word, at, same_zone: true, latency_ratio: 0.0, in_flight: None }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to this member; None: no limit but the client's own.
    Attempt { member: MemberId, timeout: Option<Span> },
    /// Keep it; `Router::tend` will decide, or the outcome of the call-out that is out.
    Queue,
    /// Final: a further try is harmless, after this long.
    Reject { retry_after: Span },
    /// Final: failed, and nothing is said of its effect.
    Fail,
    /// It has its final answer already.
    AlreadyAnswered,
}

/// What `Router::tend` asks of the front.
#[derive(Debug, Default)]
pub struct TickOutput {
    pub decisions: Vec<(RpcId, Decision)>,
    pub health_checks: Vec<MemberId>,
    /// For all other routers of this one's kind.
    pub gossip: Vec<MemberUpdate>,
    /// Ask for the list, and to be told of its changes.
    pub poll_endpoints: bool,
    pub log_messages: Vec<String>,
    /// What did not go by the ordinary path, and why.
    pub exceptions: Exceptions,
    /// Members that are known no more: an index among these may be given to another.
    pub retired_members: Vec<MemberId>,
    pub wake_at: Option<Time>,
}

/// What a router sees of a member by itself: answer time over the usual one, and RPCs in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberLoad {
    pub member: MemberId,
    pub id_hash: u32,
    pub group: u32,
    pub latency_ratio: f64,
    pub in_flight: f64,
    /// Of what it ended lately, the part that it refused or failed.
    pub failure_share: f64,
}
