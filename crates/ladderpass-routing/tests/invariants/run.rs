//! A random run: calls on one router in random order, and a record of what these calls reported to the router.

use crate::common::*;
use ladderpass_routing::*;
use nanorand::{Rng, WyRand};
use std::collections::HashMap;

const MEMBERS: u32 = 5;

#[derive(Clone, Copy)]
pub struct TrackedRpc {
    pub arrival: Arrival,
    pub accepted_at: Time,
    /// The commit position of the last write of the RPC's session that the router answered before this RPC
    /// arrived.
    pub session_write: Time,
    pub attempt: Option<Attempt>,
    /// The send time of the RPC's first attempt that may have run.
    pub may_have_run_since: Option<Time>,
    pub is_answered: bool,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub member: u32,
    pub sent_at: Time,
}

/// A router, and a record of what was reported to the router. The router's decisions are checked against this
/// record.
pub struct Run {
    pub random: WyRand,
    pub now: Time,
    pub deployment: Deployment,
    pub router: Router,
    pub rpcs: HashMap<RpcId, TrackedRpc>,
    pub states: Vec<EndpointState>,
    /// For each member, whether its last entry in the endpoint list that was not `Removed` was `Draining`.
    pub is_last_known_draining: Vec<bool>,
    pub positions: Vec<Time>,
    /// For each member, whether an attempt's result has shown the member to be a replica, and no later report has shown
    /// it to be the primary.
    pub is_replica: Vec<bool>,
    pub started_at: Vec<Time>,
    /// The attempts that were sent within `Deployment::overload_window` before the latest attempt.
    pub recent_attempts: Vec<Attempt>,
    /// The commit position of each session's last write that this router answered.
    pub commits: Vec<Time>,
}

impl Run {
    pub fn new(seed: u64) -> Run {
        let mut random = WyRand::new_seed(seed);
        let mut deployment = deployment();
        let bounded = Consistency::BoundedStaleness(Span::from_millis(800));
        let consistencies =
            [bounded, Consistency::Any, Consistency::Session, Consistency::Fresh, Consistency::Write];
        let window = Span::from_millis(700);
        let keyed = |across_groups| Idempotency::IdempotencyKey { across_groups, window };
        let idempotencies = [Idempotency::Idempotent, Idempotency::NonIdempotent, keyed(true), keyed(false)];
        let methods = consistencies
            .iter()
            .flat_map(|&consistency| idempotencies.map(|idempotency| method(consistency, idempotency)));
        let late = [0.0, 0.5].into_iter().cycle();
        deployment.methods = methods
            .zip(late)
            .map(|(method, late_utility_share)| Method { late_utility_share, ..method })
            .collect();
        let roles = [PrimaryInList::Delayed, PrimaryInList::AtStart, PrimaryInList::Absent];
        deployment.primary_in_list = roles[random.generate_range(0..3usize)];
        deployment.session_write_age_carried = random.generate::<bool>();
        deployment.health_checks = random.generate_range(0..5u32) > 0;
        deployment.health_checks_report_position = deployment.health_checks && random.generate::<bool>();
        (deployment.gossip, deployment.router_index) = (random.generate(), random.generate_range(0..4u32));
        deployment.removal_is_advisory = random.generate_range(0..3u32) == 0;
        deployment.endpoint_poll_interval = random.generate::<bool>().then_some(Span::from_millis(10_000));
        let now = at(0);
        let router = Router::start(now, seed, deployment.clone());
        let member_count = MEMBERS as usize;
        let mut run = Run {
            random,
            now,
            deployment,
            router,
            rpcs: HashMap::new(),
            states: vec![EndpointState::Active; member_count],
            is_last_known_draining: vec![false; member_count],
            positions: vec![Time::NEVER; member_count],
            is_replica: vec![false; member_count],
            started_at: vec![Time::NEVER; member_count],
            recent_attempts: Vec::new(),
            commits: vec![Time::NEVER; 3],
        };
        run.restart();
        run
    }

    /// Starts the router again. The new router knows nothing but a cached endpoint list, which may be stale.
    fn restart(&mut self) {
        let seed = self.random.generate::<u64>();
        self.router = Router::start(self.now, seed, self.deployment.clone());
        self.rpcs.clear();
        self.recent_attempts.clear();
        for times in [&mut self.positions, &mut self.started_at, &mut self.commits] {
            times.fill(Time::NEVER);
        }
        self.is_replica.fill(false);
        let member_count = MEMBERS as usize;
        self.states = (0..member_count)
            .map(|_| {
                if self.random.generate_range(0..8u32) == 0 {
                    EndpointState::Draining
                } else {
                    EndpointState::Active
                }
            })
            .collect();
        self.is_last_known_draining =
            self.states.iter().map(|&state| state == EndpointState::Draining).collect();
        let states = &self.states;
        let list: Vec<Endpoint> =
            (0..MEMBERS).map(|m| Endpoint { state: states[m as usize], ..endpoint(m, m == 0) }).collect();
        self.router.on_endpoint_update(self.now, EndpointUpdate::Cached(&list));
    }

