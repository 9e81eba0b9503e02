//! PostgreSQL's wire protocol, version 3, as members and clients of the emulated fleet speak it.
//!
//! It owns the shape of messages: bytes in, values out, and back. It must never keep state between calls.

use ladderpass_routing::{Span, Time};

/// The frame at the front: its type, its body and its length; None until all of it is there, or where it can't be one.
pub fn frame(bytes: &[u8]) -> Option<(u8, &[u8], usize)> {
    let (&kind, rest) = bytes.split_first()?;
    let length = u32::from_be_bytes(*rest.first_chunk::<4>()?) as usize + 1;
    Some((kind, bytes.get(5..length)?, length))
}

/// The length of the startup message at the front, once all of it is there.
pub fn startup(bytes: &[u8]) -> Option<usize> {
    let length = u32::from_be_bytes(*bytes.first_chunk::<4>()?) as usize;
    bytes.get(..length).map(<[u8]>::len)
}

pub fn put_startup(out: &mut Vec<u8>) {
    let body = b"\0\x03\0\0user\0web\0database\0orders\0\0";
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

pub fn put(out: &mut Vec<u8>, kind: u8, parts: &[&[u8]]) {
    let length = 4 + parts.iter().map(|part| part.len()).sum::<usize>();
    out.push(kind);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    parts.iter().for_each(|part| out.extend_from_slice(part));
}

pub fn put_ready(out: &mut Vec<u8>) {
    put(out, b'Z', &[b"I"]);
}

pub fn put_query(out: &mut Vec<u8>, statement: &str) {
    put(out, b'Q', &[statement.as_bytes(), b"\0"]);
}

pub fn put_welcome(out: &mut Vec<u8>) {
    put(out, b'R', &[&[0; 4]]);
    put(out, b'S', &[b"server_version\x0016.0\0"]);
    put(out, b'K', &[&[0; 8]]);
    put_ready(out);
}

/// A row of one column with its tag, and what the member says of itself.
pub fn put_row(out: &mut Vec<u8>, value: &[u8], writes: bool, primary: bool, position: Option<Time>) {
    put(out, b'T', &[b"\0\x01payload\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01"]);
    put(out, b'D', &[b"\0\x01", &(value.len() as u32).to_be_bytes(), value]);
    put(out, b'C', &[if writes { b"INSERT 0 1\0" } else { b"SELECT 1\0" }]);
    let role: &[u8] = if primary { b"leader\0" } else { b"follower\0" };
    put(out, b'S', &[b"node_role\0", role]);
    if let Some(position) = position {
        let text = format!("{:.3}\0", position.nanos() as f64 / 1e6);
        put(out, b'S', &[b"replay_position\0", text.as_bytes()]);
    }
    put_ready(out);
}

pub fn put_error(out: &mut Vec<u8>, severity: &str, code: &str) {
    put(out, b'E', &[format!("S{severity}\0V{severity}\0C{code}\0Mthe member says no\0\0").as_bytes()]);
    if severity != "FATAL" {
        put_ready(out);
    }
}

/// One field of an ErrorResponse.
pub fn field(body: &[u8], name: u8) -> Option<&str> {
    let mut fields = body.split(|&byte| byte == 0);
    let found = fields.find(|field| field.first() == Some(&name))?;
    std::str::from_utf8(found.get(1..)?).ok()
}

/// The comment at a statement's end, as far as a member needs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Comment<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub wait: Span,
    pub after: Option<Time>,
}

pub fn comment(statement: &str) -> Option<Comment<'_>> {
    let (_, comment) = statement.rsplit_once("/*")?;
    let (comment, _) = comment.rsplit_once("*/")?;
    let (mut id, mut method, mut wait, mut after) = (None, None, None, None);
    for (name, value) in comment.split(',').filter_map(|pair| pair.trim().split_once('=')) {
        match name {
            "id" => id = Some(value),
            "c" => method = Some(value),
            "d" => wait = value.parse::<f64>().ok().map(|ms| Span::from_secs_f64(ms / 1e3)),
            "after" => after = value.parse::<f64>().ok().map(|ms| Time::from_nanos((ms * 1e6) as i64)),
            _ => {}
        }
    }
    Some(Comment { id: id?, method: method?, wait: wait?, after })
}
