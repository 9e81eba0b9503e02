//! The members' side of the reducer: their connections and pools, one job at a time, and what their answers say.
//!
//! It owns these invariants: a connection is idle in its member's pool, or has a job, or is coming up; it is used again
//! only once it has proven quiet; what can't be read is no answer and no news. It must never write to a client.

use super::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Job {
    Call(RpcId),
    Probe,
    /// The empty query that was written behind the last one. What comes before its own answer came on top of the
    /// answer before.
    Fence,
}

/// A connection to a member. It carries one job at a time.
pub(super) struct Link {
    pub(super) member: usize,
    /// Its welcome is complete.
    pub(super) up: bool,
    pub(super) job: Option<Job>,
    /// When the job was given out, and when it is given up.
    pub(super) begun: Time,
    pub(super) until: Time,
    pub(super) connect_until: Time,
    /// Bytes of the query not yet written to the socket; those of the fence behind it are not counted.
    pub(super) unwritten: usize,
    /// No byte of it has been written yet.
    pub(super) unsent: bool,
    /// When the query was handed over to be written, and for how long this router has kept it, and its answer, waiting.
    pub(super) asked: Time,
    pub(super) own: Span,
    /// How long what was read last had waited to be read.
    pub(super) kept: Span,
    /// How far the input was looked through.
    pub(super) scanned: usize,
    pub(super) answer: Answer,
    /// Bytes of the answer have come.
    pub(super) answering: bool,
    pub(super) idle_since: Time,
    pub(super) heard: Time,
    /// Not to be used again, as its member has moved.
    pub(super) spent: bool,
}

/// What has come of an answer.
#[derive(Default)]
pub(super) struct Answer {
    pub(super) described: bool,
    pub(super) row: bool,
    pub(super) complete: bool,
    pub(super) refusal: Option<pg::ErrorResponse>,
    pub(super) role: Option<Role>,
    pub(super) position: Option<Time>,
}

pub(super) struct Member {
    pub(super) address: SocketAddr,
    /// Connections that can take a job, the one used last at the end.
    pub(super) idle: Vec<ConnectionId>,
    /// Connections that are coming up for an RPC.
    pub(super) coming: VecDeque<ConnectionId>,
    /// All its connections.
    pub(super) links: usize,
    /// The core knows it no more: once its last connection is over its index serves another.
    pub(super) forgotten: bool,
}

impl Reducer {
    /// Gives a job to a connection of a member, one that is up or one that is to come; None if there can be none.
    pub(super) fn reach(&mut self, now: Time, index: usize, job: Job, until: Time) -> Option<ConnectionId> {
        let member = self.members.get_mut(index)?;
        if let Some(id) = member.idle.pop() {
            self.give(now, id, job, until);
            return Some(id);
        }
        let address = member.address;
        // Members have what clients leave; these leave them a share of their own.
        if self.links >= self.limits.connections.saturating_sub(self.clients) {
            if let Some(idle) = self.longest_idle() {
                self.drop_conn(idle);
            } else if self.clients + self.links < self.limits.connections + self.limits.evicting_clients
                && let Some(client) = self.rested(Some(now))
            {
                self.part_with(client);
            } else {
                return None;
            }
        }
        let id = self.next_id();
        self.links += 1;
        if let Some(member) = self.members.get_mut(index) {
            member.links += 1;
        }
        self.tally.connects += 1;
        let connect_until = now + self.limits.connect_timeout;
        let link = Link {
            member: index,
            up: false,
            job: None,
            begun: now,
            until,
            connect_until,
            unwritten: 0,
            unsent: false,
            asked: now,
            own: Span::ZERO,
            kept: Span::ZERO,
            scanned: 0,
            answer: Answer::default(),
            answering: false,
            idle_since: now,
            heard: Time::NEVER,
            spent: false,
        };
        self.open(id, Some(connect_until), Peer::Member(link));
        self.effects.push(Effect::Connect(id, address));
        self.give(now, id, job, until);
        if let (Job::Call(_), Some(member)) = (job, self.members.get_mut(index)) {
            member.coming.push_back(id);
        }
        Some(id)
    }

    /// The idle connection that has rested longest; each pool has its own at its front.
    pub(super) fn longest_idle(&self) -> Option<ConnectionId> {
        let first = self.members.iter().filter_map(|member| member.idle.first());
        let since = |id: &&ConnectionId| match self.conns.get(id).map(|conn| &conn.peer) {
            Some(Peer::Member(link)) => link.idle_since,
            _ => Time::NEVER,
        };
        first.min_by_key(since).copied()
    }

