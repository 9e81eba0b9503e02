//! The protocol of a link, its two sides, and the kinds of messages that rules can name.

use serde::{Deserialize, Serialize};

/// The sender of bytes: who connected to the link, or whom the link forwards to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    /// Who connected to the link.
    Client,
    /// Whom the link forwards to.
    #[default]
    Server,
}

impl Side {
    /// The side that receives what this one sends.
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
    /// HTTP/1.1, as heads and chunks.
    Http,
    /// Bytes without messages.
    Raw,
}

/// Every kind of message that a rule may name.
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
