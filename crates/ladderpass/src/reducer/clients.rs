//! The clients' side of the reducer: their connections, what each is waited for, the ids that are open.
//!
//! It owns these invariants: a client stands in the set of what it is waited for, and in no other; none that is owed an
//! answer is waited for, or makes place; an id that is open is taken once. It must never touch a member's connection.

use super::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Opening,
    Idle,
    /// Its RPC; the statement stands at the front of the input.
    Busy(RpcId),
}

/// A client that is owed nothing is waited for: to open, to end a statement that it has begun, or to begin one. In
/// this order they make place for others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Waiting {
    Opening,
    Begun,
    Idle,
}

pub(super) struct Client {
    pub(super) phase: Phase,
    /// Faults since its last good statement. After one, nothing is read for a while.
    pub(super) faults: u32,
    pub(super) resting: bool,
    /// An extended-protocol message was turned away; all up to Sync is passed over.
    pub(super) until_sync: bool,
    /// What it is waited for, and since when.
    pub(super) waiting: Option<(Waiting, Time)>,
    pub(super) served: bool,
    /// It had sent more than there is room for; from when on its socket, empty since, counts as read to its end.
    pub(super) overran: bool,
    pub(super) refill: Option<Time>,
    /// Bytes that are still to come of a statement that memory was short for; none of it is kept.
    passing_over: Option<usize>,
    /// In this turn: what it sent behind that is the next one's, as the answer may show that it has left.
    pub(super) just_answered: bool,
    /// What it took of the router lately.
    pub(super) spent: ClientUsage,
    /// Bytes that came and that are done with, and up to which of them came by when.
    came: u64,
    done: u64,
    marks: VecDeque<Mark>,
    /// How long members have kept this client's RPCs: what stood behind them has not waited for this router.
    pub(super) with_members: Span,
}

/// Up to which byte came by when, and how long members had kept the client by then.
struct Mark {
    to: u64,
    at: Time,
    with_members: Span,
}

/// Most marks that are kept of one client; past them bytes count as come with those before, which errs on the side of
/// less time.
const MARKS: usize = 64;

impl Client {
    pub(super) fn came(&mut self, at: Time, count: usize) {
        self.came += count as u64;
        let (to, with_members) = (self.came, self.with_members);
        let full = self.marks.len() >= MARKS;
        match self.marks.back_mut().filter(|_| full) {
            Some(mark) => mark.to = to,
            None => self.marks.push_back(Mark { to, at, with_members }),
        }
    }

    /// When the byte came that is so many from the front, and how much of the time since then was the router's own.
    fn came_at(&self, now: Time, count: usize) -> Option<(Time, Span)> {
        let wanted = self.done + count as u64;
        let mark = self.marks.iter().find(|mark| mark.to >= wanted)?;
        let own = now - mark.at - (self.with_members - mark.with_members);
        Some((mark.at, own.max(Span::ZERO)))
    }

    /// Of so many bytes that came, those that are of a statement that is passed over.
    pub(super) fn passes_over(&mut self, count: usize) -> usize {
        let Some(left) = &mut self.passing_over else { return 0 };
        let passed = count.min(*left);
        *left -= passed;
        self.is_done_with(passed);
        passed
    }

    fn is_done_with(&mut self, count: usize) {
        self.done += count as u64;
        while self.marks.front().is_some_and(|mark| mark.to <= self.done) {
            self.marks.pop_front();
        }
    }
}

/// Ids of RPCs that are taken, kept for some time past their client's own, when nothing of them is out any more. Kept
/// as hashes with a key of this run's own, which nobody can choose ids against.
#[derive(Default)]
pub(super) struct Ids {
    key: foldhash::fast::RandomState,
    kept: FxHashSet<u64>,
    /// Those of RPCs that are open: they stay, however many come behind them.
    open: FxHashSet<u64>,
    /// By when they may go, in steps: their order within one does not matter.
    until: BTreeMap<i64, Vec<u64>>,
}

