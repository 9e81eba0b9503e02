//! Finds messages in a stream of bytes: PostgreSQL v3 frames, or HTTP/1.1 heads and chunks. A raw stream passes as
//! plain bytes, and so does the rest of a stream from the first bytes on that can't be a message. The messages do not
//! depend on how the bytes are split into reads, which makes runs repeatable.

use crate::protocol::{Protocol, Side};

/// A part of a stream that rules can act on: a message, a part of a message that is too long to be buffered, or bytes
/// that belong to no message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unit {
    /// Offset of the unit's first byte in its direction.
    pub offset: u64,
    /// Kind of the message. It is `bytes` for plain bytes, `rest` for bytes behind the header of a message that is too
    /// long to be buffered, and `cut` for an incomplete message at the end of the direction.
    pub kind: &'static str,
    /// Content of the unit.
    pub bytes: Vec<u8>,
}

/// Size of the longest message that is buffered until it is complete. A longer message passes in pieces.
pub const MAX_BUFFERED_MESSAGE_BYTES: usize = 256 << 10;

/// Length of the longest line with the size of an HTTP chunk.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 64;
/// The end of a line in HTTP.
const LINE_END: &[u8] = b"\r\n";
/// The end of an HTTP head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Size of the length field of a PostgreSQL message.
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
    /// The first message of the direction: a startup message, which has no type byte, or an HTTP head.
    First,
    Message,
    /// The remaining bytes of a message that is too long to be buffered, with their number.
    Rest(u64),
    /// Plain bytes, which pass as they arrive.
    Bytes,
}

impl MessageScanner {
    /// Returns a scanner for the bytes that `side` sends on a connection, from the first byte on.
    pub fn new(protocol: Protocol, side: Side) -> MessageScanner {
        // A PostgreSQL server begins with a frame. The single byte with which the server answers an SSLRequest is no
        // frame: that byte stays buffered until four more bytes have arrived.
        let expected = match (protocol, side) {
            (Protocol::Raw, _) => Expected::Bytes,
            (Protocol::Postgres, Side::Server) => Expected::Message,
            _ => Expected::First,
        };
        MessageScanner { protocol, side, offset: 0, buffer: Vec::new(), expected }
    }

