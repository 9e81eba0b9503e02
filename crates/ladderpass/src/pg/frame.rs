//! Frames: one type byte, a length of four bytes, and a body.

use super::{Malformed, read_u32};

/// A ReadyForQuery message outside of any transaction.
pub const READY: &[u8] = b"Z\0\0\0\x05I";

/// A frame: its type, its body, and how many bytes it takes.
pub type Frame<'a> = (u8, &'a [u8], usize);

/// The type and whole length of the frame that begins here, by its first five bytes alone; None until they are there.
///
/// # Errors
///
/// These bytes begin no frame.
pub fn parse_frame_header(bytes: &[u8]) -> Result<Option<(u8, usize)>, Malformed> {
    let (Some(&kind), Some(length)) = (bytes.first(), bytes.get(1..).and_then(read_u32)) else {
        return Ok(None);
    };
    // The protocol's lengths are signed.
    if length < 4 || length > i32::MAX as u32 || !kind.is_ascii_alphabetic() {
        return Err(Malformed);
    }
    Ok(Some((kind, length as usize + 1)))
}

/// The frame that begins here; None until all of it is there.
///
/// # Errors
///
/// These bytes begin no frame, or one of more than `max_bytes`.
pub fn parse_frame(bytes: &[u8], max_bytes: usize) -> Result<Option<Frame<'_>>, Malformed> {
    match parse_frame_header(bytes)? {
        Some((_, length)) if length > max_bytes => Err(Malformed),
        Some((kind, length)) => Ok(bytes.get(5..length).map(|body| (kind, body, length))),
        None => Ok(None),
    }
}

/// Appends a frame to `out`.
pub fn put_frame(out: &mut Vec<u8>, kind: u8, parts: &[&[u8]]) {
    let length = 4 + parts.iter().map(|part| part.len()).sum::<usize>();
    out.push(kind);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    parts.iter().for_each(|part| out.extend_from_slice(part));
}

/// Appends a ReadyForQuery message.
pub fn put_ready(out: &mut Vec<u8>) {
    out.extend_from_slice(READY);
}
