//! State of one direction of a connection, and what passes in place of one unit of it.

use super::operation::Operation;
use crate::plan::{Action, Protocol, Side};
use crate::random;
use crate::stream::{MessageScanner, Unit};
use ladderpass_routing::{Span, Time};
use rand::Rng;
use rand::rngs::SmallRng;

/// Type byte and length at the start of a PostgreSQL message.
const FRAME_HEAD_BYTES: usize = 5;
const LENGTH_BITS: usize = 32;

pub struct Direction {
    pub scanner: MessageScanner,
    /// No unit is sent before.
    pub free_at: Time,
    /// The rule that holds everything, by its index.
    pub held_by: Option<usize>,
    /// What is held.
    pub held: Vec<u8>,
    /// Everything is dropped.
    pub silent: bool,
    /// Everything up to the next ReadyForQuery is dropped.
    swallowing: bool,
    /// Limit in bytes a second.
    rate: Option<u64>,
    /// A response that is sent after the next one.
    postponed: Option<Vec<u8>>,
    /// The response that passes now is being postponed.
    postponing: bool,
    /// The response that passes now, to be sent once more.
    copy: Option<Vec<u8>>,
    /// Its sender has ended it.
    pub ended: bool,
}

/// What passes in place of a unit: piece by piece, with what ends the connection before or behind it.
pub struct Passage {
    pub pieces: Vec<Vec<u8>>,
    pub delay: Span,
    /// Pause behind each piece.
    pub gap: Span,
    pub end_before: Option<Operation>,
    pub end_after: Option<Operation>,
}

impl Passage {
    pub fn unchanged(unit: &Unit) -> Passage {
        Passage {
            pieces: vec![unit.bytes.clone()],
            delay: Span::ZERO,
            gap: Span::ZERO,
            end_before: None,
            end_after: None,
        }
    }

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
            free_at: Time::NEVER,
            held_by: None,
            held: Vec::new(),
            silent: false,
            swallowing: false,
            rate: None,
            postponed: None,
            postponing: false,
            copy: None,
            ended: false,
        }
    }

    /// Bytes that are held or postponed.
    pub fn held_bytes(&self) -> usize {
        self.held.len() + self.postponed.as_ref().map_or(0, Vec::len)
    }

    /// Takes a postponed response that no other follows.
    pub fn take_postponed(&mut self) -> Option<Vec<u8>> {
        self.postponed.take()
    }

    /// One rule acts on a unit; returns what was drawn for it.
    pub fn act(
        &mut self,
        action: &Action,
        rule: usize,
        unit: &Unit,
        random: &mut SmallRng,
        passage: &mut Passage,
    ) -> Vec<u64> {
        let mut drawn = Vec::new();
        match *action {
            Action::Delay { ms, distribution } => {
                let factor = random::factor(random, distribution);
                drawn.push((ms * factor * 1e3) as u64);
                passage.delay += Span::from_secs_f64(ms * factor / 1e3);
            }
            Action::Rate { bytes_per_s } => self.rate = Some(bytes_per_s),
            Action::Slice { gap_ms } => {
                passage.gap = Span::from_secs_f64(gap_ms / 1e3);
                passage.pieces = passage.pieces.concat().into_iter().map(|byte| vec![byte]).collect();
            }
            Action::Hold => self.held_by = Some(rule),
            Action::Drop => passage.pieces.clear(),
            Action::Swallow => self.swallowing = true,
            Action::Silence => self.silent = true,
            Action::HalfClose { side } => passage.end_before = Some(Operation::EndDirection(side.other())),
            Action::Close => passage.end_before = Some(Operation::Close),
            Action::Reset => passage.end_before = Some(Operation::Reset),
            Action::Garble { bytes } => {
                passage.edit(|message| drawn = garble(message, bytes, random));
            }
            Action::Set { at, to } => passage.edit(|message| {
                if let Some(byte) = message.get_mut(at as usize) {
                    *byte = to;
                }
            }),
            Action::FlipLength => passage.edit(|message| drawn = flip_length(message, unit, random)),
            Action::Duplicate => passage.pieces.push(passage.pieces.concat()),
            Action::Noise { bytes } => {
                passage.pieces.push((0..bytes).map(|_| random.random()).collect());
            }
            Action::Truncate { keep } => {
                passage.edit(|message| message.truncate(keep as usize));
                passage.end_after = Some(Operation::Close);
            }
            Action::Repeat => self.copy = self.copy.take().or(Some(Vec::new())),
            Action::Reorder => self.postponing = self.postponed.is_none(),
            Action::Refuse | Action::Ignore => {}
        }
        drawn
    }

    /// What earlier actions on this direction do to a unit's passage. `ready`: the unit ends a response.
    pub fn continue_actions(&mut self, ready: bool, passage: &mut Passage) {
        let pieces = &mut passage.pieces;
        if self.swallowing {
            pieces.clear();
            self.swallowing = !ready;
        }
        if self.silent {
            pieces.clear();
        }
        if let Some(copy) = &mut self.copy {
            copy.extend(pieces.concat());
            if ready && let Some(copy) = self.copy.take() {
                pieces.push(copy);
            }
        }
        if self.postponing {
            self.postponed.get_or_insert_default().extend(pieces.concat());
            pieces.clear();
            self.postponing = !ready;
        } else if ready && let Some(postponed) = self.postponed.take() {
            pieces.push(postponed);
        }
    }

    /// When a piece that may be sent at `at` has passed at the direction's rate.
    pub fn passed_at(&self, at: Time, piece: &[u8]) -> Time {
        match self.rate {
            Some(rate) => at + Span::from_secs_f64(piece.len() as f64 / rate as f64),
            None => at,
        }
    }
}

/// Changes bytes at random places behind the message's head; returns the places.
fn garble(message: &mut [u8], bytes: u32, random: &mut SmallRng) -> Vec<u64> {
    let head = if message.len() > FRAME_HEAD_BYTES { FRAME_HEAD_BYTES } else { 0 };
    let mut places = Vec::new();
    for _ in 0..bytes {
        if head < message.len() {
            let place = random.random_range(head..message.len());
            message[place] ^= random.random_range(1..=255u8);
            places.push(place as u64);
        }
    }
    places
}

/// Flips a random bit of the message's length; returns the bit.
fn flip_length(message: &mut [u8], unit: &Unit, random: &mut SmallRng) -> Vec<u64> {
    let bit = random.random_range(0..LENGTH_BITS);
    // The length stands behind the type byte, which a startup message does not have.
    let from = if unit.kind == "Startup" { 0 } else { 1 };
    if let Some(byte) = message.get_mut(from + bit / 8) {
        *byte ^= 1 << (bit % 8);
    }
    vec![bit as u64]
}
