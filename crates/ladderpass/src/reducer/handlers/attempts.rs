//! Carries out the routing core's decisions on RPCs, and returns the outcome of each attempt to the routing core, which
//! decides what comes next.

use crate::reducer::Reducer;
use crate::reducer::connection_id::ConnectionId;
use crate::reducer::log_target;
use crate::reducer::state::connections::{Connection, Connections};
use crate::reducer::state::member_connection::Job;
use crate::reducer::state::query_answer::unanswered_result;
use crate::reducer::state::rpc_table::RpcDescription;
use ladderpass_routing::reference_clock::PositionReport;
use ladderpass_routing::{
    AttemptOutcome, AttemptResult, Decision, LoadReport, MemberId, Role, RpcId, Span, Time,
};

/// Returns whether reading from the client is paused because the client has sent more than can be read now. A close of
/// the client's connection can't be seen while reading is paused. No attempt is made for such a client, because the
/// client may have left. So the RPC of a client that has not left, but has sent too much ahead, is rejected as well.
fn may_have_left(connections: &Connections, client: Option<ConnectionId>) -> bool {
    client.and_then(|client| connections.get(client)).is_some_and(Connection::is_read_paused)
}

impl Reducer {
    pub(in crate::reducer) fn apply_decision(&mut self, now: Time, rpc: RpcId, decision: Decision) {
        match decision {
            Decision::Attempt { member, timeout } => self.start_attempt(now, rpc, member, timeout),
            Decision::Queue | Decision::AlreadyAnswered => {}
            Decision::Reject { .. } | Decision::Fail => self.answer_unserved(now, rpc, decision),
        }
    }

    fn start_attempt(&mut self, now: Time, rpc: RpcId, member: MemberId, timeout: Option<Span>) {
        let Some(entry) = self.rpcs.get_mut(rpc) else { return };
        let is_first = entry.begin_attempt();
        let (client, deadline, group) =
            (entry.client(), entry.description().deadline, entry.description().group);
        if let (true, Some(peers)) = (is_first, &mut self.peers) {
            peers.record_first_attempt(group);
        }
        let latest = deadline - self.limits.answer_margin;
        let deadline = timeout.map_or(latest, |timeout| latest.min(now + timeout));
        let is_possible = deadline > now && !may_have_left(&self.connections, client);
        let connection = match is_possible {
            true => self.assign_job(now, member.0 as usize, Job::Attempt(rpc), now, deadline),
            false => None,
        };
        match connection {
            Some(id) if self.is_established(id) => self.send_query(now, id),
            Some(_) => {}
            None => {
                let result = unanswered_result(member, AttemptOutcome::NeverSent, Span::ZERO);
                self.on_attempt_ended(now, rpc, result);
            }
        }
    }

    pub(super) fn on_job_ended(
        &mut self,
        now: Time,
        job: Job,
        mut result: AttemptResult,
        mut report: LoadReport,
    ) {
        self.check_positions(now, &mut result, &mut report);
        match job {
            Job::SyncQuery => {}
            Job::HealthCheck => {
                self.stats.count_health_check(result.outcome);
                let (member, outcome, latency) = (result.member, result.outcome, result.latency);
                self.router.on_health_check_ended(now, member, outcome, latency, report);
            }
            Job::Attempt(rpc) => self.on_attempt_ended(now, rpc, result),
        }
    }

    /// Removes what can't be used of the positions that a member has reported. A position that is not positive is none.
    /// Of an answer or a load report whose position is further ahead than clocks may differ, nothing is used: it could
    /// lead to stale reads, and to a primary that never changes again. Nor is anything used of a load report whose
    /// position is not positive, because a member that has no data for its load report yet sends zeros, also for its
    /// role.
    fn check_positions(&mut self, now: Time, result: &mut AttemptResult, report: &mut LoadReport) {
        result.position = result.position.filter(|position| position.nanos() > 0);
        let (member, sent_at) = (result.member, now - result.latency);
        if let Some(position) = result.position
            && !self.record_position(now, PositionReport { member, role: result.role, sent_at, position })
        {
            (result.position, result.role) = (None, None);
        }
        let role = report.is_primary.map(|is_primary| if is_primary { Role::Primary } else { Role::Replica });
        if let Some(position) = report.position
            && (position.nanos() <= 0
                || !self.record_position(now, PositionReport { member, role, sent_at, position }))
        {
            *report = LoadReport::default();
        }
    }

    /// Compares a position that a member has reported with this router's clock. Returns whether the member may have
    /// reached the position.
    fn record_position(&mut self, now: Time, report: PositionReport) -> bool {
        let is_plausible = self.reference_clock.record_position(now, &report);
        self.router.set_clock_difference(self.reference_clock.difference(now));
        if !is_plausible {
            tracing::warn!(
                target: log_target::MEMBER_ANSWERS,
                member = self.members.names().name(report.member.0),
                ahead_ms = (report.position - now).nanos() / 1_000_000,
                "position from a member is ahead of all clocks: not used"
            );
        }
        is_plausible
    }

    fn on_attempt_ended(&mut self, now: Time, rpc: RpcId, mut result: AttemptResult) {
        self.stats.count_attempt(result.outcome);
        let Some(entry) = self.rpcs.get_mut(rpc) else { return };
        entry.span().in_scope(|| {
            let took_ms = result.latency.secs() * 1e3;
            tracing::debug!(
                target: log_target::ATTEMPTS,
                member = result.member.0,
                outcome = ?result.outcome,
                took_ms,
                "attempt ended"
            );
        });
        entry.end_attempt(result.outcome);
        let is_ok = result.outcome == AttemptOutcome::Ok;
        let has_no_client = entry.client().is_none();
        let is_abandoned = entry.is_cancelled() || may_have_left(&self.connections, entry.client());
        result.retry_denied |= is_abandoned;
        if is_ok {
            self.stats.add_answer_time(result.latency);
        }
        result.rpc_complete = is_ok || has_no_client;
        if result.outcome == AttemptOutcome::DecisionExpired {
            // Nothing was sent in the attempt that has ended, so no retry is withdrawn from the shared retry budget for
            // the next attempt.
            entry.discount_attempt();
        } else if let Some(peers) = &mut self.peers {
            if is_ok && entry.attempts() > 1 {
                peers.record_retry_success(entry.description().group);
            } else if !result.rpc_complete && result.outcome != AttemptOutcome::NeverSent && !is_abandoned {
                let RpcDescription { group, priority, .. } = *entry.description();
                let is_withdrawn = peers.try_withdraw_retry(group, priority);
                entry.set_retry_withdrawn(is_withdrawn);
                result.retry_denied = !is_withdrawn;
            }
        }
        if has_no_client {
            self.rpcs.remove(now, rpc, &self.limits);
        }
        let decision = rpc.on_attempt_ended(&mut self.router, now, result);
        self.apply_decision(now, rpc, decision);
    }
}
