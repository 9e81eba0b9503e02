//! The state of one direction of a connection, and the replacement that is sent for a [`Unit`] of the direction's stream.

use super::operation::Operation;
use crate::plan::{Action, Protocol, Side};
use crate::random;
use crate::stream::{MessageScanner, Unit};
use ladderpass_routing::{Span, Time};
use rand::Rng;
use rand::rngs::SmallRng;

/// Size of a PostgreSQL message's header, which consists of a type byte and a length.
const FRAME_HEADER_BYTES: usize = 5;
const LENGTH_BITS: usize = 32;

pub struct Direction {
    pub scanner: MessageScanner,
    /// Time before which no unit of the direction is sent.
    pub earliest_send_at: Time,
    /// Index of the rule that holds back everything in this direction.
    pub held_by_rule: Option<usize>,
    /// Bytes of the direction that the rule of `held_by_rule` holds back.
    pub held_bytes: Vec<u8>,
    /// Whether `Action::Silence` drops all further bytes of the direction.
    pub is_silenced: bool,
    /// Whether `Action::Swallow` drops the bytes of the direction up to and including the next ReadyForQuery.
    is_swallowing: bool,
    max_bytes_per_s: Option<u64>,
    /// A response that is held back, and sent after the next response.
    postponed: Option<Vec<u8>>,
    /// Whether the units of the current response are added to `postponed`.
    is_postponing: bool,
    /// A copy of the current response so far, from the message that triggered `Action::Repeat` on. The copy is sent behind the
    /// end of the response.
    response_copy: Option<Vec<u8>>,
    /// Whether the sender has ended the direction.
    pub has_ended: bool,
}

/// The pieces that are sent in place of a [`Unit`], their timing, and the operations that end the connection or a direction
/// before or after the pieces are sent.
pub struct Replacement {
    pub pieces: Vec<Vec<u8>>,
    pub delay: Span,
    /// Pause after each of the pieces.
    pub gap: Span,
    pub end_before: Option<Operation>,
    pub end_after: Option<Operation>,
}

impl Replacement {
    /// Returns a replacement that sends the unit unchanged.
    pub fn unchanged(unit: &Unit) -> Replacement {
        Replacement {
            pieces: vec![unit.bytes.clone()],
            delay: Span::ZERO,
            gap: Span::ZERO,
            end_before: None,
            end_after: None,
        }
    }

    /// Joins the pieces into one piece, and applies `change` to the bytes of that piece.
    fn edit(&mut self, change: impl FnOnce(&mut Vec<u8>)) {
        let mut bytes = self.pieces.concat();
        change(&mut bytes);
        self.pieces = vec![bytes];
    }
}

impl Direction {
    pub fn new(protocol: Protocol, sender: Side) -> Direction {
        Direction {
            scanner: MessageScanner::new(protocol, sender),
            earliest_send_at: Time::NEVER,
            held_by_rule: None,
            held_bytes: Vec::new(),
            is_silenced: false,
            is_swallowing: false,
            max_bytes_per_s: None,
            postponed: None,
            is_postponing: false,
            response_copy: None,
            has_ended: false,
        }
    }

    /// Returns the number of bytes that a rule holds back, or that wait to be sent after the next response.
    pub fn buffered_bytes(&self) -> usize {
        self.held_bytes.len() + self.postponed.as_ref().map_or(0, Vec::len)
    }

    /// Removes and returns the response that waits to be sent after the next response, if there is one. Called at the end of
    /// the direction, when no next response follows.
    pub fn take_postponed(&mut self) -> Option<Vec<u8>> {
        self.postponed.take()
    }

