//! RPCs that were taken: each decision of the core carried out, each outcome handed back, one final answer.
//!
//! It owns this invariant: an RPC's client is taken out of its call together with the answer that is written to it, so
//! there is never a second one. It must never decide: what comes next is the core's word.

use super::*;

fn length_of(head: Option<pg::FrameHeader>) -> usize {
    head.map_or(0, |header| header.length)
}

/// An RPC that was taken and is unanswered, or has a call-out out.
pub(super) struct Call {
    pub(super) client: Option<ConnectionId>,
    /// Since when it is with the core and the members; what of that the router itself kept waiting.
    pub(super) taken: Time,
    pub(super) own: Span,
    pub(super) due: Time,
    /// Its data must not be older than a bound when it is sent.
    pub(super) bounded: bool,
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
pub(super) fn after(come_back: Span) -> Option<i64> {
    Some(come_back.nanos() / 1_000_000).filter(|&ms| ms > 0)
}

/// Has its client sent more than can be read? Its end may stand behind that. Guards members against attempts, first or
/// further, for one that has left unseen; harms one that stays and sends so much ahead.
fn is_unseen(conns: &FxHashMap<ConnectionId, Conn>, client: Option<ConnectionId>) -> bool {
    client.and_then(|client| conns.get(&client)).is_some_and(|conn| conn.paused)
}

impl Reducer {
    pub(super) fn carry_out(&mut self, now: Time, rpc: RpcId, decision: Decision) {
        match decision {
            Decision::Attempt { member, timeout: limit } => self.call_out(now, rpc, member, limit),
            Decision::Queue | Decision::AlreadyAnswered => {}
            Decision::Reject { .. } | Decision::Fail => self.finish(now, rpc, decision),
        }
    }

    /// It has its final answer, and nothing of it is out.
    pub(super) fn forget_call(&mut self, rpc: RpcId) {
        if let Some(call) = self.calls.remove(&rpc) {
            self.ids.close(call.name);
        }
    }

    pub(super) fn call_out(&mut self, now: Time, rpc: RpcId, member: MemberId, limit: Option<Span>) {
        let Some(call) = self.calls.get_mut(&rpc) else { return };
        call.outs += 1;
        call.paid = false;
        let first = !std::mem::replace(&mut call.begun, true);
        if let (true, Some(peers)) = (first, &mut self.peers) {
            peers.first(call.group);
        }
        let until = call.due - self.limits.answer_margin;
        let unseen = is_unseen(&self.conns, call.client);
        let until = limit.map_or(until, |limit| until.min(now + limit));
        let job = Job::Call(rpc);
        let link = if until > now && !unseen { self.reach(now, member.0 as usize, job, until) } else { None };
        match link {
            Some(link) if self.is_up(link) => self.send(now, link),
            Some(_) => {}
            None => self.call_ended(
                now,
                rpc,
                Answer::default().outcome(member, AttemptOutcome::NeverSent, Span::ZERO),
            ),
        }
    }

    /// Guards against stale reads and a primary that never changes again: no member can be past the present, by what
    /// clocks may differ in; what says so, or is before all time, is no news.
    fn plausible(&mut self, now: Time, position: Time) -> Option<Time> {
        if position.nanos() <= 0 {
            return None;
        }
        self.reference_clock.record_position(now, position);
        let difference = self.reference_clock.difference(now);
        self.router.set_clock_difference(difference);
        Some(position).filter(|&position| position <= now + difference.behind + self.limits.max_clock_lead)
    }

    pub(super) fn job_ended(
        &mut self,
        now: Time,
        job: Job,
        mut outcome: AttemptResult,
        mut report: LoadReport,
    ) {
        outcome.position = outcome.position.and_then(|position| self.plausible(now, position));
        // Guards against a member that has made no report yet: all it says is zero, its role too.
        if let Some(position) = report.position
            && self.plausible(now, position).is_none()
        {
            report = LoadReport::default();
        }
        match job {
            Job::Fence => {}
            Job::Probe => {
                count(&mut self.tally.probes, outcome.outcome);
                self.router.on_health_check_ended(
                    now,
                    outcome.member,
                    outcome.outcome,
                    outcome.latency,
                    report,
                );
            }
            Job::Call(rpc) => self.call_ended(now, rpc, outcome),
        }
    }

