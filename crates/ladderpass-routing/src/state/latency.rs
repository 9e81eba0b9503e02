//! A method and the answer times that were measured for it. This module makes no decisions.

use crate::sliding_window::SlidingWindow;
use crate::time::{Span, Time};
use crate::types::{Consistency, Method};

/// A method of the deployment, with its answer times at all members.
pub struct MethodLatency {
    pub definition: Method,
    /// The answer times of the method's attempts at all members, in seconds.
    pub answers: SlidingWindow,
    /// The typical answer time. It is the lowest mean among the recent buckets of `answers`, and so about the answer
    /// time without load.
    pub typical: Span,
}

impl MethodLatency {
    /// Creates the state of a method without answers. `typical` is assumed until answers are measured, and `bucket` is
    /// the width of the buckets in which answer times are recorded.
    pub fn new(method: &Method, typical: Span, bucket: Span) -> MethodLatency {
        MethodLatency { definition: method.clone(), answers: SlidingWindow::new(bucket), typical }
    }

    /// Returns the session if the method is a write, and otherwise `None`.
    pub fn writing_session(&self, session: Option<u32>) -> Option<u32> {
        session.filter(|_| self.definition.consistency == Consistency::Write)
    }

    /// Returns the time until which an answer has any utility, for an RPC with this time of acceptance and this
    /// deadline.
    pub fn useful_until(&self, accepted_at: Time, deadline: Time) -> Time {
        if self.definition.late_utility_share > 0.0 {
            deadline
        } else {
            deadline.min(accepted_at + self.definition.soft_deadline)
        }
    }
}
