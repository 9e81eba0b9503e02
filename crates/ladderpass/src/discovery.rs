//! The watch of the endpoint list at discovery: an HTTP/1.1 response in chunks, with one JSON object a line.
//!
//! Bytes in, values out: this module touches no connection, and doesn't know what the list means to the router.

use crate::buffer::Buffer;
use ladderpass_routing::{EndpointState, Time};
use serde::Deserialize;
use thiserror::Error;

/// Header fields of a response that are read at the most.
const MAX_HEADERS: usize = 32;
/// A chunk's size line with its extensions is not longer.
const MAX_CHUNK_HEAD_BYTES: usize = 64;

/// One line of a watch, or the endpoint list that a router starts with.
#[derive(Debug, Deserialize)]
pub struct Listing {
    /// The version of the list; it grows with each change.
    pub generation: u64,
    /// The complete list; otherwise the entries that have changed.
    #[serde(default)]
    pub reset: bool,
    /// The entries.
    pub instances: Vec<Instance>,
}

/// An entry of the list: a member.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// The member's id.
    pub instance_id: String,
    /// Its address, as `address:port`.
    pub host_port: String,
    /// The kind of its machine; members of a kind are alike in speed.
    #[serde(default)]
    pub machine_type: String,
    /// The group that it belongs to.
    pub cell: f64,
    /// Whether it serves.
    pub lifecycle: Lifecycle,
    /// When its process started, in Unix milliseconds; 0 where that is not known.
    #[serde(default)]
    pub started_at_ms: f64,
    /// `leader` for the group's primary.
    #[serde(default)]
    pub role: Option<String>,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its size, where the operator's file says that weights are sizes.
    #[serde(default)]
    pub weight: Option<f64>,
}

/// Whether a member serves, in discovery's words.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Lifecycle {
    /// It takes RPCs.
    Serving,
    /// It takes no new RPCs.
    Draining,
    /// It is no member any more.
    Deleted,
}

impl Instance {
    /// Its state, in the terms of the routing core.
    pub fn state(&self) -> EndpointState {
        match self.lifecycle {
            Lifecycle::Serving => EndpointState::Active,
            Lifecycle::Draining => EndpointState::Draining,
            Lifecycle::Deleted => EndpointState::Removed,
        }
    }

    /// When its process started, by its own clock.
    pub fn started_at(&self) -> Option<Time> {
        (self.started_at_ms > 0.0).then(|| Time::from_nanos((self.started_at_ms * 1e6) as i64))
    }

    /// Whether the list says that it is its group's primary.
    pub fn is_primary(&self) -> bool {
        self.role.as_deref() == Some("leader")
    }
}

/// The HTTP request that opens a watch: what has changed since this generation, and whatever changes later.
pub fn watch_request(host: &str, generation: u64) -> String {
    format!("GET /catalog/members?watch=1&from={generation} HTTP/1.1\r\nHost: {host}\r\nAccept: */*\r\n\r\n")
}

/// Why a watch can't be read any further.
#[derive(Debug, Error)]
pub enum WatchError {
    /// The response's head is not HTTP/1.1.
    #[error("bad head: {0}")]
    Head(httparse::Error),
    /// Discovery did not answer with 200.
    #[error("status {0}")]
    Status(u16),
    /// The response is of another transfer encoding.
    #[error("the answer is not chunked")]
    NotChunked,
    /// Discovery ended the response.
    #[error("the watch has ended")]
    Ended,
    /// A chunk is too large for this machine.
    #[error("chunk too large")]
    ChunkTooLarge,
    /// The line before a chunk is too long.
    #[error("bad chunk")]
    ChunkHeadTooLong,
    /// The line before a chunk gives no size.
    #[error("bad chunk size")]
    ChunkSize,
    /// The chunk is longer than its size.
    #[error("a chunk does not end where it said")]
    ChunkEnd,
    /// A line exceeds the limit.
    #[error("a line is too long")]
    LineTooLong,
    /// A line is no listing.
    #[error("bad line: {0}")]
    Line(#[source] serde_json::Error),
}

/// Where in the response the reader stands.
#[derive(Debug, Default)]
enum Position {
    #[default]
    Head,
    ChunkHead,
    /// So many bytes of a chunk are still to come.
    Chunk(usize),
    ChunkEnd,
}

/// Whether the reader got any further.
enum Step {
    Advanced,
    Listing(Listing),
    NeedsMoreBytes,
}

/// Reads the response of one watch as its bytes come.
#[derive(Debug, Default)]
pub struct WatchReader {
    position: Position,
    line: Vec<u8>,
    has_read: bool,
    nesting: Nesting,
}

/// How deep in a JSON object the bytes so far end. An indented object takes many lines.
#[derive(Debug, Default)]
struct Nesting {
    depth: i64,
    in_string: bool,
    escaped: bool,
}

impl Nesting {
    fn scan(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            match (self.in_string, byte) {
                _ if std::mem::take(&mut self.escaped) => {}
                (true, b'\\') => self.escaped = true,
                (_, b'"') => self.in_string = !self.in_string,
                (false, b'{' | b'[') => self.depth += 1,
                (false, b'}' | b']') => self.depth -= 1,
                _ => {}
            }
        }
    }
}

