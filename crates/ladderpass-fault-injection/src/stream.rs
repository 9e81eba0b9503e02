//! Finds messages in a stream of bytes: PostgreSQL v3 frames, HTTP/1.1 heads and chunks; or bytes as they arrive. However
//! the bytes are split into reads, the messages are the same, which makes runs repeatable. From the first bytes on that
//! can't be a message, a stream passes as plain bytes.

use crate::protocol::{Protocol, Side};

/// A part of a stream that rules can act on: a complete message, or bytes that belong to none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unit {
    /// Where in its direction it begins, in bytes.
    pub offset: u64,
    /// A message's name, or `bytes`, `rest` or `cut` where it is none.
    pub kind: &'static str,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// The longest message that is buffered until it is complete; a longer one passes in pieces.
pub const MAX_BUFFERED_MESSAGE_BYTES: usize = 256 << 10;

/// The longest chunk size line of HTTP.
const MAX_CHUNK_HEAD_BYTES: usize = 64;

/// Finds the messages of one direction of a connection.
#[derive(Debug)]
pub struct MessageScanner {
    protocol: Protocol,
    side: Side,
    offset: u64,
    buffer: Vec<u8>,
    expected: Expected,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    /// The first message, which has no type byte, or an HTTP head.
    First,
    Message,
    /// The rest of a message too long to be buffered, in bytes.
    Rest(u64),
    /// Anything: it passes as it arrives.
    Bytes,
}

impl MessageScanner {
    /// A scanner of what `side` sends on a connection, from its first byte on.
    pub fn new(protocol: Protocol, side: Side) -> MessageScanner {
        // PostgreSQL servers begin with frames; the one byte that answers an SSLRequest is none, and passes as bytes.
        let expected = match (protocol, side) {
            (Protocol::Raw, _) => Expected::Bytes,
            (Protocol::Postgres, Side::Server) => Expected::Message,
            _ => Expected::First,
        };
        MessageScanner { protocol, side, offset: 0, buffer: Vec::new(), expected }
    }

    /// Bytes that are buffered until their message is complete.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the next bytes; gives the units that they complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<Unit> {
        self.buffer.extend_from_slice(bytes);
        let mut units = Vec::new();
        while !self.buffer.is_empty() {
            let (kind, length) = match self.expected {
                Expected::Bytes => ("bytes", self.buffer.len()),
                Expected::Rest(left) => {
                    let available = self.buffer.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    let left = left - available as u64;
                    self.expected = if left == 0 { Expected::Message } else { Expected::Rest(left) };
                    ("rest", available)
                }
                Expected::First | Expected::Message => match self.next() {
                    Next::Complete(kind, length) => {
                        self.expected = Expected::Message;
                        (kind, length)
                    }
                    Next::Incomplete => break,
                    // Only its head gets its kind, so that the unit does not depend on how much has arrived.
                    Next::TooLong(kind, head, length) => {
                        self.expected = Expected::Rest(length - head as u64);
                        (kind, head)
                    }
                    Next::NoMessage => {
                        self.expected = Expected::Bytes;
                        continue;
                    }
                },
            };
            let rest = self.buffer.split_off(length);
            let bytes = std::mem::replace(&mut self.buffer, rest);
            units.push(Unit { offset: self.offset, kind, bytes });
            self.offset += length as u64;
        }
        units
    }

    /// What is buffered when the sender has ended its direction: a message cut short.
    pub fn end(&mut self) -> Option<Unit> {
        let bytes = std::mem::take(&mut self.buffer);
        let offset = self.offset;
        self.offset += bytes.len() as u64;
        (!bytes.is_empty()).then_some(Unit { offset, kind: "cut", bytes })
    }

    fn next(&self) -> Next {
        match (self.protocol, self.expected) {
            (Protocol::Postgres, Expected::First) => match self.buffer.first_chunk::<4>() {
                None => Next::Incomplete,
                Some(four) => {
                    Next::from_length("Startup", u64::from(u32::from_be_bytes(*four)), 4, self.buffer.len())
                }
            },
            (Protocol::Postgres, _) => {
                let (Some(&kind), Some(four)) =
                    (self.buffer.first(), self.buffer.get(1..).and_then(|rest| rest.first_chunk::<4>()))
                else {
                    return Next::Incomplete;
                };
                if !kind.is_ascii_alphabetic() {
                    return Next::NoMessage;
                }
                let length = u64::from(u32::from_be_bytes(*four));
                Next::from_length(frame_kind(self.side, kind), length + 1, 5, self.buffer.len())
            }
            (Protocol::Http, Expected::First) => {
                match self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                    Some(end) => Next::Complete("Head", end + 4),
                    None if self.buffer.len() > MAX_BUFFERED_MESSAGE_BYTES => Next::NoMessage,
                    None => Next::Incomplete,
                }
            }
            // A request has a head alone; behind that of a response come chunks.
            (Protocol::Http, _) if self.side == Side::Client => Next::NoMessage,
            (Protocol::Http, _) => {
                let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") else {
                    return if self.buffer.len() > MAX_CHUNK_HEAD_BYTES {
                        Next::NoMessage
                    } else {
                        Next::Incomplete
                    };
                };
                let head = std::str::from_utf8(&self.buffer[..end]).unwrap_or("-");
                match u64::from_str_radix(head.split(';').next().unwrap_or("-").trim(), 16) {
                    Ok(size) => Next::from_length(
                        "Chunk",
                        size.saturating_add(end as u64 + 4),
                        end + 2,
                        self.buffer.len(),
                    ),
                    Err(_) => Next::NoMessage,
                }
            }
            (Protocol::Raw, _) => Next::NoMessage,
        }
    }
}

/// What stands at the start of the buffer.
enum Next {
    /// A complete message: its kind and length.
    Complete(&'static str, usize),
    /// The start of a message.
    Incomplete,
    /// A message too long to be buffered: its kind, the length of its head, and its whole length.
    TooLong(&'static str, usize, u64),
    NoMessage,
}

impl Next {
    /// A message of this length, of which `head` bytes are the least and `buffered` are there.
    fn from_length(kind: &'static str, length: u64, head: usize, buffered: usize) -> Next {
        match length {
            length if length < head as u64 || length > u64::from(u32::MAX) => Next::NoMessage,
            length if length > MAX_BUFFERED_MESSAGE_BYTES as u64 => Next::TooLong(kind, head, length),
            length if length <= buffered as u64 => Next::Complete(kind, length as usize),
            _ => Next::Incomplete,
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
