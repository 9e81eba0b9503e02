//! Query messages and the messages of query results, as far as a router parses them.

use super::frame::put_frame;
use super::primitives::{Malformed, read_u32, split_text};
use std::borrow::Cow;

/// Returns the statement of a Query message.
///
/// # Errors
///
/// Fails if the body is not a single UTF-8 text that ends with a zero byte.
pub fn parse_query(body: &[u8]) -> Result<&str, Malformed> {
    match split_text(body)? {
        (statement, []) => std::str::from_utf8(statement).map_err(|_| Malformed),
        _ => Err(Malformed),
    }
}

/// Appends a Query message to `out`. The message's statement is the concatenation of the strings in `statement`.
pub fn put_query(out: &mut Vec<u8>, statement: &[&str]) {
    let parts: Vec<&[u8]> = statement.iter().map(|part| part.as_bytes()).chain([&b"\0"[..]]).collect();
    put_frame(out, b'Q', &parts);
}

/// A ParameterStatus message, in which a member reports a setting of the connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParameterStatus<'a> {
    /// The name of the connection's setting.
    pub name: Cow<'a, str>,
    /// The value of the connection's setting.
    pub value: Cow<'a, str>,
}

/// Parses the body of a ParameterStatus message.
///
/// # Errors
///
/// Fails if the body is not two texts that each end with a zero byte.
pub fn parse_parameter_status(body: &[u8]) -> Result<ParameterStatus<'_>, Malformed> {
    let (name, rest) = split_text(body)?;
    match split_text(rest)? {
        (value, []) => {
            Ok(ParameterStatus { name: String::from_utf8_lossy(name), value: String::from_utf8_lossy(value) })
        }
        _ => Err(Malformed),
    }
}

/// Returns whether `body` is the body of a RowDescription message with exactly one column.
pub fn is_single_column_description(body: &[u8]) -> bool {
    // The number of bytes of the fields after a column's name: table, number, type, size, modifier and format.
    const FIXED_BYTES: usize = 18;
    let Some(rest) = body.strip_prefix(&[0, 1]) else { return false };
    matches!(split_text(rest), Ok((_, fixed)) if fixed.len() == FIXED_BYTES)
}

/// Returns whether `body` is the body of a CommandComplete message for exactly one row.
pub fn is_single_row_completion(body: &[u8]) -> bool {
    matches!(body, b"SELECT 1\0" | b"INSERT 0 1\0" | b"SHOW\0")
}

/// Returns the value in the body of a DataRow message with exactly one column, or `None` if the value is NULL.
///
/// # Errors
///
/// Fails if the number of columns is not one, or the value is not as long as its length field states.
pub fn parse_single_column(body: &[u8]) -> Result<Option<&[u8]>, Malformed> {
    const NULL: u32 = u32::MAX;
    let [0, 1, rest @ ..] = body else { return Err(Malformed) };
    let length = read_u32(rest).ok_or(Malformed)?;
    let value = rest.get(4..).unwrap_or_default();
    match length {
        NULL if value.is_empty() => Ok(None),
        length if length as usize == value.len() => Ok(Some(value)),
        _ => Err(Malformed),
    }
}
