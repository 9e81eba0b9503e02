//! The RPCs of one router by their ids on the wire. An RPC is kept from its arrival until it is answered and has no
//! attempt in flight.

use crate::errors::EventProblem;
use ladderpass_routing::RpcId;
use std::collections::HashMap;

/// An RPC that is not answered yet, or has attempts in flight.
pub struct ActiveRpc {
    /// The id of the RPC in the routing core.
    pub rpc: RpcId,
    /// Whether the client has received an answer or has given up on the RPC.
    pub is_answered: bool,
    /// The number of attempts of the RPC that have not ended.
    pub attempts_in_flight: u32,
}

/// All active RPCs of one router: those that are not answered yet or have attempts in flight.
#[derive(Default)]
pub struct RpcTable {
    by_request_id: HashMap<String, ActiveRpc>,
    request_ids: HashMap<RpcId, String>,
}

impl RpcTable {
    /// Returns whether an RPC with this id on the wire is active.
    pub fn contains(&self, request_id: &str) -> bool {
        self.by_request_id.contains_key(request_id)
    }

    /// Adds an RPC that has arrived.
    pub fn insert(&mut self, request_id: String, rpc: RpcId) {
        let active = ActiveRpc { rpc, is_answered: false, attempts_in_flight: 0 };
        self.by_request_id.insert(request_id.clone(), active);
        self.request_ids.insert(rpc, request_id);
    }

    /// Returns the id on the wire of an active RPC.
    pub fn request_id(&self, rpc: RpcId) -> Option<&String> {
        self.request_ids.get(&rpc)
    }

    /// Returns the active RPC with this id on the wire, or an error if there is none.
    pub fn get_mut(&mut self, request_id: &str) -> Result<&mut ActiveRpc, EventProblem> {
        let rpc = self.by_request_id.get_mut(request_id);
        rpc.ok_or_else(|| EventProblem::UnknownRequest(request_id.to_owned()))
    }

    /// Removes an RPC if it is answered and has no attempt in flight.
    pub fn remove_if_done(&mut self, request_id: &str) {
        if let Some(active) = self.by_request_id.get(request_id)
            && active.is_answered
            && active.attempts_in_flight == 0
        {
            self.request_ids.remove(&active.rpc);
            self.by_request_id.remove(request_id);
        }
    }
}
