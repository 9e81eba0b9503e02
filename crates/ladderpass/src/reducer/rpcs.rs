//! RPCs that were taken: each decision of the core carried out, each outcome handed back, one final answer.
//!
//! It owns this invariant: an RPC's client is taken out of its call together with the answer that is written to it, so
//! there is never a second one. It must never decide: what comes next is the core's word.

use super::*;

fn length_of(head: Option<(u8, usize)>) -> usize {
    head.map_or(0, |(_, length)| length)
}

/// An RPC that was taken and is unanswered, or has a call-out out.
pub(super) struct RpcInFlight {
    pub(super) client: Option<ConnectionId>,
    /// Since when it is with the core and the members; what of that the router itself kept waiting.
    pub(super) taken: Time,
    pub(super) own: Span,
    pub(super) due: Time,
    /// Its data must not be older than a bound when it is sent.
    pub(super) bounds_staleness: bool,
    pub(super) method: u32,
    pub(super) group: u32,
    /// Where it stands among all by its utility, where routers shed as one; call-outs of it so far.
    pub(super) rank: u32,
    /// Its id, as the ids that are open have it.
    pub(super) name: u64,
    pub(super) outs: u32,
    /// The retry budget knows of the first of them.
    pub(super) begun: bool,
    /// A further one is paid for and not made yet.
    pub(super) paid: bool,
    /// Where `d` stands in its statement.
    pub(super) wait_at: std::ops::Range<usize>,
    pub(super) out: Option<ConnectionId>,
    /// An attempt of it may have run without a good answer.
    pub(super) may_have_run: bool,
    /// Its client has asked to cancel it: nothing is begun for it any more.
    pub(super) cancelled: bool,
    /// None but at debug: its life, and its call-outs as events in it.
    pub(super) span: tracing::Span,
}

/// The time to come back as it is told, in milliseconds.
pub(super) fn retry_after_ms(come_back: Span) -> Option<i64> {
    Some(come_back.nanos() / 1_000_000).filter(|&ms| ms > 0)
}

/// Has its client sent more than can be read? Its end may stand behind that. Guards members against attempts, first or
/// further, for one that has left unseen; harms one that stays and sends so much ahead.
fn may_have_left(connections: &FxHashMap<ConnectionId, Connection>, client: Option<ConnectionId>) -> bool {
    client.and_then(|client| connections.get(&client)).is_some_and(|connection| connection.paused)
}

impl Reducer {
    pub(super) fn apply_decision(&mut self, now: Time, rpc: RpcId, decision: Decision) {
        match decision {
            Decision::Attempt { member, timeout: limit } => self.start_attempt(now, rpc, member, limit),
            Decision::Queue | Decision::AlreadyAnswered => {}
            Decision::Reject { .. } | Decision::Fail => self.answer_unserved(now, rpc, decision),
        }
    }

    /// It has its final answer, and nothing of it is out.
    pub(super) fn remove_rpc(&mut self, rpc: RpcId) {
        if let Some(entry) = self.rpcs.remove(&rpc) {
            self.ids.close(entry.name);
        }
    }

    pub(super) fn start_attempt(&mut self, now: Time, rpc: RpcId, member: MemberId, limit: Option<Span>) {
        let Some(entry) = self.rpcs.get_mut(&rpc) else { return };
        entry.outs += 1;
        entry.paid = false;
        let first = !std::mem::replace(&mut entry.begun, true);
        if let (true, Some(peers)) = (first, &mut self.peers) {
            peers.first(entry.group);
        }
        let until = entry.due - self.limits.answer_margin;
        let unseen = may_have_left(&self.connections, entry.client);
        let until = limit.map_or(until, |limit| until.min(now + limit));
        let job = Job::Attempt(rpc);
        let link =
            if until > now && !unseen { self.assign_job(now, member.0 as usize, job, until) } else { None };
        match link {
            Some(link) if self.is_connected(link) => self.send_query(now, link),
            Some(_) => {}
            None => self.on_attempt_ended(
                now,
                rpc,
                Answer::default().outcome(member, AttemptOutcome::NeverSent, Span::ZERO),
            ),
        }
    }

    /// Guards against stale reads and a primary that never changes again: no member can be past the present, by what
    /// clocks may differ in; what says so, or is before all time, is no news.
    fn plausible_position(&mut self, now: Time, position: Time) -> Option<Time> {
        if position.nanos() <= 0 {
            return None;
        }
        self.reference_clock.record_position(now, position);
        let difference = self.reference_clock.difference(now);
        self.router.set_clock_difference(difference);
        Some(position).filter(|&position| position <= now + difference.behind + self.limits.max_clock_lead)
    }

    pub(super) fn on_job_ended(
        &mut self,
        now: Time,
        job: Job,
        mut outcome: AttemptResult,
        mut report: LoadReport,
    ) {
        outcome.position = outcome.position.and_then(|position| self.plausible_position(now, position));
        // Guards against a member that has made no report yet: all it says is zero, its role too.
        if let Some(position) = report.position
            && self.plausible_position(now, position).is_none()
        {
            report = LoadReport::default();
        }
        match job {
            Job::SyncQuery => {}
            Job::HealthCheck => {
                count_outcome(&mut self.stats.probes, outcome.outcome);
                self.router.on_health_check_ended(
                    now,
                    outcome.member,
                    outcome.outcome,
                    outcome.latency,
                    report,
                );
            }
            Job::Attempt(rpc) => self.on_attempt_ended(now, rpc, outcome),
        }
    }

