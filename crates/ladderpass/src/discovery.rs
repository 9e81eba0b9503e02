//! The list watch of discovery: an HTTP/1.1 answer in chunks, with one JSON object a line.
//!
//! It owns the shape of that answer: bytes in, values out. It must never touch a connection, nor know what the
//! list means to the router.

use crate::buffer::Buffer;
use ladderpass_routing::{EndpointState, Time};
use serde::Deserialize;

/// One line of a watch, or the remembered list.
#[derive(Debug, Deserialize)]
pub struct Listing {
    pub generation: u64,
    #[serde(default)]
    pub reset: bool,
    pub instances: Vec<Instance>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    pub instance_id: String,
    pub host_port: String,
    #[serde(default)]
    pub machine_type: String,
    pub cell: f64,
    pub lifecycle: Lifecycle,
    #[serde(default)]
    pub started_at_ms: f64,
    #[serde(default)]
    pub role: Option<String>,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub weight: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Lifecycle {
    Serving,
    Draining,
    Deleted,
}

impl Instance {
    pub fn standing(&self) -> EndpointState {
        match self.lifecycle {
            Lifecycle::Serving => EndpointState::Active,
            Lifecycle::Draining => EndpointState::Draining,
            Lifecycle::Deleted => EndpointState::Removed,
        }
    }

    pub fn born(&self) -> Option<Time> {
        (self.started_at_ms > 0.0).then(|| Time::from_nanos((self.started_at_ms * 1e6) as i64))
    }

    pub fn is_primary(&self) -> bool {
        self.role.as_deref() == Some("leader")
    }
}

/// The call that opens a watch.
pub fn call(host: &str, generation: u64) -> String {
    format!("GET /catalog/members?watch=1&from={generation} HTTP/1.1\r\nHost: {host}\r\nAccept: */*\r\n\r\n")
}

#[derive(Debug, PartialEq, Eq)]
pub struct Fault(pub String);

fn fault(text: impl Into<String>) -> Fault {
    Fault(text.into())
}

/// Where in the answer the reader stands.
#[derive(Debug, Default)]
enum Place {
    #[default]
    Head,
    ChunkHead,
    Chunk(usize),
    ChunkEnd,
}

/// Reads the answer of one call as its bytes come.
#[derive(Debug, Default)]
pub struct Reader {
    place: Place,
    line: Vec<u8>,
    read: bool,
    depth: Depth,
}

/// How deep in an object the bytes so far end. Lists may come indented: then one stands on many lines.
#[derive(Debug, Default)]
struct Depth {
    open: i64,
    text: bool,
    escaped: bool,
}

impl Depth {
    fn pass(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            match (self.text, byte) {
                _ if std::mem::take(&mut self.escaped) => {}
                (true, b'\\') => self.escaped = true,
                (_, b'"') => self.text = !self.text,
                (false, b'{' | b'[') => self.open += 1,
                (false, b'}' | b']') => self.open -= 1,
                _ => {}
            }
        }
    }
}

impl Reader {
    /// Has it given out a line?
    pub fn has_read(&self) -> bool {
        self.read
    }

    /// Is it in the middle of an object?
    pub fn is_within(&self) -> bool {
        self.depth.open > 0
    }

    /// Takes what it can from the ring; the next line that is not empty, or None when more bytes are needed.
    pub fn next(&mut self, ring: &mut Buffer, most: usize) -> Result<Option<Listing>, Fault> {
        loop {
            let bytes = ring.whole();
            match self.place {
                Place::Head => {
                    let mut headers = [httparse::EMPTY_HEADER; 32];
                    let mut response = httparse::Response::new(&mut headers);
                    let parsed = response.parse(bytes).map_err(|e| fault(format!("bad head: {e}")))?;
                    let httparse::Status::Complete(length) = parsed else { return Ok(None) };
                    if response.code != Some(200) {
                        return Err(fault(format!("status {}", response.code.unwrap_or(0))));
                    }
                    let chunked = response.headers.iter().any(|header| {
                        header.name.eq_ignore_ascii_case("transfer-encoding")
                            && header.value.eq_ignore_ascii_case(b"chunked")
                    });
                    if !chunked {
                        return Err(fault("the answer is not chunked"));
                    }
                    ring.consume(length);
                    self.place = Place::ChunkHead;
                }
                Place::ChunkHead => match httparse::parse_chunk_size(bytes) {
                    Ok(httparse::Status::Complete((_, 0))) => return Err(fault("the watch has ended")),
                    Ok(httparse::Status::Complete((length, size))) => {
                        let size = usize::try_from(size).map_err(|_| fault("chunk too large"))?;
                        ring.consume(length);
                        self.place = Place::Chunk(size);
                    }
                    Ok(httparse::Status::Partial) if bytes.len() > 64 => return Err(fault("bad chunk")),
                    Ok(httparse::Status::Partial) => return Ok(None),
                    Err(_) => return Err(fault("bad chunk size")),
                },
                Place::Chunk(0) => self.place = Place::ChunkEnd,
                Place::Chunk(left) => {
                    if bytes.is_empty() {
                        return Ok(None);
                    }
                    let here = bytes.get(..left).unwrap_or(bytes);
                    let end = here.iter().position(|&byte| byte == b'\n');
                    let used = end.map_or(here.len(), |end| end + 1);
                    self.line.extend_from_slice(here.get(..used).unwrap_or_default());
                    self.depth.pass(here.get(..used).unwrap_or_default());
                    ring.consume(used);
                    self.place = Place::Chunk(left - used);
                    if self.line.len() > most {
                        return Err(fault("a line is too long"));
                    }
                    if end.is_none() || self.depth.open > 0 {
                        continue;
                    }
                    self.depth = Depth::default();
                    let line = std::mem::take(&mut self.line);
                    if !line.trim_ascii().is_empty() {
                        self.read = true;
                        let listing = serde_json::from_slice(&line);
                        return listing.map(Some).map_err(|e| fault(format!("bad line: {e}")));
                    }
                }
                Place::ChunkEnd => match bytes {
                    [b'\r', b'\n', ..] => {
                        ring.consume(2);
                        self.place = Place::ChunkHead;
                    }
                    [] | [b'\r'] => return Ok(None),
                    _ => return Err(fault("a chunk does not end where it said")),
                },
            }
        }
    }
}
