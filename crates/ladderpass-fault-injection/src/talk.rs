//! What is spoken on a link, and by whom.
//!
//! It owns the words for both. It must never hold a rule or bytes.

use serde::{Deserialize, Serialize};

/// Who has sent bytes: the one that connected to the link, or the one that the link leads to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    Client,
    #[default]
    Server,
}

impl Side {
    pub fn other(self) -> Side {
        match self {
            Side::Client => Side::Server,
            Side::Server => Side::Client,
        }
    }
}

/// What is spoken on a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Talk {
    #[default]
    Postgres,
    Http,
    Raw,
}

/// Every kind that a rule may name.
pub const KINDS: [&str; 22] = [
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
