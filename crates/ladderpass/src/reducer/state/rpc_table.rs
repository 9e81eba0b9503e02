//! The RPCs in flight, and the ids that no other RPC may use.

use super::rpc_ids::RpcIds;
use crate::limits::Limits;
use crate::reducer::connection_id::ConnectionId;
use ladderpass_routing::{AttemptOutcome, RpcId, Span, Time};
use rustc_hash::FxHashMap;
use std::ops::Range;

/// The properties of an RPC that are fixed once the RPC is accepted.
#[derive(Clone, Debug)]
pub(in crate::reducer) struct RpcDescription {
    pub(in crate::reducer) deadline: Time,
    /// Whether the member must have reached a certain replication position, which follows from the staleness bound or
    /// from the session's last write. A member that has reached the required position at the routing decision may be
    /// behind the position that is required when the query is sent.
    pub(in crate::reducer) requires_position: bool,
    pub(in crate::reducer) method: u32,
    pub(in crate::reducer) group: u32,
    /// The RPC's priority in shared admission control, or zero if shared admission control is off.
    pub(in crate::reducer) priority: u32,
    /// The RPC's id, hashed by `RpcIds`.
    pub(in crate::reducer) id_hash: u64,
    /// The byte range of the statement's text that states how long the client waits.
    pub(in crate::reducer) wait_at: Range<usize>,
}

/// An RPC that was accepted and is not answered, or that has an attempt in flight.
pub(in crate::reducer) struct RpcInFlight {
    description: RpcDescription,
    /// The client that waits for the answer. `None` once the RPC is answered or the client has left.
    client: Option<ConnectionId>,
    accepted_at: Time,
    /// How long this router itself kept the RPC's queries and their answers waiting since the RPC was accepted.
    waited_for_router: Span,
    attempts: u32,
    /// Whether an attempt of the RPC has begun. The retry budget counts only one first attempt of each RPC, even if
    /// `discount_attempt` subtracts this attempt later.
    first_attempt_recorded: bool,
    /// Whether a retry was withdrawn from the shared retry budget for a further attempt of the RPC that is not made
    /// yet.
    retry_withdrawn: bool,
    /// The connection that carries the RPC's attempt, or will carry the attempt once the connection is established.
    connection: Option<ConnectionId>,
    /// Whether an attempt of the RPC has ended with an outcome that does not prove that the RPC never ran at a member.
    may_have_run: bool,
    /// Whether the RPC was answered with a rejection, so that the client may retry it with the same id.
    is_rejected: bool,
    /// Whether the client has asked to cancel the RPC. If so, no further attempt of the RPC begins.
    is_cancelled: bool,
    /// Tracing span of the RPC and its attempts, at debug level only.
    span: tracing::Span,
}

impl RpcInFlight {
    pub(in crate::reducer) fn new(
        now: Time,
        client: ConnectionId,
        description: RpcDescription,
        span: tracing::Span,
    ) -> RpcInFlight {
        RpcInFlight {
            description,
            client: Some(client),
            accepted_at: now,
            waited_for_router: Span::ZERO,
            attempts: 0,
            first_attempt_recorded: false,
            retry_withdrawn: false,
            connection: None,
            may_have_run: false,
            is_rejected: false,
            is_cancelled: false,
            span,
        }
    }

    pub(in crate::reducer) fn description(&self) -> &RpcDescription {
        &self.description
    }

    pub(in crate::reducer) fn client(&self) -> Option<ConnectionId> {
        self.client
    }

    /// Removes and returns the client that waits for the RPC's answer, either because the one answer is about to be
    /// written or because the client has left. Without a client, no second answer can be written.
    pub(in crate::reducer) fn take_client(&mut self) -> Option<ConnectionId> {
        self.client.take()
    }

    /// Returns the time since the RPC was accepted, minus the waits that this router caused in those attempts
    /// that were answered: the query's wait before it was written, and the answer's wait before it was read.
    /// Time in the routing core's queue and for connecting is not subtracted.
    pub(in crate::reducer) fn time_with_members(&self, now: Time) -> Span {
        now - self.accepted_at - self.waited_for_router
    }

    pub(in crate::reducer) fn add_wait_for_router(&mut self, span: Span) {
        self.waited_for_router += span;
    }