    pub(super) fn give(&mut self, begun: Time, id: ConnectionId, job: Job, until: Time) {
        let Some(Conn { peer: Peer::Member(link), .. }) = self.conns.get_mut(&id) else { return };
        (link.job, link.begun, link.until, link.own) = (Some(job), begun, until, Span::ZERO);
        let deadline = if link.up { until } else { until.min(link.connect_until) };
        self.set_deadline(id, Some(deadline));
        if let Job::Call(rpc) = job
            && let Some(call) = self.calls.get_mut(&rpc)
        {
            call.out = Some(id);
        }
    }

    /// Writes the query of a connection's job.
    pub(super) fn send(&mut self, now: Time, id: ConnectionId) {
        let Some(Conn { peer: Peer::Member(link), .. }) = self.conns.get(&id) else { return };
        let (job, until, waited) = (link.job, link.until, now - link.begun);
        let member = MemberId(link.member as u32);
        let mut query = Vec::new();
        match job {
            None => return,
            // It was written behind the query before it.
            Some(Job::Fence) => return,
            Some(Job::Probe) => pg::put_query(&mut query, &[LOAD]),
            Some(Job::Call(rpc)) => {
                let Some(call) = self.calls.get(&rpc) else { return };
                // Guards against a stale read: what was fresh enough when it was decided may not be so any more. And against a
                // second effect: repeats that were dropped then may not be any more.
                let repeats =
                    call.may_have_run && self.tokened.get(call.method as usize).copied().unwrap_or(false);
                let late = (call.bounded || repeats) && waited > self.limits.fresh_send_timeout;
                if late && !self.router.may_still_attempt(now, rpc, member) {
                    return self.release(now, id, AttemptOutcome::DecisionExpired);
                }
                let client = call.client.and_then(|client| self.conns.get_mut(&client));
                let Some(client) = client else { return self.release(now, id, AttemptOutcome::Cancelled) };
                // It may have left unseen while the connection came up.
                if client.paused {
                    return self.release(now, id, AttemptOutcome::NeverSent);
                }
                let frame = pg::parse_frame(client.input.make_contiguous(), self.limits.statement_bytes);
                let statement = frame.ok().flatten().and_then(|frame| pg::parse_query(frame.body).ok());
                let parts = statement
                    .and_then(|text| Some((text.get(..call.wait_at.start)?, text.get(call.wait_at.end..)?)));
                let Some((before, after)) = parts else {
                    return self.release(now, id, AttemptOutcome::NeverSent);
                };
                let wait = ((until - now).nanos() / 1_000_000).max(1).to_string();
                pg::put_query(&mut query, &[before, &wait, after]);
            }
        }
        // Guards against a second copy or noise behind an answer, which the next RPC's client would get for its own:
        // the connection is used again once the member has answered an empty query with nothing before it. That one
        // goes out together with the query, and is worked on after it.
        let length = query.len();
        if !self.faulty.is(Faulty::ReusesBusyConnections) {
            pg::put_query(&mut query, &[""]);
        }
        self.write(id, &query);
        if let Some(Conn { output, peer: Peer::Member(link), .. }) = self.conns.get_mut(&id) {
            (link.unwritten, link.scanned, link.answer) =
                (output.len() + length - query.len(), 0, Answer::default());
            (link.asked, link.own, link.unsent) = (now, Span::ZERO, true);
            link.answering = false;
        }
    }

    /// The job of a connection has ended; the connection itself goes on.
    pub(super) fn release(&mut self, now: Time, id: ConnectionId, ended: AttemptOutcome) {
        let Some(Conn { peer: Peer::Member(link), .. }) = self.conns.get_mut(&id) else { return };
        let Some(job) = link.job.take() else { return };
        let (index, begun, answer) = (link.member, link.begun, std::mem::take(&mut link.answer));
        let (up, connect_until) = (link.up, link.connect_until);
        if up {
            self.rest(now, id);
        } else {
            self.set_deadline(id, Some(connect_until));
            if let Some(member) = self.members.get_mut(index) {
                member.coming.retain(|&other| other != id);
            }
        }
        let outcome = answer.outcome(MemberId(index as u32), ended, now - begun);
        self.job_ended(now, job, outcome, LoadReport::default());
    }

