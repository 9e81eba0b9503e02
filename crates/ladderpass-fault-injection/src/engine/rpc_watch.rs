//! The attempts of RPCs that a watch records: when a statement arrived from whoever connected, and when its answer left
//! or its connection ended. Checked here, between both sides, that there is one attempt at a time does not depend on
//! what either side believes.

use super::operation::ConnectionId;
use crate::plan::Side;
use crate::stream::Unit;
use ladderpass_routing::Time;
use std::collections::HashMap;

/// The start or the end of an attempt, as the tool saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptEvent {
    /// When, since the tool's start.
    pub at: Time,
    /// Index of the link in the plan.
    pub link: usize,
    /// Id of the RPC, from the statement's comment.
    pub id: String,
    /// Its statement arrived; else its answer left, or its connection ended.
    pub begins: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum AttemptPhase {
    Begins,
    Ends,
}

/// Records attempts once it is started.
#[derive(Default)]
pub struct RpcWatch {
    /// None while it is not started.
    recorded: Option<Vec<AttemptEvent>>,
    /// The RPC on each connection whose statement passed and whose answer has not.
    in_flight: HashMap<ConnectionId, String>,
}

impl RpcWatch {
    pub fn start(&mut self) {
        self.recorded = Some(Vec::new());
    }

    /// Takes what was recorded, and stops.
    pub fn take(&mut self) -> Vec<AttemptEvent> {
        self.recorded.take().unwrap_or_default()
    }

    /// Records what a unit shows of an RPC.
    pub fn on_unit(&mut self, at: Time, connection: ConnectionId, sender: Side, unit: &Unit) {
        if self.recorded.is_none() {
            return;
        }
        match (sender, unit.kind) {
            (Side::Client, "Query") => {
                let Some(id) = rpc_id(&unit.bytes) else { return };
                self.in_flight.insert(connection, id.to_owned());
                self.record(at, connection, id.to_owned(), AttemptPhase::Begins);
            }
            (Side::Server, "ReadyForQuery") => self.on_ended(at, connection),
            _ => {}
        }
    }

    /// The connection's attempt has ended: answered, or given up by whoever connected.
    pub fn on_ended(&mut self, at: Time, connection: ConnectionId) {
        if let Some(id) = self.in_flight.remove(&connection) {
            self.record(at, connection, id, AttemptPhase::Ends);
        }
    }

    fn record(&mut self, at: Time, connection: ConnectionId, id: String, phase: AttemptPhase) {
        if let Some(recorded) = &mut self.recorded {
            let begins = phase == AttemptPhase::Begins;
            recorded.push(AttemptEvent { at, link: connection.link, id, begins });
        }
    }
}

/// The id in the comment of a statement.
fn rpc_id(bytes: &[u8]) -> Option<&str> {
    const PREFIX: &[u8] = b"/* id=";
    let from = bytes.windows(PREFIX.len()).rposition(|part| part == PREFIX)? + PREFIX.len();
    let rest = bytes.get(from..)?;
    let length = rest.iter().position(|&byte| byte == b',' || byte == b' ')?;
    std::str::from_utf8(rest.get(..length)?).ok()
}
