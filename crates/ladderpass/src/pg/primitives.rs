//! What all messages are made of: numbers, and texts ended by a zero.

use thiserror::Error;

/// Bytes that can't be a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("malformed message")]
pub struct Malformed;

/// A number at the front, in network byte order.
pub(super) fn read_u32(bytes: &[u8]) -> Option<u32> {
    bytes.first_chunk::<4>().map(|four| u32::from_be_bytes(*four))
}

/// A text ended by a zero, and what follows it.
pub(super) fn split_text(bytes: &[u8]) -> Result<(&[u8], &[u8]), Malformed> {
    let end = bytes.iter().position(|&byte| byte == 0).ok_or(Malformed)?;
    let (text, rest) = bytes.split_at(end);
    Ok((text, rest.get(1..).unwrap_or_default()))
}
