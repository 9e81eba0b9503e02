//! A simulated member, which answers statements, health checks and sync queries.

use ladderpass_emulator::proto;
use ladderpass_routing::{Span, Time};

/// The statement of a health check.
pub(super) const HEALTH_CHECK: &str = "SHOW server_load";
/// The SQLSTATE read_only_sql_transaction, with which a replica rejects a write.
const READ_ONLY: &str = "25006";

/// A simulated member.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// Whether the member's process runs. If not, connections to the member are refused.
    pub up: bool,
    /// Whether the member's machine has failed silently, so that neither connections nor statements get an answer.
    pub hangs: bool,
    /// Whether the member is the primary of its group.
    pub primary: bool,
    /// How far the member's data lag behind the primary's.
    pub lag: Span,
}

impl Member {
    /// Appends the answer to a statement.
    pub(super) fn answer(&self, now: Time, statement: &str, reply: &mut Vec<u8>) {
        let position = now + Span::from_nanos(-self.lag.nanos());
        match statement {
            "" => {
                proto::put_message(reply, b'I', &[]);
                proto::put_ready(reply);
            }
            HEALTH_CHECK => {
                let position_s = position.nanos() as f64 / 1e9;
                let report = format!("x0={position_s:.6},x1={},q=0", u8::from(self.primary));
                proto::put_row(reply, report.as_bytes(), false, self.primary, None);
            }
            statement => {
                let is_write = statement.starts_with("INSERT");
                if is_write && !self.primary {
                    return proto::put_error(reply, "ERROR", READ_ONLY);
                }
                let id = proto::parse_comment(statement).map_or("", |comment| comment.id);
                proto::put_row(reply, id.as_bytes(), is_write, self.primary, Some(position));
            }
        }
    }
}
