//! Finds messages in a stream of bytes: PostgreSQL v3 frames, HTTP/1.1 heads and chunks; or bytes as they arrive.
//! However the bytes are split into reads, the messages are the same, which makes runs repeatable. From the first bytes
//! on that can't be a message, a stream passes as plain bytes.

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

/// The longest line with the size of a chunk in HTTP.
const MAX_CHUNK_HEAD_BYTES: usize = 64;
/// The end of a line, and of a head, in HTTP.
const LINE_END: &[u8] = b"\r\n";
const HEAD_END: &[u8] = b"\r\n\r\n";
/// The length at the start of a PostgreSQL message.
const LENGTH_BYTES: usize = 4;

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
                    Next::Complete { kind, length } => {
                        self.expected = Expected::Message;
                        (kind, length)
                    }
                    Next::Incomplete => break,
                    // Only its head gets its kind, so that the unit does not depend on how much has arrived.
                    Next::TooLong { kind, head_bytes, length } => {
                        self.expected = Expected::Rest(length - head_bytes as u64);
                        (kind, head_bytes)
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

    /// What stands at the start of the buffer.
    fn next(&self) -> Next {
        match (self.protocol, self.expected) {
            (Protocol::Postgres, Expected::First) => self.next_startup(),
            (Protocol::Postgres, _) => self.next_frame(),
            (Protocol::Http, Expected::First) => self.next_http_head(),
            // A request has a head alone; behind that of a response come chunks.
            (Protocol::Http, _) if self.side == Side::Client => Next::NoMessage,
            (Protocol::Http, _) => self.next_chunk(),
            (Protocol::Raw, _) => Next::NoMessage,
        }
    }

    /// A startup message of PostgreSQL: its length, which counts itself, and its body.
    fn next_startup(&self) -> Next {
        let Some(length) = self.buffer.first_chunk::<LENGTH_BYTES>() else { return Next::Incomplete };
        let length = u64::from(u32::from_be_bytes(*length));
        Next::from_length("Startup", length, LENGTH_BYTES, self.buffer.len())
    }

    /// A frame of PostgreSQL: its type, its length, which counts all but the type, and its body.
    fn next_frame(&self) -> Next {
        let Some((&frame_type, rest)) = self.buffer.split_first() else { return Next::Incomplete };
        let Some(length) = rest.first_chunk::<LENGTH_BYTES>() else { return Next::Incomplete };
        if !frame_type.is_ascii_alphabetic() {
            return Next::NoMessage;
        }
        let length = u64::from(u32::from_be_bytes(*length)) + 1;
        Next::from_length(frame_kind(self.side, frame_type), length, 1 + LENGTH_BYTES, self.buffer.len())
    }

    fn next_http_head(&self) -> Next {
        match position_of(HEAD_END, &self.buffer) {
            Some(end) => Next::Complete { kind: "Head", length: end + HEAD_END.len() },
            None if self.buffer.len() > MAX_BUFFERED_MESSAGE_BYTES => Next::NoMessage,
            None => Next::Incomplete,
        }
    }

    /// A chunk of HTTP: a line with its size in hexadecimal digits and, behind a semicolon, extensions; then its bytes
    /// and the end of a line.
    fn next_chunk(&self) -> Next {
        let Some(size_end) = position_of(LINE_END, &self.buffer) else {
            let is_too_long = self.buffer.len() > MAX_CHUNK_HEAD_BYTES;
            return if is_too_long { Next::NoMessage } else { Next::Incomplete };
        };
        let size_line = std::str::from_utf8(&self.buffer[..size_end]).unwrap_or_default();
        let size = size_line.split(';').next().unwrap_or_default().trim();
        let Ok(size) = u64::from_str_radix(size, 16) else { return Next::NoMessage };
        let head_bytes = size_end + LINE_END.len();
        let length = size.saturating_add((head_bytes + LINE_END.len()) as u64);
        Next::from_length("Chunk", length, head_bytes, self.buffer.len())
    }
}

fn position_of(end: &[u8], bytes: &[u8]) -> Option<usize> {
    bytes.windows(end.len()).position(|window| window == end)
}

/// What stands at the start of the buffer.
enum Next {
    Complete {
        kind: &'static str,
        /// Its whole length, in bytes.
        length: usize,
    },
    /// The start of a message.
    Incomplete,
    /// A message too long to be buffered.
    TooLong {
        kind: &'static str,
        /// Length of its head, in bytes.
        head_bytes: usize,
        /// Its whole length, in bytes.
        length: u64,
    },
    NoMessage,
}

impl Next {
    /// A message of this length, whose head of `head_bytes` counts in it, with `buffered` bytes of it at hand.
    fn from_length(kind: &'static str, length: u64, head_bytes: usize, buffered: usize) -> Next {
        match length {
            length if length < head_bytes as u64 || length > u64::from(u32::MAX) => Next::NoMessage,
            length if length > MAX_BUFFERED_MESSAGE_BYTES as u64 => {
                Next::TooLong { kind, head_bytes, length }
            }
            length if length <= buffered as u64 => Next::Complete { kind, length: length as usize },
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