/// Secret keys by which clients may cancel: a keyed hash (SipHash) of the connection's id, with a key that the system's
/// chance gave this process. Nothing is kept by connection, and who knows some of them knows no other.
#[derive(Default)]
pub(super) struct Keys(std::collections::hash_map::RandomState);

impl Keys {
    pub(super) fn secret(&self, id: ConnectionId) -> u32 {
        (std::hash::BuildHasher::hash_one(&self.0, id.0) >> 32) as u32
    }

    /// Guards the keys against who tries them bit by bit: takes the same time wherever they differ.
    fn fits(&self, id: ConnectionId, secret: u32) -> bool {
        let differs = std::hint::black_box(self.secret(id) ^ secret);
        differs == 0
    }
}

/// By which a client names its connection.
fn process(id: ConnectionId) -> u32 {
    id.0 as u32
}

/// Width of those steps.
const STEP: i64 = 128_000_000;

impl Reducer {
    pub(super) fn accepted(&mut self, now: Time, id: ConnectionId) {
        self.clients += 1;
        let client = Client {
            phase: Phase::Opening,
            faults: 0,
            resting: false,
            until_sync: false,
            waiting: None,
            served: false,
            overran: false,
            refill: None,
            passing_over: None,
            just_answered: false,
            spent: ClientUsage::default(),
            came: 0,
            done: 0,
            marks: VecDeque::new(),
            with_members: Span::ZERO,
        };
        self.open(id, Some(now + self.limits.message_timeout), Peer::Client(client));
        self.wait_for(id, Some((Waiting::Opening, now)));
        self.make_place(now);
        // Guards newcomers against links that merely rest.
        if self.clients + self.links > self.limits.connections
            && let Some(link) = self.longest_idle()
        {
            self.drop_conn(link);
        }
        let full = self.clients >= self.limits.clients_accepted
            || self.clients + self.links >= self.limits.connections;
        if self.accepting && full {
            self.mind_the_door();
        }
    }

    /// The client that is owed nothing and is to make place first; of those that have had their time, where
    /// it counts.
    pub(super) fn rested(&self, now: Option<Time>) -> Option<ConnectionId> {
        let sets = self.waiting.iter().zip(self.limits.eviction_ages);
        let first = |(set, span): (&BTreeSet<(Time, ConnectionId)>, Span)| {
            let &(since, id) = set.first()?;
            now.is_none_or(|now| now - since >= span).then_some(id)
        };
        sets.filter_map(|(set, span)| first((set, span))).next()
    }

    pub(super) fn wait_for(&mut self, id: ConnectionId, what: Option<(Waiting, Time)>) {
        let Some(Conn { peer: Peer::Client(client), .. }) = self.conns.get_mut(&id) else { return };
        if let Some((before, since)) = std::mem::replace(&mut client.waiting, what) {
            self.waiting[before as usize].remove(&(since, id));
        }
        if let Some((now, since)) = what {
            self.waiting[now as usize].insert((since, id));
        }
    }

    /// Guards newcomers against crowds that take place and ask nothing: those that came and have not opened go first,
    /// and soon; then those in the middle of a statement; then those that have rested for a while. One just idle does
    /// not go: its client is likely to write again, which would cross the close.
    pub(super) fn make_place(&mut self, now: Time) {
        for nth in 0..self.waiting.len() {
            while self.clients > self.limits.clients_before_eviction + self.parting.len()
                && let Some(&(since, id)) = self.waiting[nth].first()
                && now - since >= self.limits.eviction_ages[nth]
            {
                self.part_with(id);
            }
        }
    }

    /// Are there more clients than are served? Those that have asked nothing whole are not counted.
    pub(super) fn is_crowded(&mut self, now: Time) -> bool {
        self.make_place(now);
        let [opening, begun, _] = &self.waiting;
        self.clients > self.limits.clients + self.parting.len() + opening.len() + begun.len()
    }

    /// Closes a client's connection soon. Guards against closing on a query that has come already and was not read yet:
    /// the socket is read now, and once more right before it is closed.
    pub(super) fn part_with(&mut self, id: ConnectionId) {
        let Some(Conn { peer: Peer::Client(client), .. }) = self.conns.get(&id) else { return };
        if let Some((what, since)) = client.waiting {
            self.waiting[what as usize].remove(&(since, id));
        }
        self.parting.push((id, client.waiting));
        self.effects.push(Effect::Read(id));
    }

