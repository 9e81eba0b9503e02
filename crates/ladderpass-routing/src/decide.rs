//! Every decision of ladderpass, and every tuned value. After `Router::start`, `list_news`;
//! `take` gives a handle and a first decision; what happens later is a call on it (`ended`, `left`).
//! `tend` follows each batch of calls. Types at the door are in `interface.rs`; the clock is what `now` says.

use crate::reasons::{Counts, Exception, GiveUpReason, Ineligible, PrimaryState, Unserved};
use crate::reference_clock::ClockDifference;
use crate::sliding_window::{SlidingWindow, WindowTotals};
use crate::state::{Fleet, Member, Row, Sessions, Slots};
use crate::time::{Span, Time};
use crate::types::*;
use nanorand::{Rng, WyRand};

/// Periodic probes: a round at most this often, slower so that they stay within this share of the RPCs taken.
const PROBE_EVERY: Span = Span::from_millis(1000);
const PROBE_SHARE: f64 = 0.2;
const PROBE_SLOWEST: Span = Span::from_millis(60_000);
/// A member is asked at most this often; one that missed after the first span, doubled up to its eightfold.
const PROBE_MISSED: Span = Span::from_millis(500);
const PROBE_AGAIN: Span = Span::from_millis(200);
/// A probe that has told nothing for this long is taken for lost.
const PROBE_LOST: Span = Span::from_millis(1500);
/// News is told on once the last is older than this part of the least bound, or this long without a primary.
const TELL_PART: f64 = 0.4;
const TELL_LEADERLESS: Span = Span::from_millis(250);
/// Those that want it ask within so many times that; turns of a shared round take this long each.
const TELL_SPREAD: f64 = 4.0;
const SHARED_TURN: Span = Span::from_millis(50);
/// A read that lacks news of the replicas is held while its next pick is probed, for this long.
const ASK_WAIT: Span = Span::from_millis(60);
/// What a probe told counts for this long; a lag past the bound for this part of the excess, and this long.
const NEWS_AGE: Span = Span::from_millis(2000);
const CATCH_UP: f64 = 0.5;
const CATCH_UP_LEAST: Span = Span::from_millis(250);
/// A position that has not moved for this long stands still.
const STANDS: Span = Span::from_millis(500);
/// Probes and connects failed in a row before a member is left out; after this long it has started anew.
const MISSES_TO_DROP: u32 = 3;
const LONG_GONE: Span = Span::from_millis(1000);
/// Staleness that reads without a bound start at.
const ANY_BOUND: Span = Span::from_millis(30_000);
/// An answer is taken for lost on the way from then on: a write may be committed; its session must see it.
const KNOWN: Span = Span::from_millis(100);
/// How long a fresh router holds RPCs for the first answers.
const FIRST_ANSWERS: Span = Span::from_millis(300);
/// A failed call-out weighs in the pick like this many in flight; silence past so many answer times, by each.
const FAILURE_LOAD: f64 = 2.0;
const SILENCE: f64 = 3.0;
/// An RPC that so many members have answered with an error is at fault itself.
const ERRORS: usize = 2;
/// Share of an in-flight limit that reads may use on the primary, and marked repeats of reads anywhere.
const READ_SHARE: f64 = 0.3;
const REPEAT_SHARE: f64 = 0.1;
/// A turn at a member of another zone weighs this much more.
const FAR: f64 = 2.0;
/// Buckets of what is learnt of the way to a zone; what a miss weighs; trouble, in times of its own zone.
const WAY: Span = Span::from_millis(2500);
const WAY_MISSED: f64 = 8.0;
const WAY_TROUBLED: f64 = 2.0;
/// Answer times spread: this multiple of the usual one must fit.
const MARGIN: f64 = 1.5;
/// Crowded: this multiple of its size, or of the usual time; what a second then leaves of its part, or adds.
const CROWD: f64 = 3.0;
const PART_CUT: f64 = 0.5;
const PART_GROWTH: f64 = 1.25;
const PART_LEAST: f64 = 0.05;
/// Width of the buckets of present answers, and of usual ones; how many answers of all stand in for its own.
const MEASURE: Span = Span::from_millis(500);
const USUAL: Span = Span::from_millis(5000);
const STAND_IN: f64 = 3.0;
/// A call-out that takes this multiple of the usual time while others are answered was lost.
const LOST: f64 = 12.0;
/// Parts of the bound, less its lag, that a replica has for its limit.
const HEADROOM: f64 = 0.9;
/// What all routers together put on a member before they know anything, and the most and least for each.
const LIMIT_START: f64 = 24.0;
const START_MOST: f64 = 4.0;
const START_LEAST: f64 = 0.5;
const LIMIT_LEAST: f64 = 0.1;
/// What being turned away leaves of a limit; answer time over the usual one in a jam, and once it is over.
const LIMIT_CUT: f64 = 0.65;
const JAMMED: f64 = 2.0;
const QUICK: f64 = 1.2;
/// The shortest answer time is taken to be no more than this part of the soft deadline.
const SOFT_PART: f64 = 0.2;
/// Fair shares for a cold member at most, as the settings allow; roots of what all send it, left for chance.
const COLD_SHARES: f64 = 2.0;
const COLD_ROOM: f64 = 3.0;
/// An RPC that could be sent nowhere is given up after this part of its client's time.
const HELD_PART: f64 = 0.49;
/// Held RPCs are looked at again at least this often; more than so many not twice within this part of a tick.
const HELD_EVERY: Span = Span::from_millis(10);
const HELD_MANY: usize = 32;
const HELD_REST: f64 = 0.1;
/// Answer times below this part of a tick are not told apart: a hundredth of a soft deadline is no jam.
const QUICKEST: f64 = 0.2;
/// Part of the longest time to come back that is named, spread by chance, while an answer could still earn.
const COME_BACK: f64 = 0.35;
/// Ranks a band; steps a doubling of utility by cost, from where; least part of a time to come back.
const BAND: f64 = 64.0;
const RANK_STEPS: f64 = 4.0;
const RANK_FROM: f64 = 8.0;
const SHED_BACK: f64 = 0.2;
/// A member that was off the list for this long, with nothing out, is forgotten; its index serves another.
const FORGET: Span = Span::from_millis(30_000);
/// Evidence of a role younger than this outweighs the list.
const LIST_LAG: Span = Span::from_millis(10_000);
/// A failed list call is made again after this long, doubled up to 8 times, or this part of what is allowed;
/// and so long after it was made at the latest, however it ends: an answer's time is within 6 s then (told).
const LIST_AGAIN: Span = Span::from_millis(500);
const LIST_DUE: f64 = 0.33;
const LIST_LATEST: Span = Span::from_millis(4000);

/// A router: what one instance knows, and nothing that it shares.
pub struct Router {
    pub(crate) deployment: Deployment,
    rows: Vec<Row>,
    started: Time,
    chance: WyRand,
    pub(crate) fleet: Fleet,
    rpcs: Slots,
    sessions: Sessions,
    taken: SlidingWindow<8>,
    probes_at: Time,
    ask_at: Option<Time>,
    ask_failures: u32,
    /// What the next `tend` says.
    upkeep: TickOutput,
    least_bound: Span,
    /// How far the clock that `now` goes by may differ from the one that positions are read from.
    clock: ClockDifference,
}

