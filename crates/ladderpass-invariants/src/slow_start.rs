//! Rule 4: no member in slow start is overloaded. In any window of the configured length, a member gets at most as many
//! RPCs from all routers together as it can serve at its age, plus a margin for random variation: two square roots of
//! that number (two standard deviations of a Poisson process) and two RPCs.

use crate::checker::{Checker, Violation};
use crate::history::{Event, EventKind, MemberIndex, RpcId};
use ladderpass_routing::{Span, Time};
use std::collections::{HashMap, VecDeque};

/// The last window that is checked for a member ends this long after the end of the member's slow start.
const CHECK_AFTER_WARM_UP: Span = Span::from_millis(500);
/// Margin for random variation, in square roots of the number of RPCs that a member can serve in a window.
const MARGIN_ROOTS: f64 = 2.0;
/// Additional margin for random variation, in RPCs per window.
const MARGIN_RPCS: f64 = 2.0;

/// The checker of rule 4.
#[derive(Default)]
pub struct SlowStart {
    members: HashMap<MemberIndex, MemberState>,
    /// The largest excess of a window's RPCs over the number that the member can serve plus `MARGIN_RPCS`, in square
    /// roots of the number that it can serve. `None` if no attempt went to a member in slow start.
    max_excess: Option<f64>,
}

impl SlowStart {
    /// Returns the largest excess of a window's RPCs over the number that the member can serve plus two RPCs,
    /// in square roots of the number that it can serve. An excess of up to two such square roots is allowed.
    /// Returns negative infinity if no attempt went to a member in slow start.
    pub fn max_excess(&self) -> f64 {
        self.max_excess.unwrap_or(f64::NEG_INFINITY)
    }

    /// Returns the violation that an attempt proves, if there is one.
    fn on_attempt(&mut self, rpc: RpcId, member: MemberIndex, event: &Event) -> Option<Violation> {
        let state = self.members.get_mut(&member)?;
        if event.at - state.started.at > state.warm_up_time + CHECK_AFTER_WARM_UP {
            self.members.remove(&member);
            return None;
        }
        // Of all windows that contain this attempt and no later attempt, the window that ends with this attempt
        // contains the most attempts.
        state.window.push_back(event.at);
        while state.window.front().is_some_and(|&at| event.at - at >= state.overload_window) {
            state.window.pop_front();
        }
        let expected = state.window_capacity(event.at);
        let limit = expected + MARGIN_ROOTS * expected.sqrt() + MARGIN_RPCS;
        let excess = (state.window.len() as f64 - expected - MARGIN_RPCS) / expected.sqrt().max(1e-9);
        self.max_excess = Some(self.max_excess.map_or(excess, |previous| previous.max(excess)));
        let may_report = state.last_reported_at.is_none_or(|at| event.at - at > state.overload_window);
        let is_overloaded = state.window.len() as f64 > limit;
        if !is_overloaded || !may_report {
            return None;
        }
        state.last_reported_at = Some(event.at);
        let (count, secs) = (state.window.len(), state.overload_window.secs());
        let text = format!(
            "member {member} in slow start gets {count} RPCs within {secs} s; the limit is {limit:.1}: it can serve {expected:.1}, and the rest is a margin for random variation"
        );
        let proof = vec![state.started, *event];
        Some(Violation { rule: 4, rpc: Some(rpc), member: Some(member), text, proof })
    }
}

struct MemberState {
    started: Event,
    /// Capacity of the member after its slow start, in RPCs per second.
    capacity: f64,
    initial_fraction: f64,
    warm_up_time: Span,
    overload_window: Span,
    /// Times of the attempts in the window that ends with the last attempt.
    window: VecDeque<Time>,
    /// When a violation was last reported; a member has at most one reported violation per overload window.
    last_reported_at: Option<Time>,
}

impl MemberState {
    /// Returns the integral of the capacity up to an age in seconds, in seconds of full capacity. Before its start,
    /// the member counts as having its initial capacity, so that a burst right after the start may use the budget of
    /// a whole window.
    fn cumulative_capacity(&self, age: f64) -> f64 {
        let warm_up_secs = self.warm_up_time.secs().max(1e-9);
        let warm_up_age = age.clamp(0.0, warm_up_secs);
        self.initial_fraction * age.min(warm_up_secs)
            + (1.0 - self.initial_fraction) * warm_up_age * warm_up_age / (2.0 * warm_up_secs)
            + (age - warm_up_secs).max(0.0)
    }

    /// Returns how many RPCs the member can serve in the window that ends at the given time.
    fn window_capacity(&self, at: Time) -> f64 {
        let age = (at - self.started.at).secs();
        let window = self.overload_window.secs();
        self.capacity * (self.cumulative_capacity(age) - self.cumulative_capacity(age - window))
    }
}

impl Checker for SlowStart {
    fn observe(&mut self, event: &Event, violations: &mut Vec<Violation>) {
        match event.kind {
            EventKind::Started { member, capacity, initial_fraction, warm_up_time, overload_window } => {
                let state = MemberState {
                    started: *event,
                    capacity,
                    initial_fraction,
                    warm_up_time,
                    overload_window,
                    window: VecDeque::new(),
                    last_reported_at: None,
                };
                self.members.insert(member, state);
            }
            EventKind::AttemptSent { rpc, member } => violations.extend(self.on_attempt(rpc, member, event)),
            _ => {}
        }
    }

    fn tracked(&self) -> usize {
        self.members.len() + self.members.values().map(|state| state.window.len()).sum::<usize>()
    }
}
