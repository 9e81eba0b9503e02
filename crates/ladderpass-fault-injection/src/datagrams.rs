//! The engine for datagrams between named ends. Rules drop, delay, duplicate or reorder them, in one direction or both,
//! and select them by the names of the ends or by the sides of a split. The engine does no input or output. It takes
//! the sender, the receiver, the size and the time of a datagram, and returns the delays of its copies.
//!
//! Invariants:
//!
//! - Without a rule a datagram passes once and without delay.
//! - Random draws depend only on the seed, the rule, the two ends and the datagram's number between them, and not on
//!   other events.
//! - The content of datagrams is never read.

use crate::errors::{PlanError, PlanProblem};
use crate::plan::datagrams::MAX_DELAY_MS;
use crate::plan::{DatagramAction, DatagramPlan, DatagramRule, End};
use crate::random;
use ladderpass_routing::Span;
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::HashMap;

/// Counters of the datagrams that an [`End`] has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounts {
    /// Number of datagrams that the end has sent, including lost ones.
    pub datagrams: u64,
    /// Total size in bytes of the datagrams that the end has sent, including lost ones.
    pub bytes: u64,
}

/// The path from one end to another, by the indexes of the two ends.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct DatagramPath {
    from: usize,
    to: usize,
}

struct ActiveRule {
    rule: DatagramRule,
    added_at: Span,
    /// Number of datagrams that the rule has acted on.
    hits: u64,
    lifted: bool,
}

/// The state of a datagram plan: its ends, its rules, and their counters. Times are counted from the start of the engine.
pub struct DatagramEngine {
    seed: u64,
    ends: Vec<End>,
    rules: Vec<ActiveRule>,
    /// Counters of sent datagrams, by end.
    traffic: Vec<TrafficCounts>,
    /// Number of datagrams that each end has sent to each other end.
    sent_by_path: HashMap<DatagramPath, u64>,
}

impl DatagramEngine {
    /// Returns an engine for a plan. The plan's rules count their times from the start of the engine.
    pub fn new(plan: DatagramPlan) -> DatagramEngine {
        let activate = |rule| ActiveRule { rule, added_at: Span::ZERO, hits: 0, lifted: false };
        DatagramEngine {
            seed: plan.seed,
            traffic: vec![TrafficCounts::default(); plan.ends.len()],
            rules: plan.rules.into_iter().map(activate).collect(),
            ends: plan.ends,
            sent_by_path: HashMap::new(),
        }
    }

    /// Returns the ends in the order of the plan.
    pub fn ends(&self) -> &[End] {
        &self.ends
    }

    /// Adds a rule. The rule counts its times from `now`.
    ///
    /// # Errors
    ///
    /// If the rule is invalid, or a rule with its name has not been lifted.
    pub fn add_rule(&mut self, now: Span, rule: DatagramRule) -> Result<(), PlanError> {
        rule.check(&self.ends)?;
        if self.rules.iter().any(|active| active.rule.name == rule.name && !active.lifted) {
            return Err(PlanError::invalid("name", PlanProblem::DuplicateName(rule.name)));
        }
        self.rules.push(ActiveRule { rule, added_at: now, hits: 0, lifted: false });
        Ok(())
    }

    /// Lifts the rules with this name, so that they no longer act. Returns whether a rule was lifted.
    pub fn lift_rule(&mut self, name: &str) -> bool {
        let mut was_active = false;
        for active in self.rules.iter_mut().filter(|active| active.rule.name == name && !active.lifted) {
            active.lifted = true;
            was_active = true;
        }
        was_active
    }

    /// Returns the name of each rule, with the number of datagrams that it has acted on.
    pub fn hits(&self) -> impl Iterator<Item = (&str, u64)> {
        self.rules.iter().map(|active| (active.rule.name.as_str(), active.hits))
    }

    /// Returns the counters of each end's sent datagrams, in the order of the plan.
    pub fn traffic(&self) -> &[TrafficCounts] {
        &self.traffic
    }

    fn matches(&self, active: &ActiveRule, now: Span, from: usize, to: usize) -> bool {
        let rule = &active.rule;
        let starts_at = active.added_at + Span::from_millis(rule.after_ms as i64);
        let is_over = rule.for_ms > 0 && now >= starts_at + Span::from_millis(rule.for_ms as i64);
        if active.lifted || now < starts_at || is_over {
            return false;
        }
        let is_named = |names: &[String], end: usize| {
            names.is_empty() || self.ends.get(end).is_some_and(|end| names.contains(&end.name))
        };
        let forward = is_named(&rule.from, from) && is_named(&rule.to, to);
        let backward = rule.both && is_named(&rule.from, to) && is_named(&rule.to, from);
        let crosses_split = rule.split.is_empty() || self.side(rule, from) != self.side(rule, to);
        (forward || backward) && crosses_split
    }

    /// Returns the index of the split's side that an end is on, or an index of its own if the end is on no side.
    fn side(&self, rule: &DatagramRule, end: usize) -> usize {
        let name = self.ends.get(end).map_or("", |end| end.name.as_str());
        let side = rule.split.iter().position(|side| side.iter().any(|other| other == name));
        side.unwrap_or(rule.split.len() + end)
    }

    /// Handles a datagram of `bytes` bytes. Returns the delay of each copy that is forwarded, or an empty list if the
    /// datagram is lost.
    pub fn on_datagram(&mut self, now: Span, from: usize, to: usize, bytes: usize) -> Vec<Span> {
        if let Some(traffic) = self.traffic.get_mut(from) {
            traffic.datagrams += 1;
            traffic.bytes += bytes as u64;
        }
        let number = self.sent_by_path.entry(DatagramPath { from, to }).or_default();
        *number += 1;
        let number = *number;
        let mut copy_delays = vec![Span::ZERO];
        for index in 0..self.rules.len() {
            if !self.matches(&self.rules[index], now, from, to) {
                continue;
            }
            let parts = [index as u64 + 1, from as u64 + 1, to as u64 + 1, number];
            let mut random = random::generator(self.seed, parts);
            let active = &mut self.rules[index];
            if random.random::<f64>() >= active.rule.probability {
                continue;
            }
            active.hits += 1;
            apply_action(&active.rule.action, &mut random, &mut copy_delays);
            if copy_delays.is_empty() {
                return copy_delays;
            }
        }
        copy_delays
    }
}

/// Applies a rule's action to the delays of a datagram's copies.
fn apply_action(action: &DatagramAction, random: &mut SmallRng, copy_delays: &mut Vec<Span>) {
    let from_ms = |ms: f64| Span::from_secs_f64(ms / 1e3);
    match *action {
        DatagramAction::Drop => copy_delays.clear(),
        DatagramAction::Delay { ms: mean_ms, distribution } => {
            let delay = from_ms((mean_ms * random::delay_factor(random, distribution)).min(MAX_DELAY_MS));
            copy_delays.iter_mut().for_each(|copy| *copy += delay);
        }
        DatagramAction::Duplicate { ms: gap_ms } => {
            let second = copy_delays.first().copied().unwrap_or(Span::ZERO) + from_ms(gap_ms);
            copy_delays.push(second);
        }
        DatagramAction::Reorder { ms: max_ms } => {
            let delay = from_ms(max_ms * random.random::<f64>());
            copy_delays.iter_mut().for_each(|copy| *copy += delay);
        }
    }
}
