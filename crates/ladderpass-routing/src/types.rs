//! The types of the router's public calls: the deployment, RPCs and their outcomes, decisions, and the reports of
//! routers and members. This module makes no decisions.

pub use crate::attempt_outcome::AttemptOutcome;
use crate::reasons::Exceptions;
use crate::time::{Span, Time};

/// A member of a group, identified by the small index that the front assigned to the member's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u32);

/// The handle of an accepted RPC. Later events of the RPC are reported by calls on its handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RpcId {
    pub(crate) slot: u32,
    pub(crate) generation: u32,
}

/// How recent the data behind an answer must be, and which members may serve it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Data of any age will do, unless the member is known to lag by 30 s or more.
    Any,
    /// The data must be no older than this bound when the attempt is sent.
    BoundedStaleness(Span),
    /// The data must include all earlier writes of the RPC's session.
    Session,
    /// The data must include everything that was committed before the RPC arrived. Only the primary serves the RPC.
    Fresh,
    /// The RPC is a write. Only the primary of its group serves the RPC.
    Write,
}

impl Consistency {
    /// Returns whether only the primary of the group may serve the RPC.
    pub fn primary_only(self) -> bool {
        matches!(self, Consistency::Fresh | Consistency::Write)
    }

    /// Returns the staleness bound, or `None` for a consistency without one.
    pub fn max_staleness(self) -> Option<Span> {
        match self {
            Consistency::BoundedStaleness(bound) => Some(bound),
            _ => None,
        }
    }
}

/// The effect of running an RPC twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running the RPC twice has the same effect as running it once.
    Idempotent,
    /// Members recognise repeats of the RPC by an idempotency key, and drop the repeats.
    IdempotencyKey {
        /// Whether the members of all groups recognise repeats, rather than only those of the RPC's own group.
        across_groups: bool,
        /// How long members recognise repeats, counted from the send of the first attempt that may have run.
        window: Span,
    },
    /// Running the RPC twice has its effect twice.
    NonIdempotent,
}

/// A method of the deployment.
#[derive(Clone, Debug)]
pub struct Method {
    /// How recent the data behind an answer must be.
    pub consistency: Consistency,
    /// Whether running an RPC of the method twice has a second effect.
    pub idempotency: Idempotency,
    /// The time after the arrival of an RPC from which on an answer has less utility, or none.
    pub soft_deadline: Span,
    /// The utility of an answer before the soft deadline.
    pub utility: f64,
    /// The share of `utility` that an answer after the soft deadline still has.
    pub late_utility_share: f64,
}

/// How the endpoint list names the primary of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryInList {
    /// The list names the primary at any time, but with a delay.
    Delayed,
    /// The list names the member that was the primary when the router started, and no later primary.
    AtStart,
    /// The list never names the primary.
    Absent,
}

/// The settings with which a router is started.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The methods of the RPCs that the router accepts. An arrival refers to a method by its index in this list.
    pub methods: Vec<Method>,
    /// How the endpoint list names primaries.
    pub primary_in_list: PrimaryInList,
    /// Whether clients report the age of the session's last write with each session read.
    pub session_write_age_carried: bool,
    /// The longest time within which the endpoint list must be polled, or `None` where updates arrive without polls.
    pub endpoint_poll_interval: Option<Span>,
    /// Whether the router may send health checks to members.
    pub health_checks: bool,
    /// Whether the answer to a health check reports a position and the role, and not only that the member is up.
    pub health_checks_report_position: bool,
    /// The number of routers of the deployment.
    pub router_count: u32,
    /// The index of this router among all routers, from 0.
    pub router_index: u32,
    /// Whether routers may send each other what members reported to them.
    pub gossip: bool,
    /// The maximum number of attempts of one RPC. A value of 1 allows no retry.
    pub max_attempts: u32,
    /// The longest Retry-After that a client may be given.
    pub max_retry_after: Span,
    /// The shortest time between two batches of events. A decision may be carried out later by this time, so
    /// decisions are made with this time as a margin.
    pub tick: Span,
    /// The share of its capacity that a member has when it starts.
    pub slow_start_capacity: f64,
    /// The time that a member takes from its start to reach its full capacity.
    pub slow_start_duration: Span,
    /// The window over which a member in slow start must not get more RPCs than it can process.
    pub overload_window: Span,
    /// The multiple of its present capacity that a member in slow start can process during `overload_window`.
    pub overload_multiple: f64,
    /// Whether a member that is removed from the endpoint list may still be sent RPCs. If so, only an entry in the
    /// state `Draining` forbids RPCs to a member.
    pub removal_is_advisory: bool,
}

