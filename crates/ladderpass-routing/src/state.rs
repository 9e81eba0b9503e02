//! What a router keeps in mind: types and their bookkeeping. Nothing here decides.

use crate::sliding_window::SlidingWindow;
use crate::time::{Span, Time};
use crate::types::*;
use std::cell::Cell;
use std::collections::VecDeque;

/// What a router knows of a member.
pub struct Member {
    pub id: MemberId,
    pub group: usize,
    pub kind: u32,
    pub zone: u32,
    pub mark: u32,
    pub size: Option<f64>,
    pub standing: EndpointState,
    /// Since when it has this standing.
    pub stands_from: Time,
    /// Latest time at which it was shown to be the primary, and to be a replica.
    pub claim: Time,
    pub replica_at: Time,
    /// The list alone calls it primary.
    pub named: bool,
    pub position: Time,
    /// When it was last seen to move on.
    pub moved_at: Time,
    /// The last that all routers were told of it, and when.
    pub shared: Time,
    pub shared_at: Time,
    /// Age of the position in its last probe, and its lag as last reckoned.
    pub report_age: Option<Span>,
    pub lag: Option<Span>,
    /// Call-outs that are out, the oldest first: when they were sent, and their method.
    pub out: VecDeque<(Time, u32)>,
    /// Since when nothing was heard while something was in flight.
    pub silent_from: Time,
    pub sent_at: Time,
    pub misses: u32,
    pub miss_from: Time,
    /// When all routers were told that it is lost.
    pub lost_at: Time,
    pub probe_sent: Option<Time>,
    pub probed_at: Time,
    pub probe_at: Time,
    /// When it last told how far it is.
    pub told_at: Time,
    /// RPCs that it held, by its last report.
    pub holds: Option<f64>,
    /// Part of the reads of all routers that may go to it.
    pub part: f64,
    pub part_at: Time,
    pub cold_from: Option<Time>,
    /// Call-outs that it may get from this router while it is cold, and the part of one; it begins anywhere below one.
    pub credit: f64,
    /// When it came to one.
    pub owed_at: Time,
    /// Latest send that it has answered.
    pub answered: Time,
    pub limit: f64,
    /// When it was last lowered.
    pub cut_at: Time,
    pub failures: SlidingWindow<4>,
    pub stretch: SlidingWindow<8>,
    /// Work sent, in seconds of usual answer time.
    pub sent: SlidingWindow<8>,
}

/// A primary and its replicas.
#[derive(Default)]
pub struct Group {
    pub members: Vec<usize>,
    pub primary: Option<usize>,
    /// Most members that it had at once.
    pub largest: usize,
    pub heard: bool,
    pub held: Vec<RpcId>,
    pub tended_at: Time,
}

/// All members and groups that the list has named.
#[derive(Default)]
pub struct Fleet {
    pub members: Vec<Option<Member>>,
    pub groups: Vec<Group>,
    /// Answer times over the usual ones, by kind of machine.
    pub paces: Vec<SlidingWindow<8>>,
    /// The same by zone, over a longer time, with what was lost on the way.
    pub ways: Vec<SlidingWindow<8>>,
    /// RPCs taken, by group, and those for the primary alone.
    pub taken: Vec<SlidingWindow<8>>,
    /// How many the list holds, once that was counted; none where the list has told something since.
    on_list: Cell<Option<usize>>,
}

/// The ring of this index, with those before it.
fn reach(rings: &mut Vec<SlidingWindow<8>>, index: u32, bucket: Span) -> &mut SlidingWindow<8> {
    let index = index as usize;
    rings.resize_with(rings.len().max(index + 1), || SlidingWindow::new(bucket));
    &mut rings[index]
}

impl Fleet {
    pub fn reach_way(&mut self, zone: u32, bucket: Span) -> &mut SlidingWindow<8> {
        reach(&mut self.ways, zone, bucket)
    }

    pub fn reach_taken(&mut self, group: u32, bucket: Span) -> &mut SlidingWindow<8> {
        self.reach_group(group);
        reach(&mut self.taken, group, bucket)
    }

    pub fn reach_pace(&mut self, kind: u32, bucket: Span) -> &mut SlidingWindow<8> {
        reach(&mut self.paces, kind, bucket)
    }

    pub fn reach_group(&mut self, group: u32) -> &mut Group {
        let group = group as usize;
        self.groups.resize_with(self.groups.len().max(group + 1), Group::default);
        &mut self.groups[group]
    }

    pub fn knows(&self, id: MemberId) -> bool {
        self.members.get(id.0 as usize).is_some_and(Option::is_some)
    }

