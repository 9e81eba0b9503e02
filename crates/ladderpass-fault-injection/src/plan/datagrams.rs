//! The part of a plan that concerns datagrams: the ends that exchange them, and the rules. Field names are the keys of
//! the file unless an attribute gives another.

use super::distribution::Distribution;
use super::yaml::parse_yaml;
use crate::errors::{PlanError, PlanProblem};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The longest delay that one rule adds to a datagram, in milliseconds.
pub(crate) const MAX_DELAY_MS: f64 = 60_000.0;

/// A process that sends and receives datagrams through the tool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct End {
    /// Name of the end in rules.
    pub name: String,
    /// Address that the tool listens on for the end, and by which the other ends know it.
    pub address: SocketAddr,
    /// Address at which the process itself receives datagrams.
    pub to: SocketAddr,
}

/// What a rule does to a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum DatagramAction {
    /// The datagram is lost.
    Drop,
    /// The datagram arrives later.
    Delay {
        /// Mean of the delay, in milliseconds.
        ms: f64,
        /// Distribution of the delay.
        #[serde(default = "Distribution::constant", rename = "spread")]
        distribution: Distribution,
    },
    /// The datagram arrives twice.
    Duplicate {
        /// Delay of the second copy after the first copy, in milliseconds.
        ms: f64,
    },
    /// The datagram is delayed by a random time, so that later datagrams can overtake it.
    Reorder {
        /// The longest delay, in milliseconds.
        ms: f64,
    },
}

fn always() -> f64 {
    1.0
}

/// A rule for datagrams. Field names are the keys of the plan unless an attribute gives another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DatagramRule {
    /// Name of the rule, which is unique among the active rules.
    pub name: String,
    /// Names of the ends to whose sent datagrams the rule applies. An empty list means all ends.
    #[serde(default)]
    pub from: Vec<String>,
    /// Names of the ends to whose received datagrams the rule applies. An empty list means all ends.
    #[serde(default)]
    pub to: Vec<String>,
    /// Whether the rule also applies in the opposite direction, from the receivers to the senders.
    #[serde(default)]
    pub both: bool,
    /// Sides of a network split, each as a list of names of ends. The rule applies only to datagrams between different
    /// sides, and an end on no side counts as a side of its own. Without any side, the rule applies to datagrams
    /// between all ends.
    #[serde(default)]
    pub split: Vec<Vec<String>>,
    /// Time from the rule's addition until it takes effect, in milliseconds.
    #[serde(default)]
    pub after_ms: u64,
    /// Time for which the rule is in effect, in milliseconds, or 0 for no limit.
    #[serde(default)]
    pub for_ms: u64,
    /// Probability with which the rule acts on a datagram that matches.
    #[serde(default = "always", rename = "part")]
    pub probability: f64,
    /// What the rule does to a datagram.
    #[serde(rename = "do")]
    pub action: DatagramAction,
}

/// The part of a plan that concerns datagrams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DatagramPlan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Processes that exchange datagrams through the tool.
    pub ends: Vec<End>,
    /// Rules for datagrams.
    pub rules: Vec<DatagramRule>,
}

impl DatagramRule {
    /// Checks that the rule is valid for the ends of a plan.
    ///
    /// # Errors
    ///
    /// If the rule is invalid; the error names the first invalid key.
    pub fn check(&self, ends: &[End]) -> Result<(), PlanError> {
        let names = self.from.iter().chain(&self.to).chain(self.split.iter().flatten());
        let unknown = |name: &&String| !ends.iter().any(|end| end.name == **name);
        if let Some(name) = names.into_iter().find(unknown) {
            let known: Vec<&str> = ends.iter().map(|end| end.name.as_str()).collect();
            let problem = PlanProblem::UnknownName { name: name.clone(), allowed: known.join(", ") };
            return Err(PlanError::invalid("from, to, split", problem));
        }
        if !(0.0..=1.0).contains(&self.probability) {
            let problem = PlanProblem::OutOfRange { value: self.probability, allowed: "0 to 1" };
            return Err(PlanError::invalid("part", problem));
        }
        match self.action {
            DatagramAction::Delay { ms, .. }
            | DatagramAction::Duplicate { ms }
            | DatagramAction::Reorder { ms }
                if !(0.0..=MAX_DELAY_MS).contains(&ms) =>
            {
                let problem = PlanProblem::OutOfRange { value: ms, allowed: "0 to 60000" };
                Err(PlanError::invalid("do.ms", problem))
            }
            _ => Ok(()),
        }
    }
}

impl DatagramPlan {
    /// Reads a datagram plan from YAML and checks it.
    ///
    /// # Errors
    ///
    /// If the plan is invalid; the error names the first invalid key.
    pub fn read(text: &str) -> Result<DatagramPlan, PlanError> {
        let plan: DatagramPlan = parse_yaml(text)?;
        plan.check()?;
        Ok(plan)
    }

    /// Checks the plan's ends and rules.
    ///
    /// # Errors
    ///
    /// If the plan is invalid; the error names the first invalid key.
    pub fn check(&self) -> Result<(), PlanError> {
        self.check_under("rules")
    }

    /// Checks the plan's ends (the processes that exchange datagrams) and rules. `rules_key` is the key of
    /// the rules in errors: `datagrams` if this is part of a whole plan, and `rules` if the plan is for
    /// datagrams only.
    pub(crate) fn check_under(&self, rules_key: &str) -> Result<(), PlanError> {
        for (index, end) in self.ends.iter().enumerate() {
            for (key, address) in [("address", end.address), ("to", end.to)] {
                if !address.ip().is_loopback() {
                    let key = format!("ends[{index}].{key}");
                    return Err(PlanError::invalid(key, PlanProblem::NotLoopback(address)));
                }
            }
            let is_same = |other: &End| other.name == end.name || other.to == end.to;
            if self.ends[..index].iter().any(is_same) {
                return Err(PlanError::invalid(format!("ends[{index}]"), PlanProblem::DuplicateEnd));
            }
        }
        for (index, rule) in self.rules.iter().enumerate() {
            rule.check(&self.ends).map_err(|error| error.within(&format!("{rules_key}[{index}]")))?;
        }
        Ok(())
    }
}