    fn random_below(&mut self, limit: u32) -> u32 {
        self.random.generate_range(0..limit)
    }

    fn random_choice<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.random_below(choices.len() as u32) as usize]
    }

    /// Returns a position up to 1.5 s old, or none.
    fn random_position(&mut self) -> Option<Time> {
        (self.random_below(2) == 0).then(|| self.now - Span::from_millis(i64::from(self.random_below(1500))))
    }

    /// Makes one random call on the router, or lets time pass, and then calls `tick`.
    pub fn step(&mut self) {
        if self.random_below(150) == 0 {
            self.restart();
        }
        match self.random_below(13) {
            12 => self.peer_update(),
            0..=3 => self.accept(),
            4..=6 => self.end_attempt(),
            7 => self.end_health_check(),
            8 => self.update_endpoints(),
            9 => self.abandon(),
            _ => {
                let pause = Span::from_millis(self.random_choice(&[1, 5, 20, 300, 1200]));
                self.now = self.now + pause;
            }
        }
        self.tick();
    }

    fn accept(&mut self) {
        let method = self.random_below(self.deployment.methods.len() as u32);
        let mut arrival = arrival(method, 0);
        arrival.deadline = self.now + Span::from_millis(i64::from(self.random_below(2000)));
        arrival.is_client_retry = self.random_below(4) == 0;
        arrival.session = Some(self.random_below(3));
        arrival.last_write_age =
            (self.random_below(2) == 0).then(|| Span::from_millis(i64::from(self.random_below(900))));
        let (rpc, decision) = self.router.accept(self.now, arrival);
        let session_write = self.commits[arrival.session.expect("set above") as usize];
        let tracked = TrackedRpc {
            arrival,
            accepted_at: self.now,
            session_write,
            attempt: None,
            may_have_run_since: None,
            is_answered: false,
        };
        assert!(self.rpcs.insert(rpc, tracked).is_none_or(|old| old.is_answered && old.attempt.is_none()));
        self.check(rpc, decision);
    }

    /// Returns the RPCs that meet a condition, in an order that does not depend on the hash map.
    fn sorted_rpcs_where(&self, condition: impl Fn(&TrackedRpc) -> bool) -> Vec<RpcId> {
        let mut rpcs: Vec<RpcId> =
            self.rpcs.iter().filter(|(_, tracked)| condition(tracked)).map(|(&rpc, _)| rpc).collect();
        rpcs.sort_by_key(|rpc| format!("{rpc:?}"));
        rpcs
    }

    fn end_attempt(&mut self) {
        let in_flight = self.sorted_rpcs_where(|tracked| tracked.attempt.is_some());
        if in_flight.is_empty() {
            return;
        }
        let rpc = self.random_choice(&in_flight);
        use AttemptOutcome::{
            Cancelled, ConnectionLost, Failed, NeverSent, NotServedHere, Rejected, TimedOut, Unreachable,
        };
        let failures =
            [Failed, Rejected, TimedOut, Unreachable, ConnectionLost, Cancelled, NeverSent, NotServedHere];
        let outcome = failures.get(self.random_below(10) as usize).copied().unwrap_or(AttemptOutcome::Ok);
        let role = self.random_choice(&[None, Some(Role::Primary), Some(Role::Replica)]);
        let position = self.random_position();
        let tracked = self.rpcs.get_mut(&rpc).expect("the RPC was chosen from this map");
        let Attempt { member, sent_at } =
            tracked.attempt.take().expect("the RPC was chosen for its attempt in flight");
        let is_answer = matches!(outcome, AttemptOutcome::Ok | NotServedHere | Rejected | Failed);
        let (role, position) = if is_answer { (role, position) } else { (None, None) };
        if !matches!(outcome, Rejected | Unreachable | NeverSent | NotServedHere) {
            tracked.may_have_run_since.get_or_insert(sent_at);
        }
        let rpc_complete = outcome == AttemptOutcome::Ok || tracked.is_answered;
        tracked.is_answered |= rpc_complete;
        let is_write =
            self.deployment.methods[tracked.arrival.method as usize].consistency == Consistency::Write;
        let index = member as usize;
        let (arrival, is_commit) = (tracked.arrival, is_write && outcome == AttemptOutcome::Ok);
        if let Some(position) = position {
            let session = arrival.session.expect("every arrival has one") as usize;
            let newest = if is_commit { &mut self.commits[session] } else { &mut self.positions[index] };
            *newest = position.max(*newest);
        }
        if let Some(role) = role {
            self.is_replica[index] = role == Role::Replica;
        }
        // All attempts take the typical answer time, so that each attempt counts as the same amount of work.
        let latency = Span::from_millis(100);
        let result = AttemptResult {
            member: MemberId(member),
            outcome,
            latency,
            rpc_complete,
            retry_denied: false,
            role,
            position,
        };
        let decision = rpc.on_attempt_ended(&mut self.router, self.now, result);
        if rpc_complete {
            assert_eq!(
                decision,
                Decision::AlreadyAnswered,
                "a decision was made on an RPC that has its final answer"
            );
        }
        self.check(rpc, decision);
        if self.random_below(4) == 0 && rpc_complete {
            // A late or repeated result changes nothing for an RPC that has its final answer.
            assert_eq!(rpc.on_attempt_ended(&mut self.router, self.now, result), Decision::AlreadyAnswered);
        }
    }

    fn end_health_check(&mut self) {
        let member = self.random_below(MEMBERS);
        let outcome = self.random_choice(&[
            AttemptOutcome::Ok,
            AttemptOutcome::Ok,
            AttemptOutcome::Ok,
            AttemptOutcome::TimedOut,
            AttemptOutcome::Rejected,
        ]);
        let position = self.random_position();
        let is_primary = self.random_choice(&[None, Some(true), Some(false)]);
        if outcome == AttemptOutcome::Ok {
            let index = member as usize;
            self.positions[index] = self.positions[index].max(position.unwrap_or(Time::NEVER));
            if is_primary == Some(true) {
                self.is_replica[index] = false;
            }
        }
        let in_flight = self.random_choice(&[None, Some(0.0), Some(50.0)]);
        let report = LoadReport { position, is_primary, in_flight };
        self.router.on_health_check_ended(self.now, MemberId(member), outcome, Span::from_millis(1), report);
    }

    /// Passes an update from another router to this router. The update may be late or out of order, name a member
    /// that no list has named, or have a time in the future.
    fn peer_update(&mut self) {
        let member = self.random_choice(&[0, 1, 2, 3, 299]);
        let observation = self.random_choice(&[
            MemberObservation::Replica,
            MemberObservation::Primary,
            MemberObservation::Unreachable,
        ]);
        let ahead = Span::from_millis(i64::from(self.random_below(4) / 3) * 400);
        let at = self.random_position().unwrap_or(self.now) + ahead;
        let index = member as usize;
        if observation != MemberObservation::Unreachable && at <= self.now && index < self.positions.len() {
            self.positions[index] = self.positions[index].max(at);
            self.is_replica[index] &= observation != MemberObservation::Primary;
        }
        let (same_zone, latency_ratio) = (self.random_below(2) == 0, self.random_choice(&[0.0, 1.0, 30.0]));
        let in_flight = self.random_choice(&[None, Some(40.0)]);
        self.router.on_peer_update(
            self.now,
            MemberUpdate { member: MemberId(member), observation, at, same_zone, latency_ratio, in_flight },
        );
    }

    fn update_endpoints(&mut self) {
        match self.random_below(20) {
            0 | 1 => {
                return self.router.on_endpoint_update(
                    self.now,
                    EndpointUpdate::Failed { poll_immediately: false, notified_by: None },
                );
            }
            // A complete list that is empty. Its members may be listed again later.
            2 => {
                self.states.fill(EndpointState::Removed);
                return self.router.on_endpoint_update(self.now, EndpointUpdate::Complete(&[]));
            }
            // An entry for a member and a group that no list has named before. The same entry may be sent again
            // later.
            3 => {
                return self.router.on_endpoint_update(
                    self.now,
                    EndpointUpdate::Changes(&[Endpoint { group: 9, ..endpoint(300, true) }]),
                );
            }
            _ => {}
        }
        let member = self.random_below(MEMBERS);
        let state = self.random_choice(&[
            EndpointState::Active,
            EndpointState::Active,
            EndpointState::Draining,
            EndpointState::Removed,
        ]);
        let mut entry = endpoint(member, self.random_below(2) == 0);
        entry.state = state;
        entry.started_at = (self.random_below(3) == 0).then_some(self.now);
        let index = member as usize;
        self.is_last_known_draining[index] = state == EndpointState::Draining
            || self.is_last_known_draining[index] && state == EndpointState::Removed;
        self.states[index] = state;
        self.started_at[index] = entry.started_at.unwrap_or(self.started_at[index]);
        self.router.on_endpoint_update(self.now, EndpointUpdate::Changes(&[entry]));
    }

    fn abandon(&mut self) {
        if let Some(&rpc) = self.sorted_rpcs_where(|tracked| !tracked.is_answered).first() {
            self.rpcs.get_mut(&rpc).expect("the RPC is in this map").is_answered = true;
            rpc.abandon(&mut self.router);
        }
    }

    fn tick(&mut self) {
        let output = self.router.tick(self.now);
        for (rpc, decision) in output.decisions {
            self.check(rpc, decision);
        }
        assert!(
            self.deployment.health_checks || output.health_checks.is_empty(),
            "health checks were requested where they are not allowed"
        );
        assert!(self.deployment.endpoint_poll_interval.is_some() || !output.poll_endpoints);
        // Rule 1: a pending RPC gets its final answer before its deadline.
        for tracked in self.rpcs.values() {
            assert!(
                tracked.is_answered || tracked.attempt.is_some() || self.now < tracked.arrival.deadline,
                "rule 1: an RPC has no final answer at its deadline"
            );
        }
    }
}
