//! Stateless encoding and decoding of the part of PostgreSQL's wire protocol, version 3, that the emulated members and
//! their clients use.

use ladderpass_routing::{Span, Time};

/// Returns the type, the body and the total length of the frame at the start of `bytes`. Returns `None` if the frame is
/// incomplete or its length field is invalid.
pub fn parse_frame(bytes: &[u8]) -> Option<(u8, &[u8], usize)> {
    let (&message_type, rest) = bytes.split_first()?;
    let length = u32::from_be_bytes(*rest.first_chunk::<4>()?) as usize + 1;
    Some((message_type, bytes.get(5..length)?, length))
}

/// Returns the length of the startup message at the start of `bytes`, or `None` if the message is incomplete.
pub fn parse_startup(bytes: &[u8]) -> Option<usize> {
    let length = u32::from_be_bytes(*bytes.first_chunk::<4>()?) as usize;
    bytes.get(..length).map(<[u8]>::len)
}

/// Appends a client's startup message to `out`.
pub fn put_startup(out: &mut Vec<u8>) {
    let body = b"\0\x03\0\0user\0web\0database\0orders\0\0";
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

/// Appends a frame with this type to `out`. The frame's body is the concatenation of `parts`.
pub fn put_message(out: &mut Vec<u8>, message_type: u8, parts: &[&[u8]]) {
    let length = 4 + parts.iter().map(|part| part.len()).sum::<usize>();
    out.push(message_type);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    parts.iter().for_each(|part| out.extend_from_slice(part));
}

/// Appends a ReadyForQuery message to `out`.
pub fn put_ready(out: &mut Vec<u8>) {
    put_message(out, b'Z', &[b"I"]);
}

/// Appends a simple query message with this statement to `out`.
pub fn put_query(out: &mut Vec<u8>, statement: &str) {
    put_message(out, b'Q', &[statement.as_bytes(), b"\0"]);
}

/// Appends a member's answer to a startup message to `out`.
pub fn put_startup_response(out: &mut Vec<u8>) {
    put_message(out, b'R', &[&[0; 4]]);
    put_message(out, b'S', &[b"server_version\x0016.0\0"]);
    put_message(out, b'K', &[&[0; 8]]);
    put_ready(out);
}

/// Appends a result of one row with one column, followed by ParameterStatus messages with the member's role and, if
/// given, the member's replication position in milliseconds, and then by ReadyForQuery.
pub fn put_row(out: &mut Vec<u8>, value: &[u8], writes: bool, primary: bool, position: Option<Time>) {
    put_message(out, b'T', &[b"\0\x01payload\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01"]);
    put_message(out, b'D', &[b"\0\x01", &(value.len() as u32).to_be_bytes(), value]);
    put_message(out, b'C', &[if writes { b"INSERT 0 1\0" } else { b"SELECT 1\0" }]);
    let role: &[u8] = if primary { b"leader\0" } else { b"follower\0" };
    put_message(out, b'S', &[b"node_role\0", role]);
    if let Some(position) = position {
        let text = format!("{:.3}\0", position.nanos() as f64 / 1e6);
        put_message(out, b'S', &[b"replay_position\0", text.as_bytes()]);
    }
    put_ready(out);
}

/// Appends an ErrorResponse with `code` as its SQLSTATE, and ReadyForQuery unless the severity is `FATAL`.
pub fn put_error(out: &mut Vec<u8>, severity: &str, code: &str) {
    put_message(
        out,
        b'E',
        &[format!("S{severity}\0V{severity}\0C{code}\0Mthe member says no\0\0").as_bytes()],
    );
    if severity != "FATAL" {
        put_ready(out);
    }
}

/// Returns the field with this type byte in the body of an ErrorResponse.
pub fn error_field(body: &[u8], field_type: u8) -> Option<&str> {
    let mut fields = body.split(|&byte| byte == 0);
    let field = fields.find(|field| field.first() == Some(&field_type))?;
    std::str::from_utf8(field.get(1..)?).ok()
}

/// The keys of the comment at a statement's end that a member reads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Comment<'a> {
    /// Key `id`: the id of the RPC.
    pub id: &'a str,
    /// Key `c`: the name of the method.
    pub method: &'a str,
    /// Key `d`, in milliseconds: how long the statement may wait in the member's queue before the member rejects it.
    pub wait: Span,
    /// Key `after`, in milliseconds: the replication position that the member must have reached. This key is optional.
    pub min_position: Option<Time>,
}

/// Parses the comment at the end of a statement. Returns `None` if there is no comment or a required key is missing.
pub fn parse_comment(statement: &str) -> Option<Comment<'_>> {
    let (_, comment) = statement.rsplit_once("/*")?;
    let (comment, _) = comment.rsplit_once("*/")?;
    let (mut id, mut method, mut wait, mut min_position) = (None, None, None, None);
    for (name, value) in comment.split(',').filter_map(|pair| pair.trim().split_once('=')) {
        match name {
            "id" => id = Some(value),
            "c" => method = Some(value),
            "d" => wait = value.parse::<f64>().ok().map(|ms| Span::from_secs_f64(ms / 1e3)),
            "after" => min_position = value.parse::<f64>().ok().map(|ms| Time::from_nanos((ms * 1e6) as i64)),
            _ => {}
        }
    }
    Some(Comment { id: id?, method: method?, wait: wait?, min_position })
}
