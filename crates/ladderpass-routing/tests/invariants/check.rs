//! Checks each decision of a router against the invariants, which are numbered as the rules in
//! `ladderpass_invariants`.

use crate::run::{Attempt, Run};
use ladderpass_routing::*;

impl Run {
    /// Checks a decision on an RPC and records the decision.
    pub fn check(&mut self, rpc: RpcId, decision: Decision) {
        let tracked = self.rpcs.get_mut(&rpc).expect("decisions are made only on accepted RPCs");
        let method = &self.deployment.methods[tracked.arrival.method as usize];
        match decision {
            Decision::Queue | Decision::AlreadyAnswered => {}
            Decision::Fail => {
                assert!(!tracked.is_answered, "rule 1: an RPC got a second final answer");
                tracked.is_answered = true;
            }
            Decision::Reject { retry_after } => {
                assert!(!tracked.is_answered, "rule 1: an RPC got a second final answer");
                assert!(retry_after >= Span::ZERO && retry_after <= self.deployment.max_retry_after);
                let client_may_retry = match method.idempotency {
                    Idempotency::Idempotent => true,
                    Idempotency::IdempotencyKey { across_groups, .. } => {
                        across_groups || tracked.may_have_run_since.is_none()
                    }
                    Idempotency::NonIdempotent => tracked.may_have_run_since.is_none(),
                };
                assert!(
                    client_may_retry,
                    "rule 2: an RPC that may have run was rejected, though its client must not retry it"
                );
                tracked.is_answered = true;
            }
            Decision::Attempt { member, .. } => self.check_attempt(rpc, member),
        }
    }

    fn check_attempt(&mut self, rpc: RpcId, member: MemberId) {
        let now = self.now;
        let tracked = &self.rpcs[&rpc];
        let method = &self.deployment.methods[tracked.arrival.method as usize];
        let index = member.0 as usize;
        assert!(!tracked.is_answered, "rule 1: an RPC was sent after its final answer");
        assert!(tracked.attempt.is_none(), "an RPC has two attempts in flight");
        match (method.idempotency, tracked.may_have_run_since) {
            (Idempotency::NonIdempotent, Some(_)) => {
                panic!("rule 2: a non-idempotent RPC was sent again after it may have run")
            }
            (Idempotency::IdempotencyKey { window, .. }, Some(first)) => {
                assert!(
                    now - first < window,
                    "rule 2: an RPC was sent again after the window of its idempotency key"
                );
            }
            _ => {}
        }
        let is_excluded = if self.deployment.removal_is_advisory {
            self.is_last_known_draining[index]
        } else {
            self.states[index] != EndpointState::Active
        };
        assert!(!is_excluded, "rule 3: an RPC was sent to a member that is draining or removed");
        self.check_freshness(rpc, member);
        self.check_slow_start(rpc, member);
    }

    fn check_freshness(&self, rpc: RpcId, member: MemberId) {
        let (now, index) = (self.now, member.0 as usize);
        let tracked = &self.rpcs[&rpc];
        let method = &self.deployment.methods[tracked.arrival.method as usize];
        let session_write = match self.deployment.session_write_age_carried {
            true => tracked.arrival.last_write_age.map_or(Time::NEVER, |age| tracked.accepted_at - age),
            false => tracked.session_write,
        };
        let required = match method.consistency {
            Consistency::BoundedStaleness(age) => now - age,
            Consistency::Session => session_write,
            _ => Time::NEVER,
        };
        let is_proven = self.positions[index] >= required;
        assert!(
            is_proven || !self.is_replica[index],
            "rule 5: a read was sent to a replica that is not known to be fresh enough"
        );
    }

    /// Checks rule 4: a member in slow start gets at most its share of the RPCs that could be sent within
    /// `Deployment::overload_window`. The limit on its attempts in that window is twice its share of these RPCs
    /// plus 5, to allow for random variation.
    fn check_slow_start(&mut self, rpc: RpcId, member: MemberId) {
        let (now, index) = (self.now, member.0 as usize);
        let window_start = now - self.deployment.overload_window;
        let age = (now - self.started_at[index]).secs() / self.deployment.slow_start_duration.secs();
        let share = self.deployment.slow_start_capacity + (1.0 - self.deployment.slow_start_capacity) * age;
        let attempt = Attempt { member: member.0, sent_at: now };
        self.rpcs.get_mut(&rpc).expect("checked before").attempt = Some(attempt);
        self.recent_attempts.retain(|attempt| attempt.sent_at > window_start);
        self.recent_attempts.push(attempt);
        let sent = self
            .recent_attempts
            .iter()
            .filter(|attempt| attempt.member == member.0 && attempt.sent_at >= self.started_at[index]);
        let sendable = self
            .rpcs
            .values()
            .filter(|rpc| rpc.accepted_at > window_start || !rpc.is_answered || rpc.attempt.is_some());
        let limit = 5.0 + 2.0 * share * sendable.count() as f64;
        assert!(
            age > 1.0 || sent.count() as f64 <= limit,
            "rule 4: more than {limit} attempts were sent to a member in slow start"
        );
    }
}
