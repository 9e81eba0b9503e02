//! Accepts RPCs: parses a client's statement, assesses it by the overload of this router and of all routers, and passes
//! it to the routing core.

use super::rejections::{Rejection, StatementError};
use crate::faulty::Faulty;
use crate::pg;
use crate::reducer::Reducer;
use crate::reducer::connection_id::ConnectionId;
use crate::reducer::log_target;
use crate::reducer::state::client::Admission;
use crate::reducer::state::connections::{Connection, Remote};
use crate::reducer::state::overload_monitor::StatementCost;
use crate::reducer::state::rpc_table::{RpcDescription, RpcInFlight};
use crate::reducer::state::stats::Count;
use crate::reducer::unix_time::time_from_unix_ms;
use ladderpass_routing::{Arrival, Decision, RpcId, Span, Time, fnv1a};
use std::ops::Range;

/// The maximum time, in milliseconds, that a statement may say its client waits; a longer time is shortened to this
/// one. No client waits for longer, and a `Time` can represent a deadline this far away.
const MAX_WAIT_MS: f64 = 3.6e6;
/// The number of characters of a client's text that an error quotes. A longer text is cut off, because its quoted form
/// takes several times the memory of the text.
const MAX_QUOTED_CHARS: usize = 64;
/// How much later than its client's deadline an RPC ends if the router has the fault `Faulty::AnswersLate`.
const FAULTY_LATENESS: Span = Span::from_millis(1000);
/// The shift to the right that leaves the 16 highest bits of a session's 64-bit hash. These bits are the session's
/// index.
const SESSION_HASH_SHIFT: u32 = 64 - 16;

/// A statement that can become an RPC.
struct Statement {
    arrival: Arrival,
    /// The byte range of the statement's text that says how long the client waits.
    wait_at: Range<usize>,
    id_hash: u64,
    /// The priority of the RPC, or zero without shared admission control.
    priority: u32,
    /// Whether shared admission control rejects the RPC, because the RPC's priority is too low for the load of the
    /// RPC's group of members.
    is_shed_by_fleet: bool,
}

impl Reducer {
    /// Accepts or rejects the RPC whose statement is at the front of a client's input. `length` is the statement's
    /// length in bytes.
    pub(super) fn accept_rpc(&mut self, now: Time, id: ConnectionId, length: usize) {
        self.set_awaited(id, None);
        let Some(client) = self.connections.client_mut(id) else { return };
        client.record_statement();
        let is_admitted = client.admission() == Admission::Admitted;
        let is_crowded = !is_admitted && self.evict_and_check_client_limit(now);
        let statement = match self.parse_statement(now, id, length) {
            Ok(statement) => statement,
            Err(error) => return self.answer_client_error(now, id, length, &error),
        };
        if is_crowded {
            return self.reject_unadmitted(id, length);
        }
        if self.rpcs.len() >= self.limits.rpcs_in_flight {
            self.stats.count(Count::Full);
            return self.reject_statement(id, length, Rejection::Full);
        }
        self.stats.count(Count::Accepted);
        self.overload.record_accepted();
        if let Some(client) = self.connections.client_mut(id) {
            client.clear_errors();
            client.set_admission(Admission::Admitted);
        }
        let (rpc, decision) = self.router.accept(now, statement.arrival);
        if let Decision::Reject { retry_after } = decision
            && (self.overload.record_rejected_at_arrival() || statement.is_shed_by_fleet)
        {
            self.stats.count(Count::Shed);
            return self.reject_at_arrival(id, length, retry_after);
        }
        self.begin_rpc(now, id, rpc, statement);
        self.apply_decision(now, rpc, decision);
    }

    /// Rejects a statement because too many clients are connected. The connection of its client was accepted
    /// nevertheless, so that the client gets an error here, rather than no answer at the listener. The connection stays
    /// open for `Limits::rejected_client_idle_timeout`, as further statements may be on their way, and each of them is
    /// owed an answer.
    fn reject_unadmitted(&mut self, id: ConnectionId, length: usize) {
        self.stats.count(Count::Crowded);
        if let Some(client) = self.connections.client_mut(id) {
            client.set_admission(Admission::Rejected);
        }
        self.reject_statement(id, length, Rejection::Crowded);
    }

    fn begin_rpc(&mut self, now: Time, id: ConnectionId, rpc: RpcId, statement: Statement) {
        let Statement { arrival, wait_at, id_hash, priority, .. } = statement;
        let Arrival { method, group, deadline, .. } = arrival;
        if let Some(client) = self.connections.client_mut(id) {
            client.begin_rpc(rpc);
        }
        let description = RpcDescription {
            deadline,
            requires_position: self.methods.requires_position(method),
            method,
            group,
            priority,
            id_hash,
            wait_at,
        };
        let span = tracing::debug_span!(
            target: log_target::ACCEPT_RPC,
            "rpc",
            method,
            deadline_ms = (deadline - now).secs() * 1e3
        );
        self.rpcs.insert(rpc, RpcInFlight::new(now, id, description, span));
        self.connections.set_deadline(id, Some(deadline - self.limits.answer_margin * 0.5));
    }

