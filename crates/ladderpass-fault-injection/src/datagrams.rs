//! Datagrams between named ends, and what rules do to them: dropped, late, doubled, overtaken, cut one way or both, by the
//! name of either end or by the side of a split. Pure: who sends what to whom and when comes in, copies with their
//! delays go out.
//!
//! It owns these invariants: without a rule a datagram goes on once and at once; chance is drawn by seed, rule, way and
//! the datagram's number on that way, so that it does not depend on what else happens. It must never look into bytes.

use crate::plan::{Spread, one_line_of};
use ladderpass_routing::Span;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::Exp1;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Someone who sends and hears datagrams: the others know it by `address`, where the tool listens, and it is at `to`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct End {
    pub name: String,
    pub address: SocketAddr,
    pub to: SocketAddr,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Deed {
    Drop,
    Delay {
        ms: f64,
        #[serde(default = "constant")]
        spread: Spread,
    },
    /// It comes twice, the second one so much later.
    Duplicate {
        ms: f64,
    },
    /// It waits up to so long, so that others overtake it.
    Reorder {
        ms: f64,
    },
}

fn constant() -> Spread {
    Spread::Constant
}

fn all() -> f64 {
    1.0
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DatagramRule {
    pub name: String,
    /// Names of senders and receivers; none: all.
    #[serde(default)]
    pub from: Vec<String>,
    #[serde(default)]
    pub to: Vec<String>,
    /// The other way as well.
    #[serde(default)]
    pub both: bool,
    /// Only what crosses from one of these sides to another; who stands on none is on a side of its own.
    #[serde(default)]
    pub split: Vec<Vec<String>>,
    #[serde(default)]
    pub after_ms: u64,
    /// For so long; 0: to the end.
    #[serde(default)]
    pub for_ms: u64,
    /// Of what fits, by chance.
    #[serde(default = "all")]
    pub part: f64,
    #[serde(rename = "do")]
    pub deed: Deed,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MeshPlan {
    pub seed: u64,
    pub ends: Vec<End>,
    pub rules: Vec<DatagramRule>,
}

/// The longest that a datagram may be late.
const LATEST_MS: f64 = 60_000.0;

impl DatagramRule {
    pub fn check(&self, ends: &[End]) -> Result<(), String> {
        let names = self.from.iter().chain(&self.to).chain(self.split.iter().flatten());
        let unknown = |name: &&String| !ends.iter().any(|end| end.name == **name);
        if let Some(name) = names.into_iter().find(unknown) {
            let known: Vec<&str> = ends.iter().map(|end| end.name.as_str()).collect();
            return Err(format!("from, to, split: {name:?}; allowed are {}", known.join(", ")));
        }
        if !(0.0..=1.0).contains(&self.part) {
            return Err(format!("part: {}; allowed are 0 to 1", self.part));
        }
        match self.deed {
            Deed::Delay { ms, .. } | Deed::Duplicate { ms } | Deed::Reorder { ms }
                if !(0.0..=LATEST_MS).contains(&ms) =>
            {
                Err(format!("do.ms: {ms}; allowed are 0 to {LATEST_MS}"))
            }
            _ => Ok(()),
        }
    }
}

impl MeshPlan {
    pub fn read(text: &str) -> Result<MeshPlan, String> {
        let plan: MeshPlan = one_line_of(text)?;
        plan.check()?;
        Ok(plan)
    }

    pub fn check(&self) -> Result<(), String> {
        for (nth, end) in self.ends.iter().enumerate() {
            for (key, address) in [("address", end.address), ("to", end.to)] {
                if !address.ip().is_loopback() {
                    return Err(format!(
                        "ends[{nth}].{key}: {address} is off loopback; allowed is 127.0.0.0/8 or [::1]"
                    ));
                }
            }
            let twice = |other: &End| other.name == end.name || other.to == end.to;
            if self.ends[..nth].iter().any(twice) {
                return Err(format!("ends[{nth}]: its name or address stands twice"));
            }
        }
        for (nth, rule) in self.rules.iter().enumerate() {
            rule.check(&self.ends).map_err(|fault| format!("rules[{nth}].{fault}"))?;
        }
        Ok(())
    }
}

/// What an end has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    pub datagrams: u64,
    pub bytes: u64,
}

struct Live {
    rule: DatagramRule,
    since: Span,
    hits: u64,
    lifted: bool,
}

pub struct Mesh {
    seed: u64,
    ends: Vec<End>,
    rules: Vec<Live>,
    sent: Vec<Sent>,
    numbers: HashMap<(usize, usize), u64>,
}

impl Mesh {
    /// The plan's rules count their time from the start.
    pub fn new(plan: MeshPlan) -> Mesh {
        let live = |rule| Live { rule, since: Span::ZERO, hits: 0, lifted: false };
        Mesh {
            seed: plan.seed,
            sent: vec![Sent::default(); plan.ends.len()],
            rules: plan.rules.into_iter().map(live).collect(),
            ends: plan.ends,
            numbers: HashMap::new(),
        }
    }

    pub fn ends(&self) -> &[End] {
        &self.ends
    }

    /// A rule whose time counts from now on.
    pub fn add(&mut self, now: Span, rule: DatagramRule) -> Result<(), String> {
        rule.check(&self.ends)?;
        if self.rules.iter().any(|live| live.rule.name == rule.name && !live.lifted) {
            return Err(format!("name: {:?} stands twice", rule.name));
        }
        self.rules.push(Live { rule, since: now, hits: 0, lifted: false });
        Ok(())
    }

    pub fn lift(&mut self, name: &str) -> bool {
        let live = self.rules.iter_mut().filter(|live| live.rule.name == name && !live.lifted);
        live.map(|live| live.lifted = true).count() > 0
    }

    /// How often each rule has acted.
    pub fn hits(&self) -> impl Iterator<Item = (&str, u64)> {
        self.rules.iter().map(|live| (live.rule.name.as_str(), live.hits))
    }

    pub fn sent(&self) -> &[Sent] {
        &self.sent
    }

    fn fits(&self, live: &Live, now: Span, from: usize, to: usize) -> bool {
        let rule = &live.rule;
        let began = live.since + Span::from_millis(rule.after_ms as i64);
        let over = rule.for_ms > 0 && now >= began + Span::from_millis(rule.for_ms as i64);
        if live.lifted || now < began || over {
            return false;
        }
        let named = |names: &[String], end: usize| {
            names.is_empty() || self.ends.get(end).is_some_and(|end| names.contains(&end.name))
        };
        let way = named(&rule.from, from) && named(&rule.to, to);
        let back = rule.both && named(&rule.from, to) && named(&rule.to, from);
        (way || back) && (rule.split.is_empty() || self.side(rule, from) != self.side(rule, to))
    }

    fn side(&self, rule: &DatagramRule, end: usize) -> usize {
        let name = self.ends.get(end).map_or("", |end| end.name.as_str());
        let side = rule.split.iter().position(|side| side.iter().any(|other| other == name));
        side.unwrap_or(rule.split.len() + end)
    }

    /// A datagram of so many bytes: how late each copy of it goes on. None where it is lost.
    pub fn came(&mut self, now: Span, from: usize, to: usize, bytes: usize) -> Vec<Span> {
        if let Some(sent) = self.sent.get_mut(from) {
            sent.datagrams += 1;
            sent.bytes += bytes as u64;
        }
        let number = self.numbers.entry((from, to)).or_default();
        *number += 1;
        let number = *number;
        let mut copies = vec![Span::ZERO];
        for nth in 0..self.rules.len() {
            if !self.fits(&self.rules[nth], now, from, to) {
                continue;
            }
            let mut chance = self.chance(nth, from, to, number);
            let live = &mut self.rules[nth];
            if chance.random::<f64>() >= live.rule.part {
                continue;
            }
            live.hits += 1;
            let ms = |ms: f64| Span::from_secs_f64(ms / 1e3);
            match live.rule.deed {
                Deed::Drop => return Vec::new(),
                Deed::Delay { ms: mean, spread } => {
                    let drawn: f64 = match spread {
                        Spread::Constant => 1.0,
                        Spread::Uniform => 2.0 * chance.random::<f64>(),
                        Spread::Exponential => chance.sample(Exp1),
                    };
                    let late = ms((mean * drawn).min(LATEST_MS));
                    copies.iter_mut().for_each(|copy| *copy += late);
                }
                Deed::Duplicate { ms: gap } => {
                    let second = copies.first().copied().unwrap_or(Span::ZERO) + ms(gap);
                    copies.push(second);
                }
                Deed::Reorder { ms: most } => {
                    let late = ms(most * chance.random::<f64>());
                    copies.iter_mut().for_each(|copy| *copy += late);
                }
            }
        }
        copies
    }

    fn chance(&self, rule: usize, from: usize, to: usize, number: u64) -> SmallRng {
        let parts = [rule as u64 + 1, from as u64 + 1, to as u64 + 1, number];
        let mix = |sum: u64, part: u64| (sum ^ part).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
        SmallRng::seed_from_u64(parts.into_iter().fold(self.seed, mix))
    }
}