    /// Has all that are parted with looked at for the last time, each right before it is closed. Guards what came while
    /// the router stalled: against closes that wait for those of others, and against one that makes place in this turn.
    pub(super) fn see_off(&mut self) {
        self.effects.extend(self.parting.iter().map(|&(id, _)| Effect::CloseIfQuiet(id)));
    }

    /// Nothing came of the last look at a socket, or else it would not be parted with any more.
    pub(super) fn quiet(&mut self, now: Time, id: ConnectionId) {
        let Some(at) = self.parting.iter().position(|&(parting, _)| parting == id) else { return };
        let Some(conn) = self.conns.get(&id) else { return };
        // A read that failed for a moment is made again, and with it this look.
        if conn.unread && !conn.paused {
            return;
        }
        let (_, waiting) = self.parting.remove(at);
        if let Peer::Client(client) = &conn.peer
            && client.waiting.is_some()
            && client.waiting == waiting
        {
            self.close_client(now, id);
        }
    }

    pub(super) fn client_gone(&mut self, now: Time, id: ConnectionId) {
        let phase = match self.conns.get(&id).map(|conn| &conn.peer) {
            Some(Peer::Client(client)) => client.phase,
            _ => return,
        };
        self.drop_conn(id);
        let Phase::Busy(rpc) = phase else { return };
        self.tally.left += 1;
        rpc.abandon(&mut self.router);
        let Some(call) = self.calls.get_mut(&rpc) else { return };
        call.client = None;
        let out = call.out;
        match out {
            None => self.forget_call(rpc),
            // A query that is out goes on, and tells of the member; one that is not out whole does not.
            Some(link) => self.withdraw(now, link),
        }
    }

    /// Somebody asks to cancel what a client waits for now. With a key that no connection has nothing happens. What no
    /// byte of is out is answered at once, and never goes out; what is out is settled by its outcome, with no further
    /// attempt. What stands behind it goes on.
    fn cancel(&mut self, now: Time, wanted: u32, secret: u32) {
        // The newest connection with this process id: those before it are long over.
        let (last, id) = (self.last_id, u64::from(wanted) | self.last_id & !u64::from(u32::MAX));
        let id = ConnectionId(if id > last { id.wrapping_sub(1 << 32) } else { id });
        let fits = self.keys.fits(id, secret);
        let Some(Conn { peer: Peer::Client(client), .. }) = self.conns.get(&id).filter(|_| fits) else {
            return;
        };
        let Phase::Busy(rpc) = client.phase else { return };
        let Some(call) = self.calls.get_mut(&rpc) else { return };
        call.cancelled = true;
        let writes = self.writes.get(call.method as usize).copied().unwrap_or(true);
        let decision = if call.may_have_run && writes { Decision::Fail } else { Decision::AlreadyAnswered };
        let out = call.out;
        if out.is_some_and(|link| self.is_sent(link)) {
            return;
        }
        self.finish(now, rpc, decision);
        rpc.abandon(&mut self.router);
        if let Some(link) = out {
            self.withdraw(now, link);
        }
    }

