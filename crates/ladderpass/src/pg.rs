//! PostgreSQL's wire protocol, version 3, as far as a router needs it: frames, and the comment of a statement.
//!
//! It owns the shape of messages: bytes in, values out, and back. It must never keep state between calls, nor
//! touch a connection.

use std::borrow::Cow;
use std::io::Write;

/// Why bytes can't be a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// The first message on a connection, which has no type byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    Startup,
    /// It asks for TLS or GSS encryption; the answer is one byte, no.
    Encryption,
    /// It asks to cancel what the connection with this process id and secret key is about.
    Cancel(u32, u32),
}

const STARTUP: u32 = 196_608;
const CANCEL: u32 = 80_877_102;
const TLS: u32 = 80_877_103;
const GSS: u32 = 80_877_104;

fn number(bytes: &[u8]) -> Option<u32> {
    bytes.first_chunk::<4>().map(|four| u32::from_be_bytes(*four))
}

/// The first message and its length; None until all of it is there.
pub fn opening(bytes: &[u8], most: usize) -> Result<Option<(Opening, usize)>, Malformed> {
    let Some(length) = number(bytes) else { return Ok(None) };
    let length = length as usize;
    if length < 8 || length > most {
        return Err(Malformed);
    }
    let Some(message) = bytes.get(..length) else { return Ok(None) };
    let opening = match message.get(4..).and_then(number) {
        Some(TLS | GSS) if length == 8 => Opening::Encryption,
        Some(CANCEL) if length == 16 => {
            let part = |from| message.get(from..).and_then(number).ok_or(Malformed);
            Opening::Cancel(part(8)?, part(12)?)
        }
        // Names and values, each ended by a zero; after the last a further zero.
        Some(code) if code >> 16 == STARTUP >> 16 && message.ends_with(&[0]) => Opening::Startup,
        _ => return Err(Malformed),
    };
    Ok(Some((opening, length)))
}

/// The type and whole length of the frame that begins here, by its head alone; None until that is there.
pub fn head(bytes: &[u8]) -> Result<Option<(u8, usize)>, Malformed> {
    let (Some(&kind), Some(length)) = (bytes.first(), bytes.get(1..).and_then(number)) else {
        return Ok(None);
    };
    // The protocol's lengths are signed.
    if length < 4 || length > i32::MAX as u32 || !kind.is_ascii_alphabetic() {
        return Err(Malformed);
    }
    Ok(Some((kind, length as usize + 1)))
}

/// A frame: its type, its body, and how many bytes it takes.
pub type Frame<'a> = (u8, &'a [u8], usize);

/// The frame that begins here; None until all of it is there.
pub fn frame(bytes: &[u8], most: usize) -> Result<Option<Frame<'_>>, Malformed> {
    match head(bytes)? {
        Some((_, length)) if length > most => Err(Malformed),
        Some((kind, length)) => Ok(bytes.get(5..length).map(|body| (kind, body, length))),
        None => Ok(None),
    }
}

/// A text ended by a zero, and what follows it.
fn text(bytes: &[u8]) -> Result<(&[u8], &[u8]), Malformed> {
    let end = bytes.iter().position(|&byte| byte == 0).ok_or(Malformed)?;
    let (text, rest) = bytes.split_at(end);
    Ok((text, rest.get(1..).unwrap_or_default()))
}

/// The statement of a query message.
pub fn statement(body: &[u8]) -> Result<&str, Malformed> {
    match text(body)? {
        (statement, []) => std::str::from_utf8(statement).map_err(|_| Malformed),
        _ => Err(Malformed),
    }
}

/// Name and value of a ParameterStatus message.
pub fn parameter(body: &[u8]) -> Result<(Cow<'_, str>, Cow<'_, str>), Malformed> {
    let (name, rest) = text(body)?;
    match text(rest)? {
        (value, []) => Ok((String::from_utf8_lossy(name), String::from_utf8_lossy(value))),
        _ => Err(Malformed),
    }
}

/// What an ErrorResponse says, as far as it matters here.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Refusal {
    pub code: String,
    /// The connection is over with it.
    pub fatal: bool,
    pub message: String,
}

pub fn refusal(mut body: &[u8]) -> Result<Refusal, Malformed> {
    let mut refusal = Refusal::default();
    loop {
        match body {
            [0] if refusal.code.len() == 5 => return Ok(refusal),
            [field, rest @ ..] if *field != 0 => {
                let (value, rest) = text(rest)?;
                match field {
                    b'C' => refusal.code = String::from_utf8_lossy(value).into_owned(),
                    b'S' | b'V' => refusal.fatal |= matches!(value, b"FATAL" | b"PANIC"),
                    b'M' => refusal.message = String::from_utf8_lossy(value).into_owned(),
                    _ => {}
                }
                body = rest;
            }
            _ => return Err(Malformed),
        }
    }
}

