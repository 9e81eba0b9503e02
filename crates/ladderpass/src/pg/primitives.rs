//! The elements that all messages of PostgreSQL's wire protocol consist of: numbers, and texts that end with a zero
//! byte.

use thiserror::Error;

/// The error for bytes that are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("malformed message")]
pub struct Malformed;

/// Returns the 32-bit number at the start of `bytes`, which is in network byte order, or `None` if there are fewer than
/// four bytes.
pub(super) fn read_u32(bytes: &[u8]) -> Option<u32> {
    bytes.first_chunk::<4>().map(|four| u32::from_be_bytes(*four))
}

/// Splits `bytes` into the text before the first zero byte, and the bytes after the zero byte.
pub(super) fn split_text(bytes: &[u8]) -> Result<(&[u8], &[u8]), Malformed> {
    let end = bytes.iter().position(|&byte| byte == 0).ok_or(Malformed)?;
    let (text, rest) = bytes.split_at(end);
    Ok((text, rest.get(1..).unwrap_or_default()))
}
