//! The first message on a PostgreSQL connection, which has no type byte, and the reply to that message.

use super::frame::{put_frame, put_ready};
use super::primitives::{Malformed, read_u32};

const PROTOCOL_3_0: u32 = 3 << 16;
const CANCEL_REQUEST: u32 = 80_877_102;
const SSL_REQUEST: u32 = 80_877_103;
const GSSENC_REQUEST: u32 = 80_877_104;

/// The request in the first message on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialMessage {
    /// The client starts a session on the connection.
    Startup,
    /// The client asks for TLS or GSS encryption. The reply is a single byte that declines the encryption.
    Encryption,
    /// The client asks to cancel the statement of another connection.
    Cancel {
        /// The process id that the router sent on the connection whose statement is to be cancelled.
        process: u32,
        /// The secret key that the router sent on the connection whose statement is to be cancelled.
        secret: u32,
    },
}

/// The request in the first message on a connection, and the message's length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InitialFrame {
    /// The request that the first message contains.
    pub message: InitialMessage,
    /// The length of the message in bytes.
    pub length: usize,
}

/// Parses the first message on a connection. Returns `None` if the message is not complete.
///
/// # Errors
///
/// Fails if `bytes` can't be the beginning of such a message, or if the message is longer than `max_bytes`.
pub fn parse_initial_message(bytes: &[u8], max_bytes: usize) -> Result<Option<InitialFrame>, Malformed> {
    let Some(length) = read_u32(bytes) else { return Ok(None) };
    let length = length as usize;
    if length < 8 || length > max_bytes {
        return Err(Malformed);
    }
    let Some(message_bytes) = bytes.get(..length) else { return Ok(None) };
    let message = match message_bytes.get(4..).and_then(read_u32) {
        Some(SSL_REQUEST | GSSENC_REQUEST) if length == 8 => InitialMessage::Encryption,
        Some(CANCEL_REQUEST) if length == 16 => {
            let number = |from| message_bytes.get(from..).and_then(read_u32).ok_or(Malformed);
            InitialMessage::Cancel { process: number(8)?, secret: number(12)? }
        }
        // Any minor version of protocol 3 is accepted. The names and values of parameters follow the version, each with
        // a zero byte at its end, and then one further zero byte.
        Some(code) if code >> 16 == PROTOCOL_3_0 >> 16 && message_bytes.ends_with(&[0]) => {
            InitialMessage::Startup
        }
        _ => return Err(Malformed),
    };
    Ok(Some(InitialFrame { message, length }))
}

/// Appends to `out` the reply to a client's startup message: AuthenticationOk (no password is required), the
/// parameters, the key for cancel requests, and ReadyForQuery.
pub fn put_startup_reply(out: &mut Vec<u8>, process: u32, secret: u32) {
    put_frame(out, b'R', &[&[0; 4]]);
    for (name, value) in [
        ("server_version", "16.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        put_frame(out, b'S', &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"]);
    }
    put_frame(out, b'K', &[&process.to_be_bytes(), &secret.to_be_bytes()]);
    put_ready(out);
}

/// Appends to `out` the startup message that a router sends to a member.
pub fn put_startup(out: &mut Vec<u8>, user: &str, database: &str) {
    let body = format!("user\0{user}\0database\0{database}\0\0");
    out.extend_from_slice(&(8 + body.len() as u32).to_be_bytes());
    out.extend_from_slice(&PROTOCOL_3_0.to_be_bytes());
    out.extend_from_slice(body.as_bytes());
}
