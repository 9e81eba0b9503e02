//! The RPCs in flight, and the ids that no other RPC may use.

use super::connection_id::ConnectionId;
use super::rpc_ids::RpcIds;
use ladderpass_routing::{RpcId, Span, Time};
use rustc_hash::FxHashMap;
use std::ops::Range;

/// An RPC that was accepted and has no answer, or has an attempt in flight.
pub(super) struct RpcInFlight {
    /// The client that waits for its answer. It is taken out together with the answer that is written to it, so there is
    /// never a second one.
    pub(super) client: Option<ConnectionId>,
    pub(super) accepted_at: Time,
    /// How long the router itself kept it waiting since then.
    pub(super) waited_for_router: Span,
    pub(super) deadline: Time,
    /// Its data must be as new at the send as it was at the decision.
    pub(super) bounds_staleness: bool,
    pub(super) method: u32,
    pub(super) group: u32,
    /// Its priority among all RPCs, where routers shed load together.
    pub(super) priority: u32,
    /// Its id, as `RpcIds` hashes it.
    pub(super) id_hash: u64,
    /// Where the statement says how long its client waits.
    pub(super) wait_at: Range<usize>,
    pub(super) attempts: u32,
    /// The retry budget knows of its first attempt.
    pub(super) first_attempt_recorded: bool,
    /// The retry budget has paid for an attempt that is not made yet.
    pub(super) retry_paid: bool,
    /// The connection that carries its attempt, or is to.
    pub(super) connection: Option<ConnectionId>,
    /// An attempt of it may have run without a good answer.
    pub(super) may_have_run: bool,
    /// Its client has asked to cancel it: no further attempt begins.
    pub(super) cancelled: bool,
    /// Its life and its attempts, at debug level only.
    pub(super) span: tracing::Span,
}

impl RpcInFlight {
    /// How long members have kept it.
    pub(super) fn time_with_members(&self, now: Time) -> Span {
        now - self.accepted_at - self.waited_for_router
    }
}

/// All RPCs in flight, and their ids.
#[derive(Default)]
pub(super) struct RpcTable {
    in_flight: FxHashMap<RpcId, RpcInFlight>,
    ids: RpcIds,
}

impl RpcTable {
    pub(super) fn len(&self) -> usize {
        self.in_flight.len()
    }

    pub(super) fn get(&self, rpc: RpcId) -> Option<&RpcInFlight> {
        self.in_flight.get(&rpc)
    }

    pub(super) fn get_mut(&mut self, rpc: RpcId) -> Option<&mut RpcInFlight> {
        self.in_flight.get_mut(&rpc)
    }

    /// How many RPCs have an attempt in flight.
    pub(super) fn attempts(&self) -> usize {
        self.in_flight.values().filter(|entry| entry.connection.is_some()).count()
    }

    pub(super) fn hash_id(&self, id: &str) -> u64 {
        self.ids.hash(id)
    }

    /// Does another RPC have this id, or did one lately?
    pub(super) fn is_duplicate(&self, id_hash: u64) -> bool {
        self.ids.contains(id_hash)
    }

    /// Reserves an id until its RPC is removed, and until it expires.
    pub(super) fn reserve_id(&mut self, now: Time, id_hash: u64, expires_at: Time, max_retired: usize) {
        self.ids.open(now, id_hash, expires_at, max_retired);
    }

    pub(super) fn insert(&mut self, rpc: RpcId, entry: RpcInFlight) {
        self.in_flight.insert(rpc, entry);
    }

    /// Removes an RPC that has its final answer and no attempt in flight.
    pub(super) fn remove(&mut self, rpc: RpcId) {
        if let Some(entry) = self.in_flight.remove(&rpc) {
            self.ids.close(entry.id_hash);
        }
    }
}
