//! A router's view of the live routers, parsed from its log.

use ladderpass_routing::Time;
use std::net::SocketAddr;
use std::time::UNIX_EPOCH;

/// Start of a router's log message about its view, after the timestamp, level and target.
const VIEW_LOG_TEXT: &str = "fleet: view ";

/// A logged view of a router: the routers that it believes to be alive.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterView {
    /// When the view was logged.
    pub at: Time,
    /// Digest of the set of live routers. Equal sets have equal digests.
    pub digest: u32,
    /// Number of live routers, including the router itself.
    pub count: usize,
    /// Changes of other routers, as far as the log line lists them.
    pub changes: Vec<RouterChange>,
}

/// A change of one router, as another router logged it.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterChange {
    /// Address at which the changed router receives datagrams.
    pub address: SocketAddr,
    /// Text of the change in the log, such as `joined`, `died` or `is back`.
    pub text: String,
}

/// Parses a view from a line of a router's log. Returns `None` if the line has no view.
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
