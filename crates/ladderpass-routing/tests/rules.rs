//! Seeded random runs: whatever happens, the rules hold after every step.

mod common;

use common::*;
use ladderpass_routing::*;
use nanorand::{Rng, WyRand};
use quickcheck::{Gen, QuickCheck};
use std::collections::HashMap;

const MEMBERS: u32 = 5;

#[derive(Clone, Copy)]
struct Watched {
    arrival: Arrival,
    taken: Time,
    /// The session's last write that was answered here before it came.
    written: Time,
    out: Option<(u32, Time)>,
    /// Group and time of the first call-out that may have run.
    risked: Option<Time>,
    over: bool,
}

/// What the run has told the router, to hold its decisions against.
struct Run {
    chance: WyRand,
    now: Time,
    deployment: Deployment,
    router: Router,
    rpcs: HashMap<RpcId, Watched>,
    standing: Vec<EndpointState>,
    seen_fading: Vec<bool>,
    position: Vec<Time>,
    /// An outcome said replica, and nothing has said primary since.
    replica: Vec<bool>,
    born: Vec<Time>,
    sends: Vec<(Time, usize)>,
    /// Commit of each session's last write that was answered here.
    commits: Vec<Time>,
}

impl Run {
    fn new(seed: u64) -> Run {
        let mut chance = WyRand::new_seed(seed);
        let mut deployment = deployment();
        let bounded = Consistency::BoundedStaleness(Span::from_millis(800));
        let levels =
            [bounded, Consistency::Any, Consistency::Session, Consistency::Fresh, Consistency::Write];
        let window = Span::from_millis(700);
        let tokened = |anywhere| Idempotency::IdempotencyKey { across_groups: anywhere, window };
        let effects = [Idempotency::Idempotent, Idempotency::NonIdempotent, tokened(true), tokened(false)];
        let rows = levels.iter().flat_map(|&level| effects.map(|effect| method(level, effect)));
        let late = [0.0, 0.5].into_iter().cycle();
        deployment.methods =
            rows.zip(late).map(|(row, late)| Method { late_utility_share: late, ..row }).collect();
        let roles = [PrimaryInList::Delayed, PrimaryInList::AtStart, PrimaryInList::Absent];
        deployment.primary_in_list = roles[chance.generate_range(0..3usize)];
        deployment.session_write_age_carried = chance.generate::<bool>();
        deployment.health_checks = chance.generate_range(0..5u32) > 0;
        deployment.health_checks_report_position = deployment.health_checks && chance.generate::<bool>();
        (deployment.gossip, deployment.router_index) = (chance.generate(), chance.generate_range(0..4u32));
        deployment.removal_is_advisory = chance.generate_range(0..3u32) == 0;
        deployment.endpoint_poll_interval = chance.generate::<bool>().then_some(Span::from_millis(10_000));
        let now = at(0);
        let router = Router::start(now, seed, deployment.clone());
        let n = MEMBERS as usize;
        let mut run = Run {
            chance,
            now,
            deployment,
            router,
            rpcs: HashMap::new(),
            standing: vec![EndpointState::Active; n],
            seen_fading: vec![false; n],
            position: vec![Time::NEVER; n],
            replica: vec![false; n],
            born: vec![Time::NEVER; n],
            sends: Vec::new(),
            commits: vec![Time::NEVER; 3],
        };
        run.restart();
        run
    }

    /// A router starts with nothing but a list, which may be old.
    fn restart(&mut self) {
        let seed = self.chance.generate::<u64>();
        self.router = Router::start(self.now, seed, self.deployment.clone());
        self.rpcs.clear();
        self.sends.clear();
        for known in [&mut self.position, &mut self.born, &mut self.commits] {
            known.fill(Time::NEVER);
        }
        self.replica.fill(false);
        let n = MEMBERS as usize;
        self.standing = (0..n)
            .map(|_| {
                if self.chance.generate_range(0..8u32) == 0 {
                    EndpointState::Draining
                } else {
                    EndpointState::Active
                }
            })
            .collect();
        self.seen_fading =
            self.standing.iter().map(|&standing| standing == EndpointState::Draining).collect();
        let standing = &self.standing;
        let list: Vec<Endpoint> =
            (0..MEMBERS).map(|m| Endpoint { state: standing[m as usize], ..entry(m, m == 0) }).collect();
        self.router.on_endpoint_update(self.now, EndpointUpdate::Cached(&list));
    }

