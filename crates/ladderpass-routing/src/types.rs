//! What crosses the router's public calls: the deployment, RPCs and their outcomes, decisions, and what routers and
//! members report. Nothing here decides.

pub use crate::attempt_outcome::AttemptOutcome;
use crate::reasons::Exceptions;
use crate::time::{Span, Time};

/// A member of a group, by the small index that the front gave its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u32);

/// Handle of an RPC that was accepted. What happens to it later is a call on this handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RpcId {
    pub(crate) slot: u32,
    pub(crate) generation: u32,
}

/// How recent the data behind an answer must be, and which members may serve it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Any data, unless its member is known to lag by 30 s or more.
    Any,
    /// Not older than this when the attempt is sent.
    BoundedStaleness(Span),
    /// All that the session has written.
    Session,
    /// All that was committed before the RPC arrived: served by the primary alone.
    Fresh,
    /// A write: served by the primary alone.
    Write,
}

impl Consistency {
    /// May the primary of the group serve it, and no other member?
    pub fn primary_only(self) -> bool {
        matches!(self, Consistency::Fresh | Consistency::Write)
    }

    /// The staleness bound, where there is one.
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
    /// The same as running it once.
    Idempotent,
    /// Members recognise repeats and drop them.
    IdempotencyKey {
        /// Repeats are recognised by every member of every group, else by those of the RPC's own group.
        across_groups: bool,
        /// For how long after the first send that may have run.
        window: Span,
    },
    /// Its effect would happen twice.
    NonIdempotent,
}

/// A method of the deployment.
#[derive(Clone, Debug)]
pub struct Method {
    /// How recent the data behind its answers must be.
    pub consistency: Consistency,
    /// What a retry would do.
    pub idempotency: Idempotency,
    /// An answer after this has less utility, or none.
    pub soft_deadline: Span,
    /// The utility of an answer before the soft deadline.
    pub utility: f64,
    /// Share of the utility that an answer after the soft deadline still has.
    pub late_utility_share: f64,
}

/// How the endpoint list names the primary of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryInList {
    /// At any time, though late.
    Delayed,
    /// As it was when the router started.
    AtStart,
    /// Not at all.
    Absent,
}

/// What a router is given at its start.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The methods; an arrival names one by its index.
    pub methods: Vec<Method>,
    /// How the endpoint list names primaries.
    pub primary_in_list: PrimaryInList,
    /// Clients say, with each session read, how long ago the session's last write was.
    pub session_write_age_carried: bool,
    /// How often the endpoint list has to be polled at the least; none where updates come without polls.
    pub endpoint_poll_interval: Option<Span>,
    /// Members may be health-checked.
    pub health_checks: bool,
    /// A health check's answer reports a position and the role, not liveness alone.
    pub health_checks_report_position: bool,
    /// How many routers there are.
    pub router_count: u32,
    /// Which of them this is, from 0.
    pub router_index: u32,
    /// Routers may exchange what members reported to them.
    pub gossip: bool,
    /// Most attempts of one RPC: 1 allows no retry.
    pub max_attempts: u32,
    /// The longest Retry-After.
    pub max_retry_after: Span,
    /// Least time between two batches of events, and so the margin for what is decided between them.
    pub tick: Span,
    /// Share of its capacity that a member has at its start.
    pub slow_start_capacity: f64,
    /// How long a member takes to reach its full capacity.
    pub slow_start_duration: Span,
    /// The window in which a member warming up must not get more than its capacity.
    pub overload_window: Span,
    /// A member warming up can take this multiple of its present capacity over that window.
    pub overload_multiple: f64,
    /// Only an entry that says `Draining` binds; a member that left the list may still be sent RPCs.
    pub removal_is_advisory: bool,
}

impl Deployment {
    /// Does a health check by one router save the others theirs?
    pub fn shares_health_checks(&self) -> bool {
        self.gossip && self.health_checks_report_position
    }
}

/// The state of a member by the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It serves.
    Active,
    /// It finishes what it has, and gets nothing new.
    Draining,
    /// It is not on the list any more.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The member.
    pub member: MemberId,
    /// Its group, by index.
    pub group: u32,
    /// The list calls it the primary.
    pub primary: bool,
    /// Its state.
    pub state: EndpointState,
    /// When it started, if the list says so.
    pub started_at: Option<Time>,
    /// Kind of machine, by the small index that the front gave it.
    pub machine_kind: u32,
    /// RPCs that it works on at once without slowing them, where the list says so.
    pub concurrency: Option<f64>,
    /// Its zone, by the small index that the front gave it; zero is the router's own.
    pub zone: u32,
    /// A number by which all routers know it.
    pub id_hash: u32,
}

