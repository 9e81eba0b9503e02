//! The plan: links, and rules with a trigger and an action each, as YAML or drawn from a seed. Its checks give one line
//! that names the key. Field names are the keys of the file unless an attribute gives another.

mod checks;
pub(crate) mod datagrams;
mod distribution;
mod drawn;
mod yaml;

pub use crate::protocol::{Protocol, Side};
pub use datagrams::{DatagramAction, DatagramPlan, DatagramRule, End};
pub use distribution::Distribution;

use crate::errors::PlanError;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use yaml::parse_yaml;

/// A listener whose connections are forwarded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkShape {
    /// Its name in rules and commands.
    pub name: String,
    /// Where it listens, on loopback; port 0 is one of the system's choice.
    pub listen: SocketAddr,
    /// Where it forwards to, on loopback.
    pub to: SocketAddr,
    /// The protocol spoken on it.
    #[serde(default, rename = "talk")]
    pub protocol: Protocol,
}

/// When a rule acts: all conditions that are given must hold.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
// `expecting` keeps the text of an error for a wrong plan.
#[serde(deny_unknown_fields, default, expecting = "struct When")]
pub struct Trigger {
    /// Who sent the bytes.
    pub from: Side,
    /// The n-th connection of a link, from 1 on.
    pub connection: Option<u64>,
    /// A kind of message, such as `DataRow` or `Chunk`.
    pub message: Option<String>,
    /// A text in the message: an id, a method, a tag.
    #[serde(rename = "holds")]
    pub contains: Option<String>,
    /// The message that holds this byte of the direction, from 0 on.
    pub byte: Option<u64>,
    /// From the n-th match on, counted over all connections of a link.
    pub nth: Option<u64>,
    /// Not before this many milliseconds after the start.
    pub after_ms: Option<u64>,
    /// Not before this other rule has acted.
    #[serde(rename = "seen")]
    pub after_rule: Option<String>,
    /// The opening of a connection, instead of bytes on it.
    pub opens: bool,
}

/// What a rule does to the message that it matches, or to its connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Action {
    /// It and everything behind it is delayed.
    Delay {
        /// Mean of the delay, in milliseconds.
        ms: f64,
        /// Distribution of the delay.
        #[serde(default = "Distribution::constant", rename = "spread")]
        distribution: Distribution,
    },
    /// From it on the direction's rate is limited.
    Rate {
        /// Bytes a second.
        bytes_per_s: u64,
    },
    /// It is sent in pieces of one byte.
    Slice {
        /// Pause between pieces, in milliseconds.
        gap_ms: f64,
    },
    /// From it on nothing passes in that direction until the rule is lifted.
    Hold,
    /// It is dropped.
    Drop,
    /// It and everything up to the next ReadyForQuery is dropped: a lost acknowledgement.
    Swallow,
    /// From it on everything is dropped in that direction; the sender does not notice.
    Silence,
    /// One direction ends before it.
    HalfClose {
        /// The sender of the direction that ends.
        side: Side,
    },
    /// Both ends are closed before it.
    Close,
    /// Both ends are reset before it.
    Reset,
    /// Bytes at random places are changed; heads of messages stay.
    Garble {
        /// How many.
        bytes: u32,
    },
    /// One byte is replaced.
    Set {
        /// Its place in the message, from 0 on.
        at: u32,
        /// The new byte.
        to: u8,
    },
    /// A random bit of its length is flipped.
    FlipLength,
    /// It is sent twice.
    Duplicate,
    /// Random bytes are sent behind it.
    Noise {
        /// How many.
        bytes: u32,
    },
    /// It is cut short, and the connection closed.
    Truncate {
        /// How many of its bytes are sent.
        keep: u32,
    },
    /// The response that it begins, up to its ReadyForQuery, is sent once more.
    Repeat,
    /// The response that it begins is sent after the next one, each up to its ReadyForQuery.
    Reorder,
    /// The connection is reset as soon as it opens.
    Refuse,
    /// The connection is accepted and not forwarded.
    Ignore,
}

impl Action {
    /// Its name in plans and records.
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

    /// Whether the opening of a connection triggers it, and no message does.
    fn is_at_opening(&self) -> bool {
        matches!(self, Action::Refuse | Action::Ignore)
    }
}

/// A trigger and an action.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Its name, unique among the active rules.
    pub name: String,
    /// Only on this link.
    #[serde(default)]
    pub link: Option<String>,
    /// When it acts.
    #[serde(default)]
    pub when: Trigger,
    /// What it does.
    #[serde(rename = "do")]
    pub action: Action,
    /// How often it acts at most; 0: without limit.
    #[serde(default = "once")]
    pub times: u64,
}

fn once() -> u64 {
    1
}

/// All that the tool is to do.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Where connections are forwarded.
    pub links: Vec<LinkShape>,
    /// What is done to connections.
    pub rules: Vec<Rule>,
    /// Who sends and receives datagrams.
    pub ends: Vec<End>,
    /// What is done to datagrams.
    #[serde(rename = "datagrams")]
    pub datagram_rules: Vec<DatagramRule>,
}

impl Plan {
    /// Reads YAML and checks it.
    ///
    /// # Errors
    ///
    /// The first key that is wrong.
    pub fn read(text: &str) -> Result<Plan, PlanError> {
        let plan: Plan = parse_yaml(text)?;
        plan.check()?;
        Ok(plan)
    }

    /// The part that concerns datagrams.
    pub fn datagram_plan(&self) -> DatagramPlan {
        DatagramPlan { seed: self.seed, ends: self.ends.clone(), rules: self.datagram_rules.clone() }
    }
}

impl Rule {
    /// Reads YAML; `check` needs the plan too.
    ///
    /// # Errors
    ///
    /// The key that is wrong.
    pub fn read(text: &str) -> Result<Rule, PlanError> {
        parse_yaml(text)
    }
}