    fn below(&mut self, most: u32) -> u32 {
        self.chance.generate_range(0..most)
    }

    fn one<T: Copy>(&mut self, of: &[T]) -> T {
        of[self.below(of.len() as u32) as usize]
    }

    /// A position up to 1.5 s old, or none.
    fn position(&mut self) -> Option<Time> {
        (self.below(2) == 0).then(|| self.now - Span::from_millis(i64::from(self.below(1500))))
    }

    fn step(&mut self) {
        if self.below(150) == 0 {
            self.restart();
        }
        match self.below(13) {
            12 => self.news(),
            0..=3 => self.arrive(),
            4..=6 => self.outcome(),
            7 => self.probe_result(),
            8 => self.list_change(),
            9 => self.leave(),
            _ => {
                let pause = Span::from_millis(self.one(&[1, 5, 20, 300, 1200]));
                self.now = self.now + pause;
            }
        }
        self.tend();
    }

    fn arrive(&mut self) {
        let method = self.below(self.deployment.methods.len() as u32);
        let mut arrival = arrival(method, 0);
        arrival.deadline = self.now + Span::from_millis(i64::from(self.below(2000)));
        arrival.is_client_retry = self.below(4) == 0;
        arrival.session = Some(self.below(3));
        arrival.last_write_age = (self.below(2) == 0).then(|| Span::from_millis(i64::from(self.below(900))));
        let (rpc, decision) = self.router.accept(self.now, arrival);
        let written = self.commits[arrival.session.expect("set above") as usize];
        let watched = Watched { arrival, taken: self.now, written, out: None, risked: None, over: false };
        assert!(self.rpcs.insert(rpc, watched).is_none_or(|old| old.over && old.out.is_none()));
        self.check(rpc, decision);
    }

    /// In an order that does not depend on hashes.
    fn those(&self, wanted: impl Fn(&Watched) -> bool) -> Vec<RpcId> {
        let mut rpcs: Vec<RpcId> = self.rpcs.iter().filter(|(_, w)| wanted(w)).map(|(&rpc, _)| rpc).collect();
        rpcs.sort_by_key(|rpc| format!("{rpc:?}"));
        rpcs
    }

    fn outcome(&mut self) {
        let out = self.those(|watched| watched.out.is_some());
        if out.is_empty() {
            return;
        }
        let rpc = self.one(&out);
        use AttemptOutcome::{
            Cancelled, ConnectionLost, Failed, NeverSent, NotServedHere, Rejected, TimedOut, Unreachable,
        };
        let bad =
            [Failed, Rejected, TimedOut, Unreachable, ConnectionLost, Cancelled, NeverSent, NotServedHere];
        let ended = bad.get(self.below(10) as usize).copied().unwrap_or(AttemptOutcome::Ok);
        let role = self.one(&[None, Some(Role::Primary), Some(Role::Replica)]);
        let position = self.position();
        let watched = self.rpcs.get_mut(&rpc).expect("chosen from it");
        let (member, sent) = watched.out.take().expect("chosen for it");
        let told = matches!(ended, AttemptOutcome::Ok | NotServedHere | Rejected | Failed);
        let (role, position) = if told { (role, position) } else { (None, None) };
        if !matches!(ended, Rejected | Unreachable | NeverSent | NotServedHere) {
            watched.risked.get_or_insert(sent);
        }
        let complete = ended == AttemptOutcome::Ok || watched.over;
        watched.over |= complete;
        let write =
            self.deployment.methods[watched.arrival.method as usize].consistency == Consistency::Write;
        let index = member as usize;
        let (arrival, commit) = (watched.arrival, write && ended == AttemptOutcome::Ok);
        if let Some(position) = position {
            let session = arrival.session.expect("every arrival has one") as usize;
            let place = if commit { &mut self.commits[session] } else { &mut self.position[index] };
            *place = position.max(*place);
        }
        if let Some(role) = role {
            self.replica[index] = role == Role::Replica;
        }
        // The usual time for all, so that call-outs can be counted for their work.
        let took = Span::from_millis(100);
        let outcome = AttemptResult {
            member: MemberId(member),
            outcome: ended,
            latency: took,
            rpc_complete: complete,
            retry_denied: false,
            role,
            position,
        };
        let decision = rpc.on_attempt_ended(&mut self.router, self.now, outcome);
        if complete {
            assert_eq!(decision, Decision::AlreadyAnswered, "nothing follows the end");
        }
        self.check(rpc, decision);
        if self.below(4) == 0 && complete {
            // A late or doubled outcome of an RPC that is over changes nothing.
            assert_eq!(rpc.on_attempt_ended(&mut self.router, self.now, outcome), Decision::AlreadyAnswered);
        }
    }