    pub fn add(&mut self, member: Member) {
        let index = member.id.0 as usize;
        self.reach_group(member.group as u32).members.push(index);
        self.members.resize_with(self.members.len().max(index + 1), || None);
        self.members[index] = Some(member);
        self.on_list.take();
    }

    /// Takes out the members that have been off since before this and have nothing out. Guards the passes over all
    /// members, and what is held, against a day on which nodes are replaced by new ones all the time.
    pub fn forget(&mut self, before: Time) -> Vec<MemberId> {
        self.on_list.take();
        let gone = |member: &&Member| {
            let idle = member.out.is_empty() && member.probe_sent.is_none();
            member.standing == EndpointState::Removed && member.stands_from < before && idle
        };
        let gone: Vec<MemberId> =
            self.members.iter().flatten().filter(gone).map(|member| member.id).collect();
        for id in &gone {
            let group = self.members[id.0 as usize].take().map_or(0, |member| member.group);
            self.groups[group].members.retain(|&index| index != id.0 as usize);
        }
        gone
    }

    /// Misses of members whose next probe is due by now are over.
    pub fn forgive(&mut self, now: Time) {
        let due = self.members.iter_mut().flatten().filter(|member| member.probe_at <= now);
        due.for_each(|member| member.misses = 0);
    }

    /// Keeps the most members that a group had at once.
    pub fn count_members(&mut self, group: usize) {
        let members = self.groups[group].members.iter();
        let on = members.filter(|&&index| self.member(index).standing == EndpointState::Active).count();
        self.groups[group].largest = self.groups[group].largest.max(on);
    }

    /// How many the list holds. Guards the passes over all members against work as the square of their number, as
    /// each asks it for each of them: it is counted once for what the list tells. All news of the list ends with
    /// `forget`, so within one the count may be that of before.
    pub fn on_list(&self) -> usize {
        let count = || {
            self.members.iter().flatten().filter(|member| member.standing != EndpointState::Removed).count()
        };
        let known = self.on_list.get().unwrap_or_else(count);
        self.on_list.set(Some(known));
        known
    }

    pub fn member(&self, index: usize) -> &Member {
        self.members[index].as_ref().expect("members of groups are known")
    }

    pub fn member_mut(&mut self, index: usize) -> &mut Member {
        self.members[index].as_mut().expect("members of groups are known")
    }
}

/// Commit of each session's last write that was answered here, or may have run.
#[derive(Default)]
pub struct Sessions {
    commits: Vec<Time>,
    /// Writes that are out, in the order in which they were sent.
    out: VecDeque<(u32, Time)>,
}

impl Sessions {
    /// What a read of the session must see. Guards against a stale read where a write's answer is lost or late on
    /// the way: one that is out since before `known` may be committed by then. Harms reads behind slow writes. One
    /// that has written nothing takes any member that has told how far it is.
    pub fn written(&self, session: Option<u32>, known: Time, commit_by: Time) -> Time {
        let any = Time::NEVER + Span::from_nanos(1);
        let Some(session) = session else { return any };
        let commit = self.commits.get(session as usize).copied().unwrap_or(any).max(any);
        let mut before = self.out.iter().take_while(|&&(_, sent)| sent <= known);
        if before.any(|&(of, _)| of == session) { commit.max(commit_by) } else { commit }
    }

    /// A write of the session goes out.
    pub fn writes(&mut self, session: Option<u32>, now: Time) {
        self.out.extend(session.map(|session| (session, now)));
    }

    /// It has ended; None: it never ran.
    pub fn wrote(&mut self, session: Option<u32>, sent: Time, commit: Option<Time>) {
        let Some(session) = session else { return };
        if let Some(at) = self.out.iter().position(|&out| out == (session, sent)) {
            self.out.remove(at);
        }
        let Some(commit) = commit else { return };
        let session = session as usize;
        self.commits.resize(self.commits.len().max(session + 1), Time::NEVER);
        self.commits[session] = self.commits[session].max(commit);
    }
}

/// One row a method.
pub struct Row {
    pub method: Method,
    pub answers: SlidingWindow<8>,
    pub usual: Span,
}

impl Row {
    pub fn new(method: &Method, usual: Span, bucket: Span) -> Row {
        Row { method: method.clone(), answers: SlidingWindow::new(bucket), usual }
    }

    /// The session, where it writes.
    pub fn writer(&self, session: Option<u32>) -> Option<u32> {
        session.filter(|_| self.method.consistency == Consistency::Write)
    }

