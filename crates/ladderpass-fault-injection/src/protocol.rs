//! The protocol of a link, the two sides of a link, and the kinds of messages that rules can name.

use serde::{Deserialize, Serialize};

/// One of the two sides of a link, as the sender or the receiver of bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    /// The side that connects to the link.
    Client,
    /// The side that the link forwards to.
    #[default]
    Server,
}

impl Side {
    /// Returns the opposite side, which receives the bytes that this side sends.
    pub fn other(self) -> Side {
        match self {
            Side::Client => Side::Server,
            Side::Server => Side::Client,
        }
    }
}

/// The protocol of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Protocol {
    /// PostgreSQL's wire protocol, version 3.
    #[default]
    Postgres,
    /// HTTP/1.1, split into heads and chunks.
    Http,
    /// Bytes that are not parsed into messages.
    Raw,
}

/// All kinds of messages that a rule may name.
pub const MESSAGE_KINDS: [&str; 22] = [
    "Startup",
    "Query",
    "Parse",
    "Bind",
    "Execute",
    "Sync",
    "Terminate",
    "Authentication",
    "ParameterStatus",
    "BackendKeyData",
    "ReadyForQuery",
    "RowDescription",
    "DataRow",
    "CommandComplete",
    "ErrorResponse",
    "NoticeResponse",
    "EmptyQueryResponse",
    "Other",
    "Head",
    "Chunk",
    "bytes",
    "cut",
];
