//! The RPCs that were accepted, until each is answered and none of its attempts is in flight. Nothing here decides.

use crate::time::Time;
use crate::types::{Arrival, AttemptOutcome, RpcId};

/// An RPC that was accepted.
pub struct RpcState {
    /// Counts the uses of this slot, so that a handle of an earlier RPC does not fit.
    generation: u32,
    pub arrival: Arrival,
    pub accepted_at: Time,
    /// It has no final answer yet.
    pub is_open: bool,
    /// It waits among the pending RPCs of its group.
    pub is_pending: bool,
    pub attempts_in_flight: u32,
    pub attempts: u32,
    /// Drawn once, from 0 to 1: the smaller, the sooner it is sent where only a share of the RPCs may be. Also the
    /// admission draw, where a smaller one is shed sooner.
    pub random_draw: f64,
    pub last_attempt_at: Time,
    pub last_attempt_ended_at: Time,
    /// Send time of the first attempt that may have run.
    pub may_have_run_since: Option<Time>,
    /// Members at which an attempt has ended.
    pub tried_members: Vec<usize>,
    /// Members that answered it with an error. None is blamed before another has served it.
    pub error_members: Vec<usize>,
    /// Commit of the session's last write, where the RPC carries its age.
    pub session_write: Time,
}

impl RpcState {
    pub fn record_attempt_started(&mut self, now: Time) {
        self.is_pending = false;
        self.attempts_in_flight += 1;
        self.attempts += 1;
        self.last_attempt_at = now;
    }

    /// An attempt has ended. Returns the members to blame for the errors that they answered: another has served it.
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

/// The RPCs, in slots that are reused; a handle of an earlier use does not fit.
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

    /// The RPC of a handle; none once its slot has been given back.
    pub fn get(&self, rpc: RpcId) -> Option<&RpcState> {
        self.slots.get(rpc.slot as usize).filter(|state| state.generation == rpc.generation)
    }

    /// The same, to be changed.
    pub fn get_mut(&mut self, rpc: RpcId) -> Option<&mut RpcState> {
        self.slots.get_mut(rpc.slot as usize).filter(|state| state.generation == rpc.generation)
    }

    /// The RPC has its final answer; its slot is given back once none of its attempts is in flight.
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