    /// The socket takes no more of its query. Guards against a member that reads late: what it was to be told of the time
    /// that is left, and of data that are fresh enough, would not hold any more.
    pub(super) fn link_is_stuck(&mut self, id: ConnectionId) {
        let Some(Conn { peer: Peer::Member(link), .. }) = self.conns.get(&id) else { return };
        if !link.up || link.unwritten == 0 {
            return;
        }
        let bounded = match link.job {
            Some(Job::Call(rpc)) => self.calls.get(&rpc).is_some_and(|call| call.bounded),
            _ => false,
        };
        let within = if bounded { self.limits.fresh_send_timeout } else { self.limits.write_timeout };
        let deadline = link.until.min(link.asked + within);
        self.set_deadline(id, Some(deadline));
    }

    /// Its query is out whole: it may run.
    pub(super) fn is_sent(&self, id: ConnectionId) -> bool {
        matches!(self.conns.get(&id).map(|conn| &conn.peer), Some(Peer::Member(link)) if link.up && link.unwritten == 0)
    }

    /// Nobody waits for the answer to a connection's job any more: what is not out whole is taken back. Guards members
    /// against RPCs whose clients have left. A part of a query makes the connection useless, and never runs.
    pub(super) fn withdraw(&mut self, now: Time, id: ConnectionId) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let Peer::Member(link) = &mut conn.peer else { return };
        match (link.up, link.unsent) {
            (true, false) if link.unwritten > 0 => self.link_over(now, id, AttemptOutcome::Cancelled),
            (true, false) => {}
            (true, true) => {
                (link.unwritten, link.unsent) = (0, false);
                conn.output.consume(conn.output.len());
                self.release(now, id, AttemptOutcome::Cancelled);
            }
            (false, _) => self.release(now, id, AttemptOutcome::Cancelled),
        }
    }

    /// Some members fade or have gone: what no byte of has gone to them goes elsewhere. Guards rule 3, as a connection
    /// may come up, or take bytes again, later than the grace.
    pub(super) fn call_back(&mut self, now: Time) {
        let off = |&index: &usize| !self.router.is_active(MemberId(index as u32));
        let off: FxHashSet<usize> = (0..self.members.len()).filter(off).collect();
        off.iter().for_each(|&index| self.let_go(index));
        let waits = |(&id, conn): (&ConnectionId, &Conn)| match &conn.peer {
            Peer::Member(link) if off.contains(&link.member) && matches!(link.job, Some(Job::Call(_))) => {
                Some(id).filter(|_| !link.up || link.unsent && link.unwritten > 0)
            }
            _ => None,
        };
        let mut waiting: Vec<ConnectionId> = self.conns.iter().filter_map(waits).collect();
        waiting.sort();
        for id in waiting {
            self.link_over(now, id, AttemptOutcome::Rejected);
        }
    }

    /// A connection that is up and has no job: it takes one that waits, or rests in the pool.
    pub(super) fn rest(&mut self, now: Time, id: ConnectionId) {
        let idle = self.limits.member_idle_timeout;
        let Some(Conn { peer: Peer::Member(link), .. }) = self.conns.get_mut(&id) else { return };
        link.idle_since = now;
        if link.spent {
            return self.drop_conn(id);
        }
        let index = link.member;
        if let Some(coming) = self.members.get_mut(index).and_then(|member| member.coming.pop_front())
            && let Some(Conn { peer: Peer::Member(other), .. }) = self.conns.get_mut(&coming)
            && let Some(job) = other.job.take()
        {
            let (begun, until, connect_until) = (other.begun, other.until, other.connect_until);
            self.set_deadline(coming, Some(connect_until));
            self.give(begun, id, job, until);
            return self.send(now, id);
        }
        if let Some(member) = self.members.get_mut(index) {
            member.idle.push(id);
        }
        self.set_deadline(id, Some(now + idle));
    }

    /// A connection to a member is over, and its job with it.
    pub(super) fn link_over(&mut self, now: Time, id: ConnectionId, ended: AttemptOutcome) {
        let Some(Conn { peer: Peer::Member(link), .. }) = self.conns.get_mut(&id) else { return };
        let (job, index, begun) = (link.job.take(), link.member, link.begun);
        let answer = std::mem::take(&mut link.answer);
        if ended == AttemptOutcome::Ok
            && let Some(Job::Call(rpc)) = job
        {
            self.pass_on(now, id, rpc);
        }
        self.drop_conn(id);
        // A client's short time tells nothing of the member.
        if ended == AttemptOutcome::TimedOut && now - begun >= self.limits.connect_timeout {
            self.suspect(index, begun);
        }
        let outcome = answer.outcome(MemberId(index as u32), ended, now - begun);
        if let Some(job) = job {
            self.job_ended(now, job, outcome, LoadReport::default());
        }
    }

    /// After silence on one connection the others of that member that have not been heard since are not trusted:
    /// a machine that vanished leaves them open, and a write into one may never be answered.
    pub(super) fn suspect(&mut self, index: usize, since: Time) {
        let Some(member) = self.members.get(index) else { return };
        let silent = |id: &&ConnectionId| match self.conns.get(id).map(|conn| &conn.peer) {
            Some(Peer::Member(link)) => link.heard < since,
            _ => false,
        };
        let silent: Vec<ConnectionId> = member.idle.iter().filter(silent).copied().collect();
        for id in silent {
            self.drop_conn(id);
        }
    }

    pub(super) fn is_up(&self, id: ConnectionId) -> bool {
        matches!(self.conns.get(&id).map(|conn| &conn.peer), Some(Peer::Member(link)) if link.up)
    }

    /// A member stands at another address: connections to the old one are not used again.
    pub(super) fn moved(&mut self, now: Time, index: usize, address: SocketAddr) {
        let Some(member) = self.members.get_mut(index) else { return };
        if member.address == address {
            return;
        }
        member.address = address;
        self.let_go(index);
        let mut coming = Vec::new();
        for (&id, conn) in &mut self.conns {
            if let Peer::Member(link) = &mut conn.peer
                && link.member == index
            {
                link.spent = true;
                coming.extend(Some(id).filter(|_| !link.up));
            }
        }
        // What was never sent goes to the new address: no miss of the member's, which may stand there already.
        coming.sort();
        for id in coming {
            let Some(Conn { peer: Peer::Member(link), .. }) = self.conns.get_mut(&id) else { continue };
            let (job, until, begun) = (link.job.take(), link.until, link.begun);
            self.drop_conn(id);
            let Some(job) = job else { continue };
            if self.reach(now, index, job, until).is_none() {
                let outcome =
                    Answer::default().outcome(MemberId(index as u32), AttemptOutcome::NeverSent, now - begun);
                self.job_ended(now, job, outcome, LoadReport::default());
            }
        }
    }

    pub(super) fn let_go(&mut self, index: usize) {
        let idle = self.members.get_mut(index).map(|member| std::mem::take(&mut member.idle));
        for id in idle.into_iter().flatten() {
            self.drop_conn(id);
        }
    }

    /// The core knows it no more.
    pub(super) fn forget_member(&mut self, index: usize) {
        self.let_go(index);
        if let Some(member) = self.members.get_mut(index) {
            member.forgotten = true;
        }
        self.release_member(index);
    }

    /// Guards against an old connection, timer or answer that would be taken for the new member's.
    pub(super) fn release_member(&mut self, index: usize) {
        if self.members.get(index).is_some_and(|member| member.forgotten && member.links == 0) {
            self.names.release(index as u32);
            self.circle.id_hashes.remove(index as u32);
        }
    }

    /// Reads what a member has sent: its welcome, or the answer to its job.
    pub(super) fn look_at_link(&mut self, now: Time, id: ConnectionId) {
        loop {
            let Some(conn) = self.conns.get_mut(&id) else { return };
            let Peer::Member(link) = &mut conn.peer else { return };
            link.heard = now;
            if self.faulty.is(Faulty::ReusesBusyConnections) && link.up && link.job.is_none() {
                return;
            }
            if conn.input.len() > link.scanned
                && link.up
                && link.job.is_some()
                && !std::mem::replace(&mut link.answering, true)
            {
                let until = link.until.min(now + self.limits.partial_answer_timeout);
                self.set_deadline(id, Some(until));
                continue;
            }
            let bytes = conn.input.make_contiguous();
            let rest = bytes.get(link.scanned..).unwrap_or_default();
            let pg::Frame { kind, body, length } =
                match pg::parse_frame(rest, self.limits.member_buffer_bytes) {
                    Ok(Some(frame)) => frame,
                    Ok(None) => return,
                    Err(_) if self.faulty.is(Faulty::TrustsLengths) && link.answer.described => {
                        (link.answer.row, link.answer.complete) = (true, true);
                        link.scanned = conn.input.len();
                        return self.answer_whole(now, id);
                    }
                    Err(_) => return self.malformed(now, id),
                };
            let working = link.up && link.job.is_some();
            let fence = link.job == Some(Job::Fence);
            let whole = link.answer.is_whole();
            let torn = self.faulty.is(Faulty::ForwardsTornRows);
            match (kind, working) {
                (b'N', _) | (b'S', false) => {}
                (b'S', true) => match pg::parse_parameter_status(body) {
                    Ok(status) => link.answer.parameter(&status.name, &status.value),
                    Err(_) => return self.malformed(now, id),
                },
                (b'R', false) if !link.up && body == [0; 4] => {}
                (b'K', false) if !link.up => {}
                (b'Z', false) if !link.up => {
                    link.up = true;
                    conn.input.consume(length);
                    let begun = link.connect_until - self.limits.connect_timeout;
                    self.tally.connect_time += now - begun;
                    self.came_up(now, id);
                    continue;
                }
                (b'E', _) if link.answer.refusal.is_none() && !fence => {
                    let Ok(refusal) = pg::parse_error_response(body) else { return self.malformed(now, id) };
                    let fatal = refusal.fatal;
                    link.answer.refusal = Some(refusal);
                    // Guards against a connection kept with the rest of a query still to be written.
                    if !working || fatal || link.unwritten > 0 {
                        let ended = link.ended_by_close();
                        return self.link_over(now, id, ended);
                    }
                }
                (b'I', true) if fence && link.unwritten == 0 && !whole => link.answer.complete = true,
                _ if fence && kind != b'Z' => return self.malformed(now, id),
                (b'T', true)
                    if link.unwritten == 0
                        && !whole
                        && !link.answer.described
                        && pg::is_single_column_description(body) =>
                {
                    link.answer.described = true;
                }
                (b'D', true)
                    if link.answer.described
                        && !whole
                        && !link.answer.row
                        && (matches!(pg::parse_single_column(body), Ok(Some(_))) || torn) =>
                {
                    link.answer.row = true;
                }
                (b'C', true) if link.answer.row && !whole && pg::is_single_row_completion(body) => {
                    link.answer.complete = true;
                }
                (b'Z', true) if whole && matches!(body, b"I" | b"T" | b"E") => {
                    link.scanned += length;
                    self.answer_whole(now, id);
                    continue;
                }
                _ => return self.malformed(now, id),
            }
            if working {
                link.scanned += length;
            } else {
                conn.input.consume(length);
            }
        }
    }

    /// A message that has no place here closes that connection.
    pub(super) fn malformed(&mut self, now: Time, id: ConnectionId) {
        let Some(Conn { peer: Peer::Member(link), .. }) = self.conns.get(&id) else { return };
        let name = self.names.name(link.member as u32);
        tracing::warn!(
            "{name}: what it sent can't be read, during {:?}, {} bytes unwritten",
            link.job,
            link.unwritten
        );
        let ended = if link.up && link.unwritten == 0 {
            AttemptOutcome::ConnectionLost
        } else {
            AttemptOutcome::Unreachable
        };
        self.link_over(now, id, ended);
    }

    pub(super) fn came_up(&mut self, now: Time, id: ConnectionId) {
        let Some(Conn { peer: Peer::Member(link), .. }) = self.conns.get(&id) else { return };
        if let Some(member) = self.members.get_mut(link.member) {
            member.coming.retain(|&other| other != id);
        }
        if link.job.is_some() {
            let until = link.until;
            self.set_deadline(id, Some(until));
            self.send(now, id);
        } else {
            self.rest(now, id);
        }
    }

    /// The member is ready again: the answer to its job is whole.
    pub(super) fn answer_whole(&mut self, now: Time, id: ConnectionId) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let Peer::Member(link) = &mut conn.peer else { return };
        let Some(job) = link.job.take() else { return };
        let index = link.member;
        // What this router itself kept waiting, the query before it was written and the answer before it was read, is
        // none of the member's time.
        let own = link.own + link.kept;
        let took = (now - link.begun - own).max(Span::from_nanos(1));
        let answer = std::mem::take(&mut link.answer);
        link.answering = false;
        let used = std::mem::take(&mut link.scanned);
        if let Job::Call(rpc) = job
            && let Some(call) = self.calls.get_mut(&rpc)
        {
            call.own += own;
        }
        let ended = answer.ended();
        let mut report = LoadReport::default();
        match job {
            Job::Call(rpc) if ended == AttemptOutcome::Ok => self.pass_on(now, id, rpc),
            Job::Call(_) | Job::Fence => {}
            Job::Probe => {
                report =
                    read_report(conn.input.make_contiguous(), self.limits.member_buffer_bytes, &self.columns);
            }
        }
        if self.faulty.is(Faulty::IgnoresLag) {
            report.position = report.position.map(|_| now);
        }
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.input.consume(used);
            conn.input.shrink_if_empty(self.limits.buffer_initial_bytes);
        }
        self.recount(id);
        let mut outcome = answer.outcome(MemberId(index as u32), ended, took);
        if self.faulty.is(Faulty::IgnoresLag) {
            outcome.position = outcome.position.map(|_| now);
        }
        if job == Job::Fence {
            return self.rest(now, id);
        }
        match self.faulty.is(Faulty::ReusesBusyConnections) {
            true => self.rest(now, id),
            false => self.give(now, id, Job::Fence, now + self.limits.partial_answer_timeout),
        }
        self.job_ended(now, job, outcome, report);
    }

    pub(super) fn probe(&mut self, now: Time, member: MemberId) {
        let until = now + self.limits.health_check_timeout;
        match self.reach(now, member.0 as usize, Job::Probe, until) {
            Some(id) if self.is_up(id) => self.send(now, id),
            Some(_) => {}
            None => self.router.on_health_check_ended(
                now,
                member,
                AttemptOutcome::NeverSent,
                Span::ZERO,
                LoadReport::default(),
            ),
        }
    }
}