    pub(super) fn unread(&mut self, id: ConnectionId) {
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.unread = true;
        }
    }

    pub(super) fn drained(&mut self, now: Time, id: ConnectionId) {
        let refill = now + self.limits.refill_quiet_time;
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.paused = false;
        if !std::mem::take(&mut conn.unread) {
            return;
        }
        if let Peer::Client(client) = &mut conn.peer {
            client.refill = Some(refill).filter(|_| std::mem::take(&mut client.overran)).or(client.refill);
            self.ready.push_back(id);
        }
    }

    /// Its socket stayed empty: nothing stands behind what was read.
    pub(super) fn refilled(&mut self, now: Time, id: ConnectionId) {
        if let Some(Conn { peer: Peer::Client(client), .. }) = self.conns.get_mut(&id) {
            client.refill = None;
        }
        self.look_at_client(now, id);
    }

    pub(super) fn look_at_ready(&mut self, now: Time) {
        while let Some(id) = self.ready.pop_front() {
            self.look_at_client(now, id);
        }
    }

    /// Reads what a client has sent, up to its next RPC.
    pub(super) fn look_at_client(&mut self, now: Time, id: ConnectionId) {
        let ending = self.is_ending(now);
        // Guards the others against one that has sent hundreds of statements at once.
        for _ in 0..self.limits.statements_per_iteration {
            let Some(conn) = self.conns.get_mut(&id) else { return };
            let Peer::Client(client) = &mut conn.peer else { return };
            if conn.closing
                || client.resting
                || client.just_answered
                || matches!(client.phase, Phase::Busy(_))
            {
                return;
            }
            // What is passed over is answered once its last byte has come.
            match client.passing_over {
                Some(0) => {
                    client.passing_over = None;
                    self.refuse(now, id, 0, Refusal::Memory);
                    continue;
                }
                Some(_) => return,
                None => {}
            }
            // One that does not read its answers gets no more of them.
            if conn.output.len() > self.limits.buffer_initial_bytes {
                let deadline = conn.deadline.or(Some(now + self.limits.unread_answer_timeout));
                return self.set_deadline(id, deadline);
            }
            let mut out = Vec::new();
            let (mut close, mut fault) = (false, None);
            let used = if client.phase == Phase::Opening {
                match pg::parse_initial_message(
                    conn.input.make_contiguous(),
                    self.limits.startup_message_bytes,
                ) {
                    Ok(None) => 0,
                    Ok(Some(pg::InitialFrame { message: pg::InitialMessage::Encryption, length })) => {
                        out.push(b'N');
                        length
                    }
                    Ok(Some(pg::InitialFrame { message: pg::InitialMessage::Startup, length })) => {
                        pg::put_startup_reply(&mut out, process(id), self.keys.secret(id));
                        client.phase = Phase::Idle;
                        length
                    }
                    // Told nothing, whatever becomes of it.
                    Ok(Some(pg::InitialFrame {
                        message: pg::InitialMessage::Cancel { process, secret },
                        ..
                    })) => {
                        self.close_client(now, id);
                        return self.cancel(now, process, secret);
                    }
                    Err(_) => {
                        pg::put_error(&mut out, "FATAL", "08P01", "malformed startup", None);
                        close = true;
                        conn.input.len()
                    }
                }
            } else {
                let most = self.limits.statement_bytes;
                match pg::parse_frame_header(conn.input.make_contiguous()) {
                    // Told by its head: to pass over all of it would be work for nothing.
                    Ok(Some(pg::FrameHeader { length, .. })) if length > most => {
                        pg::put_error(&mut out, "FATAL", "54000", "the message is too long", None);
                        close = true;
                        conn.input.len()
                    }
                    Ok(Some(pg::FrameHeader { length, .. })) if conn.input.len() < length => 0,
                    Ok(Some(pg::FrameHeader { kind, length })) => {
                        let body = conn.input.make_contiguous().get(5..length).unwrap_or_default();
                        match (kind, pg::parse_query(body)) {
                            (b'X', _) => close = true,
                            (b'S', _) => {
                                client.until_sync = false;
                                pg::put_ready(&mut out);
                            }
                            _ if client.until_sync => {}
                            (b'Q', Ok(statement)) if statement.trim().trim_end_matches(';').is_empty() => {
                                pg::put_frame(&mut out, b'I', &[]);
                                pg::put_ready(&mut out);
                            }
                            // Guards what SIGKILL would find unanswered: nothing is begun that late.
                            (b'Q', Ok(_)) if ending => {
                                self.refuse(now, id, length, Refusal::Stopping);
                                continue;
                            }
                            // Guards members against statements of a client that has left, where its end can't be
                            // seen: what it sent past its room is read and answered at once, up to its end. Harms
                            // one that stays and sends this much ahead.
                            (b'Q', Ok(_)) if conn.paused => {
                                self.tally.full += 1;
                                self.refuse(now, id, length, Refusal::SentAhead);
                                continue;
                            }
                            (b'Q', Ok(_)) if conn.unread => {
                                self.wait_for(id, None);
                                return self.set_deadline(id, None);
                            }
                            (b'Q', Ok(_)) if client.refill.is_some_and(|until| now < until) => {
                                let until = client.refill;
                                self.wait_for(id, None);
                                return self.set_deadline(id, until);
                            }
                            (b'Q', Ok(_)) => {
                                client.refill = None;
                                self.take(now, id, length);
                                continue;
                            }
                            (b'Q', Err(_)) => {
                                fault = Some(("22021", "the statement is not UTF-8 ended by a zero"));
                            }
                            (b'P' | b'B' | b'E' | b'D' | b'C' | b'H', _) => {
                                let text = "only simple queries are served";
                                pg::put_error(&mut out, "ERROR", "0A000", text, None);
                                client.until_sync = true;
                            }
                            (b'F', _) => fault = Some(("0A000", "only simple queries are served")),
                            (b'd' | b'c' | b'f', _) => {}
                            _ => {
                                pg::put_error(&mut out, "FATAL", "08P01", "unknown message", None);
                                close = true;
                            }
                        }
                        length
                    }
                    Ok(None) => 0,
                    Err(_) => {
                        pg::put_error(&mut out, "FATAL", "08P01", "malformed message", None);
                        close = true;
                        conn.input.len()
                    }
                }
            };
            if let Some((code, text)) = fault {
                self.turn_away(now, id, used, code, text);
                continue;
            }
            self.used(id, used);
            if !out.is_empty() {
                self.write(id, &out);
            }
            if close {
                return self.close_client(now, id);
            }
            if used == 0 {
                return self.client_waits(now, id);
            }
        }
        self.again.push(id);
    }

    /// Bytes of a client's input are done with.
    pub(super) fn used(&mut self, id: ConnectionId, count: usize) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.input.consume(count);
        conn.input.shrink_if_empty(self.limits.buffer_initial_bytes);
        if let Peer::Client(client) = &mut conn.peer {
            client.is_done_with(count);
            self.unlooked = self.unlooked.saturating_sub(count);
        }
        if conn.paused && count > 0 {
            conn.paused = false;
            self.effects.push(Effect::Read(id));
        }
        self.recount(id);
    }

    /// Guards a statement that is whole at its socket, or will be, against waiting for memory past its client's time: none
    /// of it is kept, and it is pushed back once its last byte has come.
    pub(super) fn pass_over(&mut self, now: Time, id: ConnectionId) {
        self.starved.remove(&id);
        let message = self.limits.message_timeout;
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let held = conn.input.len();
        let length = pg::parse_frame_header(conn.input.make_contiguous())
            .ok()
            .flatten()
            .map_or(0, |header| header.length);
        let Peer::Client(client) = &mut conn.peer else { return };
        if client.phase != Phase::Idle || length <= held {
            return self.part_with(id);
        }
        client.passing_over = Some(length - held);
        let since = client.waiting.map_or(now, |(_, since)| since);
        self.used(id, held);
        if let Some(conn) = self.conns.get_mut(&id) {
            conn.input.shrink_if_empty(0);
        }
        self.recount(id);
        self.set_deadline(id, Some(since + message));
    }

    /// Closes once what it is owed is written, or not read for too long.
    pub(super) fn close_client(&mut self, now: Time, id: ConnectionId) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        conn.closing = true;
        if conn.output.is_empty() {
            self.drop_conn(id);
        } else {
            self.set_deadline(id, Some(now + self.limits.unread_answer_timeout));
        }
    }

    /// It has sent no whole message: idle, or in the middle of one.
    pub(super) fn client_waits(&mut self, now: Time, id: ConnectionId) {
        let (message, unread) = (self.limits.message_timeout, self.limits.unread_answer_timeout);
        let idle = self.limits.client_idle_timeout;
        let stopping = self.stopping.is_some();
        // Guards the stop against one that asks nothing over and over.
        let over = self.stopping.is_some_and(|since| now - since >= self.limits.shutdown_accept_time);
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let Peer::Client(client) = &mut conn.peer else { return };
        if client.phase == Phase::Opening {
            return;
        }
        if !conn.input.is_empty() {
            // Its time runs from the first byte on.
            let since = match client.waiting {
                Some((Waiting::Begun, since)) => since,
                _ => now,
            };
            self.wait_for(id, Some((Waiting::Begun, since)));
            let starved = self.starved.contains(&id);
            let within = if starved { self.limits.memory_wait_timeout } else { message };
            return self.set_deadline(id, Some(since + within));
        }
        let leaves = stopping && client.served;
        // Guards against closing one whose answer is not written yet; what it sends meanwhile is read.
        if !conn.output.is_empty() {
            let deadline = conn.deadline.or(Some(now + unread));
            self.wait_for(id, None);
            return self.set_deadline(id, deadline);
        }
        if over {
            return self.close_client(now, id);
        }
        // Guards against connections kept open for good: an idle one is closed after a while, and holds no ring.
        let idle = if stopping { self.limits.shutdown_accept_time } else { idle };
        // Where memory is short it holds no ring meanwhile.
        if self.rings > self.limits.client_buffers_total_bytes / 4 {
            conn.input.shrink_if_empty(0);
            conn.output.shrink_if_empty(0);
            self.recount(id);
        }
        self.wait_for(id, Some((Waiting::Idle, now)));
        self.set_deadline(id, Some(now + idle));
        if leaves {
            self.part_with(id);
        }
    }

    /// Takes the RPC whose statement, of this length, stands at the front of a client's input.
    pub(super) fn take(&mut self, now: Time, id: ConnectionId, length: usize) {
        let mut newcomer = false;
        self.wait_for(id, None);
        if let Some(Conn { peer: Peer::Client(client), .. }) = self.conns.get_mut(&id) {
            newcomer = !std::mem::replace(&mut client.served, true);
        }
        let surplus = newcomer && self.is_crowded(now);
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let Peer::Client(client) = &mut conn.peer else { return };
        let body = conn.input.make_contiguous().get(5..length).unwrap_or_default();
        let (mut fleet_refuses, mut rank) = (false, 0);
        let read =
            pg::parse_query(body).map_err(|_| ("22021", "not text".to_owned())).and_then(|statement| {
                let comment = pg::parse_comment(statement).map_err(|error| ("42601", error.to_string()))?;
                let method = *(self.methods)
                    .get(comment.method)
                    .ok_or_else(|| ("22023", format!("unknown method {:?} in c", comment.method)))?;
                let group = *(self.groups)
                    .get(&comment.group.to_bits())
                    .ok_or_else(|| ("22023", format!("unknown group {} in cluster", comment.group)))?;
                // An hour is more than any client waits, and within what a clock can add.
                // Guards against an answer past the client's time after the process stalled.
                let wait = Span::from_secs_f64(comment.wait_ms.min(3.6e6) / 1e3);
                // Guards against an answer after its client has left: its time runs from when it sent the statement, also
                // while that stood behind others. One whose time is over by then is told so at once.
                let came = client.came_at(now, length);
                let due = came.map_or(now - self.behind, |(came, _)| came) + wait;
                let late = self.faulty.is(Faulty::AnswersLate);
                let due = if late { due + Span::from_millis(1000) } else { due };
                // One that is ahead of the clock here stays so: it is held against positions, not against the clock.
                let last_write = comment.after_ms.filter(|&ms| ms > 0.0).map(|ms| now - moment(ms));
                let resent = comment.resent;
                let mut arrival = Arrival {
                    method,
                    group,
                    deadline: due,
                    is_client_retry: resent,
                    session: None,
                    last_write_age: last_write,
                    router_overload: None,
                    fleet_overload: None,
                    admission_draw: None,
                };
                if let Some(own) = &mut self.own {
                    own.governor.record_statement(now, came.map_or(Span::ZERO, |(_, own)| own), length);
                    let strain = own.governor.overload_state(now, method, &client.spent);
                    arrival.router_overload = Some(strain);
                    let rank = self.router.priority(now, &arrival, &strain);
                    own.governor.record_arrival(now, &strain, rank, &mut client.spent);
                    // Sure to be refused: to look further would be work for nothing.
                    if f64::from(rank + 1) <= strain.admission_threshold {
                        return Ok((arrival, comment.wait_at, 0));
                    }
                }
                let pg::StatementForm { writes, key } = pg::parse_statement_form(comment.head)
                    .ok_or(("42601", "the statement has no form that is served".to_owned()))?;
                if self.writes.get(method as usize).is_none_or(|&of_method| of_method != writes) {
                    return Err(("42601", "the statement has not the form of its method".to_owned()));
                }
                // Guards rule 2: at a member it would be a second copy of the RPC that has this id.
                let id = self.ids.hash(comment.id);
                if self.ids.contains(id) {
                    return Err(("23505", "its id is that of another RPC".to_owned()));
                }
                if let Some(peers) = &mut self.peers {
                    let session = if self.session_methods { key } else { comment.id };
                    let router = &self.router;
                    (fleet_refuses, rank) =
                        peers.weigh(now, &mut arrival, session, |a, strain| router.priority(now, a, strain));
                }
                arrival.session = Some(key).filter(|_| self.session_methods && !self.carried).map(session);
                Ok((arrival, comment.wait_at, id))
            });
        let (arrival, wait_at, name) = match read {
            Ok(read) => read,
            Err((code, text)) => return self.turn_away(now, id, length, code, &text),
        };
        if surplus {
            self.tally.crowded += 1;
            // Told at once, so that it does not wait unanswered at the listener.
            return self.refuse(now, id, length, Refusal::Crowded);
        }
        if self.calls.len() >= self.limits.rpcs_in_flight {
            self.tally.full += 1;
            return self.refuse(now, id, length, Refusal::Full);
        }
        self.tally.taken += 1;
        self.figured.taken += 1;
        let due = arrival.deadline;
        client.faults = 0;
        let bounded = self.bounded.get(arrival.method as usize).copied().unwrap_or(false);
        let (rpc, decision) = self.router.accept(now, arrival);
        // Said no at once: nothing of it is kept, so that saying it stays cheap.
        if let (Some(own), Decision::Reject { retry_after: come_back }) = (&mut self.own, decision) {
            own.governor.record_rejected();
            self.tally.shed += 1;
            self.figured.shed += 1;
            return self.push_back_at_once(id, length, come_back);
        }
        if let (true, Decision::Reject { retry_after: come_back }) = (fleet_refuses, decision) {
            self.tally.shed += 1;
            return self.push_back_at_once(id, length, come_back);
        }
        self.ids.open.insert(name);
        self.ids.add(now, name, due + self.limits.retired_id_ttl, self.limits.retired_ids);
        client.phase = Phase::Busy(rpc);
        let (method, group) = (arrival.method, arrival.group);
        let span = tracing::debug_span!("rpc", method, due_ms = (due - now).secs() * 1e3);
        self.calls.insert(
            rpc,
            Call {
                client: Some(id),
                taken: now,
                own: Span::ZERO,
                due,
                bounded,
                method,
                group,
                rank,
                name,
                outs: 0,
                begun: false,
                paid: false,
                wait_at,
                out: None,
                may_have_run: false,
                cancelled: false,
                span,
            },
        );
        self.set_deadline(id, Some(due - self.limits.answer_margin * 0.5));
        self.carry_out(now, rpc, decision);
    }

    /// Pushes back an RPC of which nothing is kept.
    fn push_back_at_once(&mut self, id: ConnectionId, length: usize, come_back: Span) {
        let mut out = std::mem::take(&mut self.scratch);
        out.clear();
        pg::put_recoverable_error(&mut out, "53300", OVERLOADED, after(come_back));
        self.used(id, length);
        self.write(id, &out);
        self.scratch = out;
    }

    /// Pushes back a statement that is not taken as an RPC, and names a time to come back.
    fn refuse(&mut self, now: Time, id: ConnectionId, length: usize, refusal: Refusal) {
        let (fatal, code, text) = match refusal {
            Refusal::Stopping => (false, "57P03", "the router stops"),
            Refusal::SentAhead => (false, "53300", "too much is sent ahead"),
            Refusal::Full => (false, "53300", "too many RPCs are held"),
            Refusal::Memory => (false, "53300", "memory is short"),
            Refusal::Crowded => (true, "53300", "too many connections"),
        };
        let retry_after = after(self.router.retry_after());
        self.answer_error(now, id, length, ErrorAnswer { fatal, code, text, retry_after });
    }

    /// Answers a statement that is not taken as an RPC; a fatal answer closes in step.
    fn answer_error(&mut self, now: Time, id: ConnectionId, length: usize, answer: ErrorAnswer<'_>) {
        let ErrorAnswer { fatal, code, text, retry_after } = answer;
        let mut out = Vec::new();
        if fatal {
            pg::put_error(&mut out, "FATAL", code, text, retry_after);
        } else {
            pg::put_recoverable_error(&mut out, code, text, retry_after);
        }
        self.used(id, length);
        self.write(id, &out);
        if fatal {
            self.close_client(now, id);
        }
    }

    /// A statement with a fault of its own. Guards the time of the others against one that sends faults as fast as
    /// they are answered: each is told at once, what it sends next is read later, and after some it is closed.
    pub(super) fn turn_away(&mut self, now: Time, id: ConnectionId, length: usize, code: &str, text: &str) {
        let Some(Conn { peer: Peer::Client(client), .. }) = self.conns.get_mut(&id) else { return };
        client.faults += 1;
        let last = client.faults > self.limits.client_errors;
        client.resting = !last;
        let rest = self.limits.client_error_backoff * f64::from(1u32 << (client.faults - 1).min(8));
        self.tally.faults += 1;
        self.answer_error(now, id, length, ErrorAnswer { fatal: last, code, text, retry_after: None });
        if !last {
            self.wait_for(id, Some((Waiting::Begun, now)));
            self.set_deadline(id, Some(now + rest));
        }
    }

    /// It has rested after a fault.
    pub(super) fn read_on(&mut self, now: Time, id: ConnectionId) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let Peer::Client(client) = &mut conn.peer else { return };
        client.resting = false;
        conn.paused = false;
        self.effects.push(Effect::Read(id));
        self.look_at_client(now, id);
    }
}

