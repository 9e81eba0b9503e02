//! The state of one connection: its two directions, and the units and ends that are stalled while its link is cut.

use super::direction::{Direction, Replacement};
use super::operation::{ConnectionId, Operation, ScheduledOperation};
use crate::plan::Side;
use crate::stream::Unit;
use ladderpass_routing::Time;

pub struct Connection {
    /// The two directions, by sender.
    pub directions: [Direction; 2],
    /// A rule has closed or reset the connection, so nothing passes any more.
    pub is_closed: bool,
    pub stalled: StalledInput,
}

/// The units and ends of directions that arrived while the link was cut.
#[derive(Default)]
pub struct StalledInput {
    /// Units with their senders, in the order of arrival.
    pub units: Vec<(Side, Unit)>,
    /// Number of bytes in `units`, by sender.
    pub bytes: [usize; 2],
    /// Senders that ended their direction, in the order of arrival.
    pub ends: Vec<Side>,
}

impl Connection {
    /// Schedules the operations that send a unit's replacement.
    pub fn send(
        &mut self,
        now: Time,
        id: ConnectionId,
        sender: Side,
        replacement: Replacement,
        operations: &mut Vec<ScheduledOperation>,
    ) {
        let direction = &mut self.directions[sender as usize];
        let mut at = direction.earliest_send_at.max(now) + replacement.delay;
        if let Some(operation) = replacement.end_before {
            // A half-close ends only one direction, and the connection stays in use.
            let ends_both = matches!(operation, Operation::Close | Operation::Reset);
            operations.push(ScheduledOperation::new(id, at, operation));
            if ends_both {
                self.is_closed = true;
                return;
            }
        }
        for piece in replacement.pieces.into_iter().filter(|piece| !piece.is_empty()) {
            at = direction.sent_at(at, &piece);
            operations.push(ScheduledOperation::new(id, at, Operation::Send(sender.other(), piece)));
            at = at + replacement.gap;
        }
        direction.earliest_send_at = at;
        if let Some(operation) = replacement.end_after {
            operations.push(ScheduledOperation::new(id, at, operation));
            self.is_closed = true;
        }
    }
}
