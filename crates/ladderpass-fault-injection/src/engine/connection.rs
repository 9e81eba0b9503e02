//! The state of one connection: its two directions, and the input of both sides that is stalled while the connection's link is
//! cut.

use super::direction::{Direction, Replacement};
use super::operation::{ConnectionId, Operation, ScheduledOperation};
use crate::plan::Side;
use crate::stream::Unit;
use ladderpass_routing::Time;

pub struct Connection {
    /// The connection's two directions, by the side that sends.
    pub directions: [Direction; 2],
    /// Whether a rule has closed or reset the connection, so that nothing passes any more.
    pub is_closed: bool,
    pub stalled: StalledInput,
}

/// The units and ends of directions that arrived while the link was cut.
#[derive(Default)]
pub struct StalledInput {
    /// Units of the stream, each with the side that sent it, in the order of arrival.
    pub units: Vec<(Side, Unit)>,
    /// Total size of `units` in bytes, by the side that sent the units.
    pub bytes: [usize; 2],
    /// Sides that ended their direction while the link was cut, in the order of arrival.
    pub ends: Vec<Side>,
}

impl Connection {
    /// Schedules the operations that send the replacement of a [`Unit`], which is the unit as the rules have changed it.
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
