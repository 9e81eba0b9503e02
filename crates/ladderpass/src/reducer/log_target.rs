//! The targets of the log lines in `handlers` and `state`. Operators filter by them (`RUST_LOG`), so a line keeps its
//! target when its code moves to another module.

pub(super) const ACCEPT_RPC: &str = "ladderpass::reducer::accept_rpc";
pub(super) const ATTEMPTS: &str = "ladderpass::reducer::attempts";
pub(super) const DEADLINES: &str = "ladderpass::reducer::deadlines";
pub(super) const DISCOVERY_WATCH: &str = "ladderpass::reducer::discovery_watch";
pub(super) const ENDPOINT_LIST: &str = "ladderpass::reducer::endpoint_list";
pub(super) const MEMBER_ANSWERS: &str = "ladderpass::reducer::member_answers";
pub(super) const OVERLOAD: &str = "ladderpass::overload";
pub(super) const PEER_LINKS: &str = "ladderpass::reducer::peer_links";
pub(super) const SHUTDOWN: &str = "ladderpass::reducer::shutdown";
pub(super) const STATS: &str = "ladderpass::reducer::stats";