/// Is it a RowDescription of just one column?
pub fn describes_one(body: &[u8]) -> bool {
    let Some(rest) = body.strip_prefix(&[0, 1]) else { return false };
    matches!(text(rest), Ok((_, fixed)) if fixed.len() == 18)
}

/// Is it the CommandComplete of one row?
pub fn completes_one(body: &[u8]) -> bool {
    matches!(body, b"SELECT 1\0" | b"INSERT 0 1\0" | b"SHOW\0")
}

/// The column of a DataRow, which must have just one; None for NULL.
pub fn column(body: &[u8]) -> Result<Option<&[u8]>, Malformed> {
    let [0, 1, rest @ ..] = body else { return Err(Malformed) };
    let length = number(rest).ok_or(Malformed)?;
    let value = rest.get(4..).unwrap_or_default();
    match length {
        u32::MAX if value.is_empty() => Ok(None),
        length if length as usize == value.len() => Ok(Some(value)),
        _ => Err(Malformed),
    }
}

/// What a statement says of itself in its comment.
#[derive(Debug, PartialEq)]
pub struct Comment<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub wait_ms: f64,
    /// Where the value of `d` stands in the statement.
    pub wait_at: std::ops::Range<usize>,
    pub group: f64,
    pub resent: bool,
    pub after_ms: Option<f64>,
    /// What stands before the comment, whose form is still to be looked at.
    pub head: &'a str,
}

/// Longest id that is taken.
const ID: usize = 64;

/// Reads the comment at a statement's end; the fault says what is wrong.
pub fn comment(statement: &str) -> Result<Comment<'_>, String> {
    let trimmed = statement.trim_end().trim_end_matches(';').trim_end();
    let inner = trimmed.strip_suffix("*/").ok_or("the statement has no comment at its end")?;
    let start = inner.rfind("/*").ok_or("the statement has no comment at its end")? + 2;
    let (mut id, mut method, mut wait, mut group, mut after) = (None, None, None, None, None);
    let mut resent = None;
    let mut at = start;
    for pair in inner.get(start..).unwrap_or_default().split(',') {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        let (name, value) = (name.trim(), value.trim());
        let from = at + pair.find('=').map_or(0, |equals| equals + 1);
        let from = from + inner.get(from..).map_or(0, |rest| rest.len() - rest.trim_start().len());
        let twice = match name {
            "id" => id.replace(value).is_some(),
            "c" => method.replace(value).is_some(),
            "d" => wait.replace((measure("d", value)?, from..from + value.len())).is_some(),
            "cluster" => group.replace(measure("cluster", value)?).is_some(),
            "r" => resent.replace(value == "1").is_some(),
            "after" if !value.is_empty() => after.replace(measure("after", value)?).is_some(),
            _ => false,
        };
        if twice {
            return Err(format!("{name} stands twice in the comment"));
        }
        at += pair.len() + 1;
    }
    let id = id.filter(|id| !id.is_empty()).ok_or("id is missing in the comment")?;
    if id.len() > ID || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err("id is no short word in the comment".into());
    }
    let (wait_ms, wait_at) = wait.ok_or("d is missing in the comment")?;
    let head = statement.get(..start - 2).unwrap_or_default();
    Ok(Comment {
        id,
        method: method.filter(|name| !name.is_empty()).ok_or("c is missing in the comment")?,
        wait_ms,
        wait_at,
        group: group.ok_or("cluster is missing in the comment")?,
        resent: resent.unwrap_or(false),
        after_ms: after,
        head,
    })
}

/// Is it an INSERT of a key and a value in hex, or a SELECT by key? With the key, as quoted. Guards a member's
/// connection: a member closes it on a statement that it can't read, which would look like a fault of the member.
pub fn form(text: &str) -> Option<(bool, &str)> {
    let mut rest = text;
    let read = ["SELECT", "", "FROM", "", "WHERE", "", "=", "'"];
    let write =
        ["INSERT", "INTO", "", "(", "", ",", "", ")", "VALUES", "(", "'", ",", "'", ")", "RETURNING", ""];
    let writes = text.trim_start().starts_with(['I', 'i']);
    let mut quoted = Vec::new();
    for &wanted in if writes { &write[..] } else { &read } {
        let token = token(&mut rest)?;
        let word = token.starts_with(|c: char| c.is_ascii_alphabetic() || c == '_');
        match wanted {
            "" if word => {}
            "'" if token.starts_with('\'') => quoted.push(token.get(1..token.len() - 1)?),
            _ if !wanted.is_empty() && token.eq_ignore_ascii_case(wanted) => {}
            _ => return None,
        }
    }
    let hex = quoted.get(1).is_none_or(|value| {
        let digits = value.strip_prefix("\\x").unwrap_or("-");
        digits.len() % 2 == 0 && digits.bytes().all(|byte| byte.is_ascii_hexdigit())
    });
    (hex && rest.trim().is_empty()).then_some((writes, *quoted.first()?))
}

