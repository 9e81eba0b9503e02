//! Records the attempts of RPCs: when a statement arrived from the client side of a link, and when its answer left the tool or
//! its connection ended. The record is made between the two sides, so that a checker of the rule that an RPC has only one
//! attempt at a time does not have to rely on the records of either side.

use super::operation::ConnectionId;
use crate::plan::Side;
use crate::stream::Unit;
use ladderpass_routing::Time;
use std::collections::HashMap;

/// The start or the end of an attempt, as seen by the tool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptEvent {
    /// Time of the event, counted from the tool's start.
    pub at: Time,
    /// Index of the link in the plan.
    pub link: usize,
    /// Id of the RPC, from the statement's comment.
    pub id: String,
    /// True if the attempt's statement arrived, and false if its answer left or its connection ended.
    pub begins: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum AttemptPhase {
    Begins,
    Ends,
}

/// Records the starts and the ends of attempts, from the command `watch` on.
#[derive(Default)]
pub struct RpcWatch {
    /// The recorded events, or None while nothing is recorded.
    recorded: Option<Vec<AttemptEvent>>,
    /// Id of the RPC in flight on each connection: its statement has arrived, and its answer has not left.
    in_flight: HashMap<ConnectionId, String>,
}

impl RpcWatch {
    pub fn start(&mut self) {
        self.recorded = Some(Vec::new());
    }

    /// Returns the recorded events, and stops the recording.
    pub fn take(&mut self) -> Vec<AttemptEvent> {
        self.recorded.take().unwrap_or_default()
    }

    /// Records the start of an attempt if a unit of the stream is a statement, and the end of an attempt if the unit is the end
    /// of an answer.
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

    /// Records the end of the connection's attempt, which has been answered or given up.
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

/// Returns the RPC's id from the last comment of a statement.
fn rpc_id(bytes: &[u8]) -> Option<&str> {
    const PREFIX: &[u8] = b"/* id=";
    let from = bytes.windows(PREFIX.len()).rposition(|part| part == PREFIX)? + PREFIX.len();
    let rest = bytes.get(from..)?;
    let length = rest.iter().position(|&byte| byte == b',' || byte == b' ')?;
    std::str::from_utf8(rest.get(..length)?).ok()
}