    pub(super) fn on_attempt_ended(&mut self, now: Time, rpc: RpcId, mut outcome: AttemptResult) {
        count_outcome(&mut self.stats.ended, outcome.outcome);
        let Some(entry) = self.rpcs.get_mut(&rpc) else { return };
        entry.span.in_scope(|| {
            let took_ms = outcome.latency.secs() * 1e3;
            tracing::debug!(member = outcome.member.0, ended = ?outcome.outcome, took_ms, "call-out");
        });
        entry.out = None;
        entry.may_have_run |= !outcome.outcome.never_ran();
        let answered = entry.client.is_none();
        let over = entry.cancelled || may_have_left(&self.connections, entry.client);
        outcome.retry_denied |= over;
        if outcome.outcome == AttemptOutcome::Ok {
            self.stats.answer_time += outcome.latency;
        }
        outcome.rpc_complete = outcome.outcome == AttemptOutcome::Ok || answered;
        if outcome.outcome == AttemptOutcome::DecisionExpired {
            // No attempt was made: the retry budget pays for none after it.
            entry.outs = entry.outs.saturating_sub(1);
        } else if let Some(peers) = &mut self.peers {
            if outcome.outcome == AttemptOutcome::Ok && entry.outs > 1 {
                peers.helped(entry.group);
            } else if !outcome.rpc_complete && outcome.outcome != AttemptOutcome::NeverSent && !over {
                entry.paid = peers.pays(entry.group, entry.rank);
                outcome.retry_denied = !entry.paid;
            }
        }
        if answered {
            self.remove_rpc(rpc);
        }
        let decision = rpc.on_attempt_ended(&mut self.router, now, outcome);
        self.apply_decision(now, rpc, decision);
    }

    /// Hands the answer at the front of a member's connection to the client that waits for it.
    pub(super) fn forward_answer(&mut self, now: Time, id: ConnectionId, rpc: RpcId) {
        let Some(entry) = self.rpcs.get_mut(&rpc) else { return };
        let (Some(client), method, group) = (entry.client.take(), entry.method, entry.group) else { return };
        let kept = now - entry.taken - entry.own;
        let [Some(from), Some(to)] = self.connections.get_disjoint_mut([&id, &client]) else { return };
        let Remote::Client(state) = &mut to.remote else { return };
        if state.phase != ClientPhase::InRpc(rpc) {
            return;
        }
        state.with_members += kept;
        let mut rest = from.input.whole();
        while let Ok(Some((kind, _, length))) = pg::frame(rest, self.limits.member_buffer_bytes) {
            let (frame, later) = rest.split_at(length);
            if matches!(kind, b'T' | b'D' | b'C') {
                to.output.push(frame, self.limits.buffer_initial_bytes, usize::MAX);
            }
            rest = later;
            if kind == b'Z' {
                break;
            }
        }
        to.output.push(pg::READY, self.limits.buffer_initial_bytes, usize::MAX);
        if self.faulty.is(Faulty::AnswersTwice) {
            let whole: Vec<u8> = to.output.whole().to_vec();
            to.output.push(&whole, self.limits.buffer_initial_bytes, usize::MAX);
        }
        if let Some(peers) = &mut self.peers {
            peers.served(group);
        }
        if let Some(own) = &mut self.overload {
            own.governor.record_served(
                now,
                method,
                to.output.len() + pg::head(to.input.whole()).map_or(0, length_of),
            );
        }
        self.effects.push(Effect::Write(client));
        self.update_buffer_bytes(client);
        self.finish_statement(client);
    }

    /// The client's statement is done with; what it sent behind it is next.
    pub(super) fn finish_statement(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if let Remote::Client(client) = &mut connection.remote {
            client.phase = ClientPhase::Idle;
            client.just_answered = true;
        }
        let length = pg::head(connection.input.whole()).ok().flatten().map_or(0, |(_, length)| length);
        self.consume_input(id, length);
        self.set_deadline(id, None);
        self.again.push(id);
    }

    /// Writes the final answer of an RPC that is not served; `Done`: the core knows it no more, as it was cancelled.
    pub(super) fn answer_unserved(&mut self, now: Time, rpc: RpcId, decision: Decision) {
        let Some(entry) = self.rpcs.get_mut(&rpc) else { return };
        let client = entry.client.take();
        let (group, cancelled) = (entry.group, entry.cancelled);
        if let (true, Some(peers)) = (std::mem::take(&mut entry.paid), &mut self.peers) {
            peers.refund_retry(group);
        }
        let kept = now - entry.taken - entry.own;
        if entry.out.is_none() {
            self.remove_rpc(rpc);
        }
        let Some(client) = client else { return };
        if let Some(Connection { remote: Remote::Client(state), .. }) = self.connections.get_mut(&client) {
            state.with_members += kept;
        }
        if let Some(own) = &mut self.overload {
            own.governor.record_rejected();
        }
        let mut out = Vec::new();
        match decision {
            // Where it may have had an effect the answer says no more than that, cancelled or not.
            Decision::Reject { .. } | Decision::AlreadyAnswered if cancelled => {
                self.stats.cancelled += 1;
                pg::put_refusal(&mut out, "57014", "cancelled at the client's request", None);
            }
            Decision::Reject { retry_after: come_back } => {
                self.stats.pushed_back += 1;
                if let Some(peers) = &mut self.peers {
                    peers.unsent(group);
                }
                pg::put_refusal(
                    &mut out,
                    "53300",
                    "pushed back: a further try is harmless",
                    retry_after_ms(come_back),
                );
            }
            _ => {
                self.stats.aborted += 1;
                pg::put_refusal(&mut out, "58000", "aborted: it may have had an effect", None);
            }
        }
        self.write(client, &out);
        self.finish_statement(client);
    }
}
