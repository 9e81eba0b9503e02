//! A router's view of the live routers, as it logs it.

use ladderpass_routing::Time;
use std::net::SocketAddr;
use std::time::UNIX_EPOCH;

/// What a router's log line about its view starts with, behind the log's own fields.
const VIEW_LOG_TEXT: &str = "fleet: view ";

/// A view that a router has logged: which routers it believes to be alive.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterView {
    /// When it was logged.
    pub at: Time,
    /// Digest of the live routers: the same for the same set.
    pub digest: u32,
    /// How many routers are alive, itself included.
    pub count: usize,
    /// What the line says became of other routers.
    pub changes: Vec<RouterChange>,
}

/// What became of a router, as another one logged it.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterChange {
    /// Where it gets datagrams.
    pub address: SocketAddr,
    /// The log's words: `joined`, `died`, `is back`, ...
    pub text: String,
}

/// Parses the view in a line of a router's log, if it has one.
pub fn parse_view(line: &str) -> Option<RouterView> {
    let (log_fields, view) = line.split_once(VIEW_LOG_TEXT)?;
    let timestamp = log_fields.split_whitespace().next()?;
    let at = humantime::parse_rfc3339(timestamp).ok()?.duration_since(UNIX_EPOCH).ok()?;
    let (digest, rest) = view.split_once(" of ")?;
    let (count, changes) = rest.split_once(',')?;
    let change = |part: &str| {
        let (address, text) = part.trim().split_once(' ')?;
        Some(RouterChange { address: address.parse().ok()?, text: text.to_owned() })
    };
    Some(RouterView {
        at: Time::from_nanos(at.as_nanos() as i64),
        digest: u32::from_str_radix(digest, 16).ok()?,
        count: count.parse().ok()?,
        changes: changes.split(';').filter_map(change).collect(),
    })
}