    /// Records that an attempt of the RPC begins. Returns whether this is the RPC's first attempt.
    pub(in crate::reducer) fn begin_attempt(&mut self) -> bool {
        self.attempts += 1;
        self.retry_withdrawn = false;
        !std::mem::replace(&mut self.first_attempt_recorded, true)
    }

    pub(in crate::reducer) fn set_connection(&mut self, connection: ConnectionId) {
        self.connection = Some(connection);
    }

    pub(in crate::reducer) fn connection(&self) -> Option<ConnectionId> {
        self.connection
    }

    pub(in crate::reducer) fn end_attempt(&mut self, outcome: AttemptOutcome) {
        self.connection = None;
        self.may_have_run |= !outcome.never_ran();
    }

    /// Subtracts the attempt that has ended from the RPC's number of attempts, because nothing was sent in this
    /// attempt.
    pub(in crate::reducer) fn discount_attempt(&mut self) {
        self.attempts = self.attempts.saturating_sub(1);
    }

    pub(in crate::reducer) fn attempts(&self) -> u32 {
        self.attempts
    }

    pub(in crate::reducer) fn set_retry_withdrawn(&mut self, is_withdrawn: bool) {
        self.retry_withdrawn = is_withdrawn;
    }

    /// Returns whether a retry was withdrawn from the shared retry budget for an attempt that is not made yet, and
    /// clears this flag. The caller refunds the retry if the attempt will not be made.
    pub(in crate::reducer) fn take_retry_withdrawn(&mut self) -> bool {
        std::mem::take(&mut self.retry_withdrawn)
    }

    pub(in crate::reducer) fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    pub(in crate::reducer) fn reject(&mut self) {
        self.is_rejected = true;
    }

    pub(in crate::reducer) fn cancel(&mut self) {
        self.is_cancelled = true;
    }

    pub(in crate::reducer) fn is_cancelled(&self) -> bool {
        self.is_cancelled
    }

    pub(in crate::reducer) fn span(&self) -> &tracing::Span {
        &self.span
    }
}

/// The table of all RPCs in flight, and the ids that no other RPC may use.
#[derive(Default)]
pub(in crate::reducer) struct RpcTable {
    in_flight: FxHashMap<RpcId, RpcInFlight>,
    ids: RpcIds,
}

impl RpcTable {
    pub(in crate::reducer) fn len(&self) -> usize {
        self.in_flight.len()
    }

    pub(in crate::reducer) fn get(&self, rpc: RpcId) -> Option<&RpcInFlight> {
        self.in_flight.get(&rpc)
    }

    pub(in crate::reducer) fn get_mut(&mut self, rpc: RpcId) -> Option<&mut RpcInFlight> {
        self.in_flight.get_mut(&rpc)
    }

    /// Number of RPCs that have an attempt in flight.
    pub(in crate::reducer) fn attempts_in_flight(&self) -> usize {
        self.in_flight.values().filter(|entry| entry.connection.is_some()).count()
    }

    pub(in crate::reducer) fn hash_id(&self, id: &str) -> u64 {
        self.ids.hash(id)
    }

    /// Returns whether an RPC in flight, or one that has ended recently, has the id with this hash.
    pub(in crate::reducer) fn is_duplicate(&self, now: Time, id_hash: u64) -> bool {
        self.ids.contains(now, id_hash)
    }

    /// Adds an RPC, and reserves its id until the RPC is removed.
    pub(in crate::reducer) fn insert(&mut self, rpc: RpcId, entry: RpcInFlight) {
        self.ids.begin(entry.description.id_hash);
        self.in_flight.insert(rpc, entry);
    }

    /// Removes an RPC that has no attempt in flight, and that has its final answer or whose client has left. Unless the
    /// RPC was rejected, its id is remembered for a time, so that the client can't have the RPC executed a second time.
    pub(in crate::reducer) fn remove(&mut self, now: Time, rpc: RpcId, limits: &Limits) {
        let Some(RpcInFlight { description, is_rejected, .. }) = self.in_flight.remove(&rpc) else { return };
        if is_rejected {
            return self.ids.forget(description.id_hash);
        }
        let wait_ends_at = description.deadline.min(now + limits.remembered_id_wait);
        let expires_at = wait_ends_at + limits.remembered_id_ttl;
        self.ids.remember(now, description.id_hash, expires_at, limits.remembered_ids);
    }
}