impl Router {
    pub fn start(now: Time, seed: u64, deployment: Deployment) -> Router {
        let row = |method: &Method| Row::new(method, method.soft_deadline * SOFT_PART, USUAL);
        let bounds = deployment.methods.iter().filter_map(|method| method.consistency.max_staleness());
        let least_bound = bounds.min().unwrap_or(ANY_BOUND);
        Router {
            least_bound,
            taken: SlidingWindow::new(MEASURE),
            probes_at: now,
            rows: deployment.methods.iter().map(row).collect(),
            ask_at: deployment.endpoint_poll_interval.map(|_| now),
            deployment,
            started: now,
            chance: WyRand::new_seed(seed),
            fleet: Fleet::default(),
            rpcs: Slots::default(),
            sessions: Sessions::default(),
            ask_failures: 0,
            upkeep: TickOutput::default(),
            clock: ClockDifference::default(),
        }
    }

    /// Guards against stale reads, and cold members, where a router started while its clock was stepped.
    pub fn set_clock_difference(&mut self, by: ClockDifference) {
        self.clock = by;
    }

    /// What the members' clock shows now, at the latest.
    fn present(&self, now: Time) -> Time {
        now + self.clock.behind
    }

    /// Takes an RPC: from here on it is owed one final answer.
    pub fn accept(&mut self, now: Time, arrival: Arrival) -> (RpcId, Decision) {
        let age = arrival.last_write_age.filter(|_| self.deployment.session_write_age_carried);
        let written = age.map_or(Time::NEVER, |age| now - age);
        self.taken.record(now, 1.0);
        let luck = arrival.admission_draw.unwrap_or_else(|| self.chance.generate());
        let rpc = self.rpcs.open(now, arrival, written, luck);
        // Refused before all else where the front itself, or the fleet, has no room for it.
        for strain in [arrival.router_overload, arrival.fleet_overload]
            .into_iter()
            .flatten()
            .filter(|s| s.admission_threshold > 0.0)
        {
            if f64::from(self.priority(now, &arrival, &strain)) + luck < strain.admission_threshold {
                return (rpc, self.shed(rpc, strain.pressure));
            }
        }
        self.pay_in(now, &arrival);
        let first = self.fleet.reach_group(arrival.group).held.is_empty();
        (rpc, if first { self.place(now, rpc) } else { self.hold(rpc) })
    }

    /// Where an RPC stands among those that want the front: what would be late goes first, then who floods,
    /// then repeats, then what is of least utility for its cost.
    pub fn priority(&self, now: Time, arrival: &Arrival, strain: &OverloadState) -> u32 {
        let row = &self.rows[arrival.method as usize];
        let answered = now + strain.queueing_delay + row.usual;
        let band = match (
            answered >= row.wanted_by(now, arrival.deadline),
            strain.exceeds_fair_share,
            arrival.is_client_retry,
        ) {
            (true, _, _) => 0.0,
            (_, true, _) => 1.0,
            (_, _, true) => 2.0,
            _ => 3.0,
        };
        let worth = (row.method.utility / strain.cost_secs.max(1e-9)).max(1e-9).log2();
        let within = ((worth - RANK_FROM) * RANK_STEPS).clamp(0.0, BAND - 1.0).floor();
        (band * BAND + within) as u32
    }

    /// Pushes back what was never sent; the time to come back grows with the pressure, spread by chance.
    fn shed(&mut self, rpc: RpcId, pressure: f64) -> Decision {
        let part = (SHED_BACK + (1.0 - SHED_BACK) * pressure) * (0.5 + 0.5 * self.chance.generate::<f64>());
        self.rpcs.close(rpc);
        Decision::Reject { retry_after: self.deployment.max_retry_after * part }
    }

    /// The ordinary path of an RPC: who may serve it, who of these has least in flight, else the primary.
    fn place(&mut self, now: Time, rpc: RpcId) -> Decision {
        let (state, row) = (&self.rpcs[rpc], self.row(rpc));
        let group_index = state.arrival.group as usize;
        let group = &self.fleet.groups[group_index];
        let may_run = self.may_run(now, rpc);
        // A call-out made now would end when its answer earns nothing any more, or when the client has gone.
        let needed = if state.callouts > 0 || state.held { row.usual } else { Span::ZERO };
        let too_late = now + needed >= self.wanted_by(rpc);
        let kept =
            state.callouts == 0 && now >= state.taken + (state.arrival.deadline - state.taken) * HELD_PART;
        let out_of_time = kept || now + self.deployment.tick * 2.0 >= state.arrival.deadline;
        let no_attempt_left = state.callouts >= self.deployment.max_attempts;
        let hopeless = first_that_holds([
            (!may_run, GiveUpReason::MayHaveRun),
            (no_attempt_left, GiveUpReason::NoAttemptLeft),
            (too_late, GiveUpReason::TooLate),
            (out_of_time, GiveUpReason::OutOfTime),
        ]);
        if let Some(reason) = hopeless {
            return self.give_up(now, rpc, reason);
        }
        // A fresh router waits for the first answers; its list may be old.
        if !group.heard && self.deployment.health_checks_report_position && now - self.started < FIRST_ANSWERS
        {
            self.ask_all(now, group_index);
            return self.hold(rpc);
        }
        let level = row.method.consistency;
        let primary_only = level.primary_only();
        let needs = self.needs(now, rpc);
        // The filter and the pick: fewest in flight among the replicas that pass, ties in turn.
        let mut best: Option<(f64, f64, usize)> = None;
        let repeat = self.is_repeat(rpc);
        let spare = self.spare_share(rpc);
        let mut chance = self.chance.clone();
        // The next pick among those that no news speaks for, and whether one is being asked.
        let (mut unsure, mut asked): (Option<(f64, f64, usize)>, bool) = (None, false);
        let mut passed_over = Counts::default();
        for &index in if primary_only { &[][..] } else { &group.members } {
            let member = self.fleet.member(index);
            if Some(index) == group.primary {
                continue;
            }
            if let Some(reason) = self.ineligible(now, index, rpc) {
                passed_over.add(reason);
                continue;
            }
            let next = -(1.0 - chance.generate::<f64>()).ln() * row.usual.secs();
            let sent = member.sent.totals(now, 8).sum / self.ramp(now, member).unwrap_or(1.0);
            let stretch = self.stretch(now, member, 8) * if member.zone == 0 { 1.0 } else { FAR };
            let key = (self.load(now, member), (sent + next) * stretch, index);
            // Any data will do, within reason: a lag that was told leaves one out.
            let passes = match level {
                Consistency::Any => member.lag.is_none_or(|lag| lag < ANY_BOUND),
                _ => member.position >= needs,
            };
            if !passes {
                passed_over.add(Ineligible::Stale);
                asked |= match member.probe_sent {
                    Some(sent) => now < self.awaited_until(member, sent),
                    None => member.probe_at <= now,
                };
                if member.probe_sent.is_none()
                    && level != Consistency::Any
                    && unsure.is_none_or(|least| key < least)
                    && Router::may_have_caught_up(now, member, needs)
                    && self.told_soon(index) <= now
                {
                    unsure = Some(key);
                }
                continue;
            }
            let share = spare * self.headroom(now, member, needs);
            if best.is_some_and(|least| key >= least) {
                continue;
            }
            if self.room(now, index, rpc, share) {
                best = Some(key);
            } else {
                passed_over.add(Ineligible::NoRoom);
            }
        }
        let mut picked = best.map(|(_, _, index)| index);
        // No news yet: the read waits for that of its next pick, a round trip, before the primary is asked.
        let ask = unsure.filter(|_| !asked).map(|(_, _, index)| index);
        let waits =
            picked.is_none() && self.deployment.health_checks_report_position && (asked || ask.is_some());
        if picked.is_none()
            && !waits
            && let Some(index) = group.primary
            && self.primary_ineligible(now, index, rpc).is_none()
        {
            picked = Some(index);
            if !primary_only {
                self.tell_spill(now, rpc, passed_over);
            }
        }
        self.chance = chance;
        if let (None, Some(index)) = (picked, ask) {
            self.ask(now, index);
        }
        match picked {
            Some(index) => self.call_out(now, rpc, index),
            None if repeat && !waits => self.give_up(now, rpc, GiveUpReason::NothingIdle),
            None => self.hold(rpc),
        }
    }