impl WatchReader {
    /// Whether a line has been read that is not empty.
    pub fn has_read_listing(&self) -> bool {
        self.has_read
    }

    /// Whether the bytes so far end in the middle of an object.
    pub fn is_within_object(&self) -> bool {
        self.nesting.depth > 0
    }

    /// Consumes what it can of the buffer; the next listing, or None when more bytes are needed.
    ///
    /// # Errors
    ///
    /// The response has ended, can't be read, or has a line of more than `max_line_bytes`.
    pub fn read_listing(
        &mut self,
        buffer: &mut Buffer,
        max_line_bytes: usize,
    ) -> Result<Option<Listing>, WatchError> {
        loop {
            let step = match self.position {
                Position::Head => self.read_head(buffer)?,
                Position::ChunkHead => self.read_chunk_head(buffer)?,
                Position::Chunk(0) => self.advance(Position::ChunkEnd),
                Position::Chunk(left) => self.read_chunk(buffer, left, max_line_bytes)?,
                Position::ChunkEnd => self.read_chunk_end(buffer)?,
            };
            match step {
                Step::Advanced => {}
                Step::Listing(listing) => return Ok(Some(listing)),
                Step::NeedsMoreBytes => return Ok(None),
            }
        }
    }

    fn advance(&mut self, position: Position) -> Step {
        self.position = position;
        Step::Advanced
    }

    fn read_head(&mut self, buffer: &mut Buffer) -> Result<Step, WatchError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let parsed = response.parse(buffer.make_contiguous()).map_err(WatchError::Head)?;
        let httparse::Status::Complete(length) = parsed else { return Ok(Step::NeedsMoreBytes) };
        if response.code != Some(200) {
            return Err(WatchError::Status(response.code.unwrap_or(0)));
        }
        let is_chunked = response.headers.iter().any(|header| {
            header.name.eq_ignore_ascii_case("transfer-encoding")
                && header.value.eq_ignore_ascii_case(b"chunked")
        });
        if !is_chunked {
            return Err(WatchError::NotChunked);
        }
        buffer.consume(length);
        Ok(self.advance(Position::ChunkHead))
    }

    fn read_chunk_head(&mut self, buffer: &mut Buffer) -> Result<Step, WatchError> {
        let bytes = buffer.make_contiguous();
        match httparse::parse_chunk_size(bytes) {
            Ok(httparse::Status::Complete((_, 0))) => Err(WatchError::Ended),
            Ok(httparse::Status::Complete((length, size))) => {
                let size = usize::try_from(size).map_err(|_| WatchError::ChunkTooLarge)?;
                buffer.consume(length);
                Ok(self.advance(Position::Chunk(size)))
            }
            Ok(httparse::Status::Partial) if bytes.len() > MAX_CHUNK_HEAD_BYTES => {
                Err(WatchError::ChunkHeadTooLong)
            }
            Ok(httparse::Status::Partial) => Ok(Step::NeedsMoreBytes),
            Err(_) => Err(WatchError::ChunkSize),
        }
    }

    /// Reads up to the next line's end in a chunk of which `left` bytes are still to come.
    fn read_chunk(
        &mut self,
        buffer: &mut Buffer,
        left: usize,
        max_line_bytes: usize,
    ) -> Result<Step, WatchError> {
        let bytes = buffer.make_contiguous();
        if bytes.is_empty() {
            return Ok(Step::NeedsMoreBytes);
        }
        let chunk = bytes.get(..left).unwrap_or(bytes);
        let end = chunk.iter().position(|&byte| byte == b'\n');
        let used = end.map_or(chunk.len(), |end| end + 1);
        let part = chunk.get(..used).unwrap_or_default();
        self.line.extend_from_slice(part);
        self.nesting.scan(part);
        buffer.consume(used);
        self.position = Position::Chunk(left - used);
        if self.line.len() > max_line_bytes {
            return Err(WatchError::LineTooLong);
        }
        if end.is_none() || self.nesting.depth > 0 {
            return Ok(Step::Advanced);
        }
        self.nesting = Nesting::default();
        let line = std::mem::take(&mut self.line);
        if line.trim_ascii().is_empty() {
            return Ok(Step::Advanced);
        }
        self.has_read = true;
        serde_json::from_slice(&line).map(Step::Listing).map_err(WatchError::Line)
    }

    fn read_chunk_end(&mut self, buffer: &mut Buffer) -> Result<Step, WatchError> {
        match buffer.make_contiguous() {
            [b'\r', b'\n', ..] => {
                buffer.consume(2);
                Ok(self.advance(Position::ChunkHead))
            }
            [] | [b'\r'] => Ok(Step::NeedsMoreBytes),
            _ => Err(WatchError::ChunkEnd),
        }
    }
}