impl Deployment {
    /// Returns whether routers share the results of health checks, so that a check by one router spares the others
    /// a check.
    pub fn shares_health_checks(&self) -> bool {
        self.gossip && self.health_checks_report_position
    }
}

/// The state of a member according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The member serves RPCs.
    Active,
    /// The member finishes the RPCs that it is running, and must be sent no new RPCs.
    Draining,
    /// The member is no longer on the endpoint list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The member that the entry describes.
    pub member: MemberId,
    /// The index of the member's group.
    pub group: u32,
    /// Whether the list names the member as its group's primary.
    pub primary: bool,
    /// The state of the member.
    pub state: EndpointState,
    /// The time at which the member started, if the list reports it.
    pub started_at: Option<Time>,
    /// The member's kind of machine, identified by the small index that the front assigned to it.
    pub machine_kind: u32,
    /// The number of RPCs that the member can process at once without slowing them, if the list reports it.
    pub concurrency: Option<f64>,
    /// The member's zone, identified by the small index that the front assigned to it. Zero is the router's own zone.
    pub zone: u32,
    /// A hash of the member's id. It identifies the member at all routers, whose small indexes for the member may
    /// differ.
    pub id_hash: u32,
}

/// An update of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub enum EndpointUpdate<'a> {
    /// A whole endpoint list from before the router's start, or from the previous discovery service while another one
    /// is polled. It may be stale, and does not count as the answer to a poll.
    Cached(&'a [Endpoint]),
    /// The whole endpoint list, as the discovery service has just sent it.
    Complete(&'a [Endpoint]),
    /// The entries of the endpoint list that have changed since the last update.
    Changes(&'a [Endpoint]),
    /// Changed entries from the previous discovery service while another one is polled. The entries do not count as the
    /// answer of the new service.
    ChangesDuringMove(&'a [Endpoint]),
    /// A poll of the endpoint list failed, or the watch on its changes broke.
    Failed {
        /// Whether the list is polled again at once, rather than after a backoff. It is polled at once when a
        /// watch fell silent, moved to another address or brought an older list, because the router has then
        /// missed changes, and it must act on a change soon after the publication.
        poll_immediately: bool,
        /// The time by which the router must know the changes that it has missed, if discovery is not known to be down:
        /// the watch fell silent, or discovery has moved. `None` after a watch or a poll that ended in another way.
        notified_by: Option<Time>,
    },
}

/// The number of priorities of RPCs. A priority is below this number.
pub const PRIORITY_COUNT: usize = 256;

/// An overload for which RPCs are shed, of either this router or all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadState {
    /// The pressure of the overload, from 0 (none) to 1.
    pub pressure: f64,
    /// RPCs of a priority below this threshold are shed. The fractional part of the threshold is the share that is
    /// shed of the RPCs whose priority equals its integer part.
    pub admission_threshold: f64,
    /// What an RPC of the arrived RPC's method costs the router, in seconds of processing, on a nominal router that takes
    /// the same time for an RPC of mean cost whatever its machine. In the overload of all routers together, all RPCs have
    /// the same assumed cost.
    pub cost_secs: f64,
    /// Whether the RPC's connection has recently sent more than the configured multiple (`fair_share_multiple`) of
    /// the work that the other active connections send on average.
    pub exceeds_fair_share: bool,
    /// How long arriving RPCs wait until the router processes them.
    pub queueing_delay: Span,
}

/// An RPC that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The index of the RPC's method in the deployment's list.
    pub method: u32,
    /// The index of the RPC's group.
    pub group: u32,
    /// The time at which the client stops waiting for an answer.
    pub deadline: Time,
    /// Whether the client has marked the RPC as a retry.
    pub is_client_retry: bool,
    /// The session of the RPC, identified by a small index, or `None` for an RPC without a session.
    pub session: Option<u32>,
    /// The age of the session's last write, if the client reports it.
    pub last_write_age: Option<Span>,
    /// The overload of this router, or `None` where the overload is not measured.
    pub router_overload: Option<OverloadState>,
    /// The overload of all routers together, or `None` where the routers do not exchange their overload.
    pub fleet_overload: Option<OverloadState>,
    /// The random draw of the session, from 0 to 1 and the same at all routers. RPCs with a smaller draw are shed
    /// sooner.
    pub admission_draw: Option<f64>,
}

/// The role of a member in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The member executes writes.
    Primary,
    /// The member replicates the primary.
    Replica,
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The member at which the attempt was made.
    pub member: MemberId,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The time from the start of the attempt to its end.
    pub latency: Span,
    /// Whether the RPC has its final answer, from this attempt or from an earlier event.
    pub rpc_complete: bool,
    /// Whether no retry may follow: the retry budget does not allow one, the client has cancelled the RPC, or the front
    /// can't see whether the client is still connected.
    pub retry_denied: bool,
    /// The role (primary or replica) that the member showed in its answer, if any.
    pub role: Option<Role>,
    /// A position in the replication log that the member has proven to have reached. For a write that succeeded,
    /// the position of its commit.
    pub position: Option<Time>,
}