    /// Returns the number of bytes that are buffered until their message is complete.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Adds the next bytes, and returns the units that they complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<Unit> {
        self.buffer.extend_from_slice(bytes);
        let mut units = Vec::new();
        while !self.buffer.is_empty() {
            let (kind, length) = match self.expected {
                Expected::Bytes => ("bytes", self.buffer.len()),
                Expected::Rest(remaining) => {
                    let available = self.buffer.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
                    let remaining = remaining - available as u64;
                    self.expected =
                        if remaining == 0 { Expected::Message } else { Expected::Rest(remaining) };
                    ("rest", available)
                }
                Expected::First | Expected::Message => match self.scan() {
                    ScanResult::Complete { kind, length } => {
                        self.expected = Expected::Message;
                        (kind, length)
                    }
                    ScanResult::Incomplete => break,
                    // The unit for the start of a message that is too long has only the message's header, so that the
                    // unit does not depend on how many bytes have arrived.
                    ScanResult::TooLong { kind, header_bytes, length } => {
                        self.expected = Expected::Rest(length - header_bytes as u64);
                        (kind, header_bytes)
                    }
                    ScanResult::NoMessage => {
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

    /// Returns the bytes that are buffered when the sender ends its direction, which are an incomplete message.
    pub fn end(&mut self) -> Option<Unit> {
        let bytes = std::mem::take(&mut self.buffer);
        let offset = self.offset;
        self.offset += bytes.len() as u64;
        (!bytes.is_empty()).then_some(Unit { offset, kind: "cut", bytes })
    }

    /// Examines the start of the buffer for a message.
    fn scan(&self) -> ScanResult {
        match (self.protocol, self.expected) {
            (Protocol::Postgres, Expected::First) => self.scan_startup(),
            (Protocol::Postgres, _) => self.scan_frame(),
            (Protocol::Http, Expected::First) => self.scan_http_head(),
            // A request consists of a head only. A response's head is followed by chunks.
            (Protocol::Http, _) if self.side == Side::Client => ScanResult::NoMessage,
            (Protocol::Http, _) => self.scan_chunk(),
            (Protocol::Raw, _) => ScanResult::NoMessage,
        }
    }

    /// Examines the buffer for a PostgreSQL startup message, which has a length and a body. The length includes its own
    /// four bytes.
    fn scan_startup(&self) -> ScanResult {
        let Some(length) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return ScanResult::Incomplete;
        };
        let length = u64::from(u32::from_be_bytes(*length));
        ScanResult::from_length("Startup", length, LENGTH_BYTES, self.buffer.len())
    }

    /// Examines the buffer for a PostgreSQL frame, which has a type, a length and a body. The length includes its own
    /// four bytes and the body.
    fn scan_frame(&self) -> ScanResult {
        let Some((&frame_type, rest)) = self.buffer.split_first() else { return ScanResult::Incomplete };
        let Some(length) = rest.first_chunk::<LENGTH_BYTES>() else { return ScanResult::Incomplete };
        if !frame_type.is_ascii_alphabetic() {
            return ScanResult::NoMessage;
        }
        let length = u64::from(u32::from_be_bytes(*length)) + 1;
        ScanResult::from_length(
            frame_kind(self.side, frame_type),
            length,
            1 + LENGTH_BYTES,
            self.buffer.len(),
        )
    }

    fn scan_http_head(&self) -> ScanResult {
        match position_of(HEAD_END, &self.buffer) {
            Some(end) => ScanResult::Complete { kind: "Head", length: end + HEAD_END.len() },
            None if self.buffer.len() > MAX_BUFFERED_MESSAGE_BYTES => ScanResult::NoMessage,
            None => ScanResult::Incomplete,
        }
    }

    /// Examines the buffer for an HTTP chunk. A chunk is a line with the size in hexadecimal digits and, after a
    /// semicolon, any extensions, followed by the bytes and a line end.
    fn scan_chunk(&self) -> ScanResult {
        let Some(size_end) = position_of(LINE_END, &self.buffer) else {
            let is_too_long = self.buffer.len() > MAX_CHUNK_SIZE_LINE_BYTES;
            return if is_too_long { ScanResult::NoMessage } else { ScanResult::Incomplete };
        };
        let size_line = std::str::from_utf8(&self.buffer[..size_end]).unwrap_or_default();
        let size = size_line.split(';').next().unwrap_or_default().trim();
        let Ok(size) = u64::from_str_radix(size, 16) else { return ScanResult::NoMessage };
        let header_bytes = size_end + LINE_END.len();
        let length = size.saturating_add((header_bytes + LINE_END.len()) as u64);
        ScanResult::from_length("Chunk", length, header_bytes, self.buffer.len())
    }
}

fn position_of(end: &[u8], bytes: &[u8]) -> Option<usize> {
    bytes.windows(end.len()).position(|window| window == end)
}

/// The result of examining the start of the buffer.
enum ScanResult {
    Complete {
        kind: &'static str,
        /// Length of the whole message, in bytes.
        length: usize,
    },
    /// The buffer has only the start of a message.
    Incomplete,
    /// The message is too long to be buffered.
    TooLong {
        kind: &'static str,
        /// Length of the message's header, in bytes.
        header_bytes: usize,
        /// Length of the whole message, in bytes.
        length: u64,
    },
    NoMessage,
}

impl ScanResult {
    /// Returns the result for a message of `length` bytes, including a header of `header_bytes`, if `buffered` bytes
    /// have arrived.
    fn from_length(kind: &'static str, length: u64, header_bytes: usize, buffered: usize) -> ScanResult {
        match length {
            length if length < header_bytes as u64 || length > u64::from(u32::MAX) => ScanResult::NoMessage,
            length if length > MAX_BUFFERED_MESSAGE_BYTES as u64 => {
                ScanResult::TooLong { kind, header_bytes, length }
            }
            length if length <= buffered as u64 => ScanResult::Complete { kind, length: length as usize },
            _ => ScanResult::Incomplete,
        }
    }
}

/// Returns the name that PostgreSQL's documentation has for a message type, or `Other` for a type that is not here.
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
