//! What has arrived of a member's answer to one query: one row of one column, or an error, and the parameters that
//! describe the member.

use crate::pg;
use crate::reducer::unix_time::time_from_unix_ms;
use ladderpass_routing::{AttemptOutcome, AttemptResult, MemberId, Role, Span, Time};

/// What has arrived of a member's answer to a query.
#[derive(Default)]
pub(in crate::reducer) struct QueryAnswer {
    has_description: bool,
    has_row: bool,
    is_command_complete: bool,
    error: Option<pg::ErrorResponse>,
    role: Option<Role>,
    position: Option<Time>,
}

impl QueryAnswer {
    pub(super) fn has_description(&self) -> bool {
        self.has_description
    }

    pub(super) fn has_error(&self) -> bool {
        self.error.is_some()
    }

    pub(super) fn set_error(&mut self, error: pg::ErrorResponse) {
        self.error = Some(error);
    }

    /// Marks the answer's command as complete without checking which messages have arrived.
    pub(super) fn complete(&mut self) {
        self.is_command_complete = true;
    }

    /// Used only with the fault `TrustsLengths`: treats the messages that have arrived as a complete answer with a row.
    pub(super) fn force_complete(&mut self) {
        (self.has_row, self.is_command_complete) = (true, true);
    }

    /// Returns whether the whole answer has arrived, except for the member's ReadyForQuery.
    pub(super) fn is_complete(&self) -> bool {
        self.is_command_complete || self.error.is_some()
    }

    /// Adds a message of the result to the answer. Returns false if the message is not valid at this point of the
    /// answer.
    pub(super) fn add_result_message(&mut self, kind: u8, body: &[u8], accepts_torn_rows: bool) -> bool {
        if self.is_complete() {
            return false;
        }
        match kind {
            b'T' if !self.has_description && pg::is_single_column_description(body) => {
                self.has_description = true
            }
            b'D' if self.has_description
                && !self.has_row
                && (matches!(pg::parse_single_column(body), Ok(Some(_))) || accepts_torn_rows) =>
            {
                self.has_row = true;
            }
            b'C' if self.has_row && pg::is_single_row_completion(body) => self.is_command_complete = true,
            _ => return false,
        }
        true
    }

    pub(super) fn set_parameter(&mut self, name: &str, value: &str) {
        match name {
            "node_role" => {
                self.role = match value {
                    "leader" => Some(Role::Primary),
                    "follower" => Some(Role::Replica),
                    _ => None,
                }
            }
            "replay_position" => self.position = value.parse().ok().map(time_from_unix_ms),
            _ => {}
        }
    }

    /// Used only with the fault `IgnoresLag`: if the member has reported a replication position, replaces that position
    /// with `position`.
    pub(in crate::reducer) fn override_position(&mut self, position: Time) {
        self.position = self.position.map(|_| position);
    }

    /// Returns the outcome of an attempt or a health check, given that this answer is complete.
    pub(in crate::reducer) fn outcome(&self) -> AttemptOutcome {
        match self.error.as_ref().map(|error| error.code.as_str()) {
            None => AttemptOutcome::Ok,
            Some("25006" | "72000") => AttemptOutcome::NotServedHere,
            Some("53300" | "57P03") => AttemptOutcome::Rejected,
            Some(_) => AttemptOutcome::Failed,
        }
    }

    /// Returns the result of an attempt with this outcome, and with the role and the replication position that the
    /// member has reported in this answer.
    pub(in crate::reducer) fn to_result(
        &self,
        member: MemberId,
        outcome: AttemptOutcome,
        latency: Span,
    ) -> AttemptResult {
        AttemptResult {
            member,
            outcome,
            latency,
            rpc_complete: false,
            retry_denied: false,
            role: self.role,
            position: self.position,
        }
    }
}

/// Returns the result of an attempt for which nothing of an answer has arrived.
pub(in crate::reducer) fn unanswered_result(
    member: MemberId,
    outcome: AttemptOutcome,
    latency: Span,
) -> AttemptResult {
    QueryAnswer::default().to_result(member, outcome, latency)
}
