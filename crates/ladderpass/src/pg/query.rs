//! Queries and the messages of their results, as far as a router looks into them.

use super::frame::put_frame;
use super::primitives::{Malformed, read_u32, split_text};
use std::borrow::Cow;

/// The statement of a Query message.
///
/// # Errors
///
/// The body is not one text in UTF-8, ended by a zero.
pub fn parse_query(body: &[u8]) -> Result<&str, Malformed> {
    match split_text(body)? {
        (statement, []) => std::str::from_utf8(statement).map_err(|_| Malformed),
        _ => Err(Malformed),
    }
}

/// Appends a Query message; its statement is given in parts.
pub fn put_query(out: &mut Vec<u8>, statement: &[&str]) {
    let parts: Vec<&[u8]> = statement.iter().map(|part| part.as_bytes()).chain([&b"\0"[..]]).collect();
    put_frame(out, b'Q', &parts);
}

/// A setting of a member's connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParameterStatus<'a> {
    /// Its name.
    pub name: Cow<'a, str>,
    /// Its value.
    pub value: Cow<'a, str>,
}

/// Reads a ParameterStatus message.
///
/// # Errors
///
/// The body is not two texts, each ended by a zero.
pub fn parse_parameter_status(body: &[u8]) -> Result<ParameterStatus<'_>, Malformed> {
    let (name, rest) = split_text(body)?;
    match split_text(rest)? {
        (value, []) => {
            Ok(ParameterStatus { name: String::from_utf8_lossy(name), value: String::from_utf8_lossy(value) })
        }
        _ => Err(Malformed),
    }
}

/// Whether it is a RowDescription of just one column.
pub fn is_single_column_description(body: &[u8]) -> bool {
    // After a column's name: table, number, type, size, modifier and format.
    const FIXED_BYTES: usize = 18;
    let Some(rest) = body.strip_prefix(&[0, 1]) else { return false };
    matches!(split_text(rest), Ok((_, fixed)) if fixed.len() == FIXED_BYTES)
}

/// Whether it is the CommandComplete of one row.
pub fn is_single_row_completion(body: &[u8]) -> bool {
    matches!(body, b"SELECT 1\0" | b"INSERT 0 1\0" | b"SHOW\0")
}

/// The column of a DataRow, which must have just one; None for NULL.
///
/// # Errors
///
/// There are more columns, or the column is not as long as it says.
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