    fn probe_result(&mut self) {
        let member = self.below(MEMBERS);
        let ended = self.one(&[
            AttemptOutcome::Ok,
            AttemptOutcome::Ok,
            AttemptOutcome::Ok,
            AttemptOutcome::TimedOut,
            AttemptOutcome::Rejected,
        ]);
        let position = self.position();
        let primary = self.one(&[None, Some(true), Some(false)]);
        if ended == AttemptOutcome::Ok {
            let index = member as usize;
            self.position[index] = self.position[index].max(position.unwrap_or(Time::NEVER));
            if primary == Some(true) {
                self.replica[index] = false;
            }
        }
        let holds = self.one(&[None, Some(0.0), Some(50.0)]);
        let report = LoadReport { position, is_primary: primary, in_flight: holds };
        self.router.on_health_check_ended(self.now, MemberId(member), ended, Span::from_millis(1), report);
    }

    /// News of another router: late, in any order, of members that no list has named, or of the future.
    fn news(&mut self) {
        let member = self.one(&[0, 1, 2, 3, 299]);
        let word = self.one(&[
            MemberObservation::Replica,
            MemberObservation::Primary,
            MemberObservation::Unreachable,
        ]);
        let ahead = Span::from_millis(i64::from(self.below(4) / 3) * 400);
        let at = self.position().unwrap_or(self.now) + ahead;
        let index = member as usize;
        if word != MemberObservation::Unreachable && at <= self.now && index < self.position.len() {
            self.position[index] = self.position[index].max(at);
            self.replica[index] &= word != MemberObservation::Primary;
        }
        let (near, stretch) = (self.below(2) == 0, self.one(&[0.0, 1.0, 30.0]));
        let holds = self.one(&[None, Some(40.0)]);
        self.router.on_peer_update(
            self.now,
            MemberUpdate {
                member: MemberId(member),
                observation: word,
                at,
                same_zone: near,
                latency_ratio: stretch,
                in_flight: holds,
            },
        );
    }

    fn list_change(&mut self) {
        match self.below(20) {
            0 | 1 => {
                return self.router.on_endpoint_update(self.now, EndpointUpdate::Failed { silent: false });
            }
            // An empty list, and members that nobody has heard of; both may come back.
            2 => {
                self.standing.fill(EndpointState::Removed);
                return self.router.on_endpoint_update(self.now, EndpointUpdate::Complete(&[]));
            }
            3 => {
                return self.router.on_endpoint_update(
                    self.now,
                    EndpointUpdate::Changes(&[Endpoint { group: 9, ..entry(300, true) }]),
                );
            }
            _ => {}
        }
        let member = self.below(MEMBERS);
        let standing = self.one(&[
            EndpointState::Active,
            EndpointState::Active,
            EndpointState::Draining,
            EndpointState::Removed,
        ]);
        let mut news = entry(member, self.below(2) == 0);
        news.state = standing;
        news.started_at = (self.below(3) == 0).then_some(self.now);
        let index = member as usize;
        self.seen_fading[index] = standing == EndpointState::Draining
            || self.seen_fading[index] && standing == EndpointState::Removed;
        self.standing[index] = standing;
        self.born[index] = news.started_at.unwrap_or(self.born[index]);
        self.router.on_endpoint_update(self.now, EndpointUpdate::Changes(&[news]));
    }

    fn leave(&mut self) {
        if let Some(&rpc) = self.those(|watched| !watched.over).first() {
            self.rpcs.get_mut(&rpc).expect("listed").over = true;
            rpc.abandon(&mut self.router);
        }
    }

