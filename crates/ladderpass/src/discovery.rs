//! The watch of the endpoint list at discovery: a chunked HTTP/1.1 response that carries one JSON object after another,
//! each ended by a newline.
//!
//! This module only parses: it uses no connection, and doesn't decide what the list means for the router.

use crate::buffer::Buffer;
use ladderpass_routing::{EndpointState, Time};
use serde::Deserialize;
use thiserror::Error;

/// The maximum number of header fields that discovery's HTTP response may have.
const MAX_HEADERS: usize = 32;
/// The maximum number of bytes in the size line of a chunk, extensions included.
const MAX_CHUNK_HEAD_BYTES: usize = 64;

/// One JSON object that discovery sends on a watch, or the endpoint list that a router starts with.
#[derive(Debug, Deserialize)]
pub struct Listing {
    /// The version number of the endpoint list, which increases with each change.
    pub generation: u64,
    /// Whether `instances` is the complete endpoint list. Otherwise it contains only the entries that have changed.
    #[serde(default)]
    pub reset: bool,
    /// The entries of the endpoint list, one for each member.
    pub instances: Vec<Instance>,
}

/// An entry of the endpoint list, which describes one member.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// The member's id.
    pub instance_id: String,
    /// The member's address, as `address:port`.
    pub host_port: String,
    /// The type of the machine that the member runs on. Members on machines of the same type are similar in speed.
    #[serde(default)]
    pub machine_type: String,
    /// The group that the member belongs to.
    pub cell: f64,
    /// The lifecycle state of the member: whether it accepts RPCs, drains or was removed.
    pub lifecycle: Lifecycle,
    /// When the member's process started, in Unix milliseconds; 0 if that is not known.
    #[serde(default)]
    pub started_at_ms: f64,
    /// The member's role in its group, which is `leader` for the primary.
    #[serde(default)]
    pub role: Option<String>,
    /// The member's zone.
    #[serde(default)]
    pub zone: String,
    /// The member's size: how many RPCs the member works on at once. This value is used only if the operator's file
    /// says that weights are sizes.
    #[serde(default)]
    pub weight: Option<f64>,
}

/// The lifecycle state of a member, with the names that discovery uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Lifecycle {
    /// The member accepts RPCs.
    Serving,
    /// The member accepts no new RPCs.
    Draining,
    /// The instance is no longer a member of its group.
    Deleted,
}

impl Instance {
    /// Returns the member's lifecycle state as the routing core names it.
    pub fn state(&self) -> EndpointState {
        match self.lifecycle {
            Lifecycle::Serving => EndpointState::Active,
            Lifecycle::Draining => EndpointState::Draining,
            Lifecycle::Deleted => EndpointState::Removed,
        }
    }

    /// Returns when the member's process started, by the member's own clock; `None` if that is not known.
    pub fn started_at(&self) -> Option<Time> {
        (self.started_at_ms > 0.0).then(|| Time::from_nanos((self.started_at_ms * 1e6) as i64))
    }

    /// Returns whether the list marks the member as its group's primary.
    pub fn is_primary(&self) -> bool {
        self.role.as_deref() == Some("leader")
    }
}

/// Returns the HTTP request that opens a watch of the endpoint list. Discovery responds with the changes since
/// `generation`, and then with each later change.
pub fn watch_request(host: &str, generation: u64) -> String {
    format!("GET /catalog/members?watch=1&from={generation} HTTP/1.1\r\nHost: {host}\r\nAccept: */*\r\n\r\n")
}

/// The reason why the response of a watch can't be read any further.
#[derive(Debug, Error)]
pub enum WatchError {
    /// The status line and headers of the response are not valid HTTP.
    #[error("invalid response head: {0}")]
    Head(httparse::Error),
    /// Discovery responded with a status other than 200.
    #[error("HTTP status {0}")]
    Status(u16),
    /// The response does not have the transfer encoding `chunked`.
    #[error("the response is not chunked")]
    NotChunked,
    /// Discovery ended the response.
    #[error("discovery ended the watch")]
    Ended,
    /// The size of a chunk does not fit into the machine's `usize`.
    #[error("a chunk is too large")]
    ChunkTooLarge,
    /// The size line of a chunk exceeds `MAX_CHUNK_HEAD_BYTES`.
    #[error("the size line of a chunk is too long")]
    ChunkHeadTooLong,
    /// The size line of a chunk contains no valid size.
    #[error("invalid chunk size")]
    ChunkSize,
    /// The bytes after a chunk are not the line break that must end the chunk, so the chunk's size is wrong.
    #[error("a chunk does not end after its size")]
    ChunkEnd,
    /// A JSON object, or an empty line, is longer than the `max_line_bytes` of [`WatchReader::read_listing`].
    #[error("a JSON object is too long")]
    LineTooLong,
    /// A complete JSON object is not a valid [`Listing`].
    #[error("invalid JSON object: {0}")]
    Line(#[source] serde_json::Error),
}

/// The part of a watch's response that the parser expects next.
#[derive(Debug, Default)]
enum Position {
    #[default]
    Head,
    ChunkHead,
    /// The rest of a chunk. The field is the number of the chunk's bytes that have not been read yet.
    Chunk(usize),
    ChunkEnd,
}

/// The result of one step in parsing a watch's response.
enum Step {
    Advanced,
    Listing(Listing),
    NeedsMoreBytes,
}

/// An incremental parser for discovery's response to one watch request.
#[derive(Debug, Default)]
pub struct WatchReader {
    position: Position,
    line: Vec<u8>,
    has_read: bool,
    nesting: Nesting,
}

/// The depth of nested JSON objects and arrays at the end of the bytes that have been read. The depth shows where an
/// object ends, since an indented object takes many lines.
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
    /// Returns whether a complete JSON object has been read from the response of the watch.
    pub fn has_read_listing(&self) -> bool {
        self.has_read
    }

    /// Returns whether the bytes that have been read end in the middle of a JSON object.
    pub fn is_within_object(&self) -> bool {
        self.nesting.depth > 0
    }

    /// Consumes bytes of the buffer up to the end of the next JSON object, and returns that object as a listing.
    /// Returns `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails if the response has ended, can't be parsed, or contains an object of more than `max_line_bytes`.
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
                Position::Chunk(remaining) => self.read_chunk(buffer, remaining, max_line_bytes)?,
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

    /// Reads up to the next line break in a chunk of which `remaining` bytes have not been read.
    fn read_chunk(
        &mut self,
        buffer: &mut Buffer,
        remaining: usize,
        max_line_bytes: usize,
    ) -> Result<Step, WatchError> {
        let bytes = buffer.make_contiguous();
        if bytes.is_empty() {
            return Ok(Step::NeedsMoreBytes);
        }
        let chunk = bytes.get(..remaining).unwrap_or(bytes);
        let end = chunk.iter().position(|&byte| byte == b'\n');
        let used = end.map_or(chunk.len(), |end| end + 1);
        let part = chunk.get(..used).unwrap_or_default();
        self.line.extend_from_slice(part);
        self.nesting.scan(part);
        buffer.consume(used);
        self.position = Position::Chunk(remaining - used);
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
