//! Frames, which are the messages of PostgreSQL's wire protocol: each has a type byte, a length of four bytes, and a
//! body.

use super::primitives::{Malformed, read_u32};

/// The bytes of a ReadyForQuery message outside of any transaction.
pub const READY: &[u8] = b"Z\0\0\0\x05I";

/// The number of bytes of a frame's type and length.
const HEADER_BYTES: usize = 5;

/// The type and the length of a frame, which are its first five bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    /// The frame's type byte.
    pub kind: u8,
    /// The number of bytes of the whole frame, including the type byte.
    pub length: usize,
}

/// A complete frame of the wire protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The frame's type byte.
    pub kind: u8,
    /// The frame's bytes after the type and the length.
    pub body: &'a [u8],
    /// The number of bytes of the whole frame, including the type byte.
    pub length: usize,
}

/// Parses the first five bytes of a frame. Returns `None` if `bytes` has fewer than five bytes.
///
/// # Errors
///
/// Fails if `bytes` can't be the beginning of a frame.
pub fn parse_frame_header(bytes: &[u8]) -> Result<Option<FrameHeader>, Malformed> {
    let (Some(&kind), Some(length)) = (bytes.first(), bytes.get(1..).and_then(read_u32)) else {
        return Ok(None);
    };
    // In the protocol, a frame's length is a signed number, and includes the length field's own four bytes.
    if length < 4 || length > i32::MAX as u32 || !kind.is_ascii_alphabetic() {
        return Err(Malformed);
    }
    Ok(Some(FrameHeader { kind, length: length as usize + 1 }))
}

/// Parses the frame at the start of `bytes`. Returns `None` if the frame is not complete.
///
/// # Errors
///
/// Fails if `bytes` can't be the beginning of a frame, or if the frame is longer than `max_bytes`.
pub fn parse_frame(bytes: &[u8], max_bytes: usize) -> Result<Option<Frame<'_>>, Malformed> {
    match parse_frame_header(bytes)? {
        Some(FrameHeader { length, .. }) if length > max_bytes => Err(Malformed),
        Some(FrameHeader { kind, length }) => {
            Ok(bytes.get(HEADER_BYTES..length).map(|body| Frame { kind, body, length }))
        }
        None => Ok(None),
    }
}

/// Appends a frame to `out`, with the concatenated `parts` as its body.
pub fn put_frame(out: &mut Vec<u8>, kind: u8, parts: &[&[u8]]) {
    let length = 4 + parts.iter().map(|part| part.len()).sum::<usize>();
    out.push(kind);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    parts.iter().for_each(|part| out.extend_from_slice(part));
}

/// Appends a ReadyForQuery message to `out`.
pub fn put_ready(out: &mut Vec<u8>) {
    out.extend_from_slice(READY);
}
