//! What a router knows about one member, and the record of this router's attempts at the member. This module makes
//! no decisions.

use crate::sliding_window::SlidingWindow;
use crate::time::{Span, Time};
use crate::types::{EndpointState, MemberId};
use std::collections::VecDeque;

/// The number of buckets in which the recent failed attempts at a member are counted.
const FAILURE_BUCKETS: usize = 4;

/// The router that made an observation of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservedBy {
    ThisRouter,
    Peer,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OpenAttempt {
    pub sent_at: Time,
    pub method: u32,
}

/// One member of a group.
pub struct Member {
    pub id: MemberId,
    pub group: usize,
    pub machine_kind: u32,
    pub zone: u32,
    /// A hash of the member's id, which identifies the member at all routers.
    pub id_hash: u32,
    /// The number of RPCs that the member can process at once, according to the endpoint list.
    pub concurrency: Option<f64>,
    pub endpoint_state: EndpointState,
    pub endpoint_state_since: Time,
    /// The latest time at which the member has shown that it is the primary of its group.
    pub primary_seen_at: Time,
    /// The latest time at which the member has shown that it is a replica.
    pub replica_seen_at: Time,
    /// Whether the endpoint list names the member as the primary, and the member has not contradicted it. Unlike
    /// `primary_seen_at`, the list is no evidence from the member itself.
    pub listed_as_primary: bool,
    /// The newest position that the member has proven.
    pub position: Time,
    /// The time at which `position` last advanced.
    pub position_advanced_at: Time,
    /// The number of reports in a row that contradict `position`.
    pub position_contradictions: u32,
    /// The time of the member's last report of any kind, to this router or by gossip.
    pub reported_at: Time,
    /// The newest position of the member that any router has published to all routers.
    pub published_position: Time,
    pub published_at: Time,
    /// The time at which a router last published that this member is unreachable.
    pub unreachable_published_at: Time,
    /// The age that the member's position had when the member last reported it in a health check.
    pub reported_position_age: Option<Span>,
    /// The member's replication lag, as last computed. The lag decides whether the member may serve a read of
    /// any data, while for other reads the required position is compared with `position`. The lag also reduces
    /// the share of the concurrency limit that reads may use.
    pub lag: Option<Span>,
    /// The number of RPCs in flight at the member, according to its last load report.
    pub reported_in_flight: Option<f64>,
    /// This router's attempts that have not ended, the oldest first.
    pub open_attempts: VecDeque<OpenAttempt>,
    pub last_attempt_at: Time,
    /// The send time of the latest attempt that the member has answered successfully.
    pub latest_answered_attempt: Time,
    /// The time of the member's last sign of life, by an answer, a health check or gossip. If an attempt was
    /// started after that sign while no other attempt was open, the start time of that attempt.
    pub silent_since: Time,
    pub consecutive_failures: u32,
    /// The time of the first of the member's consecutive failures.
    pub failing_since: Time,
    /// The send time of the health check in progress, if there is one.
    pub health_check_sent_at: Option<Time>,
    pub last_health_check_at: Time,
    pub next_health_check_at: Time,
    /// The share of this router's reads, from 0 to 1, that the member may get. The share is reduced while the
    /// member is overloaded.
    pub read_share: f64,
    pub read_share_updated_at: Time,
    /// The time at which the member started, which is also the start of its slow start, or `None` if that time is
    /// unknown.
    pub started_at: Option<Time>,
    /// The number of attempts that this router may still send to the member during slow start. The fractional part
    /// of this number counts towards the next attempt.
    pub slow_start_credit: f64,
    /// The time at which the slow-start credit last reached a whole attempt.
    pub slow_start_credit_at: Time,
    /// The number of attempts that this router may have in flight at the member.
    pub concurrency_limit: f64,
    pub limit_reduced_at: Time,
    /// The attempts of the last two seconds that failed at the member, which count as load. Failures that count
    /// towards ejection are in `consecutive_failures`.
    pub recent_failures: SlidingWindow<FAILURE_BUCKETS>,
    /// The answer times of the member's recent attempts, each divided by the typical answer time of its method.
    pub latency_ratios: SlidingWindow,
    /// The work sent to the member, in seconds of typical answer time.
    pub work_sent: SlidingWindow,
}

impl Member {
    /// Creates a member about which nothing is known. Failures and answers are counted in buckets of the width
    /// `answer_bucket`, and the work sent to the member in buckets of the width `work_bucket`.
    pub fn new(
        id: MemberId,
        group: usize,
        concurrency_limit: f64,
        answer_bucket: Span,
        work_bucket: Span,
    ) -> Member {
        Member {
            id,
            group,
            machine_kind: 0,
            zone: 0,
            id_hash: 0,
            concurrency: None,
            endpoint_state: EndpointState::Active,
            endpoint_state_since: Time::NEVER,
            primary_seen_at: Time::NEVER,
            replica_seen_at: Time::NEVER,
            listed_as_primary: false,
            position: Time::NEVER,
            position_advanced_at: Time::NEVER,
            position_contradictions: 0,
            reported_at: Time::NEVER,
            published_position: Time::NEVER,
            published_at: Time::NEVER,
            unreachable_published_at: Time::NEVER,
            reported_position_age: None,
            lag: None,
            reported_in_flight: None,
            open_attempts: VecDeque::new(),
            last_attempt_at: Time::NEVER,
            latest_answered_attempt: Time::NEVER,
            silent_since: Time::NEVER,
            consecutive_failures: 0,
            failing_since: Time::NEVER,
            health_check_sent_at: None,
            last_health_check_at: Time::NEVER,
            next_health_check_at: Time::NEVER,
            read_share: 1.0,
            read_share_updated_at: Time::NEVER,
            started_at: None,
            slow_start_credit: 0.0,
            slow_start_credit_at: Time::NEVER,
            concurrency_limit,
            limit_reduced_at: Time::NEVER,
            recent_failures: SlidingWindow::new(answer_bucket),
            latency_ratios: SlidingWindow::new(answer_bucket),
            work_sent: SlidingWindow::new(work_bucket),
        }
    }

    pub fn set_endpoint_state(&mut self, now: Time, state: EndpointState) {
        if state != std::mem::replace(&mut self.endpoint_state, state) {
            self.endpoint_state_since = now;
        }
    }

    /// Returns the number of RPCs in flight at the member by its last load report, plus the RPC that is about to be
    /// sent, divided by the number that the member can process at once.
    pub fn reported_utilization(&self) -> Option<f64> {
        self.reported_in_flight
            .zip(self.concurrency)
            .map(|(in_flight, concurrency)| (in_flight + 1.0) / concurrency)
    }

    pub fn record_attempt_started(&mut self, now: Time, method: u32, typical_latency: Span) {
        if self.open_attempts.is_empty() {
            self.silent_since = now;
        }
        self.open_attempts.push_back(OpenAttempt { sent_at: now, method });
        self.last_attempt_at = now;
        self.slow_start_credit -= self.slow_start_credit.floor().min(1.0);
        self.work_sent.record(now, typical_latency.secs());
    }

    pub fn record_attempt_ended(&mut self, attempt: OpenAttempt, answered: bool) {
        if answered {
            self.latest_answered_attempt = self.latest_answered_attempt.max(attempt.sent_at);
        }
        if let Some(index) = self.open_attempts.iter().position(|&open| open == attempt) {
            self.open_attempts.remove(index);
        }
    }
}