    fn tend(&mut self) {
        let upkeep = self.router.tick(self.now);
        for (rpc, decision) in upkeep.decisions {
            self.check(rpc, decision);
        }
        assert!(
            self.deployment.health_checks || upkeep.health_checks.is_empty(),
            "no probes where they are not allowed"
        );
        assert!(self.deployment.endpoint_poll_interval.is_some() || !upkeep.poll_endpoints);
        // Rule 1: what is held has its answer before its client gives up.
        for watched in self.rpcs.values() {
            assert!(
                watched.over || watched.out.is_some() || self.now < watched.arrival.deadline,
                "an RPC was lost"
            );
        }
    }

    fn check(&mut self, rpc: RpcId, decision: Decision) {
        let now = self.now;
        let watched = self.rpcs.get_mut(&rpc).expect("a decision is on an RPC that was taken");
        let row = &self.deployment.methods[watched.arrival.method as usize];
        match decision {
            Decision::Queue | Decision::AlreadyAnswered => {}
            Decision::Fail => {
                assert!(!watched.over, "rule 1: a second final answer");
                watched.over = true;
            }
            Decision::Reject { retry_after: come_back } => {
                assert!(!watched.over, "rule 1: a second final answer");
                assert!(come_back >= Span::ZERO && come_back <= self.deployment.max_retry_after);
                let harmless = match row.idempotency {
                    Idempotency::Idempotent => true,
                    Idempotency::IdempotencyKey { across_groups: anywhere, .. } => {
                        anywhere || watched.risked.is_none()
                    }
                    Idempotency::NonIdempotent => watched.risked.is_none(),
                };
                assert!(harmless, "rule 2: pushed back, and it may have run");
                watched.over = true;
            }
            Decision::Attempt { member, .. } => {
                let index = member.0 as usize;
                assert!(!watched.over, "rule 1: sent after its answer");
                assert!(watched.out.is_none(), "two call-outs at once");
                match (row.idempotency, watched.risked) {
                    (Idempotency::NonIdempotent, Some(_)) => panic!("rule 2: a second effect"),
                    (Idempotency::IdempotencyKey { window, .. }, Some(first)) => {
                        assert!(now - first < window, "rule 2: sent past the window");
                    }
                    _ => {}
                }
                let bound = if self.deployment.removal_is_advisory {
                    self.seen_fading[index]
                } else {
                    self.standing[index] != EndpointState::Active
                };
                assert!(!bound, "rule 3: sent to a member that fades or is gone");
                let written = match self.deployment.session_write_age_carried {
                    true => watched.arrival.last_write_age.map_or(Time::NEVER, |age| watched.taken - age),
                    false => watched.written,
                };
                let needs = match row.consistency {
                    Consistency::BoundedStaleness(age) => now - age,
                    Consistency::Session => written,
                    _ => Time::NEVER,
                };
                let proven = self.position[index] >= needs;
                assert!(proven || !self.replica[index], "rule 5: a stale read");
                // Rule 4: a cold member gets its part of what was there to be sent, and a little for chance.
                let since = now - self.deployment.overload_window;
                let age = (now - self.born[index]).secs() / self.deployment.slow_start_duration.secs();
                let part =
                    self.deployment.slow_start_capacity + (1.0 - self.deployment.slow_start_capacity) * age;
                watched.out = Some((member.0, now));
                self.sends.retain(|(at, _)| *at > since);
                self.sends.push((now, index));
                let sent = self.sends.iter().filter(|(at, to)| *to == index && *at >= self.born[index]);
                let open = self.rpcs.values().filter(|w| w.taken > since || !w.over || w.out.is_some());
                let most = 5.0 + 2.0 * part * open.count() as f64;
                assert!(
                    age > 1.0 || sent.count() as f64 <= most,
                    "rule 4: more than {most} to a cold member"
                );
            }
        }
    }
}

/// The rules hold at every step, and the same seed and calls give the same decisions.
#[test]
fn the_rules_hold_after_every_step() {
    fn ends(seed: u64) -> Vec<String> {
        let mut run = Run::new(seed);
        (0..400).for_each(|_| run.step());
        let mut ends: Vec<_> =
            run.rpcs.iter().map(|(rpc, w)| format!("{rpc:?} {:?} {}", w.out, w.over)).collect();
        ends.sort();
        ends
    }
    let seeded = Gen::from_size_and_seed(64, 20_261_201);
    let run = |seed: u64| ends(seed) == ends(seed);
    QuickCheck::new().rng(seeded).tests(200).quickcheck(run as fn(u64) -> bool);
}
