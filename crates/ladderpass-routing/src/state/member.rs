//! What a router knows of one member, and the bookkeeping of the attempts that it has made there. Nothing here decides.

use crate::sliding_window::SlidingWindow;
use crate::time::{Span, Time};
use crate::types::{EndpointState, MemberId};
use std::collections::VecDeque;

/// Buckets in which failed attempts are counted.
const FAILURE_BUCKETS: usize = 4;

/// Who saw what is recorded of a member.
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
    /// The number by which all routers know it.
    pub id_hash: u32,
    /// RPCs that it works on at once, by the endpoint list.
    pub concurrency: Option<f64>,
    pub endpoint_state: EndpointState,
    pub endpoint_state_since: Time,
    /// Latest time at which it has shown to be the primary.
    pub primary_seen_at: Time,
    /// Latest time at which it has shown to be a replica.
    pub replica_seen_at: Time,
    /// The endpoint list alone calls it primary.
    pub listed_as_primary: bool,
    /// Newest proven position.
    pub position: Time,
    /// When the position last advanced.
    pub position_advanced_at: Time,
    /// When it last reported anything, to this router or by gossip.
    pub reported_at: Time,
    /// Newest position that was published to all routers.
    pub published_position: Time,
    pub published_at: Time,
    /// When it was last published that this member is unreachable.
    pub unreachable_published_at: Time,
    /// Age of the position in its last health check.
    pub reported_position_age: Option<Span>,
    /// Replication lag, as last computed. Bounds of reads are compared with `position`; this serves unbounded reads.
    pub lag: Option<Span>,
    /// RPCs in flight there, by its last load report.
    pub reported_in_flight: Option<f64>,
    /// Attempts by this router that have not ended, the oldest first.
    pub open_attempts: VecDeque<OpenAttempt>,
    pub last_attempt_at: Time,
    /// Send time of the latest attempt that it has answered.
    pub latest_answered_attempt: Time,
    /// Its last sign of life, by an answer, a health check or gossip; or since when it has answered nothing while attempts
    /// were open.
    pub silent_since: Time,
    pub consecutive_failures: u32,
    /// When the first of the consecutive failures happened.
    pub failing_since: Time,
    /// The health check in progress, by when it was sent.
    pub health_check_sent_at: Option<Time>,
    pub last_health_check_at: Time,
    pub next_health_check_at: Time,
    /// Share of the reads, from 0 to 1, that may go there; less while it is overloaded.
    pub read_share: f64,
    pub read_share_updated_at: Time,
    /// When it started, and began its slow start; none where no start is known.
    pub started_at: Option<Time>,
    /// Attempts that it may get from this router during slow start, and the fraction of a further one.
    pub slow_start_credit: f64,
    /// When the credit last reached a whole attempt.
    pub slow_start_credit_at: Time,
    /// Attempts that this router may have in flight there.
    pub concurrency_limit: f64,
    pub limit_reduced_at: Time,
    /// Failed attempts of the last two seconds, which count as load; those that count towards ejection are
    /// `consecutive_failures`.
    pub recent_failures: SlidingWindow<FAILURE_BUCKETS>,
    /// Answer times over the typical ones.
    pub latency_ratios: SlidingWindow,
    /// Work sent, in seconds of typical answer time.
    pub work_sent: SlidingWindow,
}

impl Member {
    /// A member of which nothing is known. Failures and answers are counted in buckets of the width `answer_bucket`,
    /// the work that it is sent in buckets of the width `work_bucket`.
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

    /// RPCs in flight there by its last load report, with the one to be sent, over what it works on at once.
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