    /// Applies a rule's action to the replacement of a unit. Returns the random numbers that were drawn for the action.
    pub fn apply_action(
        &mut self,
        action: &Action,
        rule: usize,
        unit: &Unit,
        random: &mut SmallRng,
        replacement: &mut Replacement,
    ) -> Vec<u64> {
        let mut drawn = Vec::new();
        match *action {
            Action::Delay { ms, distribution } => {
                let factor = random::delay_factor(random, distribution);
                drawn.push((ms * factor * 1e3) as u64);
                replacement.delay += Span::from_secs_f64(ms * factor / 1e3);
            }
            Action::Rate { bytes_per_s } => self.max_bytes_per_s = Some(bytes_per_s),
            Action::Slice { gap_ms } => {
                replacement.gap = Span::from_secs_f64(gap_ms / 1e3);
                replacement.pieces = replacement.pieces.concat().into_iter().map(|byte| vec![byte]).collect();
            }
            Action::Hold => self.held_by_rule = Some(rule),
            Action::Drop => replacement.pieces.clear(),
            Action::Swallow => self.is_swallowing = true,
            Action::Silence => self.is_silenced = true,
            Action::HalfClose { side } => {
                replacement.end_before = Some(Operation::EndDirection(side.other()))
            }
            Action::Close => replacement.end_before = Some(Operation::Close),
            Action::Reset => replacement.end_before = Some(Operation::Reset),
            Action::Garble { bytes } => {
                replacement.edit(|message| drawn = garble(message, bytes, random));
            }
            Action::Set { at, to } => replacement.edit(|message| {
                if let Some(byte) = message.get_mut(at as usize) {
                    *byte = to;
                }
            }),
            Action::FlipLength => replacement.edit(|message| drawn = flip_length(message, unit, random)),
            Action::Duplicate => replacement.pieces.push(replacement.pieces.concat()),
            Action::Noise { bytes } => {
                replacement.pieces.push((0..bytes).map(|_| random.random()).collect());
            }
            Action::Truncate { keep } => {
                replacement.edit(|message| message.truncate(keep as usize));
                replacement.end_after = Some(Operation::Close);
            }
            Action::Repeat => {
                self.response_copy.get_or_insert_default();
            }
            Action::Reorder => self.is_postponing = self.postponed.is_none(),
            Action::Refuse | Action::Ignore => {}
        }
        drawn
    }

    /// Applies the lasting effects of actions on this direction to the replacement of a unit. `ends_response` tells
    /// whether the unit ends a response.
    pub fn continue_actions(&mut self, ends_response: bool, replacement: &mut Replacement) {
        let pieces = &mut replacement.pieces;
        if self.is_swallowing {
            pieces.clear();
            self.is_swallowing = !ends_response;
        }
        if self.is_silenced {
            pieces.clear();
        }
        if let Some(copy) = &mut self.response_copy {
            copy.extend(pieces.concat());
            if ends_response && let Some(copy) = self.response_copy.take() {
                pieces.push(copy);
            }
        }
        if self.is_postponing {
            self.postponed.get_or_insert_default().extend(pieces.concat());
            pieces.clear();
            self.is_postponing = !ends_response;
        } else if ends_response && let Some(postponed) = self.postponed.take() {
            pieces.push(postponed);
        }
    }

    /// Returns the time at which a piece is sent at the direction's rate if its transmission begins at `at`.
    pub fn sent_at(&self, at: Time, piece: &[u8]) -> Time {
        match self.max_bytes_per_s {
            Some(bytes_per_s) => at + Span::from_secs_f64(piece.len() as f64 / bytes_per_s as f64),
            None => at,
        }
    }
}

/// Changes bytes at `count` random offsets of a message: behind the header, or anywhere in a message that is no longer
/// than a header. Returns the offsets.
fn garble(message: &mut [u8], count: u32, random: &mut SmallRng) -> Vec<u64> {
    let header_bytes = if message.len() > FRAME_HEADER_BYTES { FRAME_HEADER_BYTES } else { 0 };
    let mut offsets = Vec::new();
    for _ in 0..count {
        if header_bytes < message.len() {
            let offset = random.random_range(header_bytes..message.len());
            message[offset] ^= random.random_range(1..=255u8);
            offsets.push(offset as u64);
        }
    }
    offsets
}

/// Flips a random bit of the message's length field. Returns the bit's number.
fn flip_length(message: &mut [u8], unit: &Unit, random: &mut SmallRng) -> Vec<u64> {
    let bit = random.random_range(0..LENGTH_BITS);
    // The length follows the type byte, which a startup message does not have.
    let length_starts_at = if unit.kind == "Startup" { 0 } else { 1 };
    if let Some(byte) = message.get_mut(length_starts_at + bit / 8) {
        *byte ^= 1 << (bit % 8);
    }
    vec![bit as u64]
}
