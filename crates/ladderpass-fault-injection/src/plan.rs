//! What is told: links, and rules with a trigger and an action each. YAML, or drawn from a seed.
//!
//! It owns the form and its checks: a fault is one line with the key. It must never hold what has happened.

use crate::datagrams::{DatagramRule, End, MeshPlan};
use crate::talk::KINDS;
pub use crate::talk::{Side, Talk};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkShape {
    pub name: String,
    /// Where it listens, on loopback; port 0 is one of the system's choice.
    pub listen: SocketAddr,
    /// Where it leads, on loopback.
    pub to: SocketAddr,
    #[serde(default)]
    pub talk: Talk,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct When {
    /// Whose bytes are looked at.
    pub from: Side,
    /// Only the n-th connection of a link, from 1 on.
    pub connection: Option<u64>,
    /// A kind of message, as `DataRow` or `Chunk`.
    pub message: Option<String>,
    /// Its bytes hold this text: an id, a method, a tag.
    pub holds: Option<String>,
    /// The unit that holds this byte of the direction, from 0 on.
    pub byte: Option<u64>,
    /// From the n-th that fits on, counted over all connections of a link.
    pub nth: Option<u64>,
    /// Not before so much time after the start.
    pub after_ms: Option<u64>,
    /// Not before that other rule has acted.
    pub seen: Option<String>,
    /// The opening of a connection, rather than bytes on it.
    pub opens: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spread {
    Constant,
    Uniform,
    Exponential,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Action {
    /// It and what is behind it comes later; by a distribution with this mean.
    Delay {
        ms: f64,
        #[serde(default = "constant")]
        spread: Spread,
    },
    /// From it on no more than so many bytes a second.
    Rate { bytes_per_s: u64 },
    /// It goes on in pieces of one byte, so far apart.
    Slice { gap_ms: f64 },
    /// From it on nothing goes on in that direction until the rule is lifted.
    Hold,
    /// It is left out.
    Drop,
    /// It and all up to the next ReadyForQuery is left out: an acknowledgement that is never told.
    Swallow,
    /// From it on nothing is told in that direction, and nothing says so.
    Silence,
    /// The direction from this side ends before it.
    HalfClose { side: Side },
    /// Both ends are closed before it.
    Close,
    /// Both ends are reset before it.
    Reset,
    /// So many of its bytes become others, at places drawn by chance; heads of messages stay.
    Garble { bytes: u32 },
    /// Its byte at this place becomes that one.
    Set { at: u32, to: u8 },
    /// One bit of its length is turned, drawn by chance.
    FlipLength,
    /// It comes twice.
    Duplicate,
    /// So many bytes drawn by chance come behind it.
    Noise { bytes: u32 },
    /// It ends after so many bytes, and the connection with it.
    Truncate { keep: u32 },
    /// The answer that it begins, up to its ReadyForQuery, comes once more behind it.
    Repeat,
    /// The answer that it begins comes after the next one, each up to its ReadyForQuery.
    Reorder,
    /// The connection is reset as soon as it opens.
    Refuse,
    /// The connection opens, and leads nowhere.
    Ignore,
}

fn constant() -> Spread {
    Spread::Constant
}

impl Action {
    pub fn name(&self) -> &'static str {
        match self {
            Action::Delay { .. } => "delay",
            Action::Rate { .. } => "rate",
            Action::Slice { .. } => "slice",
            Action::Hold => "hold",
            Action::Drop => "drop",
            Action::Swallow => "swallow",
            Action::Silence => "silence",
            Action::HalfClose { .. } => "half_close",
            Action::Close => "close",
            Action::Reset => "reset",
            Action::Garble { .. } => "garble",
            Action::Set { .. } => "set",
            Action::FlipLength => "flip_length",
            Action::Duplicate => "duplicate",
            Action::Noise { .. } => "noise",
            Action::Truncate { .. } => "truncate",
            Action::Repeat => "repeat",
            Action::Reorder => "reorder",
            Action::Refuse => "refuse",
            Action::Ignore => "ignore",
        }
    }

    fn at_opening(&self) -> bool {
        matches!(self, Action::Refuse | Action::Ignore)
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    pub name: String,
    /// Only on this link.
    #[serde(default)]
    pub link: Option<String>,
    #[serde(default)]
    pub when: When,
    #[serde(rename = "do")]
    pub action: Action,
    /// How often it acts; 0: always.
    #[serde(default = "once")]
    pub times: u64,
}

fn once() -> u64 {
    1
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    pub seed: u64,
    pub links: Vec<LinkShape>,
    pub rules: Vec<Rule>,
    /// Those that send each other datagrams, and what is done to these.
    pub ends: Vec<End>,
    pub datagrams: Vec<DatagramRule>,
}

fn one_line(text: impl ToString) -> String {
    text.to_string().split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Reads YAML; the fault is one line that names the key.
pub(crate) fn one_line_of<T: for<'de> Deserialize<'de>>(text: &str) -> Result<T, String> {
    let value: serde_json::Value = serde_saphyr::from_str(text).map_err(one_line)?;
    let value = if value.is_null() { serde_json::json!({}) } else { value };
    serde_path_to_error::deserialize(value)
        .map_err(|fault| one_line(format!("{}: {}", fault.path(), fault.inner())))
}

impl Plan {
    pub fn read(text: &str) -> Result<Plan, String> {
        let plan: Plan = one_line_of(text)?;
        plan.check()?;
        Ok(plan)
    }

    pub fn check(&self) -> Result<(), String> {
        for (nth, link) in self.links.iter().enumerate() {
            for (key, address) in [("listen", link.listen), ("to", link.to)] {
                if !address.ip().is_loopback() {
                    return Err(format!(
                        "links[{nth}].{key}: {address} is off loopback; allowed is 127.0.0.0/8 or [::1]"
                    ));
                }
            }
            if self.links[..nth].iter().any(|other| other.name == link.name) {
                return Err(format!("links[{nth}].name: {:?} stands twice", link.name));
            }
        }
        let mesh = self.mesh().check();
        mesh.map_err(|fault| fault.replacen("rules[", "datagrams[", 1))?;
        for (nth, rule) in self.rules.iter().enumerate() {
            rule.check(self).map_err(|fault| format!("rules[{nth}].{fault}"))?;
            if self.rules[..nth].iter().any(|other| other.name == rule.name) {
                return Err(format!("rules[{nth}].name: {:?} stands twice", rule.name));
            }
        }
        Ok(())
    }

    /// The part of it that concerns datagrams.
    pub fn mesh(&self) -> MeshPlan {
        MeshPlan { seed: self.seed, ends: self.ends.clone(), rules: self.datagrams.clone() }
    }

    /// Rules drawn by chance, for these links: what nobody has listed.
    pub fn drawn(seed: u64, count: usize, links: Vec<LinkShape>) -> Plan {
        let mut chance = SmallRng::seed_from_u64(seed);
        let mut rules = Vec::new();
        for nth in 0..count {
            let link = links.get(chance.random_range(0..links.len().max(1)));
            let http = link.is_some_and(|link| link.talk == Talk::Http);
            let kinds: &[&str] = if http {
                &["Head", "Chunk"]
            } else {
                &["DataRow", "CommandComplete", "ReadyForQuery", "RowDescription"]
            };
            let (kind, from) = match chance.random_range(0..4) {
                0 if !http => ("Query", Side::Client),
                _ => (kinds[chance.random_range(0..kinds.len())], Side::Server),
            };
            let action = match chance.random_range(0..14) {
                0 => Action::Delay { ms: chance.random_range(1.0..300.0), spread: Spread::Exponential },
                1 => Action::Rate { bytes_per_s: chance.random_range(200..20_000) },
                2 => Action::Slice { gap_ms: chance.random_range(0.0..2.0) },
                3 => Action::Drop,
                4 => Action::Swallow,
                5 => Action::Silence,
                6 => Action::HalfClose { side: if chance.random() { Side::Client } else { Side::Server } },
                7 => Action::Close,
                8 => Action::Reset,
                9 => Action::Garble { bytes: chance.random_range(1..5) },
                10 => Action::FlipLength,
                11 => Action::Duplicate,
                12 => Action::Noise { bytes: chance.random_range(1..40) },
                _ => Action::Truncate { keep: chance.random_range(0..12) },
            };
            let when = When {
                from,
                message: Some(kind.to_owned()),
                nth: Some(chance.random_range(1..200)),
                ..When::default()
            };
            let times = [1, 1, 3, 20][chance.random_range(0..4)];
            rules.push(Rule {
                name: format!("drawn-{nth}"),
                link: link.map(|link| link.name.clone()),
                when,
                action,
                times,
            });
        }
        Plan { seed, links, rules, ..Plan::default() }
    }
}

impl Rule {
    pub fn read(text: &str) -> Result<Rule, String> {
        one_line_of(text)
    }

    /// Can it act in this plan? What never can is told before it is waited for.
    pub fn check(&self, plan: &Plan) -> Result<(), String> {
        if let Some(link) = &self.link
            && !plan.links.iter().any(|other| other.name == *link)
        {
            return Err(format!("link: there is no link {link:?}"));
        }
        if let Some(kind) = &self.when.message
            && !KINDS.contains(&kind.as_str())
        {
            return Err(format!("when.message: {kind:?}; allowed are {}", KINDS.join(", ")));
        }
        if let Some(other) = &self.when.seen
            && (*other == self.name || !plan.rules.iter().any(|rule| rule.name == *other))
        {
            return Err(format!("when.seen: there is no other rule {other:?}"));
        }
        if self.when.connection == Some(0) || self.when.nth == Some(0) {
            return Err("when: connections and messages are counted from 1 on".into());
        }
        if self.when.opens != self.action.at_opening() {
            let text = if self.when.opens {
                "does nothing when a connection opens"
            } else {
                "acts only with when.opens"
            };
            return Err(format!("do: {} {text}", self.action.name()));
        }
        if self.when.opens
            && (self.when.message.is_some() || self.when.holds.is_some() || self.when.byte.is_some())
        {
            return Err("when.opens: a connection that opens has no messages or bytes yet".into());
        }
        let fits = |ms: f64| ms.is_finite() && (0.0..=3_600_000.0).contains(&ms);
        match self.action {
            Action::Delay { ms, .. } if !fits(ms) => {
                Err(format!("do.delay.ms: {ms}; allowed are 0 to 3600000"))
            }
            Action::Slice { gap_ms } if !fits(gap_ms) => {
                Err(format!("do.slice.gap_ms: {gap_ms}; allowed are 0 to 3600000"))
            }
            Action::Rate { bytes_per_s: 0 } => {
                Err("do.rate.bytes_per_s: must be above 0; hold stops a direction".into())
            }
            Action::Noise { bytes } | Action::Garble { bytes } if bytes == 0 || bytes > 65_536 => {
                Err(format!("do.{}.bytes: {bytes}; allowed are 1 to 65536", self.action.name()))
            }
            _ => Ok(()),
        }
    }
}
