//! Commands that the tool accepts on its Unix control socket while it runs. A command and its answer are one line each.
//! The commands are `add RULE` (YAML on one line), `lift NAME`, `list`, `wait NAME HITS MS`, `stats`, `cut LINK`,
//! `heal LINK` and `watch`. An answer begins with `ok` or `error`.

use crate::engine::{Engine, EngineStats, RuleState, ScheduledOperation};
use crate::errors::{ControlError, EngineError};
use crate::plan::Rule;
use ladderpass_routing::{Span, Time};

/// A command of the control socket.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Adds a rule.
    Add(Box<Rule>),
    /// Ends the rule with this name.
    Lift(String),
    /// Lists the rules with their hits and states.
    List,
    /// Waits until a rule has acted a number of times, or until the timeout.
    Wait {
        /// Name of the rule that must act.
        rule: String,
        /// The number of times that the rule must have acted.
        hits: u64,
        /// The longest time to wait.
        timeout: Span,
    },
    /// Reports the numbers of open connections, received bytes and decisions.
    Stats,
    /// Stops all traffic of the link with this name, in both directions, until the command `heal`.
    Cut(String),
    /// Ends the cut of the link with this name.
    Heal(String),
    /// Starts recording the attempts of RPCs, for a history checker.
    Watch,
}

/// The answer to a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The answer is this line, and is sent at once.
    Immediate(String),
    /// The answer is sent once a rule has acted a number of times, or at a timeout.
    Deferred {
        /// The time at which the wait ends with an error, if the rule has not acted often enough before.
        until: Time,
        /// Name of the rule.
        rule: String,
        /// The number of times that the rule must have acted.
        hits: u64,
    },
}

/// The result of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandResult {
    /// The answer to the sender of the command.
    pub reply: Reply,
    /// Operations on connections that the command causes.
    pub operations: Vec<ScheduledOperation>,
}

impl CommandResult {
    fn ok(operations: Vec<ScheduledOperation>) -> CommandResult {
        CommandResult { reply: Reply::Immediate("ok".into()), operations }
    }

    fn reply_only(reply: Reply) -> CommandResult {
        CommandResult { reply, operations: Vec::new() }
    }
}

/// Parses a command.
///
/// # Errors
///
/// If the line is not a valid command.
pub fn read(line: &str) -> Result<Command, ControlError> {
    let (word, rest) = line.trim().split_once(' ').unwrap_or((line.trim(), ""));
    let rest = rest.trim();
    match (word, rest) {
        ("add", rule) => Ok(Command::Add(Box::new(Rule::read(rule).map_err(ControlError::Rule)?))),
        ("lift", name) if !name.is_empty() => Ok(Command::Lift(name.to_owned())),
        ("list", "") => Ok(Command::List),
        ("stats", "") => Ok(Command::Stats),
        ("watch", "") => Ok(Command::Watch),
        ("cut", link) if !link.is_empty() => Ok(Command::Cut(link.to_owned())),
        ("heal", link) if !link.is_empty() => Ok(Command::Heal(link.to_owned())),
        ("wait", rest) => read_wait(rest),
        (other, _) => Err(ControlError::UnknownCommand(other.to_owned())),
    }
}

fn read_wait(words: &str) -> Result<Command, ControlError> {
    let words: Vec<&str> = words.split_whitespace().collect();
    let [name, hits, ms] = words[..] else { return Err(ControlError::WaitArguments) };
    let hits = hits.parse().map_err(|_| ControlError::WaitHits(hits.to_owned()))?;
    let ms: u32 = ms.parse().map_err(|_| ControlError::WaitMs(ms.to_owned()))?;
    Ok(Command::Wait { rule: name.to_owned(), hits, timeout: Span::from_millis(i64::from(ms)) })
}

/// Parses and executes a command. An invalid or rejected command gives a reply that begins with `error`.
pub fn execute_line(engine: &mut Engine, now: Time, line: &str) -> CommandResult {
    let result = read(line).and_then(|command| execute(engine, now, command));
    result.unwrap_or_else(|error| CommandResult::reply_only(Reply::Immediate(format!("error {error}"))))
}

fn execute(engine: &mut Engine, now: Time, command: Command) -> Result<CommandResult, ControlError> {
    let rejected = |command| move |source: EngineError| ControlError::Rejected { command, source };
    match command {
        Command::Add(rule) => {
            engine.add_rule(*rule).map_err(rejected("add"))?;
            Ok(CommandResult::ok(Vec::new()))
        }
        Command::Lift(name) => Ok(CommandResult::ok(engine.lift_rule(now, &name).map_err(rejected("lift"))?)),
        Command::Cut(link) => {
            engine.cut(&link).map_err(rejected("cut"))?;
            Ok(CommandResult::ok(Vec::new()))
        }
        Command::Heal(link) => Ok(CommandResult::ok(engine.heal(now, &link).map_err(rejected("heal"))?)),
        Command::Watch => {
            engine.start_watch();
            Ok(CommandResult::ok(Vec::new()))
        }
        Command::List => Ok(CommandResult::reply_only(list(engine))),
        Command::Stats => Ok(CommandResult::reply_only(stats(engine))),
        Command::Wait { rule, hits, timeout } => {
            if !engine.rule_states().iter().any(|state| state.name == rule) {
                return Err(ControlError::WaitRule(rule));
            }
            Ok(CommandResult::reply_only(Reply::Deferred { until: now + timeout, rule, hits }))
        }
    }
}

fn list(engine: &Engine) -> Reply {
    let rule = |RuleState { name, hits, live }: RuleState<'_>| {
        format!("{name} {hits} {}", if live { "live" } else { "over" })
    };
    let rules: Vec<String> = engine.rule_states().into_iter().map(rule).collect();
    Reply::Immediate(format!("ok {}", rules.join("; ")))
}

fn stats(engine: &Engine) -> Reply {
    let EngineStats { open_connections, received_bytes } = engine.stats();
    let decisions = engine.record().len();
    Reply::Immediate(format!(
        "ok connections {open_connections}, bytes {received_bytes}, decisions {decisions}"
    ))
}

/// Returns whether the rule with this name has acted at least `hits` times.
pub fn has_acted(engine: &Engine, name: &str, hits: u64) -> bool {
    engine.rule_states().iter().any(|state| state.name == name && state.hits >= hits)
}
