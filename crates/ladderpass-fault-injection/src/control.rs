//! Control while it runs: one line asks, one answers, over a unix socket. `add RULE` (YAML on one line), `lift NAME`,
//! `list`, `wait NAME N MS`, `stats`, `cut LINK`, `heal LINK`, `watch`.
//!
//! It owns the words. It must never change the engine but by its own calls.

use crate::engine::{Do, Engine};
use crate::plan::Rule;
use ladderpass_routing::{Span, Time};

/// A line that was asked.
#[derive(Clone, Debug, PartialEq)]
pub enum Asked {
    Add(Box<Rule>),
    Lift(String),
    List,
    /// Until that rule has acted so often, for so long at most.
    Wait(String, u64, Span),
    Stats,
    /// Nothing goes through that link, either way, until it is healed.
    Cut(String),
    Heal(String),
    /// What passes of RPCs is kept, for a judge.
    Watch,
}

/// What is answered to a line.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Now(String),
    /// It is looked at again: until when, and what for.
    Later(Time, String, u64),
}

pub fn read(line: &str) -> Result<Asked, String> {
    let (word, rest) = line.trim().split_once(' ').unwrap_or((line.trim(), ""));
    let rest = rest.trim();
    match (word, rest) {
        ("add", rule) => Ok(Asked::Add(Box::new(Rule::read(rule).map_err(|fault| format!("add: {fault}"))?))),
        ("lift", name) if !name.is_empty() => Ok(Asked::Lift(name.to_owned())),
        ("list", "") => Ok(Asked::List),
        ("stats", "") => Ok(Asked::Stats),
        ("watch", "") => Ok(Asked::Watch),
        ("cut", link) if !link.is_empty() => Ok(Asked::Cut(link.to_owned())),
        ("heal", link) if !link.is_empty() => Ok(Asked::Heal(link.to_owned())),
        ("wait", rest) => {
            let words: Vec<&str> = rest.split_whitespace().collect();
            let [name, hits, ms] = words[..] else { return Err("wait: allowed is wait NAME HITS MS".into()) };
            let hits = hits.parse().map_err(|_| format!("wait: HITS {hits:?} is no number"))?;
            let ms: u32 = ms.parse().map_err(|_| format!("wait: MS {ms:?} is no number of milliseconds"))?;
            Ok(Asked::Wait(name.to_owned(), hits, Span::from_millis(i64::from(ms))))
        }
        (other, _) => Err(format!(
            "{other:?}; allowed are add RULE, lift NAME, list, wait NAME HITS MS, stats, cut LINK, heal LINK, watch"
        )),
    }
}

/// Carries a line out; with what is to be done to connections.
pub fn carry_out(engine: &mut Engine, now: Time, line: &str) -> (Reply, Vec<Do>) {
    let error = |fault: String| (Reply::Now(format!("error {fault}")), Vec::new());
    match read(line) {
        Err(fault) => error(fault),
        Ok(Asked::Add(rule)) => match engine.add(*rule) {
            Ok(()) => (Reply::Now("ok".into()), Vec::new()),
            Err(fault) => error(format!("add: {fault}")),
        },
        Ok(Asked::Lift(name)) => match engine.lift(now, &name) {
            Ok(todo) => (Reply::Now("ok".into()), todo),
            Err(fault) => error(format!("lift: {fault}")),
        },
        Ok(Asked::Cut(link)) => match engine.cut(&link) {
            Ok(()) => (Reply::Now("ok".into()), Vec::new()),
            Err(fault) => error(format!("cut: {fault}")),
        },
        Ok(Asked::Heal(link)) => match engine.heal(now, &link) {
            Ok(todo) => (Reply::Now("ok".into()), todo),
            Err(fault) => error(format!("heal: {fault}")),
        },
        Ok(Asked::Watch) => {
            engine.watch();
            (Reply::Now("ok".into()), Vec::new())
        }
        Ok(Asked::List) => {
            let rules: Vec<String> = engine
                .list()
                .into_iter()
                .map(|(name, hits, live)| format!("{name} {hits} {}", if live { "live" } else { "over" }))
                .collect();
            (Reply::Now(format!("ok {}", rules.join("; "))), Vec::new())
        }
        Ok(Asked::Stats) => {
            let (conns, bytes) = engine.stats();
            (
                Reply::Now(format!(
                    "ok connections {conns}, bytes {bytes}, decisions {}",
                    engine.record().len()
                )),
                Vec::new(),
            )
        }
        Ok(Asked::Wait(name, hits, most)) => {
            if !engine.list().iter().any(|(other, ..)| *other == name) {
                return error(format!("wait: there is no rule {name:?}"));
            }
            (Reply::Later(now + most, name, hits), Vec::new())
        }
    }
}

/// Has it acted so often?
pub fn is_met(engine: &Engine, name: &str, hits: u64) -> bool {
    engine.list().iter().any(|(other, acted, _)| *other == name && *acted >= hits)
}
