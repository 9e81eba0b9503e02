//! The RPCs that were accepted. Each RPC is stored until it has its final answer and none of its attempts is in
//! flight. This module makes no decisions.

use crate::time::Time;
use crate::types::{Arrival, AttemptOutcome, RpcId};

/// The state of an accepted RPC.
pub struct RpcState {
    /// The number of earlier RPCs in this slot, by which the handle of an earlier RPC is recognised as invalid.
    generation: u32,
    pub arrival: Arrival,
    pub accepted_at: Time,
    /// Whether the RPC has no final answer yet.
    pub is_open: bool,
    /// Whether the RPC is in its group's queue of pending RPCs.
    pub is_pending: bool,
    pub attempts_in_flight: u32,
    pub attempts: u32,
    /// A random number from 0 to 1: `Arrival::admission_draw` if the RPC has one, and otherwise drawn once for
    /// the RPC. Where only a share of the RPCs may be sent, the RPCs with smaller draws are sent. The same
    /// number decides on admission: under overload, RPCs with smaller draws are shed sooner.
    pub random_draw: f64,
    pub last_attempt_at: Time,
    pub last_attempt_ended_at: Time,
    /// The send time of the RPC's first attempt that may have run.
    pub may_have_run_since: Option<Time>,
    /// The members at which an attempt of the RPC has ended.
    pub tried_members: Vec<usize>,
    /// The members that answered the RPC with an error. The errors count against these members only once
    /// another attempt of the RPC has succeeded.
    pub error_members: Vec<usize>,
    /// The time of the last write of the RPC's session, if the RPC carries the age of that write. Otherwise
    /// `Time::NEVER`.
    pub session_write: Time,
}

impl RpcState {
    pub fn record_attempt_started(&mut self, now: Time) {
        self.is_pending = false;
        self.attempts_in_flight += 1;
        self.attempts += 1;
        self.last_attempt_at = now;
    }

    /// Records the end of an attempt. After a success, returns the members that answered earlier attempts with an
    /// error, because the success shows that the errors were the fault of those members and not of the RPC.
    pub fn record_attempt_ended(&mut self, now: Time, index: usize, outcome: AttemptOutcome) -> Vec<usize> {
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(1);
        if outcome == AttemptOutcome::DecisionExpired {
            self.attempts = self.attempts.saturating_sub(1);
            return Vec::new();
        }
        self.last_attempt_ended_at = now;
        self.tried_members.push(index);
        if outcome == AttemptOutcome::Failed {
            self.error_members.push(index);
        }
        if outcome == AttemptOutcome::Ok { std::mem::take(&mut self.error_members) } else { Vec::new() }
    }
}

/// A table of RPCs in reused slots. The handle of an RPC is invalid once its slot has been freed.
#[derive(Default)]
pub struct RpcTable {
    slots: Vec<RpcState>,
    free: Vec<u32>,
}

impl RpcTable {
    pub fn insert(&mut self, now: Time, arrival: Arrival, session_write: Time, random_draw: f64) -> RpcId {
        let rpc = RpcState {
            generation: 0,
            arrival,
            accepted_at: now,
            is_open: true,
            is_pending: false,
            attempts_in_flight: 0,
            attempts: 0,
            random_draw,
            last_attempt_at: now,
            last_attempt_ended_at: now,
            may_have_run_since: None,
            tried_members: Vec::new(),
            error_members: Vec::new(),
            session_write,
        };
        let slot = self.free.pop().unwrap_or(self.slots.len() as u32);
        match self.slots.get_mut(slot as usize) {
            Some(old) => *old = RpcState { generation: old.generation, ..rpc },
            None => self.slots.push(rpc),
        }
        RpcId { slot, generation: self.slots[slot as usize].generation }
    }

    /// Returns the RPC of a handle, or `None` once its slot has been freed.
    pub fn get(&self, rpc: RpcId) -> Option<&RpcState> {
        self.slots.get(rpc.slot as usize).filter(|state| state.generation == rpc.generation)
    }

    /// Returns the RPC of a handle for modification, or `None` once its slot has been freed.
    pub fn get_mut(&mut self, rpc: RpcId) -> Option<&mut RpcState> {
        self.slots.get_mut(rpc.slot as usize).filter(|state| state.generation == rpc.generation)
    }

    /// Closes an RPC that has its final answer. Its slot is freed once none of its attempts is in flight.
    pub fn close(&mut self, rpc: RpcId) {
        let Some(state) = self.get_mut(rpc) else { return };
        state.is_open = false;
        state.is_pending = false;
        if state.attempts_in_flight == 0 {
            state.generation += 1;
            self.free.push(rpc.slot);
        }
    }
}

impl std::ops::Index<RpcId> for RpcTable {
    type Output = RpcState;
    fn index(&self, rpc: RpcId) -> &RpcState {
        &self.slots[rpc.slot as usize]
    }
}

impl std::ops::IndexMut<RpcId> for RpcTable {
    fn index_mut(&mut self, rpc: RpcId) -> &mut RpcState {
        &mut self.slots[rpc.slot as usize]
    }
}
