//! The plan of a run: links, and rules with a trigger and an action each. It is read from YAML or drawn from a seed.
//! The error of an invalid plan is one line that names the key. Field names are the keys of the file unless an
//! attribute gives another.

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
    /// Name of the link in rules and commands.
    pub name: String,
    /// Loopback address that the link listens on. With port 0 the system assigns a free port.
    pub listen: SocketAddr,
    /// Loopback address that the link forwards to.
    pub to: SocketAddr,
    /// Protocol of the link's connections.
    #[serde(default, rename = "talk")]
    pub protocol: Protocol,
}

/// The conditions under which a rule acts. All conditions that are given must hold.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
// `expecting` preserves the error text for an invalid plan, which names this type `When`.
#[serde(deny_unknown_fields, default, expecting = "struct When")]
pub struct Trigger {
    /// The side that sent the bytes. The field is ignored if `opens` is set.
    pub from: Side,
    /// Number of the connection on its link, counted from 1.
    pub connection: Option<u64>,
    /// Kind of the message, such as `DataRow` or `Chunk`.
    pub message: Option<String>,
    /// Text that the message contains, such as an id, a method or a tag.
    #[serde(rename = "holds")]
    pub contains: Option<String>,
    /// Offset of a byte that the message contains, counted from 0 at the start of the direction.
    pub byte: Option<u64>,
    /// The rule acts from the n-th match on. Matches are counted from 1, over all connections of a link.
    pub nth: Option<u64>,
    /// The rule acts no earlier than this many milliseconds after the engine's start.
    pub after_ms: Option<u64>,
    /// The rule acts only after the rule with this name has acted.
    #[serde(rename = "seen")]
    pub after_rule: Option<String>,
    /// Whether the rule is triggered by the opening of a connection instead of by bytes on a connection.
    pub opens: bool,
}

/// What a rule does to the message that it matches, or to its connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Action {
    /// The message and everything behind it are delayed.
    Delay {
        /// Mean of the delay, in milliseconds.
        ms: f64,
        /// Distribution of the delay.
        #[serde(default = "Distribution::constant", rename = "spread")]
        distribution: Distribution,
    },
    /// The rate of the direction is limited from the message on.
    Rate {
        /// Rate in bytes per second.
        bytes_per_s: u64,
    },
    /// The message is sent in pieces of one byte.
    Slice {
        /// Pause after each piece, in milliseconds.
        gap_ms: f64,
    },
    /// The message and everything behind it are held back until a command lifts (ends) the rule.
    Hold,
    /// The message is dropped.
    Drop,
    /// The message and everything up to and including the next ReadyForQuery are dropped, like a lost acknowledgement.
    Swallow,
    /// The message and everything behind it are dropped. The sender's bytes are still read, so that the sender does not
    /// notice the loss.
    Silence,
    /// One direction of the connection is ended before the message is sent.
    HalfClose {
        /// The sender of the direction that is ended.
        side: Side,
    },
    /// Both sockets of the connection are closed before the message is sent.
    Close,
    /// Both sockets of the connection are reset before the message is sent.
    Reset,
    /// Bytes at random offsets are changed. The first five bytes, which are the header of a PostgreSQL message, stay
    /// unchanged unless the message has no more than five bytes.
    Garble {
        /// Number of changes. An offset may be drawn more than once.
        bytes: u32,
    },
    /// One byte of the message is replaced.
    Set {
        /// Offset of the byte in the message, counted from 0.
        at: u32,
        /// The new value of the byte.
        to: u8,
    },
    /// A random bit of the message's length field is flipped.
    FlipLength,
    /// The message is sent twice.
    Duplicate,
    /// Random bytes are sent behind the message.
    Noise {
        /// Number of random bytes.
        bytes: u32,
    },
    /// The message is cut short, and then the connection is closed.
    Truncate {
        /// Number of the message's bytes that are sent.
        keep: u32,
    },
    /// The response from the message up to its ReadyForQuery is sent once more.
    Repeat,
    /// The response from the message up to its ReadyForQuery is sent after the next response.
    Reorder,
    /// The connection is reset as soon as it opens.
    Refuse,
    /// The connection is accepted and not forwarded.
    Ignore,
}

impl Action {
    /// Returns the action's name in plans and records.
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

    /// Returns whether the action is triggered by the opening of a connection, and never by a message.
    fn acts_at_opening(&self) -> bool {
        matches!(self, Action::Refuse | Action::Ignore)
    }
}

/// A trigger, and the action that it causes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Name of the rule, which is unique among the active rules.
    pub name: String,
    /// Name of the only link that the rule applies to. Without a name, the rule applies to all links.
    #[serde(default)]
    pub link: Option<String>,
    /// The conditions under which the rule acts.
    #[serde(default)]
    pub when: Trigger,
    /// What the rule does.
    #[serde(rename = "do")]
    pub action: Action,
    /// The number of times that the rule acts at most, or 0 for no limit.
    #[serde(default = "once")]
    pub times: u64,
}

fn once() -> u64 {
    1
}

/// The configuration of a run: links, datagram ends, and the rules for both.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    /// Seed of all random draws.
    pub seed: u64,
    /// Links that forward connections.
    pub links: Vec<LinkShape>,
    /// Rules for connections.
    pub rules: Vec<Rule>,
    /// Processes that exchange datagrams through the tool.
    pub ends: Vec<End>,
    /// Rules for datagrams.
    #[serde(rename = "datagrams")]
    pub datagram_rules: Vec<DatagramRule>,
}

impl Plan {
    /// Reads a plan from YAML and checks it.
    ///
    /// # Errors
    ///
    /// If the plan is invalid; the error names the first invalid key.
    pub fn read(text: &str) -> Result<Plan, PlanError> {
        let plan: Plan = parse_yaml(text)?;
        plan.check()?;
        Ok(plan)
    }

    /// Returns the part of the plan that concerns datagrams.
    pub fn datagram_plan(&self) -> DatagramPlan {
        DatagramPlan { seed: self.seed, ends: self.ends.clone(), rules: self.datagram_rules.clone() }
    }
}

impl Rule {
    /// Reads a rule from YAML. The rule is not checked yet, since `check` needs the plan as well.
    ///
    /// # Errors
    ///
    /// If the text is not a rule; the error names the invalid key.
    pub fn read(text: &str) -> Result<Rule, PlanError> {
        parse_yaml(text)
    }
}
