//! Messages in a stream of bytes: PostgreSQL v3 frames, HTTP/1.1 heads and chunks; or bytes as they come.
//!
//! It owns where messages begin and end. However bytes are sliced on the way, the units are the same, which is what makes a
//! run repeat itself. What can't be a message passes unchanged from there on.

use crate::talk::{Side, Talk};

/// A part of the stream that rules can hit: a whole message, or bytes that belong to none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unit {
    /// Where in its direction it begins.
    pub at: u64,
    pub kind: &'static str,
    pub bytes: Vec<u8>,
}

/// Longest message that is held to be whole; a longer one passes in pieces.
pub const WHOLE: usize = 256 << 10;

#[derive(Debug)]
pub struct Scanner {
    talk: Talk,
    side: Side,
    at: u64,
    kept: Vec<u8>,
    place: Place,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Place {
    /// The first message, which has no type byte, or an HTTP head.
    First,
    Messages,
    /// The rest of a message too long to be held.
    Rest(u64),
    /// What can't be read: as it comes.
    Lost,
}

impl Scanner {
    pub fn new(talk: Talk, side: Side) -> Scanner {
        // Servers of PostgreSQL begin with frames; the one byte that answers a wish for TLS is no frame, and passes as lost.
        let place = match (talk, side) {
            (Talk::Raw, _) => Place::Lost,
            (Talk::Postgres, Side::Server) => Place::Messages,
            _ => Place::First,
        };
        Scanner { talk, side, at: 0, kept: Vec::new(), place }
    }

    /// Bytes that are held until their message is whole.
    pub fn held(&self) -> usize {
        self.kept.len()
    }

    pub fn feed(&mut self, bytes: &[u8]) -> Vec<Unit> {
        self.kept.extend_from_slice(bytes);
        let mut units = Vec::new();
        while !self.kept.is_empty() {
            let (kind, length) = match self.place {
                Place::Lost => ("bytes", self.kept.len()),
                Place::Rest(left) => {
                    let here = self.kept.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    let left = left - here as u64;
                    self.place = if left == 0 { Place::Messages } else { Place::Rest(left) };
                    ("rest", here)
                }
                Place::First | Place::Messages => match self.next() {
                    Next::Whole(kind, length) => {
                        self.place = Place::Messages;
                        (kind, length)
                    }
                    Next::More => break,
                    // Its head alone is told by its kind, so that the unit does not depend on how much was there.
                    Next::Long(kind, head, whole) => {
                        self.place = Place::Rest(whole - head as u64);
                        (kind, head)
                    }
                    Next::No => {
                        self.place = Place::Lost;
                        continue;
                    }
                },
            };
            let rest = self.kept.split_off(length);
            let bytes = std::mem::replace(&mut self.kept, rest);
            units.push(Unit { at: self.at, kind, bytes });
            self.at += length as u64;
        }
        units
    }

    /// What is left when its sender has ended: a message cut short.
    pub fn end(&mut self) -> Option<Unit> {
        let bytes = std::mem::take(&mut self.kept);
        let at = self.at;
        self.at += bytes.len() as u64;
        (!bytes.is_empty()).then_some(Unit { at, kind: "cut", bytes })
    }

    fn next(&self) -> Next {
        match (self.talk, self.place) {
            (Talk::Postgres, Place::First) => match self.kept.first_chunk::<4>() {
                None => Next::More,
                Some(four) => Next::of("Startup", u64::from(u32::from_be_bytes(*four)), 4, self.kept.len()),
            },
            (Talk::Postgres, _) => {
                let (Some(&kind), Some(four)) =
                    (self.kept.first(), self.kept.get(1..).and_then(|rest| rest.first_chunk::<4>()))
                else {
                    return Next::More;
                };
                if !kind.is_ascii_alphabetic() {
                    return Next::No;
                }
                let length = u64::from(u32::from_be_bytes(*four));
                Next::of(frame_kind(self.side, kind), length + 1, 5, self.kept.len())
            }
            (Talk::Http, Place::First) => match self.kept.windows(4).position(|four| four == b"\r\n\r\n") {
                Some(end) => Next::Whole("Head", end + 4),
                None if self.kept.len() > WHOLE => Next::No,
                None => Next::More,
            },
            // Behind a call's head nothing is expected; behind an answer's stand chunks.
            (Talk::Http, _) if self.side == Side::Client => Next::No,
            (Talk::Http, _) => {
                let Some(end) = self.kept.windows(2).position(|two| two == b"\r\n") else {
                    return if self.kept.len() > 64 { Next::No } else { Next::More };
                };
                let head = std::str::from_utf8(&self.kept[..end]).unwrap_or("-");
                match u64::from_str_radix(head.split(';').next().unwrap_or("-").trim(), 16) {
                    Ok(size) => {
                        Next::of("Chunk", size.saturating_add(end as u64 + 4), end + 2, self.kept.len())
                    }
                    Err(_) => Next::No,
                }
            }
            (Talk::Raw, _) => Next::No,
        }
    }
}

enum Next {
    Whole(&'static str, usize),
    More,
    /// Longer than what is held: with the length of its head, and of all of it.
    Long(&'static str, usize, u64),
    No,
}

impl Next {
    /// A message of this length, with a head of at least so much.
    fn of(kind: &'static str, length: u64, head: usize, here: usize) -> Next {
        match length {
            length if length < head as u64 || length > u64::from(u32::MAX) => Next::No,
            length if length > WHOLE as u64 => Next::Long(kind, head, length),
            length if length <= here as u64 => Next::Whole(kind, length as usize),
            _ => Next::More,
        }
    }
}

/// Names of message types, as PostgreSQL's documentation has them.
fn frame_kind(side: Side, kind: u8) -> &'static str {
    match (side, kind) {
        (Side::Client, b'Q') => "Query",
        (Side::Client, b'P') => "Parse",
        (Side::Client, b'B') => "Bind",
        (Side::Client, b'E') => "Execute",
        (Side::Client, b'S') => "Sync",
        (Side::Client, b'X') => "Terminate",
        (Side::Server, b'R') => "Authentication",
        (Side::Server, b'S') => "ParameterStatus",
        (Side::Server, b'K') => "BackendKeyData",
        (Side::Server, b'Z') => "ReadyForQuery",
        (Side::Server, b'T') => "RowDescription",
        (Side::Server, b'D') => "DataRow",
        (Side::Server, b'C') => "CommandComplete",
        (Side::Server, b'E') => "ErrorResponse",
        (Side::Server, b'N') => "NoticeResponse",
        (Side::Server, b'I') => "EmptyQueryResponse",
        _ => "Other",
    }
}
