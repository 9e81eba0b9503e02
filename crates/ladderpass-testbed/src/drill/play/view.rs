//! A router's view of the live routers, as it logs it.

use ladderpass_routing::Time;
use std::net::SocketAddr;
use std::time::UNIX_EPOCH;

/// What a router's log line about its view starts with, behind the log's own fields.
const VIEW_LOG_TEXT: &str = "fleet: view ";

/// A view that a router has logged: which routers it believes to be alive.
#[derive(Clone, Debug, PartialEq)]
pub struct Viewed {
    /// When it was logged.
    pub at: Time,
    /// Digest of the live routers: the same for the same set.
    pub digest: u32,
    /// How many routers are alive, itself included.
    pub count: usize,
    /// Addresses that the line names, each with what became of it.
    pub names: Vec<(SocketAddr, String)>,
}

/// Parses the view in a line of a router's log, if it has one.
pub fn viewed(line: &str) -> Option<Viewed> {
    let (log_fields, view) = line.split_once(VIEW_LOG_TEXT)?;
    let timestamp = log_fields.split_whitespace().next()?;
    let at = humantime::parse_rfc3339(timestamp).ok()?.duration_since(UNIX_EPOCH).ok()?;
    let (digest, rest) = view.split_once(" of ")?;
    let (count, changes) = rest.split_once(',')?;
    let change = |part: &str| {
        let (address, change) = part.trim().split_once(' ')?;
        Some((address.parse().ok()?, change.to_owned()))
    };
    Some(Viewed {
        at: Time::from_nanos(at.as_nanos() as i64),
        digest: u32::from_str_radix(digest, 16).ok()?,
        count: count.parse().ok()?,
        names: changes.split(';').filter_map(change).collect(),
    })
}
