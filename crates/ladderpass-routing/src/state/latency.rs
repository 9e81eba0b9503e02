//! A method and the answer times that were measured for it. Nothing here decides.

use crate::sliding_window::SlidingWindow;
use crate::time::{Span, Time};
use crate::types::{Consistency, Method};

/// A method of the deployment with its answer times over all members.
pub struct MethodLatency {
    pub definition: Method,
    /// Answer times, in seconds.
    pub answers: SlidingWindow,
    /// The typical answer time: the quickest mean of the recent buckets, so about the time without load.
    pub typical: Span,
}

impl MethodLatency {
    /// `typical` is assumed until answers are measured, in buckets of this width.
    pub fn new(method: &Method, typical: Span, bucket: Span) -> MethodLatency {
        MethodLatency { definition: method.clone(), answers: SlidingWindow::new(bucket), typical }
    }

    /// The session, where the method writes.
    pub fn writing_session(&self, session: Option<u32>) -> Option<u32> {
        session.filter(|_| self.definition.consistency == Consistency::Write)
    }

    /// Until when an answer has any utility for an RPC that was accepted then and has this deadline.
    pub fn useful_until(&self, accepted_at: Time, deadline: Time) -> Time {
        if self.definition.late_utility_share > 0.0 {
            deadline
        } else {
            deadline.min(accepted_at + self.definition.soft_deadline)
        }
    }
}