    /// No effect twice, also since one that may have run; a repeat has the way and a queue ahead of it.
    fn may_run(&self, now: Time, rpc: RpcId) -> bool {
        let (state, row) = (&self.rpcs[rpc], self.row(rpc));
        match (row.method.idempotency, state.risked) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::IdempotencyKey { window, .. }, Some(first)) => {
                now + row.usual * MARGIN - first < window
            }
            (Idempotency::NonIdempotent, Some(_)) => false,
        }
    }

    /// The least position of a replica that a read may go to now.
    fn needs(&self, now: Time, rpc: RpcId) -> Time {
        let state = &self.rpcs[rpc];
        match self.row(rpc).method.consistency {
            // A front may take a tick until its last byte is sent, from which the bound counts.
            Consistency::BoundedStaleness(bound) => self.present(now) + self.deployment.tick - bound,
            Consistency::Session => {
                let known = now - KNOWN;
                state.written.max(self.sessions.written(state.arrival.session, known, self.present(known)))
            }
            _ => Time::NEVER,
        }
    }

    /// May an attempt that has waited for its connection still be made there? Guards reads against members that were
    /// passed over for a connection that came up late, while what is known of them was as good as before.
    pub fn may_still_attempt(&self, now: Time, rpc: RpcId, member: MemberId) -> bool {
        let Some(state) = self.rpcs.get(rpc) else { return false };
        if !self.is_active(member) || !self.may_run(now, rpc) {
            return false;
        }
        let index = member.0 as usize;
        let primary = self.fleet.groups[state.arrival.group as usize].primary;
        let replica_may = !self.row(rpc).method.consistency.primary_only();
        primary == Some(index) || replica_may && self.fleet.member(index).position >= self.needs(now, rpc)
    }

    /// Until when a read waits for the answer to this probe. Guards the primary against the first reads of a fresh router,
    /// which has never heard of its replicas: it waits for their first answers too, not for that of the primary alone.
    fn awaited_until(&self, member: &Member, sent: Time) -> Time {
        let first = if member.told_at == Time::NEVER { self.started + FIRST_ANSWERS } else { Time::NEVER };
        first.max(sent + ASK_WAIT)
    }

    fn ask_all(&mut self, now: Time, group: usize) {
        self.fleet.groups[group].members.clone().into_iter().for_each(|index| self.ask(now, index));
    }

    /// What another router is told soon reaches this one: those that want news of a member ask it by turns.
    fn told_soon(&self, index: usize) -> Time {
        let part = || 1.0 + TELL_SPREAD * self.turn(index) / f64::from(self.deployment.router_count.max(1));
        let wait = if self.deployment.gossip { TELL_LEADERLESS * part() } else { Span::ZERO };
        (self.fleet.member(index).told_at + wait).max(self.fleet.member(index).mute_until(PROBE_AGAIN))
    }

    /// The turn of this router to ask a member: another order for each news of it.
    fn turn(&self, index: usize) -> f64 {
        let first = WyRand::new_seed(self.fleet.member(index).order()).generate::<u64>() / 2;
        ((u64::from(self.deployment.router_index) + first) % u64::from(self.deployment.router_count.max(1)))
            as f64
    }

    /// A probe of it is due, not more often than it can have news.
    fn ask(&mut self, now: Time, index: usize) {
        let due = self.told_soon(index).max(self.fleet.member(index).probed_at + PROBE_AGAIN);
        let member = self.fleet.member_mut(index);
        if member.probe_sent.is_none() {
            member.probe_at = member.probe_at.min(now.max(due));
            self.probes_at = self.probes_at.min(member.probe_at);
        }
    }

    fn call_out(&mut self, now: Time, rpc: RpcId, index: usize) -> Decision {
        let limit = self.patience(now, rpc, index);
        let method = self.rpcs[rpc].arrival.method;
        self.rpcs[rpc].called_out(now);
        let member = self.fleet.member_mut(index);
        member.called_out(now, method, self.rows[method as usize].usual);
        self.sessions.writes(self.rows[method as usize].writer(self.rpcs[rpc].arrival.session), now);
        Decision::Attempt { member: member.id, timeout: limit }
    }

    /// How long a first call-out over a troubled way is waited for, so that a second can still be in time.
    fn patience(&self, now: Time, rpc: RpcId, index: usize) -> Option<Span> {
        let (state, row) = (&self.rpcs[rpc], self.row(rpc));
        let again = row.usual * MARGIN;
        let limit = match row.method.idempotency {
            Idempotency::Idempotent => state.taken + row.method.soft_deadline - now - again,
            Idempotency::IdempotencyKey { window, .. } => window - again * 2.0,
            Idempotency::NonIdempotent => return None,
        };
        let troubled = self.way(now, self.fleet.member(index).zone) > WAY_TROUBLED;
        (troubled && state.callouts == 0 && limit >= row.usual * SILENCE).then_some(limit)
    }

    fn hold(&mut self, rpc: RpcId) -> Decision {
        let state = &mut self.rpcs[rpc];
        if !std::mem::replace(&mut state.held, true) {
            self.fleet.groups[state.arrival.group as usize].held.push(rpc);
        }
        Decision::Queue
    }

    /// The final answer of an RPC that will not be served here.
    fn give_up(&mut self, now: Time, rpc: RpcId, reason: GiveUpReason) -> Decision {
        self.upkeep.exceptions.counts.given_up.add(reason);
        if self.upkeep.exceptions.wants_example() {
            let primary = self.primary_state(now, rpc);
            self.tell_example(now, rpc, Exception::GivenUp { reason, primary });
        }
        let (state, row) = (&self.rpcs[rpc], self.row(rpc));
        let harmless = match row.method.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::IdempotencyKey { across_groups: anywhere, .. } => anywhere || state.risked.is_none(),
            Idempotency::NonIdempotent => state.risked.is_none(),
        };
        let over = now + row.usual >= self.wanted_by(rpc) || state.failed.len() >= ERRORS;
        let come_back = if over { self.deployment.max_retry_after } else { self.retry_after() };
        self.rpcs.close(rpc);
        if harmless { Decision::Reject { retry_after: come_back } } else { Decision::Fail }
    }

    /// For the log: could the primary have got this RPC?
    fn primary_state(&self, now: Time, rpc: RpcId) -> PrimaryState {
        let group = self.fleet.groups.get(self.rpcs[rpc].arrival.group as usize);
        let Some(index) = group.and_then(|group| group.primary) else { return PrimaryState::Unknown };
        let ineligible = self.primary_ineligible(now, index, rpc);
        ineligible.map_or(PrimaryState::Eligible, PrimaryState::Ineligible)
    }

    /// For the log: a read goes to the primary past these replicas.
    fn tell_spill(&mut self, now: Time, rpc: RpcId, passed_over: Counts<Ineligible>) {
        let exceptions = &mut self.upkeep.exceptions;
        exceptions.counts.spilled += 1;
        exceptions.counts.passed_over.join(&passed_over);
        if exceptions.wants_example() {
            self.tell_example(now, rpc, Exception::Spilled(passed_over));
        }
    }

    fn tell_example(&mut self, now: Time, rpc: RpcId, what: Exception) {
        let state = &self.rpcs[rpc];
        self.upkeep.exceptions.examples.push(Unserved {
            group: state.arrival.group,
            method: state.arrival.method,
            attempts: state.callouts,
            waited: now - state.taken,
            left: state.arrival.deadline - now,
            what,
        });
    }

    /// When a client that is refused may come back, spread by chance: also one whose RPC was never taken.
    pub fn retry_after(&mut self) -> Span {
        self.deployment.max_retry_after * (COME_BACK * (0.5 + self.chance.generate::<f64>()))
    }

    /// When an answer stops earning anything.
    fn wanted_by(&self, rpc: RpcId) -> Time {
        self.row(rpc).wanted_by(self.rpcs[rpc].taken, self.rpcs[rpc].arrival.deadline)
    }

    fn row(&self, rpc: RpcId) -> &Row {
        &self.rows[self.rpcs[rpc].arrival.method as usize]
    }

    /// Why this RPC can't go to it now: among others, where it would be answered too late; with nothing out that fades
    /// soon.
    fn ineligible(&self, now: Time, index: usize, rpc: RpcId) -> Option<Ineligible> {
        let member = self.fleet.member(index);
        let (state, usual) = (&self.rpcs[rpc], self.row(rpc).usual);
        let WindowTotals { count, sum } =
            member.stretch.totals(now, if member.out.is_empty() { 2 } else { 4 });
        let own = (sum + STAND_IN * self.crowding(now, member)) / (count + STAND_IN);
        let own = own.max(self.way(now, member.zone));
        if member.standing != EndpointState::Active {
            return Some(Ineligible::NotListed);
        }
        if member.misses >= MISSES_TO_DROP {
            return Some(Ineligible::Ejected);
        }
        if now + usual * (own * MARGIN) >= self.wanted_by(rpc) {
            return Some(Ineligible::TooSlow);
        }
        if state.tried.contains(&index) && now - state.ended < usual {
            return Some(Ineligible::TriedBefore);
        }
        if !self.warm_enough(now, index, rpc) {
            return Some(Ineligible::SlowStart);
        }
        None
    }

    /// A marked repeat competes with first tries, more wanted than it.
    fn is_repeat(&self, rpc: RpcId) -> bool {
        self.rpcs[rpc].arrival.is_client_retry && self.row(rpc).method.idempotency == Idempotency::Idempotent
    }

    /// The part of an in-flight limit that this RPC may use: a marked repeat gets what is idle.
    fn spare_share(&self, rpc: RpcId) -> f64 {
        if self.is_repeat(rpc) { REPEAT_SHARE } else { 1.0 }
    }

    /// Why this RPC can't go to the primary now, which gets none after a single failure. A spill leaves writes their place.
    fn primary_ineligible(&self, now: Time, index: usize, rpc: RpcId) -> Option<Ineligible> {
        let ineligible = self.ineligible(now, index, rpc);
        if ineligible.is_some() {
            return ineligible;
        }
        if self.fleet.member(index).misses > 0 {
            return Some(Ineligible::Ejected);
        }
        let of_level = if self.row(rpc).method.consistency.primary_only() { 1.0 } else { READ_SHARE };
        let share = self.spare_share(rpc) * of_level;
        (!self.room(now, index, rpc, share)).then_some(Ineligible::NoRoom)
    }

    /// Its last news is old, or told of a lag that it may have made up since.
    fn may_have_caught_up(now: Time, member: &Member, needs: Time) -> bool {
        let excess = member.told_at - member.position - (now - needs);
        excess <= Span::ZERO || now - member.told_at >= CATCH_UP_LEAST.max(excess * CATCH_UP)
    }

    /// Is there room within this share of its in-flight limit? Below one, a limit is kept by leaving a member
    /// idle between call-outs, so that many routers with little traffic do not jam it together.
    fn room(&self, now: Time, index: usize, rpc: RpcId, share: f64) -> bool {
        let member = self.fleet.member(index);
        let limit = member.limit * share;
        let idle_for = self.row(rpc).usual * (self.stretch(now, member, 4) / limit);
        self.in_flight(now, member) < limit.max(1.0) && (limit >= 1.0 || now - member.sent_at >= idle_for)
    }

    /// A replica whose lag nears the bound is crowded: it gets less, so that it can catch up.
    fn headroom(&self, now: Time, member: &Member, needs: Time) -> f64 {
        // Reads of any data crowd it just as well; one that stands still wants a primary, not room.
        let any = needs == Time::NEVER;
        if any && now - member.moved_at > STANDS {
            return 1.0;
        }
        let bound = if any { self.least_bound } else { self.present(now) - needs };
        let part = member.lag.map_or(0.0, |lag| lag.secs() / bound.secs().max(1e-6));
        (HEADROOM - part).clamp(0.1, 1.0)
    }

    fn least_usual(&self) -> Span {
        self.rows.iter().map(|row| row.usual).min().unwrap_or(Span::ZERO)
    }

    /// Answer times from another zone over those from its own: a way that is slow or loses what goes there.
    fn way(&self, now: Time, zone: u32) -> f64 {
        let mean = |zone: u32| {
            let WindowTotals { count, sum } =
                self.fleet.ways.get(zone as usize).map_or(WindowTotals::default(), |w| w.totals(now, 8));
            (sum + STAND_IN) / (count + STAND_IN)
        };
        if zone == 0 { 1.0 } else { mean(zone) / mean(0).max(1.0) }
    }

    /// In flight, and what recent failures and silence add: one that fails fast or stands still is not idle.
    fn load(&self, now: Time, member: &Member) -> f64 {
        let silent = if member.out.is_empty() { Span::ZERO } else { now - member.silent_from };
        let silence = (silent.secs() / self.least_usual().secs().max(1e-4) - SILENCE).max(0.0).floor();
        self.in_flight(now, member) + member.failures.totals(now, 4).count * FAILURE_LOAD + silence
    }

    /// Far past its time, though one sent later was answered: lost on the way, says nothing of a jam.
    fn is_lost(&self, now: Time, member: &Member, sent: Time, method: u32) -> bool {
        sent < member.answered && now - sent > self.rows[method as usize].usual * LOST
    }

    pub(crate) fn in_flight(&self, now: Time, member: &Member) -> f64 {
        // None younger can be lost: those are not looked at.
        let old = self.least_usual() * LOST;
        let old = member.out.iter().take_while(|&&(sent, _)| now - sent > old && sent < member.answered);
        let lost = old.filter(|&&(sent, method)| self.is_lost(now, member, sent, method)).count();
        (member.out.len() - lost) as f64
    }

    /// Present answer time over the usual one; where few answers tell, those of its kind of machine stand in.
    pub(crate) fn stretch(&self, now: Time, member: &Member, back: usize) -> f64 {
        let WindowTotals { count, sum } = member.stretch.totals(now, back);
        let pace = self
            .fleet
            .paces
            .get(member.kind as usize)
            .map_or(WindowTotals::default(), |p| p.totals(now, back));
        let pace = (pace.sum + 4.0) / (pace.count + 3.0) * self.crowding(now, member);
        (sum + STAND_IN * pace) / (count + STAND_IN)
    }

    /// Routers of little traffic have nothing in flight that a limit binds: all that hear how much a member
    /// holds, or how slowly it answers, take the same part of their reads from it, or give it back.
    fn regulate(&mut self, now: Time, index: usize) {
        let member = self.fleet.member(index);
        let crowd = member.crowd().unwrap_or_else(|| self.stretch(now, member, 4));
        let step = if crowd > CROWD { (CROWD / crowd).max(PART_CUT) } else { PART_GROWTH };
        let member = self.fleet.member_mut(index);
        let since = (now - member.part_at).secs().min(1.0);
        (member.part, member.part_at) = ((member.part * step.powf(since)).clamp(PART_LEAST, 1.0), now);
    }

    /// One that holds more than it works on at once is in a jam; many routers know it only by its reports.
    fn crowding(&self, now: Time, member: &Member) -> f64 {
        if now - member.told_at < NEWS_AGE { member.crowd().unwrap_or(1.0).max(1.0) } else { 1.0 }
    }

    /// What a cold member may get: its ramp of fair shares of the group at its largest, as primary of writes
    /// where these are more, less room for chance. If each router keeps that, so does their sum. Each RPC
    /// taken pays a part of one in, from a phase that is drawn: call-outs go out evenly, also of what waited.
    fn pay_in(&mut self, now: Time, arrival: &Arrival) {
        let level = self.rows[arrival.method as usize].method.consistency;
        let taken = self.fleet.reach_taken(arrival.group, MEASURE);
        taken.record(now, f64::from(u8::from(level.primary_only())));
        let WindowTotals { count, sum: writes } = taken.totals(now, 8);
        let (group, deployment) = (&self.fleet.groups[arrival.group as usize], &self.deployment);
        let (primary, fair) = (group.primary, count / group.largest.max(1) as f64);
        let shares = deployment.overload_multiple.clamp(1.0, COLD_SHARES);
        let all = deployment.overload_window.max(MEASURE).secs() * f64::from(deployment.router_count.max(1));
        let cold = |&index: &usize| Some((index, self.ramp(now, self.fleet.member(index))?));
        for (index, ramp) in group.members.iter().filter_map(cold).collect::<Vec<_>>() {
            let most = shares * ramp * if primary == Some(index) { fair.max(writes) } else { fair };
            let part = most / count / (1.0 + COLD_ROOM / (most * all / (MEASURE.secs() * 8.0)).sqrt());
            self.fleet.member_mut(index).pay(now, part, ASK_WAIT);
        }
    }

    fn warm_enough(&self, now: Time, index: usize, rpc: RpcId) -> bool {
        let (state, member) = (&self.rpcs[rpc], self.fleet.member(index));
        let lucky = (state.luck + index as f64 * 0.618) % 1.0;
        let part = if self.row(rpc).method.consistency == Consistency::Write { 1.0 } else { member.part };
        lucky < part && (member.is_owed(now, ASK_WAIT) || self.ramp(now, member).is_none())
    }

    /// The part of its capacity that a cold member is sure to have; None once it is warm.
    fn ramp(&self, now: Time, member: &Member) -> Option<f64> {
        let within = self.deployment.slow_start_duration.secs();
        let age = (now - member.cold_from? - self.clock.ahead).secs().max(0.0);
        let from = self.deployment.slow_start_capacity;
        (age < within).then(|| from + (1.0 - from) * age / within)
    }

    /// News of the list: it is seconds late, and never undoes what a member has shown itself.
    pub fn on_endpoint_update(&mut self, now: Time, news: EndpointUpdate) {
        let (entries, whole) = match news {
            EndpointUpdate::Failed { silent } => {
                self.ask_failures += u32::from(!silent);
                let wait = LIST_AGAIN * f64::from(1 << self.ask_failures.min(3));
                let spread = if silent { 0.0 } else { 0.5 + self.chance.generate::<f64>() };
                let again = self
                    .deployment
                    .endpoint_poll_interval
                    .map(|most| now + wait.min(most * LIST_DUE) * spread);
                self.ask_at = self.ask_at.or(again).min(again);
                return;
            }
            EndpointUpdate::Cached(entries) | EndpointUpdate::Complete(entries) => (entries, true),
            EndpointUpdate::Changes(entries) | EndpointUpdate::ChangesDuringMove(entries) => (entries, false),
        };
        if !matches!(news, EndpointUpdate::Cached(_) | EndpointUpdate::ChangesDuringMove(_)) {
            (self.ask_at, self.ask_failures) = (None, 0);
        }
        for entry in entries {
            self.listed(now, entry);
        }
        if whole && !self.deployment.removal_is_advisory {
            let gone = |member: &&mut Member| !entries.iter().any(|entry| entry.member == member.id);
            self.fleet
                .members
                .iter_mut()
                .flatten()
                .filter(gone)
                .for_each(|m| m.stands(now, EndpointState::Removed));
        }
        for group in 0..self.fleet.groups.len() {
            self.fleet.count_members(group);
            self.find_primary(group);
        }
        self.upkeep.retired_members.extend(self.fleet.forget(now - FORGET));
    }

    fn listed(&mut self, now: Time, entry: &Endpoint) {
        let index = entry.member.0 as usize;
        if !self.fleet.knows(entry.member) {
            let sent = self.deployment.overload_window.max(MEASURE) * 0.125;
            let limit = LIMIT_START / f64::from(self.deployment.router_count.max(1));
            let limit = limit.clamp(START_LEAST, START_MOST);
            let mut member = Member::new(entry.member, entry.group as usize, limit, MEASURE, sent);
            (member.mark, member.credit) = (entry.id_hash, self.chance.generate());
            self.fleet.add(member);
            let first = self.probe_span(now, index) - self.least_bound * TELL_PART;
            let member = self.fleet.member_mut(index);
            member.probe_at = now + first.max(Span::ZERO);
            self.probes_at = self.probes_at.min(member.probe_at);
        }
        let subtle = self.deployment.removal_is_advisory && entry.state == EndpointState::Removed;
        let told = self.deployment.primary_in_list;
        let role_told =
            told == PrimaryInList::Delayed || told == PrimaryInList::AtStart && now == self.started;
        let present = self.present(now);
        let member = self.fleet.member_mut(index);
        member.listed(entry);
        if !subtle {
            member.stands(now, entry.state);
        }
        member.cold_from = member.cold_from.max(entry.started_at);
        let recent = present - member.replica_at < LIST_LAG;
        member.named = entry.primary && role_told && !recent;
    }

    /// A member has shown its role: of two claims to be the primary the later wins.
    fn shown(&mut self, now: Time, index: usize, role: Role, at: Time) {
        self.fleet.member_mut(index).shown(role, at);
        let group = self.fleet.member(index).group;
        let before = self.fleet.groups[group].primary;
        self.find_primary(group);
        let after = self.fleet.groups[group].primary;
        if role == Role::Primary && after == Some(index) && before != after {
            self.fleet.member_mut(index).shared_at = Time::NEVER;
            self.share(now, index, MemberObservation::Primary, at, 0.0);
        }
    }

    /// The member last called primary by the best evidence: its own word first, else the list's.
    fn find_primary(&mut self, group: usize) {
        let claim = |&&index: &&usize| {
            let member = self.fleet.member(index);
            member.standing == EndpointState::Active && (member.claim > member.replica_at || member.named)
        };
        let members = self.fleet.groups[group].members.iter();
        let best = members.filter(claim).max_by_key(|&&i| self.fleet.member(i).claim).copied();
        let state = &mut self.fleet.groups[group];
        if best != state.primary {
            state.primary = best;
            let named = best.map_or("unknown".to_owned(), |index| format!("#{index}"));
            self.upkeep.log_messages.push(format!("group {group}: primary is {named}"));
        }
    }

    /// The result of a probe.
    pub fn on_health_check_ended(
        &mut self,
        now: Time,
        id: MemberId,
        ended: AttemptOutcome,
        took: Span,
        report: LoadReport,
    ) {
        let index = id.0 as usize;
        if !self.fleet.knows(id) {
            return;
        }
        self.fleet.member_mut(index).probe_sent = None;
        match ended {
            AttemptOutcome::Ok if report != LoadReport::default() => self.answered(now, index),
            // It is there, but has more probes than it takes, or nothing to report yet: no news of it.
            AttemptOutcome::Ok | AttemptOutcome::Rejected => return self.answered(now, index),
            AttemptOutcome::ConnectionLost => return self.ask(now, index), // its connection broke, or the answer was spoilt
            // It was never made, as this router has no descriptor for it: that tells nothing of the member.
            AttemptOutcome::NeverSent => {
                let member = self.fleet.member_mut(index);
                member.probe_at = now + PROBE_MISSED;
                self.probes_at = self.probes_at.min(member.probe_at);
                return;
            }
            _ => return self.missed(now, index, false),
        }
        let group = self.fleet.member(index).group;
        self.fleet.groups[group].heard = true;
        if let Some(position) = report.position {
            let age = self.present(now) - position;
            self.fleet.member_mut(index).reported(age, report.in_flight);
            if self.deployment.gossip {
                self.regulate(now, index);
            }
            // Reports may be late: the primary's, which stands at the present, shows by how much.
            let primary = self.fleet.groups[group].primary;
            let late = primary.map(|p| self.fleet.member(p).report_age.unwrap_or(Span::ZERO));
            self.fleet.member_mut(index).lag = late.map(|late| (age - late).max(Span::ZERO));
            self.told_position(now, index, position);
            let word = if report.is_primary == Some(true) {
                MemberObservation::Primary
            } else {
                MemberObservation::Replica
            };
            self.share(now, index, word, position, 0.0);
        }
        let asked_at = self.present(now) - took;
        let member = self.fleet.member_mut(index);
        member.told_at = now;
        match (report.is_primary, report.position) {
            // A position never goes back: one from before the claim is an old report, not a change of role.
            (Some(true), at) => self.shown(now, index, Role::Primary, at.unwrap_or(asked_at)),
            (Some(false), at) if at.is_none_or(|at| at >= self.fleet.member(index).claim) => {
                self.shown(now, index, Role::Replica, at.unwrap_or(asked_at));
            }
            _ => {}
        }
    }

    /// What another router was told. A position stays true, however late; none is ahead of the clock.
    /// A member that no list has named stays unknown.
    pub fn on_peer_update(&mut self, now: Time, news: MemberUpdate) {
        let index = news.member.0 as usize;
        let present = self.present(now);
        if !self.fleet.knows(news.member) || news.at > present {
            return;
        }
        let member = self.fleet.member_mut(index);
        let Some(role) = member.heard_of(now, &news) else {
            // It counts as one miss, where it is not a word of old and this router has heard nothing since.
            if news.same_zone && present - news.at < LONG_GONE && member.silent_from < news.at {
                self.missed(now, index, true);
            }
            return;
        };
        self.regulate(now, index);
        if news.latency_ratio > 0.0 {
            // Its answer came before it was told: it shows no more than a cut made since.
            self.follow(now, index, now - self.least_usual() * news.latency_ratio, false);
        }
        self.told_position(now, index, news.at);
        if news.same_zone && self.fleet.member(index).misses > 0 {
            self.answered(now, index);
        }
        let group = self.fleet.member(index).group;
        self.fleet.groups[group].heard = true;
        self.fleet.member_mut(index).shown(role, news.at);
        self.find_primary(group);
    }

    /// Tells the other routers what this one was told by the member itself, unless they know it already.
    fn share(&mut self, now: Time, index: usize, word: MemberObservation, at: Time, stretch: f64) {
        let led = self.fleet.groups[self.fleet.member(index).group].primary.is_some();
        let step = (self.least_bound * TELL_PART).min(if led { Span::MAX } else { TELL_LEADERLESS });
        let member = self.fleet.member_mut(index);
        if self.deployment.gossip && now - member.shared_at >= step {
            (member.shared, member.shared_at) = (member.shared.max(at), now);
            self.upkeep.gossip.push(MemberUpdate {
                latency_ratio: stretch,
                in_flight: member.holds,
                ..MemberUpdate::new(member.id, word, at)
            });
        }
    }

    fn told_position(&mut self, now: Time, index: usize, position: Time) {
        let every = self.probe_span(now, index);
        let present = self.present(now);
        let member = self.fleet.member_mut(index);
        if position > member.position {
            (member.position, member.moved_at) = (position, now);
        }
        member.told_at = now;
        // An answer that has just told its position saves a probe.
        member.probe_at = member.probe_at.max(now + every);
        member.lag = member.lag.map(|lag| lag.min(present - member.position));
    }

    /// It is there: a member that comes back after a long absence is taken for one that has started anew.
    fn answered(&mut self, now: Time, index: usize) {
        let member = self.fleet.member_mut(index);
        if member.misses >= MISSES_TO_DROP {
            member.cold_from = if now - member.miss_from > LONG_GONE { Some(now) } else { member.cold_from };
            self.upkeep.log_messages.push(format!("#{index} is back"));
        }
        (member.misses, member.silent_from) = (0, now);
    }

    fn missed(&mut self, now: Time, index: usize, heard: bool) {
        let most = if self.deployment.gossip { self.probe_every(now) } else { Span::ZERO };
        let present = self.present(now);
        let member = self.fleet.member_mut(index);
        member.miss_from = if member.misses == 0 { now } else { member.miss_from };
        member.misses += 1;
        let (zone, first) = (member.zone, member.misses == 1);
        let again = PROBE_MISSED * f64::from(1 << (member.misses - 1).min(3));
        if !heard {
            member.probe_at = now + if member.misses < MISSES_TO_DROP { again } else { again.max(most) };
            self.probes_at = self.probes_at.min(member.probe_at);
        }
        if self.deployment.gossip && !heard && now - member.lost_at >= LONG_GONE {
            member.lost_at = now;
            self.upkeep.gossip.push(MemberUpdate::new(member.id, MemberObservation::Unreachable, present));
        }
        if self.fleet.member(index).misses == MISSES_TO_DROP {
            self.upkeep.log_messages.push(format!("#{index} is left out: {MISSES_TO_DROP} misses in a row"));
        }
        if first {
            self.fleet.reach_way(zone, WAY).record(now, WAY_MISSED);
        }
    }

    fn learn_answer(&mut self, now: Time, index: usize, method: u32, sent: Time, took: Span) -> f64 {
        let row = &mut self.rows[method as usize];
        row.answers.record(now, took.secs());
        let WindowTotals { count, sum } = row.answers.totals(now, 8);
        let usual = row.answers.min_bucket_mean(now, 8.0).unwrap_or(sum / count);
        // A jam from the start on must not pass for the usual.
        let most = row.method.soft_deadline.secs() * SOFT_PART;
        let usual = usual.min(most).max(self.deployment.tick.secs() * QUICKEST);
        row.usual = Span::from_secs_f64(usual);
        let stretch = took.secs() / usual.max(1e-6);
        // One as quick as usual shows that what jammed it is over, which the window would remember for long.
        let jammed = stretch <= QUICK && self.stretch(now, self.fleet.member(index), 4) > JAMMED;
        let member = self.fleet.member_mut(index);
        member.learnt(now, stretch, jammed);
        let (kind, cut_at, zone) = (member.kind, member.cut_at, member.zone);
        self.fleet.reach_way(zone, WAY).record(now, stretch);
        if sent >= cut_at {
            self.fleet.reach_pace(kind, MEASURE).record(now, stretch);
        }
        self.follow(now, index, sent, true);
        stretch
    }

    /// The limit follows shortest answer time over the present one; what others met lowers it alone.
    fn follow(&mut self, now: Time, index: usize, sent: Time, own: bool) {
        let ratio = 1.0 / self.stretch(now, self.fleet.member(index), 4).max(1.0);
        let used = self.in_flight(now, self.fleet.member(index)) + 1.0;
        let member = self.fleet.member_mut(index);
        let wanted = member.limit * ratio + member.limit.sqrt().min(member.limit * 0.5);
        if wanted < member.limit {
            // Where little is sent, a limit far above it would take long to bind.
            let cut = member.limit.min(used * 2.0) * 0.75 + wanted.min(used * 2.0) * 0.25;
            self.cut(now, index, sent, cut);
        } else if own && used * 2.0 > member.limit {
            member.limit = member.limit * 0.75 + wanted * 0.25;
        }
    }

    /// Lowers a limit once a round: what was sent before the last cut tells of the same jam once more.
    fn cut(&mut self, now: Time, index: usize, sent: Time, limit: f64) {
        let member = self.fleet.member_mut(index);
        if sent >= member.cut_at {
            (member.limit, member.cut_at) = (limit.max(LIMIT_LEAST), now);
        }
    }

    /// Decides what is held, and says what is due: probes, list calls, the next look.
    pub fn tick(&mut self, now: Time) -> TickOutput {
        (0..self.fleet.groups.len()).for_each(|group| self.tend_held(now, group));
        let waits = self.fleet.groups.iter().any(|group| !group.held.is_empty());
        let mut wake = now + if waits { HELD_EVERY } else { Span::MAX };
        if self.deployment.health_checks {
            if self.probes_at <= now {
                self.tend_probes(now);
            }
            wake = wake.min(self.probes_at);
        } else {
            self.fleet.forgive(now); // a call-out stands in for the probe that would be due
        }
        if self.ask_at.is_some_and(|at| at <= now) {
            self.upkeep.poll_endpoints = true;
            self.ask_at = Some(now + LIST_LATEST * (0.75 + 0.25 * self.chance.generate::<f64>()));
        }
        wake = wake.min(self.ask_at.unwrap_or(wake));
        self.upkeep.wake_at = Some(wake.max(now + self.deployment.tick));
        std::mem::take(&mut self.upkeep)
    }

    /// Held RPCs in the order of utility for the work they cost, the newest first: the others may soon leave.
    fn tend_held(&mut self, now: Time, group: usize) {
        // Guards a busy loop: a long queue is not sorted again for each answer.
        let state = &mut self.fleet.groups[group];
        if state.held.len() > HELD_MANY && now - state.tended_at < self.deployment.tick * HELD_REST {
            return;
        }
        state.tended_at = now;
        let mut held = std::mem::take(&mut state.held);
        let silent = self.fleet.groups[group].primary.is_none_or(|p| self.fleet.member(p).misses > 0);
        if silent && !held.is_empty() {
            self.ask_all(now, group);
        }
        held.retain(|rpc| self.rpcs.find(*rpc).is_some_and(|state| state.held));
        held.sort_by_key(|rpc| std::cmp::Reverse(self.rpcs[*rpc].taken));
        held.sort_by(|a, b| self.density(now, *b).total_cmp(&self.density(now, *a)));
        held.retain(|&rpc| match self.place(now, rpc) {
            Decision::Queue => true,
            decision => {
                self.upkeep.decisions.push((rpc, decision));
                false
            }
        });
        self.fleet.groups[group].held = held;
    }

    fn density(&self, now: Time, rpc: RpcId) -> f64 {
        let (state, row) = (&self.rpcs[rpc], self.row(rpc));
        let late = now + row.usual >= state.taken + row.method.soft_deadline;
        row.method.utility * if late { row.method.late_utility_share } else { 1.0 }
            / row.usual.secs().max(1e-6)
    }

    /// How long a round of periodic probes takes.
    fn probe_every(&self, now: Time) -> Span {
        let probes = self.taken.totals(now, 8).count / (MEASURE.secs() * 8.0) * PROBE_SHARE;
        let round = Span::from_secs_f64(self.fleet.on_list() as f64 / probes.max(1e-3));
        round.max(PROBE_EVERY).min(PROBE_SLOWEST)
    }

    /// Routers that tell each other share one round, by turns; a turn that is missed falls to the next.
    fn probe_span(&mut self, now: Time, index: usize) -> Span {
        if !self.deployment.shares_health_checks() {
            return self.probe_every(now) * (0.75 + 0.5 * self.chance.generate::<f64>());
        }
        (PROBE_EVERY.max(self.least_bound * TELL_PART) + SHARED_TURN * self.turn(index)).min(PROBE_SLOWEST)
    }

    fn tend_probes(&mut self, now: Time) {
        self.probes_at = now + PROBE_EVERY;
        for index in 0..self.fleet.members.len() {
            let Some(member) = &mut self.fleet.members[index] else { continue };
            if member.standing == EndpointState::Removed {
                continue;
            }
            if member.probe_sent.is_some_and(|sent| now - sent > PROBE_LOST) {
                member.probe_sent = None;
                self.missed(now, index, false);
            }
            let every = self.probe_span(now, index);
            let member = self.fleet.member_mut(index);
            // The round may have become shorter since; where it is shared, the first one goes by turns too.
            let told_at = member.probed_at.max(member.told_at);
            if told_at != Time::NEVER || !self.deployment.shares_health_checks() {
                member.probe_at = member.probe_at.min(told_at + every);
            }
            if member.probe_sent.is_none() && member.probe_at <= now {
                member.probe_goes(now, every);
                self.upkeep.health_checks.push(member.id);
            }
            let next = member.probe_sent.map_or(member.probe_at, |sent| sent + PROBE_LOST);
            self.probes_at = self.probes_at.min(next);
        }
    }

    /// What the outcome of a call-out tells of the member.
    fn heard(&mut self, now: Time, index: usize, outcome: &AttemptResult, arrival: Arrival, sent: Time) {
        let row = &self.rows[arrival.method as usize];
        let (level, member) = (row.method.consistency, self.fleet.member(index));
        // An impatient client's time is up before it tells anything of the member.
        let hasty = outcome.latency < row.usual * SILENCE;
        let lost = (hasty || self.is_lost(now, member, sent, arrival.method))
            && outcome.outcome == AttemptOutcome::TimedOut;
        // Who tells its role is there, whatever else it says.
        if outcome.role.is_some()
            || matches!(outcome.outcome, AttemptOutcome::Ok | AttemptOutcome::NotServedHere)
        {
            self.answered(now, index);
        }
        let member = self.fleet.member_mut(index);
        member.came_back(sent, arrival.method, outcome.outcome == AttemptOutcome::Ok);
        let group = member.group;
        match outcome.outcome {
            AttemptOutcome::Ok | AttemptOutcome::NotServedHere => self.fleet.groups[group].heard = true,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectionLost | AttemptOutcome::TimedOut => {
                member.failures.record(now, 1.0);
                let limit = member.limit * LIMIT_CUT;
                if matches!(outcome.outcome, AttemptOutcome::Rejected | AttemptOutcome::TimedOut) && !lost {
                    self.cut(now, index, sent, limit);
                }
            }
            AttemptOutcome::Unreachable => {
                member.failures.record(now, 1.0);
                self.missed(now, index, false);
            }
            AttemptOutcome::Failed
            | AttemptOutcome::Cancelled
            | AttemptOutcome::NeverSent
            | AttemptOutcome::DecisionExpired => {}
        }
        let mut stretch = 0.0;
        if matches!(outcome.outcome, AttemptOutcome::Ok | AttemptOutcome::TimedOut) && !lost {
            stretch = self.learn_answer(now, index, arrival.method, sent, outcome.latency);
        }
        let commit = outcome.outcome == AttemptOutcome::Ok && level == Consistency::Write;
        // No position is told where the answer broke off: what may have run is committed by now.
        let present = self.present(now);
        let at = outcome.position.filter(|_| commit).unwrap_or(present + self.deployment.tick);
        let writer = self.rows[arrival.method as usize].writer(arrival.session);
        self.sessions.wrote(writer, sent, Some(at).filter(|_| !outcome.outcome.never_ran()));
        if let Some(position) = outcome.position.filter(|_| !commit) {
            self.fleet.member_mut(index).lag = Some(present - position);
            self.told_position(now, index, position);
            if outcome.role == Some(Role::Replica) {
                self.share(now, index, MemberObservation::Replica, position, stretch);
            }
        }
        if let Some(role) = outcome.role {
            let claimed = outcome.position.unwrap_or(present - outcome.latency);
            let at = if role == Role::Primary { claimed } else { present };
            self.shown(now, index, role, at);
        }
    }
}