/// An update of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub enum EndpointUpdate<'a> {
    /// The whole list as this router last had it, before its start or before it polls another service; it may be
    /// stale.
    Cached(&'a [Endpoint]),
    /// The whole list.
    Complete(&'a [Endpoint]),
    /// The entries that have changed.
    Changes(&'a [Endpoint]),
    /// Changes from the service of before, while another one is polled: they don't stand for its answer.
    ChangesDuringMove(&'a [Endpoint]),
    /// A poll failed, or the watch broke.
    Failed {
        /// Is the list polled again at once, rather than after a backoff? Changes that were missed count as received
        /// soon, as when a watch fell silent, moved to another address, or brought an older list.
        poll_immediately: bool,
    },
}

/// How many priorities there are.
pub const PRIORITY_COUNT: usize = 256;

/// An overload for which RPCs are shed: the router's own, or that of all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadState {
    /// From 0, no overload, to 1.
    pub pressure: f64,
    /// RPCs of a priority below this are shed; the fraction is the share of that priority which is.
    pub admission_threshold: f64,
    /// What an RPC of this method costs the router, in seconds.
    pub cost_secs: f64,
    /// Its connection takes far more than a fair share.
    pub exceeds_fair_share: bool,
    /// How long arrivals wait for the router.
    pub queueing_delay: Span,
}

/// An RPC that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Index of its method.
    pub method: u32,
    /// Index of its group.
    pub group: u32,
    /// When the client gives up.
    pub deadline: Time,
    /// The client has marked it as a retry.
    pub is_client_retry: bool,
    /// Its session, if it has one.
    pub session: Option<u32>,
    /// Age of the session's last write, where the client says so.
    pub last_write_age: Option<Span>,
    /// The router's own overload; none where it is not measured.
    pub router_overload: Option<OverloadState>,
    /// The overload of all routers together; none where they don't exchange it.
    pub fleet_overload: Option<OverloadState>,
    /// Drawn for its session, alike by all routers, from 0 to 1: the smaller, the sooner it is shed.
    pub admission_draw: Option<f64>,
}

/// A member's role in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes the writes.
    Primary,
    /// It follows the primary.
    Replica,
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// Where it was made.
    pub member: MemberId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time from its send to its end.
    pub latency: Span,
    /// The RPC has its final answer, by this outcome or before it.
    pub rpc_complete: bool,
    /// The retry budget does not allow a retry, or the client has cancelled the RPC, or it can't be seen whether it is
    /// still there.
    pub retry_denied: bool,
    /// The role that the member showed, if any.
    pub role: Option<Role>,
    /// A proven position of the member; for a write that succeeded, its commit.
    pub position: Option<Time>,
}

/// What a member reports of itself in a health check.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The position that it has reached.
    pub position: Option<Time>,
    /// Is it the primary?
    pub is_primary: Option<bool>,
    /// RPCs in flight there.
    pub in_flight: Option<f64>,
}

/// What a router saw of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberObservation {
    /// It showed to be a replica.
    Replica,
    /// It showed to be the primary.
    Primary,
    /// The router could not reach it.
    Unreachable,
}

/// What one router passes on to the others about a member.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberUpdate {
    /// The member.
    pub member: MemberId,
    /// What was seen of it.
    pub observation: MemberObservation,
    /// A replica's position; else when a primary showed to be one, or a member could not be reached.
    pub at: Time,
    /// The sender is in the zone of the router that receives this.
    pub same_zone: bool,
    /// Its answer time over the typical one, as the sender measured it; zero where unknown.
    pub latency_ratio: f64,
    /// RPCs in flight there, by its load report.
    pub in_flight: Option<f64>,
}

impl MemberUpdate {
    /// An update from the same zone, without the member's load.
    pub fn new(member: MemberId, observation: MemberObservation, at: Time) -> MemberUpdate {
        MemberUpdate { member, observation, at, same_zone: true, latency_ratio: 0.0, in_flight: None }
    }
}

/// What to do with an RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to a member.
    Attempt {
        /// The member.
        member: MemberId,
        /// How long to wait for the answer; none: as long as the client does.
        timeout: Option<Span>,
    },
    /// Keep it: [`Router::tick`](crate::Router::tick) will decide, or the outcome of the attempt in flight.
    Queue,
    /// Final: a retry by the client does no harm.
    Reject {
        /// How long the client is to wait before it retries.
        retry_after: Span,
    },
    /// Final: it failed, and may have had an effect.
    Fail,
    /// Nothing is left to decide: it has its final answer, or its client has cancelled it and gets one from the front.
    AlreadyAnswered,
}

/// What [`Router::tick`](crate::Router::tick) asks of the front.
#[derive(Debug, Default)]
pub struct TickOutput {
    /// Decisions on RPCs that were queued.
    pub decisions: Vec<(RpcId, Decision)>,
    /// Members to check.
    pub health_checks: Vec<MemberId>,
    /// Updates for all other routers.
    pub gossip: Vec<MemberUpdate>,
    /// Poll the endpoint list, and watch its changes.
    pub poll_endpoints: bool,
    /// Lines for the log; `#N` stands for the member of that index.
    pub log_messages: Vec<String>,
    /// RPCs that did not go by the ordinary path, and why.
    pub exceptions: Exceptions,
    /// Members that are retired: each index may be given to another.
    pub retired_members: Vec<MemberId>,
    /// When to call `tick` again, if nothing happens before.
    pub wake_at: Option<Time>,
}

/// The newest position that a member has proven, and its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownPosition {
    /// Up to where it has applied its group's log.
    pub position: Time,
    /// This router knows it as its group's primary.
    pub is_primary: bool,
}

/// The load of a member, as this router alone sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberLoad {
    /// The member.
    pub member: MemberId,
    /// The number by which all routers know it.
    pub id_hash: u32,
    /// Index of its group.
    pub group: u32,
    /// Answer time over the typical one.
    pub latency_ratio: f64,
    /// Attempts of this router in flight there.
    pub in_flight: f64,
    /// Of the attempts that ended within the last second, the share that it rejected or failed.
    pub failure_share: f64,
}