/// What a member reports about itself in a health check.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The position up to which the member has applied its group's log.
    pub position: Option<Time>,
    /// Whether the member is the primary of its group.
    pub is_primary: Option<bool>,
    /// The number of RPCs in flight at the member.
    pub in_flight: Option<f64>,
}

/// What a router has observed of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberObservation {
    /// The member showed that it is a replica.
    Replica,
    /// The member showed that it is the primary.
    Primary,
    /// The router could not reach the member.
    Unreachable,
}

/// An update on a member that one router sends to the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberUpdate {
    /// The member that the update is about.
    pub member: MemberId,
    /// What the sender has observed of the member.
    pub observation: MemberObservation,
    /// For a replica, the replica's position. For a primary, the position that it reported, or, without one, the
    /// time at which it showed its role. For an unreachable member, the time at which it could not be reached. All
    /// are times of the members' clock.
    pub at: Time,
    /// Whether the sender is in the same zone as the router that receives the update.
    pub same_zone: bool,
    /// The member's answer time divided by the typical answer time of the method, as the sender measured it, or
    /// zero if it is unknown.
    pub latency_ratio: f64,
    /// The number of RPCs in flight at the member, according to the member's load report.
    pub in_flight: Option<f64>,
}

impl MemberUpdate {
    /// Creates an update from a router of the same zone as the receiver, without the member's load.
    pub fn new(member: MemberId, observation: MemberObservation, at: Time) -> MemberUpdate {
        MemberUpdate { member, observation, at, same_zone: true, latency_ratio: 0.0, in_flight: None }
    }
}

/// What the front is to do with an RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the RPC to a member.
    Attempt {
        /// The member to which the RPC is sent.
        member: MemberId,
        /// How long to wait for the member's answer, or `None` to wait for as long as the client does.
        timeout: Option<Span>,
    },
    /// Keep the RPC until a later [`Router::tick`](crate::Router::tick) decides on it. None of its attempts is in
    /// flight.
    Queue,
    /// Reject the RPC. The rejection is its final answer, and a retry by the client does no harm.
    Reject {
        /// How long the client is to wait before it retries.
        retry_after: Span,
    },
    /// Fail the RPC. The failure is its final answer, and the RPC may have had an effect.
    Fail,
    /// Do nothing. The RPC has its final answer, or its client has cancelled it and gets an answer from the front.
    AlreadyAnswered,
}

/// What [`Router::tick`](crate::Router::tick) requests of the front.
#[derive(Debug, Default)]
pub struct TickOutput {
    /// The decisions on RPCs that were queued, each with the handle of its RPC.
    pub decisions: Vec<(RpcId, Decision)>,
    /// The members to which a health check is to be sent.
    pub health_checks: Vec<MemberId>,
    /// The updates on members that are to be sent to all other routers.
    pub gossip: Vec<MemberUpdate>,
    /// Whether to poll the endpoint list and watch its changes.
    pub poll_endpoints: bool,
    /// Lines for the router's log. In a line, `#N` stands for the member of index N.
    pub log_messages: Vec<String>,
    /// The RPCs that were given up or spilled to the primary, and why.
    pub exceptions: Exceptions,
    /// The members that the router has dropped, a while after their removal from the endpoint list. The index of
    /// each may be assigned to another member.
    pub retired_members: Vec<MemberId>,
    /// The time at which to call `tick` again if no event happens before.
    pub wake_at: Option<Time>,
}

/// The newest position that a member has proven, and the member's role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownPosition {
    /// The position up to which the member has applied its group's log.
    pub position: Time,
    /// Whether this router takes the member to be its group's primary.
    pub is_primary: bool,
}

/// The load of a member, as measured by this router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberLoad {
    /// The member that has this load.
    pub member: MemberId,
    /// A hash of the member's id. It identifies the member at all routers, whose small indexes for the member may
    /// differ.
    pub id_hash: u32,
    /// The index of the member's group.
    pub group: u32,
    /// The member's recent answer times divided by the typical answer times of their methods. It is about 1 for a
    /// member without load.
    pub latency_ratio: f64,
    /// The number of attempts by this router in flight at the member.
    pub in_flight: f64,
    /// Of the attempts at the member that ended within the last second, the share that failed. Rejections,
    /// timeouts, lost connections and failures to connect count as failures.
    pub failure_share: f64,
}