impl Link {
    /// What the end of the connection means for its job.
    pub(super) fn ended_by_close(&self) -> AttemptOutcome {
        if self.up && self.answer.is_whole() {
            return self.answer.ended();
        }
        match self.job {
            // Turned away at the door: it is there.
            Some(Job::Probe) if self.answer.refusal.is_some() => AttemptOutcome::Rejected,
            Some(_) if self.up && self.unwritten == 0 => AttemptOutcome::ConnectionLost,
            _ => AttemptOutcome::Unreachable,
        }
    }
}

impl Answer {
    /// With what the answer told of the member.
    pub(super) fn outcome(&self, member: MemberId, ended: AttemptOutcome, took: Span) -> AttemptResult {
        let (role, position) = (self.role, self.position);
        AttemptResult {
            member,
            outcome: ended,
            latency: took,
            rpc_complete: false,
            retry_denied: false,
            role,
            position,
        }
    }

    pub(super) fn parameter(&mut self, name: &str, value: &str) {
        match name {
            "node_role" => {
                self.role = match value {
                    "leader" => Some(Role::Primary),
                    "follower" => Some(Role::Replica),
                    _ => None,
                }
            }
            "replay_position" => {
                self.position = value.parse().ok().map(moment);
            }
            _ => {}
        }
    }