    /// When an answer to what was taken then stops earning anything.
    pub fn wanted_by(&self, taken: Time, due: Time) -> Time {
        if self.method.late_utility_share > 0.0 { due } else { due.min(taken + self.method.soft_deadline) }
    }
}

/// An RPC that was taken, until it is answered and nothing of it is out.
pub struct State {
    pub turn: u32,
    pub arrival: Arrival,
    pub taken: Time,
    pub live: bool,
    pub held: bool,
    pub out: u32,
    pub callouts: u32,
    /// Drawn once, from 0 to 1: the smaller, the sooner it goes where only a part may.
    pub luck: f64,
    pub sent: Time,
    pub ended: Time,
    /// Send of the first call-out that may have run.
    pub risked: Option<Time>,
    /// Members that failed it or turned it away.
    pub tried: Vec<usize>,
    /// Members that answered it with an error, which blames none before another has served it.
    pub failed: Vec<usize>,
    /// Commit that a session read must see.
    pub written: Time,
}

impl Member {
    pub fn new(id: MemberId, group: usize, limit: f64, bucket: Span, sent_bucket: Span) -> Member {
        Member {
            id,
            group,
            kind: 0,
            zone: 0,
            mark: 0,
            size: None,
            standing: EndpointState::Active,
            stands_from: Time::NEVER,
            claim: Time::NEVER,
            replica_at: Time::NEVER,
            named: false,
            position: Time::NEVER,
            moved_at: Time::NEVER,
            shared: Time::NEVER,
            shared_at: Time::NEVER,
            report_age: None,
            lag: None,
            out: VecDeque::new(),
            silent_from: Time::NEVER,
            sent_at: Time::NEVER,
            misses: 0,
            miss_from: Time::NEVER,
            lost_at: Time::NEVER,
            probe_sent: None,
            probed_at: Time::NEVER,
            probe_at: Time::NEVER,
            told_at: Time::NEVER,
            holds: None,
            part: 1.0,
            part_at: Time::NEVER,
            cold_from: None,
            credit: 0.0,
            owed_at: Time::NEVER,
            answered: Time::NEVER,
            limit,
            cut_at: Time::NEVER,
            failures: SlidingWindow::new(bucket),
            stretch: SlidingWindow::new(bucket),
            sent: SlidingWindow::new(sent_bucket),
        }
    }

    /// What the list says of the machine.
    pub fn listed(&mut self, entry: &Endpoint) {
        (self.kind, self.zone, self.mark, self.size) =
            (entry.machine_kind, entry.zone, entry.id_hash, entry.concurrency);
    }

    /// News of it from another router; the role that it tells, none where it was lost.
    pub fn heard_of(&mut self, now: Time, news: &MemberUpdate) -> Option<Role> {
        let role = match news.observation {
            MemberObservation::Replica => Role::Replica,
            MemberObservation::Primary => Role::Primary,
            MemberObservation::Unreachable => {
                self.lost_at = now;
                return None;
            }
        };
        (self.shared, self.shared_at, self.told_at) = (self.shared.max(news.at), now, now);
        self.holds = news.in_flight.or(self.holds);
        if news.latency_ratio > 0.0 {
            self.learnt(now, news.latency_ratio, false);
        }
        if role == Role::Replica && news.at > self.position {
            self.lag = Some(now - news.at);
        }
        Some(role)
    }

    pub fn reported(&mut self, age: Span, holds: Option<f64>) {
        (self.report_age, self.holds) = (Some(age), holds);
    }

    /// What it holds, by the last report, over what it works on at once.
    pub fn crowd(&self) -> Option<f64> {
        self.holds.zip(self.size).map(|(holds, size)| (holds + 1.0) / size)
    }

    /// A probe of it is out; the next is due after a round.
    pub fn probe_goes(&mut self, now: Time, every: Span) {
        (self.probe_sent, self.probed_at, self.probe_at) = (Some(now), now, now + every);
    }

    /// Until when there is no news of it, as its last probe was answered without any. Guards reads against
    /// replicas that are full and turn probes away as well: they asked one after the other until their time was
    /// over, and never spilt to the primary.
    pub fn mute_until(&self, again: Span) -> Time {
        if self.probed_at > self.told_at { self.probed_at + again } else { Time::NEVER }
    }

    /// A number that all routers that heard its last news agree on.
    pub fn order(&self) -> u64 {
        (self.shared.nanos() / 1_000_000) as u64 ^ u64::from(self.mark) << 20
    }

    /// It has shown its role: of two claims the later wins.
    pub fn shown(&mut self, role: Role, at: Time) {
        match role {
            Role::Primary => self.claim = self.claim.max(at),
            Role::Replica => {
                self.replica_at = self.replica_at.max(at);
                self.named = false;
            }
        }
    }