    pub(super) fn call_ended(&mut self, now: Time, rpc: RpcId, mut outcome: AttemptResult) {
        count(&mut self.tally.ended, outcome.outcome);
        let Some(call) = self.calls.get_mut(&rpc) else { return };
        call.span.in_scope(|| {
            let took_ms = outcome.latency.secs() * 1e3;
            tracing::debug!(member = outcome.member.0, ended = ?outcome.outcome, took_ms, "call-out");
        });
        call.out = None;
        call.may_have_run |= !outcome.outcome.never_ran();
        let answered = call.client.is_none();
        let over = call.cancelled || is_unseen(&self.conns, call.client);
        outcome.retry_denied |= over;
        if outcome.outcome == AttemptOutcome::Ok {
            self.tally.answer_time += outcome.latency;
        }
        outcome.rpc_complete = outcome.outcome == AttemptOutcome::Ok || answered;
        if outcome.outcome == AttemptOutcome::DecisionExpired {
            // No attempt was made: the retry budget pays for none after it.
            call.outs = call.outs.saturating_sub(1);
        } else if let Some(peers) = &mut self.peers {
            if outcome.outcome == AttemptOutcome::Ok && call.outs > 1 {
                peers.helped(call.group);
            } else if !outcome.rpc_complete && outcome.outcome != AttemptOutcome::NeverSent && !over {
                call.paid = peers.pays(call.group, call.rank);
                outcome.retry_denied = !call.paid;
            }
        }
        if answered {
            self.forget_call(rpc);
        }
        let decision = rpc.on_attempt_ended(&mut self.router, now, outcome);
        self.carry_out(now, rpc, decision);
    }

    /// Hands the answer at the front of a member's connection to the client that waits for it.
    pub(super) fn pass_on(&mut self, now: Time, id: ConnectionId, rpc: RpcId) {
        let Some(call) = self.calls.get_mut(&rpc) else { return };
        let (Some(client), method, group) = (call.client.take(), call.method, call.group) else { return };
        let kept = now - call.taken - call.own;
        let [Some(from), Some(to)] = self.conns.get_disjoint_mut([&id, &client]) else { return };
        let Peer::Client(state) = &mut to.peer else { return };
        if state.phase != Phase::Busy(rpc) {
            return;
        }
        state.with_members += kept;
        let mut rest = from.input.make_contiguous();
        while let Ok(Some(pg::Frame { kind, length, .. })) =
            pg::parse_frame(rest, self.limits.member_buffer_bytes)
        {
            let (frame, later) = rest.split_at(length);
            if matches!(kind, b'T' | b'D' | b'C') {
                to.output.append(frame, self.limits.buffer_initial_bytes, usize::MAX);
            }
            rest = later;
            if kind == b'Z' {
                break;
            }
        }
        to.output.append(pg::READY, self.limits.buffer_initial_bytes, usize::MAX);
        if self.faulty.is(Faulty::AnswersTwice) {
            let whole: Vec<u8> = to.output.make_contiguous().to_vec();
            to.output.append(&whole, self.limits.buffer_initial_bytes, usize::MAX);
        }
        if let Some(peers) = &mut self.peers {
            peers.served(group);
        }
        if let Some(own) = &mut self.own {
            own.governor.record_served(
                now,
                method,
                to.output.len() + pg::parse_frame_header(to.input.make_contiguous()).map_or(0, length_of),
            );
        }
        self.effects.push(Effect::Write(client));
        self.recount(client);
        self.answered(client);
    }

    /// The client's statement is done with; what it sent behind it is next.
    pub(super) fn answered(&mut self, id: ConnectionId) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if let Peer::Client(client) = &mut conn.peer {
            client.phase = Phase::Idle;
            client.just_answered = true;
        }
        let length = pg::parse_frame_header(conn.input.make_contiguous())
            .ok()
            .flatten()
            .map_or(0, |header| header.length);
        self.used(id, length);
        self.set_deadline(id, None);
        self.again.push(id);
    }

    /// Writes the final answer of an RPC that is not served; `Done`: the core knows it no more, as it was cancelled.
    pub(super) fn finish(&mut self, now: Time, rpc: RpcId, decision: Decision) {
        let Some(call) = self.calls.get_mut(&rpc) else { return };
        let client = call.client.take();
        let (group, cancelled) = (call.group, call.cancelled);
        if let (true, Some(peers)) = (std::mem::take(&mut call.paid), &mut self.peers) {
            peers.gives_back(group);
        }
        let kept = now - call.taken - call.own;
        if call.out.is_none() {
            self.forget_call(rpc);
        }
        let Some(client) = client else { return };
        if let Some(Conn { peer: Peer::Client(state), .. }) = self.conns.get_mut(&client) {
            state.with_members += kept;
        }
        if let Some(own) = &mut self.own {
            own.governor.record_rejected();
        }
        let mut out = Vec::new();
        match decision {
            // Where it may have had an effect the answer says no more than that, cancelled or not.
            Decision::Reject { .. } | Decision::AlreadyAnswered if cancelled => {
                self.tally.cancelled += 1;
                pg::put_recoverable_error(&mut out, "57014", "cancelled at the client's request", None);
            }
            Decision::Reject { retry_after: come_back } => {
                self.tally.pushed_back += 1;
                if let Some(peers) = &mut self.peers {
                    peers.unsent(group);
                }
                pg::put_recoverable_error(
                    &mut out,
                    "53300",
                    "pushed back: a further try is harmless",
                    after(come_back),
                );
            }
            _ => {
                self.tally.aborted += 1;
                pg::put_recoverable_error(&mut out, "58000", "aborted: it may have had an effect", None);
            }
        }
        self.write(client, &out);
        self.answered(client);
    }
}