/// Why a statement is not taken: none of it has an effect, and its client may try again.
#[derive(Clone, Copy, Debug)]
enum Refusal {
    Stopping,
    SentAhead,
    Full,
    Memory,
    Crowded,
}

/// An ErrorResponse to a statement; the time to come back in milliseconds.
struct ErrorAnswer<'a> {
    fatal: bool,
    code: &'a str,
    text: &'a str,
    retry_after: Option<i64>,
}

impl Ids {
    pub(super) fn hash(&self, id: &str) -> u64 {
        std::hash::BuildHasher::hash_one(&self.key, id)
    }

    pub(super) fn contains(&self, id: u64) -> bool {
        self.kept.contains(&id) || self.open.contains(&id)
    }

    /// The RPC of that id is over.
    pub(super) fn close(&mut self, id: u64) {
        self.open.remove(&id);
    }

    pub(super) fn add(&mut self, now: Time, id: u64, until: Time, most: usize) {
        while let Some(mut step) = self.until.first_entry()
            && (step.key() * STEP <= now.nanos() || self.kept.len() >= most)
        {
            match step.get_mut().pop() {
                Some(old) => {
                    self.kept.remove(&old);
                }
                None => {
                    step.remove();
                }
            }
        }
        self.kept.insert(id);
        self.until.entry(until.nanos() / STEP + 1).or_default().push(id);
    }
}

const OVERLOADED: &str = "pushed back: the router has too much to do";

/// A small index for a session: two that share one see each other's writes, which is only stricter.
fn session(key: &str) -> u32 {
    let hash = key.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash >> 48) as u32
}
