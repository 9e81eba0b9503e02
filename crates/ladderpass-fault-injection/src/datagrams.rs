//! Datagrams between named ends, and what rules do to them: dropped, delayed, duplicated, reordered, cut one way or
//! both, by the name of either end or by the sides of a split. Pure: who sends how much to whom and when in, the delays
//! of the copies out.
//!
//! Invariants: without a rule a datagram passes once and at once; random draws depend on the seed, the rule, the two
//! ends and the datagram's number between them, and not on what else happens. The content of datagrams is never read.

use crate::errors::{PlanError, PlanProblem};
use crate::plan::datagrams::MAX_DELAY_MS;
use crate::plan::{DatagramAction, DatagramPlan, DatagramRule, End};
use crate::random;
use ladderpass_routing::Span;
use rand::Rng;
use rand::rngs::SmallRng;
use std::collections::HashMap;

/// What an end has sent in all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounts {
    /// Datagrams, whether they arrived or not.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
}

/// From one end to another, by their indexes.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct DatagramPath {
    from: usize,
    to: usize,
}

struct ActiveRule {
    rule: DatagramRule,
    added_at: Span,
    /// Datagrams that it has acted on.
    hits: u64,
    lifted: bool,
}

/// The ends and rules of a plan; times are since its start.
pub struct DatagramEngine {
    seed: u64,
    ends: Vec<End>,
    rules: Vec<ActiveRule>,
    /// By end.
    traffic: Vec<TrafficCounts>,
    /// How many datagrams each end has sent to each other one.
    sent_by_path: HashMap<DatagramPath, u64>,
}

impl DatagramEngine {
    /// The plan's rules count their time from the start.
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

    /// The plan's ends, in its order.
    pub fn ends(&self) -> &[End] {
        &self.ends
    }

    /// Adds a rule, whose time counts from now on.
    ///
    /// # Errors
    ///
    /// If the rule is not valid, or an active one has its name.
    pub fn add_rule(&mut self, now: Span, rule: DatagramRule) -> Result<(), PlanError> {
        rule.check(&self.ends)?;
        if self.rules.iter().any(|active| active.rule.name == rule.name && !active.lifted) {
            return Err(PlanError::invalid("name", PlanProblem::DuplicateName(rule.name)));
        }
        self.rules.push(ActiveRule { rule, added_at: now, hits: 0, lifted: false });
        Ok(())
    }

    /// Ends a rule; whether one of this name was active.
    pub fn lift_rule(&mut self, name: &str) -> bool {
        let mut was_active = false;
        for active in self.rules.iter_mut().filter(|active| active.rule.name == name && !active.lifted) {
            active.lifted = true;
            was_active = true;
        }
        was_active
    }

    /// How often each rule has acted.
    pub fn hits(&self) -> impl Iterator<Item = (&str, u64)> {
        self.rules.iter().map(|active| (active.rule.name.as_str(), active.hits))
    }

    /// What each end has sent, in the order of the plan.
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

    /// The side of a split on which an end is.
    fn side(&self, rule: &DatagramRule, end: usize) -> usize {
        let name = self.ends.get(end).map_or("", |end| end.name.as_str());
        let side = rule.split.iter().position(|side| side.iter().any(|other| other == name));
        side.unwrap_or(rule.split.len() + end)
    }

    /// A datagram of `bytes` bytes: the delay of each copy of it, none where it is lost.
    pub fn on_datagram(&mut self, now: Span, from: usize, to: usize, bytes: usize) -> Vec<Span> {
        if let Some(traffic) = self.traffic.get_mut(from) {
            traffic.datagrams += 1;
            traffic.bytes += bytes as u64;
        }
        let number = self.sent_by_path.entry(DatagramPath { from, to }).or_default();
        *number += 1;
        let number = *number;
        let mut copies = vec![Span::ZERO];
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
            apply_action(&active.rule.action, &mut random, &mut copies);
            if copies.is_empty() {
                return copies;
            }
        }
        copies
    }
}

/// Changes the delays of a datagram's copies.
fn apply_action(action: &DatagramAction, random: &mut SmallRng, copies: &mut Vec<Span>) {
    let from_ms = |ms: f64| Span::from_secs_f64(ms / 1e3);
    match *action {
        DatagramAction::Drop => copies.clear(),
        DatagramAction::Delay { ms: mean_ms, distribution } => {
            let delay = from_ms((mean_ms * random::delay_factor(random, distribution)).min(MAX_DELAY_MS));
            copies.iter_mut().for_each(|copy| *copy += delay);
        }
        DatagramAction::Duplicate { ms: gap_ms } => {
            let second = copies.first().copied().unwrap_or(Span::ZERO) + from_ms(gap_ms);
            copies.push(second);
        }
        DatagramAction::Reorder { ms: max_ms } => {
            let delay = from_ms(max_ms * random.random::<f64>());
            copies.iter_mut().for_each(|copy| *copy += delay);
        }
    }
}
