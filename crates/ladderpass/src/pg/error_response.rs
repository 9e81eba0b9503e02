//! ErrorResponse messages. The router parses those that members send, and writes its own to clients.

use super::frame::put_ready;
use super::primitives::{Malformed, split_text};
use std::io::Write;

/// The length in bytes of an SQLSTATE code.
const CODE_BYTES: usize = 5;

/// The fields of an ErrorResponse that the router uses.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The SQLSTATE code of the error.
    pub code: String,
    /// Whether the error's severity is FATAL or PANIC, so that the sender closes the connection.
    pub fatal: bool,
    /// The human-readable message of the error.
    pub message: String,
}

/// Parses the body of an ErrorResponse.
///
/// # Errors
///
/// Fails if the body is not a list of fields with an SQLSTATE code.
pub fn parse_error_response(mut body: &[u8]) -> Result<ErrorResponse, Malformed> {
    let mut response = ErrorResponse::default();
    loop {
        match body {
            [0] if response.code.len() == CODE_BYTES => return Ok(response),
            [field, rest @ ..] if *field != 0 => {
                let (value, rest) = split_text(rest)?;
                match field {
                    b'C' => response.code = String::from_utf8_lossy(value).into_owned(),
                    b'S' | b'V' => response.fatal |= matches!(value, b"FATAL" | b"PANIC"),
                    b'M' => response.message = String::from_utf8_lossy(value).into_owned(),
                    _ => {}
                }
                body = rest;
            }
            _ => return Err(Malformed),
        }
    }
}

/// Appends an ErrorResponse message to `out`, with `detail` in the message's field D if it is given.
pub fn put_error(out: &mut Vec<u8>, severity: &str, code: &str, message: &str, detail: Option<i64>) {
    let start = out.len();
    out.extend_from_slice(b"E\0\0\0\0");
    for (field, text) in [(b'S', severity), (b'V', severity), (b'C', code), (b'M', message)] {
        out.push(field);
        out.extend_from_slice(text.as_bytes());
        out.push(0);
    }
    if let Some(detail) = detail {
        // Writing to a vector can't fail.
        let _ = write!(out, "D{detail}\0");
    }
    out.push(0);
    let length = (out.len() - start - 1) as u32;
    out[start + 1..start + 5].copy_from_slice(&length.to_be_bytes());
}

/// Appends to `out` an ErrorResponse message after which the connection stays usable, and a ReadyForQuery message.
pub fn put_recoverable_error(out: &mut Vec<u8>, code: &str, message: &str, detail: Option<i64>) {
    put_error(out, "ERROR", code, message, detail);
    put_ready(out);
}