fn first_that_holds<const N: usize>(reasons: [(bool, GiveUpReason); N]) -> Option<GiveUpReason> {
    reasons.into_iter().find(|&(holds, _)| holds).map(|(_, reason)| reason)
}

impl RpcId {
    /// A call-out of this RPC has ended.
    pub fn on_attempt_ended(self, router: &mut Router, now: Time, outcome: AttemptResult) -> Decision {
        let index = outcome.member.0 as usize;
        let Some(state) = router.rpcs.find(self) else { return Decision::AlreadyAnswered };
        let (arrival, sent) = (state.arrival, state.sent);
        let failed = state.came_back(now, index, outcome.outcome);
        let over = outcome.rpc_complete || !state.live;
        let at_fault = state.failed.len() >= ERRORS;
        for index in failed {
            router.fleet.members[index].iter_mut().for_each(|member| member.failures.record(now, 1.0));
        }
        router.heard(now, index, &outcome, arrival, sent);
        if over {
            router.rpcs.close(self);
            return Decision::AlreadyAnswered;
        }
        if !outcome.outcome.never_ran() {
            router.rpcs[self].risked.get_or_insert(sent);
        }
        let hopeless = first_that_holds([
            (outcome.outcome == AttemptOutcome::NeverSent, GiveUpReason::NotMade),
            (at_fault, GiveUpReason::AtFault),
            (outcome.retry_denied, GiveUpReason::Unpaid),
        ]);
        if let Some(reason) = hopeless {
            return router.give_up(now, self, reason);
        }
        router.place(now, self)
    }

    /// The client has gone, or its time is over.
    pub fn abandon(self, router: &mut Router) {
        router.rpcs.close(self);
    }
}