    /// An answer's time over the usual one; `anew`: what was learnt before counts no more.
    pub fn learnt(&mut self, now: Time, stretch: f64, anew: bool) {
        if anew {
            self.stretch.clear();
        }
        self.stretch.record(now, stretch);
    }

    pub fn stands(&mut self, now: Time, standing: EndpointState) {
        if standing != std::mem::replace(&mut self.standing, standing) {
            self.stands_from = now;
        }
    }

    /// Adds a part of a call-out. Whole ones that were not used in time are lost, the phase stays: they would come at
    /// once from all routers that had nothing to send for long.
    pub fn pay(&mut self, now: Time, part: f64, lasts: Span) {
        if now - self.owed_at > lasts {
            self.credit %= 1.0;
        }
        if self.credit < 1.0 {
            self.owed_at = now;
        }
        self.credit += part;
    }

    pub fn is_owed(&self, now: Time, lasts: Span) -> bool {
        self.credit >= 1.0 && now - self.owed_at <= lasts
    }

    /// A call-out goes to it.
    pub fn called_out(&mut self, now: Time, method: u32, usual: Span) {
        if self.out.is_empty() {
            self.silent_from = now;
        }
        self.out.push_back((now, method));
        self.sent_at = now;
        self.credit -= self.credit.floor().min(1.0);
        self.sent.record(now, usual.secs());
    }

    /// A call-out to it has ended.
    pub fn came_back(&mut self, sent: Time, method: u32, answered: bool) {
        if answered {
            self.answered = self.answered.max(sent);
        }
        if let Some(at) = self.out.iter().position(|&out| out == (sent, method)) {
            self.out.remove(at);
        }
    }
}

impl State {
    pub fn called_out(&mut self, now: Time) {
        self.held = false;
        self.out += 1;
        self.callouts += 1;
        self.sent = now;
    }

    /// A call-out has ended. Gives the members that failed it before another has served it.
    pub fn came_back(&mut self, now: Time, index: usize, ended: AttemptOutcome) -> Vec<usize> {
        self.out = self.out.saturating_sub(1);
        if ended == AttemptOutcome::DecisionExpired {
            self.callouts = self.callouts.saturating_sub(1);
            return Vec::new();
        }
        self.ended = now;
        self.tried.push(index);
        if ended == AttemptOutcome::Failed {
            self.failed.push(index);
        }
        if ended == AttemptOutcome::Ok { std::mem::take(&mut self.failed) } else { Vec::new() }
    }
}

/// The RPCs, in slots that are used again; a handle of an earlier use no longer fits.
#[derive(Default)]
pub struct Slots {
    states: Vec<State>,
    free: Vec<u32>,
}

impl Slots {
    pub fn open(&mut self, now: Time, arrival: Arrival, written: Time, luck: f64) -> RpcId {
        let state = State {
            turn: 0,
            arrival,
            taken: now,
            live: true,
            held: false,
            out: 0,
            callouts: 0,
            luck,
            sent: now,
            ended: now,
            risked: None,
            tried: Vec::new(),
            failed: Vec::new(),
            written,
        };
        let slot = self.free.pop().unwrap_or(self.states.len() as u32);
        match self.states.get_mut(slot as usize) {
            Some(old) => *old = State { turn: old.turn, ..state },
            None => self.states.push(state),
        }
        RpcId { slot, generation: self.states[slot as usize].turn }
    }

    /// The RPC of a handle; None once its slot has been given back.
    pub fn get(&self, rpc: RpcId) -> Option<&State> {
        self.states.get(rpc.slot as usize).filter(|state| state.turn == rpc.generation)
    }

    /// The same, to be changed.
    pub fn find(&mut self, rpc: RpcId) -> Option<&mut State> {
        self.states.get_mut(rpc.slot as usize).filter(|state| state.turn == rpc.generation)
    }

    /// The RPC has its final answer; its slot is given back once no call-out of it is out.
    pub fn close(&mut self, rpc: RpcId) {
        let Some(state) = self.find(rpc) else { return };
        state.live = false;
        state.held = false;
        if state.out == 0 {
            state.turn += 1;
            self.free.push(rpc.slot);
        }
    }
}

impl std::ops::Index<RpcId> for Slots {
    type Output = State;
    fn index(&self, rpc: RpcId) -> &State {
        &self.states[rpc.slot as usize]
    }
}

impl std::ops::IndexMut<RpcId> for Slots {
    fn index_mut(&mut self, rpc: RpcId) -> &mut State {
        &mut self.states[rpc.slot as usize]
    }
}