    fn parse_statement(
        &mut self,
        now: Time,
        id: ConnectionId,
        length: usize,
    ) -> Result<Statement, StatementError> {
        let Some(Connection { input, remote: Remote::Client(client), .. }) = self.connections.get_mut(id)
        else {
            return Err(StatementError::new("08003", "the connection has ended"));
        };
        let body = input.make_contiguous().get(5..length).unwrap_or_default();
        let text = pg::parse_query(body).map_err(|_| StatementError::new("22021", "not text"))?;
        let comment =
            pg::parse_comment(text).map_err(|error| StatementError::new("42601", error.to_string()))?;
        let method = self.methods.index(comment.method).ok_or_else(|| {
            let quoted: String = comment.method.chars().take(MAX_QUOTED_CHARS).collect();
            StatementError::new("22023", format!("unknown method {quoted:?} in c"))
        })?;
        let group = self.endpoints.group(comment.group).ok_or_else(|| {
            StatementError::new("22023", format!("unknown group {} in cluster", comment.group))
        })?;
        // The client's wait begins when the statement arrives, and includes the time while the statement waits behind
        // others or the process stalls.
        let arrived = client.arrival_of(now, length);
        let waited = arrived.as_ref().map_or(Span::ZERO, |arrived| arrived.waited_for_router);
        let arrived_at = arrived.map_or(now - self.stall, |arrived| arrived.at);
        let wait = Span::from_secs_f64(comment.wait_ms.min(MAX_WAIT_MS) / 1e3);
        let lateness = if self.faulty.is(Faulty::AnswersLate) { FAULTY_LATENESS } else { Span::ZERO };
        let mut arrival = build_arrival(now, method, group, arrived_at + wait + lateness, &comment);
        let cost = StatementCost { waited, bytes: length };
        if self.overload.assess(now, &self.router, &mut arrival, client.usage_mut(), cost) {
            // The routing core is certain to reject this RPC, so the rest of the statement is not parsed or checked.
            let wait_at = comment.wait_at;
            return Ok(Statement { arrival, wait_at, id_hash: 0, priority: 0, is_shed_by_fleet: false });
        }
        let pg::StatementForm { writes: is_write, key } = pg::parse_statement_form(comment.head)
            .ok_or_else(|| StatementError::new("42601", "the statement has no form that is served"))?;
        if self.methods.is_write(method) != Some(is_write) {
            return Err(StatementError::new("42601", "the statement has not the form of its method"));
        }
        // A statement whose id is already in use may be a second copy of the RPC that has the id. The members must not
        // get both.
        let id_hash = self.rpcs.hash_id(comment.id);
        if self.rpcs.is_duplicate(now, id_hash) {
            return Err(StatementError::new("23505", "its id is that of another RPC"));
        }
        let (mut is_shed_by_fleet, mut priority) = (false, 0);
        if let Some(peers) = &mut self.peers {
            let session = if self.methods.has_session_methods() { key } else { comment.id };
            let router = &self.router;
            let verdict = peers
                .assess(now, &mut arrival, session, |arrival, state| router.priority(now, arrival, state));
            (is_shed_by_fleet, priority) = (verdict.is_rejected, verdict.priority);
        }
        arrival.session = Some(key).filter(|_| self.methods.tracks_sessions()).map(session_index);
        Ok(Statement { arrival, wait_at: comment.wait_at, id_hash, priority, is_shed_by_fleet })
    }
}

fn build_arrival(
    now: Time,
    method: u32,
    group: u32,
    deadline: Time,
    comment: &pg::StatementComment<'_>,
) -> Arrival {
    // If the time of the session's last write is ahead of this router's clock, the write's age is negative. The age
    // must not be limited to zero, because the write is compared with members' replication positions and not with the
    // clock.
    let last_write_ms = comment.after_ms.filter(|&ms| ms > 0.0);
    Arrival {
        method,
        group,
        deadline,
        is_client_retry: comment.resent,
        session: None,
        last_write_age: last_write_ms.map(|ms| now - time_from_unix_ms(ms)),
        router_overload: None,
        fleet_overload: None,
        admission_draw: None,
    }
}

/// Returns an index of 16 bits for a session. Two sessions with the same index see each other's writes, so the
/// consistency is stricter than required for them.
fn session_index(key: &str) -> u32 {
    (fnv1a::hash(key.as_bytes()) >> SESSION_HASH_SHIFT) as u32
}
