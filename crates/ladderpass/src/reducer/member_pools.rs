//! The members' side of the reducer: their connections and pools, one job at a time, and what their answers say.
//!
//! It owns these invariants: a connection is idle in its member's pool, or has a job, or is coming up; it is used again
//! only once it has proven quiet; what can't be read is no answer and no news. It must never write to a client.

use super::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Job {
    Attempt(RpcId),
    HealthCheck,
    /// The empty query that was written behind the last one. What comes before its own answer came on top of the
    /// answer before.
    SyncQuery,
}

/// A connection to a member. It carries one job at a time.
pub(super) struct MemberConnection {
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
    pub(super) refusal: Option<pg::Refusal>,
    pub(super) role: Option<Role>,
    pub(super) position: Option<Time>,
}

pub(super) struct MemberPool {
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
    pub(super) fn assign_job(
        &mut self,
        now: Time,
        index: usize,
        job: Job,
        until: Time,
    ) -> Option<ConnectionId> {
        let member = self.members.get_mut(index)?;
        if let Some(id) = member.idle.pop() {
            self.set_job(now, id, job, until);
            return Some(id);
        }
        let address = member.address;
        // Members have what clients leave; these leave them a share of their own.
        if self.links >= self.limits.connections.saturating_sub(self.clients) {
            if let Some(idle) = self.longest_idle_connection() {
                self.close_connection(idle);
            } else if self.clients + self.links < self.limits.connections + self.limits.evicting_clients
                && let Some(client) = self.evictable_client(Some(now))
            {
                self.evict(client);
            } else {
                return None;
            }
        }
        let id = self.next_id();
        self.links += 1;
        if let Some(member) = self.members.get_mut(index) {
            member.links += 1;
        }
        self.stats.connects += 1;
        let connect_until = now + self.limits.connect_timeout;
        let link = MemberConnection {
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
        self.add_connection(id, Some(connect_until), Remote::Member(link));
        self.effects.push(Effect::Connect(id, address));
        self.set_job(now, id, job, until);
        if let (Job::Attempt(_), Some(member)) = (job, self.members.get_mut(index)) {
            member.coming.push_back(id);
        }
        Some(id)
    }

    /// The idle connection that has rested longest; each pool has its own at its front.
    pub(super) fn longest_idle_connection(&self) -> Option<ConnectionId> {
        let first = self.members.iter().filter_map(|member| member.idle.first());
        let since = |id: &&ConnectionId| match self.connections.get(id).map(|connection| &connection.remote) {
            Some(Remote::Member(link)) => link.idle_since,
            _ => Time::NEVER,
        };
        first.min_by_key(since).copied()
    }

    pub(super) fn set_job(&mut self, begun: Time, id: ConnectionId, job: Job, until: Time) {
        let Some(Connection { remote: Remote::Member(link), .. }) = self.connections.get_mut(&id) else {
            return;
        };
        (link.job, link.begun, link.until, link.own) = (Some(job), begun, until, Span::ZERO);
        let deadline = if link.up { until } else { until.min(link.connect_until) };
        self.set_deadline(id, Some(deadline));
        if let Job::Attempt(rpc) = job
            && let Some(entry) = self.rpcs.get_mut(&rpc)
        {
            entry.out = Some(id);
        }
    }

    /// Writes the query of a connection's job.
    pub(super) fn send_query(&mut self, now: Time, id: ConnectionId) {
        let Some(Connection { remote: Remote::Member(link), .. }) = self.connections.get(&id) else { return };
        let (job, until, waited) = (link.job, link.until, now - link.begun);
        let member = MemberId(link.member as u32);
        let mut query = Vec::new();
        match job {
            None => return,
            // It was written behind the query before it.
            Some(Job::SyncQuery) => return,
            Some(Job::HealthCheck) => pg::put_query(&mut query, &[LOAD]),
            Some(Job::Attempt(rpc)) => {
                let Some(entry) = self.rpcs.get(&rpc) else { return };
                // Guards against a stale read: what was fresh enough when it was decided may not be so any more. And against a
                // second effect: repeats that were dropped then may not be any more.
                let repeats = entry.may_have_run
                    && self.uses_idempotency_key.get(entry.method as usize).copied().unwrap_or(false);
                let late = (entry.bounds_staleness || repeats) && waited > self.limits.fresh_send_timeout;
                if late && !self.router.may_still_attempt(now, rpc, member) {
                    return self.release_job(now, id, AttemptOutcome::DecisionExpired);
                }
                let client = entry.client.and_then(|client| self.connections.get_mut(&client));
                let Some(client) = client else {
                    return self.release_job(now, id, AttemptOutcome::Cancelled);
                };
                // It may have left unseen while the connection came up.
                if client.paused {
                    return self.release_job(now, id, AttemptOutcome::NeverSent);
                }
                let frame = pg::frame(client.input.whole(), self.limits.statement_bytes);
                let statement = frame.ok().flatten().and_then(|(_, body, _)| pg::statement(body).ok());
                let parts = statement.and_then(|text| {
                    Some((text.get(..entry.wait_at.start)?, text.get(entry.wait_at.end..)?))
                });
                let Some((before, after)) = parts else {
                    return self.release_job(now, id, AttemptOutcome::NeverSent);
                };
                let wait = ((until - now).nanos() / 1_000_000).max(1).to_string();
                pg::put_query(&mut query, &[before, &wait, after]);
            }
        }
        // Guards against a second copy or noise behind an answer, which the next RPC's client would get for its own:
        // the connection is used again once the member has answered an empty query with nothing before it. That one
        // goes out together with the query, and is worked on after it.
        let length = query.len();
        if !self.faulty.is(Faulty::ReusesUnquiet) {
            pg::put_query(&mut query, &[""]);
        }
        self.write(id, &query);
        if let Some(Connection { output, remote: Remote::Member(link), .. }) = self.connections.get_mut(&id) {
            (link.unwritten, link.scanned, link.answer) =
                (output.len() + length - query.len(), 0, Answer::default());
            (link.asked, link.own, link.unsent) = (now, Span::ZERO, true);
            link.answering = false;
        }
    }

    /// The job of a connection has ended; the connection itself goes on.
    pub(super) fn release_job(&mut self, now: Time, id: ConnectionId, ended: AttemptOutcome) {
        let Some(Connection { remote: Remote::Member(link), .. }) = self.connections.get_mut(&id) else {
            return;
        };
        let Some(job) = link.job.take() else { return };
        let (index, begun, answer) = (link.member, link.begun, std::mem::take(&mut link.answer));
        let (up, connect_until) = (link.up, link.connect_until);
        if up {
            self.return_to_pool(now, id);
        } else {
            self.set_deadline(id, Some(connect_until));
            if let Some(member) = self.members.get_mut(index) {
                member.coming.retain(|&other| other != id);
            }
        }
        let outcome = answer.outcome(MemberId(index as u32), ended, now - begun);
        self.on_job_ended(now, job, outcome, LoadReport::default());
    }

    /// The socket takes no more of its query. Guards against a member that reads late: what it was to be told of the time
    /// that is left, and of data that are fresh enough, would not hold any more.
    pub(super) fn on_query_write_blocked(&mut self, id: ConnectionId) {
        let Some(Connection { remote: Remote::Member(link), .. }) = self.connections.get(&id) else { return };
        if !link.up || link.unwritten == 0 {
            return;
        }
        let bounds_staleness = match link.job {
            Some(Job::Attempt(rpc)) => self.rpcs.get(&rpc).is_some_and(|entry| entry.bounds_staleness),
            _ => false,
        };
        let within =
            if bounds_staleness { self.limits.fresh_send_timeout } else { self.limits.write_timeout };
        let deadline = link.until.min(link.asked + within);
        self.set_deadline(id, Some(deadline));
    }

    /// Its query is out whole: it may run.
    pub(super) fn is_query_sent(&self, id: ConnectionId) -> bool {
        matches!(self.connections.get(&id).map(|connection| &connection.remote), Some(Remote::Member(link)) if link.up && link.unwritten == 0)
    }

    /// Nobody waits for the answer to a connection's job any more: what is not out whole is taken back. Guards members
    /// against RPCs whose clients have left. A part of a query makes the connection useless, and never runs.
    pub(super) fn withdraw_job(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Remote::Member(link) = &mut connection.remote else { return };
        match (link.up, link.unsent) {
            (true, false) if link.unwritten > 0 => {
                self.end_member_connection(now, id, AttemptOutcome::Cancelled)
            }
            (true, false) => {}
            (true, true) => {
                (link.unwritten, link.unsent) = (0, false);
                connection.output.consume(connection.output.len());
                self.release_job(now, id, AttemptOutcome::Cancelled);
            }
            (false, _) => self.release_job(now, id, AttemptOutcome::Cancelled),
        }
    }

    /// Some members fade or have gone: what no byte of has gone to them goes elsewhere. Guards rule 3, as a connection
    /// may come up, or take bytes again, later than the grace.
    pub(super) fn withdraw_from_inactive_members(&mut self, now: Time) {
        let off = |&index: &usize| !self.router.is_active(MemberId(index as u32));
        let off: FxHashSet<usize> = (0..self.members.len()).filter(off).collect();
        off.iter().for_each(|&index| self.close_idle_connections(index));
        let waits = |(&id, connection): (&ConnectionId, &Connection)| match &connection.remote {
            Remote::Member(link)
                if off.contains(&link.member) && matches!(link.job, Some(Job::Attempt(_))) =>
            {
                Some(id).filter(|_| !link.up || link.unsent && link.unwritten > 0)
            }
            _ => None,
        };
        let mut waiting: Vec<ConnectionId> = self.connections.iter().filter_map(waits).collect();
        waiting.sort();
        for id in waiting {
            self.end_member_connection(now, id, AttemptOutcome::Rejected);
        }
    }

    /// A connection that is up and has no job: it takes one that waits, or rests in the pool.
    pub(super) fn return_to_pool(&mut self, now: Time, id: ConnectionId) {
        let idle = self.limits.member_idle_timeout;
        let Some(Connection { remote: Remote::Member(link), .. }) = self.connections.get_mut(&id) else {
            return;
        };
        link.idle_since = now;
        if link.spent {
            return self.close_connection(id);
        }
        let index = link.member;
        if let Some(coming) = self.members.get_mut(index).and_then(|member| member.coming.pop_front())
            && let Some(Connection { remote: Remote::Member(other), .. }) = self.connections.get_mut(&coming)
            && let Some(job) = other.job.take()
        {
            let (begun, until, connect_until) = (other.begun, other.until, other.connect_until);
            self.set_deadline(coming, Some(connect_until));
            self.set_job(begun, id, job, until);
            return self.send_query(now, id);
        }
        if let Some(member) = self.members.get_mut(index) {
            member.idle.push(id);
        }
        self.set_deadline(id, Some(now + idle));
    }

    /// A connection to a member is over, and its job with it.
    pub(super) fn end_member_connection(&mut self, now: Time, id: ConnectionId, ended: AttemptOutcome) {
        let Some(Connection { remote: Remote::Member(link), .. }) = self.connections.get_mut(&id) else {
            return;
        };
        let (job, index, begun) = (link.job.take(), link.member, link.begun);
        let answer = std::mem::take(&mut link.answer);
        if ended == AttemptOutcome::Ok
            && let Some(Job::Attempt(rpc)) = job
        {
            self.forward_answer(now, id, rpc);
        }
        self.close_connection(id);
        // A client's short time tells nothing of the member.
        if ended == AttemptOutcome::TimedOut && now - begun >= self.limits.connect_timeout {
            self.close_silent_connections(index, begun);
        }
        let outcome = answer.outcome(MemberId(index as u32), ended, now - begun);
        if let Some(job) = job {
            self.on_job_ended(now, job, outcome, LoadReport::default());
        }
    }

    /// After silence on one connection the others of that member that have not been heard since are not trusted:
    /// a machine that vanished leaves them open, and a write into one may never be answered.
    pub(super) fn close_silent_connections(&mut self, index: usize, since: Time) {
        let Some(member) = self.members.get(index) else { return };
        let silent = |id: &&ConnectionId| match self.connections.get(id).map(|connection| &connection.remote)
        {
            Some(Remote::Member(link)) => link.heard < since,
            _ => false,
        };
        let silent: Vec<ConnectionId> = member.idle.iter().filter(silent).copied().collect();
        for id in silent {
            self.close_connection(id);
        }
    }

    pub(super) fn is_connected(&self, id: ConnectionId) -> bool {
        matches!(self.connections.get(&id).map(|connection| &connection.remote), Some(Remote::Member(link)) if link.up)
    }

    /// A member stands at another address: connections to the old one are not used again.
    pub(super) fn change_member_address(&mut self, now: Time, index: usize, address: SocketAddr) {
        let Some(member) = self.members.get_mut(index) else { return };
        if member.address == address {
            return;
        }
        member.address = address;
        self.close_idle_connections(index);
        let mut coming = Vec::new();
        for (&id, connection) in &mut self.connections {
            if let Remote::Member(link) = &mut connection.remote
                && link.member == index
            {
                link.spent = true;
                coming.extend(Some(id).filter(|_| !link.up));
            }
        }
        // What was never sent goes to the new address: no miss of the member's, which may stand there already.
        coming.sort();
        for id in coming {
            let Some(Connection { remote: Remote::Member(link), .. }) = self.connections.get_mut(&id) else {
                continue;
            };
            let (job, until, begun) = (link.job.take(), link.until, link.begun);
            self.close_connection(id);
            let Some(job) = job else { continue };
            if self.assign_job(now, index, job, until).is_none() {
                let outcome =
                    Answer::default().outcome(MemberId(index as u32), AttemptOutcome::NeverSent, now - begun);
                self.on_job_ended(now, job, outcome, LoadReport::default());
            }
        }
    }

    pub(super) fn close_idle_connections(&mut self, index: usize) {
        let idle = self.members.get_mut(index).map(|member| std::mem::take(&mut member.idle));
        for id in idle.into_iter().flatten() {
            self.close_connection(id);
        }
    }

    /// The core knows it no more.
    pub(super) fn retire_member(&mut self, index: usize) {
        self.close_idle_connections(index);
        if let Some(member) = self.members.get_mut(index) {
            member.forgotten = true;
        }
        self.release_member_index(index);
    }

    /// Guards against an old connection, timer or answer that would be taken for the new member's.
    pub(super) fn release_member_index(&mut self, index: usize) {
        if self.members.get(index).is_some_and(|member| member.forgotten && member.links == 0) {
            self.names.release(index as u32);
            self.gossip_codec.id_hashes.remove(index as u32);
        }
    }

    /// Reads what a member has sent: its welcome, or the answer to its job.
    pub(super) fn read_member(&mut self, now: Time, id: ConnectionId) {
        loop {
            let Some(connection) = self.connections.get_mut(&id) else { return };
            let Remote::Member(link) = &mut connection.remote else { return };
            link.heard = now;
            if self.faulty.is(Faulty::ReusesUnquiet) && link.up && link.job.is_none() {
                return;
            }
            if connection.input.len() > link.scanned
                && link.up
                && link.job.is_some()
                && !std::mem::replace(&mut link.answering, true)
            {
                let until = link.until.min(now + self.limits.partial_answer_timeout);
                self.set_deadline(id, Some(until));
                continue;
            }
            let bytes = connection.input.whole();
            let rest = bytes.get(link.scanned..).unwrap_or_default();
            let (kind, body, length) = match pg::frame(rest, self.limits.member_buffer_bytes) {
                Ok(Some(frame)) => frame,
                Ok(None) => return,
                Err(_) if self.faulty.is(Faulty::TrustsLengths) && link.answer.described => {
                    (link.answer.row, link.answer.complete) = (true, true);
                    link.scanned = connection.input.len();
                    return self.on_answer_complete(now, id);
                }
                Err(_) => return self.on_malformed_message(now, id),
            };
            let working = link.up && link.job.is_some();
            let fence = link.job == Some(Job::SyncQuery);
            let whole = link.answer.is_complete();
            let torn = self.faulty.is(Faulty::PassesOnTornRows);
            match (kind, working) {
                (b'N', _) | (b'S', false) => {}
                (b'S', true) => match pg::parameter(body) {
                    Ok((name, value)) => link.answer.parameter(&name, &value),
                    Err(_) => return self.on_malformed_message(now, id),
                },
                (b'R', false) if !link.up && body == [0; 4] => {}
                (b'K', false) if !link.up => {}
                (b'Z', false) if !link.up => {
                    link.up = true;
                    connection.input.consume(length);
                    let begun = link.connect_until - self.limits.connect_timeout;
                    self.stats.connect_time += now - begun;
                    self.on_member_ready(now, id);
                    continue;
                }
                (b'E', _) if link.answer.refusal.is_none() && !fence => {
                    let Ok(refusal) = pg::refusal(body) else { return self.on_malformed_message(now, id) };
                    let fatal = refusal.fatal;
                    link.answer.refusal = Some(refusal);
                    // Guards against a connection kept with the rest of a query still to be written.
                    if !working || fatal || link.unwritten > 0 {
                        let ended = link.outcome_on_close();
                        return self.end_member_connection(now, id, ended);
                    }
                }
                (b'I', true) if fence && link.unwritten == 0 && !whole => link.answer.complete = true,
                _ if fence && kind != b'Z' => return self.on_malformed_message(now, id),
                (b'T', true)
                    if link.unwritten == 0 && !whole && !link.answer.described && pg::describes_one(body) =>
                {
                    link.answer.described = true;
                }
                (b'D', true)
                    if link.answer.described
                        && !whole
                        && !link.answer.row
                        && (matches!(pg::column(body), Ok(Some(_))) || torn) =>
                {
                    link.answer.row = true;
                }
                (b'C', true) if link.answer.row && !whole && pg::completes_one(body) => {
                    link.answer.complete = true;
                }
                (b'Z', true) if whole && matches!(body, b"I" | b"T" | b"E") => {
                    link.scanned += length;
                    self.on_answer_complete(now, id);
                    continue;
                }
                _ => return self.on_malformed_message(now, id),
            }
            if working {
                link.scanned += length;
            } else {
                connection.input.consume(length);
            }
        }
    }

    /// A message that has no place here closes that connection.
    pub(super) fn on_malformed_message(&mut self, now: Time, id: ConnectionId) {
        let Some(Connection { remote: Remote::Member(link), .. }) = self.connections.get(&id) else { return };
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
        self.end_member_connection(now, id, ended);
    }

    pub(super) fn on_member_ready(&mut self, now: Time, id: ConnectionId) {
        let Some(Connection { remote: Remote::Member(link), .. }) = self.connections.get(&id) else { return };
        if let Some(member) = self.members.get_mut(link.member) {
            member.coming.retain(|&other| other != id);
        }
        if link.job.is_some() {
            let until = link.until;
            self.set_deadline(id, Some(until));
            self.send_query(now, id);
        } else {
            self.return_to_pool(now, id);
        }
    }

    /// The member is ready again: the answer to its job is whole.
    pub(super) fn on_answer_complete(&mut self, now: Time, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Remote::Member(link) = &mut connection.remote else { return };
        let Some(job) = link.job.take() else { return };
        let index = link.member;
        // What this router itself kept waiting, the query before it was written and the answer before it was read, is
        // none of the member's time.
        let own = link.own + link.kept;
        let took = (now - link.begun - own).max(Span::from_nanos(1));
        let answer = std::mem::take(&mut link.answer);
        link.answering = false;
        let used = std::mem::take(&mut link.scanned);
        if let Job::Attempt(rpc) = job
            && let Some(entry) = self.rpcs.get_mut(&rpc)
        {
            entry.own += own;
        }
        let ended = answer.ended();
        let mut report = LoadReport::default();
        match job {
            Job::Attempt(rpc) if ended == AttemptOutcome::Ok => self.forward_answer(now, id, rpc),
            Job::Attempt(_) | Job::SyncQuery => {}
            Job::HealthCheck => {
                report =
                    read_report(connection.input.whole(), self.limits.member_buffer_bytes, &self.columns);
            }
        }
        if self.faulty.is(Faulty::IgnoresLag) {
            report.position = report.position.map(|_| now);
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.input.consume(used);
            connection.input.shrink(self.limits.buffer_initial_bytes);
        }
        self.update_buffer_bytes(id);
        let mut outcome = answer.outcome(MemberId(index as u32), ended, took);
        if self.faulty.is(Faulty::IgnoresLag) {
            outcome.position = outcome.position.map(|_| now);
        }
        if job == Job::SyncQuery {
            return self.return_to_pool(now, id);
        }
        match self.faulty.is(Faulty::ReusesUnquiet) {
            true => self.return_to_pool(now, id),
            false => self.set_job(now, id, Job::SyncQuery, now + self.limits.partial_answer_timeout),
        }
        self.on_job_ended(now, job, outcome, report);
    }

    pub(super) fn start_health_check(&mut self, now: Time, member: MemberId) {
        let until = now + self.limits.health_check_timeout;
        match self.assign_job(now, member.0 as usize, Job::HealthCheck, until) {
            Some(id) if self.is_connected(id) => self.send_query(now, id),
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

impl MemberConnection {
    /// What the end of the connection means for its job.
    pub(super) fn outcome_on_close(&self) -> AttemptOutcome {
        if self.up && self.answer.is_complete() {
            return self.answer.ended();
        }
        match self.job {
            // Turned away at the door: it is there.
            Some(Job::HealthCheck) if self.answer.refusal.is_some() => AttemptOutcome::Rejected,
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
                self.position = value.parse().ok().map(time_from_unix_ms);
            }
            _ => {}
        }
    }

    pub(super) fn is_complete(&self) -> bool {
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
    while let Ok(Some((kind, body, length))) = pg::frame(bytes, most) {
        if let (b'D', Ok(Some(value))) = (kind, pg::column(body)) {
            let text = String::from_utf8_lossy(value);
            tracing::debug!("report {text}");
            return pg::report(&text).and_then(|pairs| load_report_from(&pairs, columns)).unwrap_or_default();
        }
        bytes = bytes.get(length..).unwrap_or_default();
    }
    LoadReport::default()
}

fn load_report_from(pairs: &[(&str, f64)], columns: &[String]) -> Option<LoadReport> {
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