    pub(super) fn is_whole(&self) -> bool {
        self.complete || self.refusal.is_some()
    }

    pub(super) fn ended(&self) -> AttemptOutcome {
        match self.refusal.as_ref().map(|refusal| refusal.code.as_str()) {
            None => AttemptOutcome::Ok,
            Some("25006" | "72000") => AttemptOutcome::NotServedHere,
            Some("53300" | "57P03") => AttemptOutcome::Rejected,
            Some(_) => AttemptOutcome::Failed,
        }
    }
}

/// The load report in the row of an answer; none where it is not of the columns it should have, or can't be so.
fn read_report(mut bytes: &[u8], most: usize, columns: &[String]) -> LoadReport {
    while let Ok(Some(pg::Frame { kind, body, length })) = pg::parse_frame(bytes, most) {
        if let (b'D', Ok(Some(value))) = (kind, pg::parse_single_column(body)) {
            let text = String::from_utf8_lossy(value);
            tracing::debug!("report {text}");
            return pg::parse_load_report(&text)
                .and_then(|pairs| of_columns(&pairs, columns))
                .unwrap_or_default();
        }
        bytes = bytes.get(length..).unwrap_or_default();
    }
    LoadReport::default()
}

fn of_columns(pairs: &[(&str, f64)], columns: &[String]) -> Option<LoadReport> {
    let has = |column: &String| pairs.iter().any(|(name, _)| name == column);
    if !columns.iter().all(has) {
        return None;
    }
    let mut report = LoadReport::default();
    for &(name, value) in pairs {
        match name {
            POSITION_COLUMN => report.position = Some(Time::from_nanos((value * 1e9) as i64)),
            PRIMARY_COLUMN => report.is_primary = Some(value >= 0.5),
            IN_FLIGHT_COLUMN => report.in_flight = Some(value),
            _ => {}
        }
    }
    Some(report)
}
