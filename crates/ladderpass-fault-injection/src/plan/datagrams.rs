//! The part of a plan that concerns datagrams: the ends that exchange them, and rules. Field names are the keys of the
//! file unless an attribute gives another.

use super::distribution::Distribution;
use super::yaml::parse_yaml;
use crate::errors::{PlanError, PlanProblem};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The longest delay of a datagram, in milliseconds.
pub(crate) const MAX_DELAY_MS: f64 = 60_000.0;

/// A process that sends and receives datagrams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct End {
    /// Its name in rules.
    pub name: String,
    /// Where the tool listens for it: the address by which the others know it.
    pub address: SocketAddr,
    /// Where it is.
    pub to: SocketAddr,
}

/// What a rule does to a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum DatagramAction {
    /// It is lost.
    Drop,
    /// It arrives later.
    Delay {
        /// Mean of the delay, in milliseconds.
        ms: f64,
        /// Distribution of the delay.
        #[serde(default = "Distribution::constant", rename = "spread")]
        distribution: Distribution,
    },
    /// It arrives twice.
    Duplicate {
        /// How much later the second copy arrives, in milliseconds.
        ms: f64,
    },
    /// It is delayed by a random time, so that others overtake it.
    Reorder {
        /// Longest delay, in milliseconds.
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
    /// Its name, unique among the active rules.
    pub name: String,
    /// Names of senders; none: all.
    #[serde(default)]
    pub from: Vec<String>,
    /// Names of receivers; none: all.
    #[serde(default)]
    pub to: Vec<String>,
    /// The other direction as well.
    #[serde(default)]
    pub both: bool,
    /// Only what crosses from one of these sides to another; an end on none of them is on a side of its own.
    #[serde(default)]
    pub split: Vec<Vec<String>>,
    /// From this long after the rule was added, in milliseconds.
    #[serde(default)]
    pub after_ms: u64,
    /// For this long, in milliseconds; 0: to the end.
    #[serde(default)]
    pub for_ms: u64,
    /// Probability of acting on a datagram that matches.
    #[serde(default = "always", rename = "part")]
    pub probability: f64,
    /// What it does.
    #[serde(rename = "do")]
    pub action: DatagramAction,
}

/// The part of a plan that concerns datagrams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DatagramPlan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Who sends and receives datagrams.
    pub ends: Vec<End>,
    /// What is done to them.
    pub rules: Vec<DatagramRule>,
}

impl DatagramRule {
    /// Checks the rule for these ends.
    ///
    /// # Errors
    ///
    /// The first key that is wrong.
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
    /// Reads YAML and checks it.
    ///
    /// # Errors
    ///
    /// The first key that is wrong.
    pub fn read(text: &str) -> Result<DatagramPlan, PlanError> {
        let plan: DatagramPlan = parse_yaml(text)?;
        plan.check()?;
        Ok(plan)
    }

    /// Checks ends and rules.
    ///
    /// # Errors
    ///
    /// The first key that is wrong.
    pub fn check(&self) -> Result<(), PlanError> {
        self.check_under("rules")
    }

    /// Checks ends and rules, the latter under the key that the plan has them at.
    pub(crate) fn check_under(&self, rules_key: &str) -> Result<(), PlanError> {
        for (index, end) in self.ends.iter().enumerate() {
            for (key, address) in [("address", end.address), ("to", end.to)] {
                if !address.ip().is_loopback() {
                    let key = format!("ends[{index}].{key}");
                    return Err(PlanError::invalid(key, PlanProblem::OffLoopback(address)));
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