/// Takes a word, a quoted text with its quotes, or a single sign off the front.
fn token<'a>(rest: &mut &'a str) -> Option<&'a str> {
    let text = rest.trim_start();
    let first = text.chars().next()?;
    let end = if first == '\'' {
        let mut end = 1;
        loop {
            end += text.get(end..)?.find('\'')? + 1;
            // Two quotes in a row stand for one.
            if !text.get(end..)?.starts_with('\'') {
                break end;
            }
            end += 1;
        }
    } else if first.is_ascii_alphanumeric() || first == '_' {
        text.find(|c: char| !c.is_ascii_alphanumeric() && c != '_').unwrap_or(text.len())
    } else {
        first.len_utf8()
    };
    let (token, later) = text.split_at_checked(end)?;
    *rest = later;
    Some(token)
}

fn measure(name: &str, value: &str) -> Result<f64, String> {
    let plain = value.len() <= 20 && value.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number = value.parse::<f64>().ok().filter(|number| plain && number.is_finite());
    number.ok_or_else(|| format!("{name} is no number in the comment"))
}

/// The `name=number` pairs of a load report; None where any can't be read: half a report is not to be believed.
pub fn report(text: &str) -> Option<Vec<(&str, f64)>> {
    let pair = |pair| {
        let (name, value) = str::split_once(pair, '=')?;
        let value = value.trim().parse::<f64>().ok().filter(|value| value.is_finite())?;
        Some((name.trim(), value))
    };
    text.split(',').map(pair).collect()
}

/// Appends a frame to `out`.
pub fn put(out: &mut Vec<u8>, kind: u8, parts: &[&[u8]]) {
    let length = 4 + parts.iter().map(|part| part.len()).sum::<usize>();
    out.push(kind);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    parts.iter().for_each(|part| out.extend_from_slice(part));
}

/// The router's own ready.
pub const READY: &[u8] = b"Z\0\0\0\x05I";

pub fn put_ready(out: &mut Vec<u8>) {
    out.extend_from_slice(READY);
}

pub fn put_query(out: &mut Vec<u8>, statement: &[&str]) {
    let parts: Vec<&[u8]> = statement.iter().map(|part| part.as_bytes()).chain([&b"\0"[..]]).collect();
    put(out, b'Q', &parts);
}

/// An ErrorResponse; `detail` goes into the field D.
pub fn put_error(out: &mut Vec<u8>, severity: &str, code: &str, message: &str, detail: Option<i64>) {
    let start = out.len();
    out.extend_from_slice(b"E\0\0\0\0");
    for (field, text) in [(b'S', severity), (b'V', severity), (b'C', code), (b'M', message)] {
        out.push(field);
        out.extend_from_slice(text.as_bytes());
        out.push(0);
    }
    if let Some(detail) = detail {
        let _ = write!(out, "D{detail}\0");
    }
    out.push(0);
    let length = (out.len() - start - 1) as u32;
    out[start + 1..start + 5].copy_from_slice(&length.to_be_bytes());
}

/// An ErrorResponse after which the connection goes on.
pub fn put_refusal(out: &mut Vec<u8>, code: &str, message: &str, detail: Option<i64>) {
    put_error(out, "ERROR", code, message, detail);
    put_ready(out);
}

/// What welcomes a client; with both it may ask to cancel what it is about.
pub fn put_welcome(out: &mut Vec<u8>, process: u32, secret: u32) {
    put(out, b'R', &[&[0; 4]]);
    for (name, value) in [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        put(out, b'S', &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"]);
    }
    put(out, b'K', &[&process.to_be_bytes(), &secret.to_be_bytes()]);
    put_ready(out);
}

/// What a router writes first to a member.
pub fn put_startup(out: &mut Vec<u8>, user: &str, database: &str) {
    let body = format!("user\0{user}\0database\0{database}\0\0");
    out.extend_from_slice(&(8 + body.len() as u32).to_be_bytes());
    out.extend_from_slice(&STARTUP.to_be_bytes());
    out.extend_from_slice(body.as_bytes());
}
