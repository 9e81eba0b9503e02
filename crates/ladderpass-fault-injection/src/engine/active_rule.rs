//! A rule of the engine with its counters, and the check whether a [`Unit`] of a stream triggers the rule.

use super::operation::ConnectionId;
use crate::plan::{Rule, Side};
use crate::stream::Unit;
use std::collections::HashMap;

pub struct ActiveRule {
    pub rule: Rule,
    /// Index in the plan of the only link that the rule applies to, if the rule names a link.
    link: Option<usize>,
    /// Number of [`Unit`]s and openings of connections that have matched the rule, by index of the link in the plan.
    match_counts: HashMap<usize, u64>,
    /// Number of times that the rule has acted.
    pub hits: u64,
    pub lifted: bool,
}

/// The current state of a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RuleState<'a> {
    /// Name of the rule.
    pub name: &'a str,
    /// Number of times that the rule has acted.
    pub hits: u64,
    /// Whether the rule may still act: no command has lifted (ended) it, and it has acted fewer times than its field `times`
    /// allows.
    pub live: bool,
}

/// What rules are matched against: a unit of a stream or the opening of a connection, with the connection, the sender
/// and the time.
pub struct Occurrence<'a> {
    pub connection: ConnectionId,
    pub sender: Side,
    pub unit: &'a Unit,
    /// Whether a connection was opened, instead of a unit arriving. `unit` is then an empty placeholder.
    pub opens: bool,
    /// Milliseconds since the engine's start.
    pub elapsed_ms: i64,
}

impl ActiveRule {
    pub fn new(rule: Rule, link: Option<usize>) -> ActiveRule {
        ActiveRule { rule, link, match_counts: HashMap::new(), hits: 0, lifted: false }
    }

    pub fn state(&self) -> RuleState<'_> {
        let live = !self.lifted && !self.has_reached_limit();
        RuleState { name: &self.rule.name, hits: self.hits, live }
    }

    /// Returns whether the rule has acted as many times as its field `times` allows.
    fn has_reached_limit(&self) -> bool {
        self.rule.times > 0 && self.hits >= self.rule.times
    }

    /// Counts the occurrence (a unit of a stream or the opening of a connection) if it matches the rule, and returns whether
    /// the rule acts on the occurrence. `acted` has the names of all rules that have acted.
    pub fn record_match(&mut self, occurrence: &Occurrence<'_>, acted: &[String]) -> bool {
        if !self.matches(occurrence, acted) {
            return false;
        }
        let count = self.match_counts.entry(occurrence.connection.link).or_default();
        *count += 1;
        let acts = *count >= self.rule.when.nth.unwrap_or(1) && !self.has_reached_limit();
        if acts {
            self.hits += 1;
        }
        acts
    }

    fn matches(&self, occurrence: &Occurrence<'_>, acted: &[String]) -> bool {
        let when = &self.rule.when;
        let Occurrence { connection, sender, unit, opens, elapsed_ms } = *occurrence;
        let contains = |text: &String| {
            let text = text.as_bytes();
            !text.is_empty() && unit.bytes.windows(text.len()).any(|window| window == text)
        };
        let unit_bytes = unit.offset..unit.offset + unit.bytes.len() as u64;
        !self.lifted
            && when.opens == opens
            && (opens || when.from == sender)
            && self.link.is_none_or(|link| link == connection.link)
            && when.connection.is_none_or(|number| number == connection.number)
            && when.message.as_ref().is_none_or(|kind| kind == unit.kind)
            && when.byte.is_none_or(|byte| unit_bytes.contains(&byte))
            && when.contains.as_ref().is_none_or(contains)
            && when.after_ms.is_none_or(|ms| elapsed_ms >= ms as i64)
            && when.after_rule.as_ref().is_none_or(|other| acted.contains(other))
    }
}
