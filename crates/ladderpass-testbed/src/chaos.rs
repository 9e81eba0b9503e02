//! A search: plans drawn from a seed, played under load against the real router; what breaks a rule is shrunk to the fewest
//! rules that still do, and written as a plan.
//!
//! It owns the search. It must never call a run good that it has not played to its end.

use crate::bed::{self, open};
use crate::load;
use crate::router::Start;
use ladderpass_emulator::Scenario;
use ladderpass_fault_injection::plan::LinkShape;
use ladderpass_fault_injection::{Action, Plan, Rule, Side};
use ladderpass_routing::Span;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// What a search came to.
pub struct Found {
    pub plans: u64,
    /// Rules of plans that acted at all.
    pub acted: usize,
    pub broken: Vec<(u64, Vec<String>, PathBuf)>,
}

const RULES: usize = 8;

fn links(scenario: &Scenario) -> Vec<LinkShape> {
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    bed::links(&vec![nobody; scenario.member_count()], nobody)
}

/// Can a router answer for what comes of it? Not for a value garbled within its length, which passes for a value; nor for
/// a query that is told twice on its way to a member.
fn is_fair(rule: &Rule) -> bool {
    let twice = rule.action == Action::Duplicate && rule.when.from == Side::Client;
    !twice && rule.action.name() != "garble"
}

/// What a plan breaks, and how many of its rules acted.
fn play(scenario: &Scenario, start: &Start, rules: &[Rule], seed: u64) -> io::Result<(Vec<String>, usize)> {
    let plan = load::Plan {
        connections: 300,
        pipeline: 1,
        deadline: Span::from_millis(1000),
        ..open(seed, &[(1.0, 400.0)])
    };
    let (seen, left) = bed::run_through(scenario, start, &plan, Some(rules.to_vec()), vec![], |_| {})?;
    let mut broken = seen.broken(Span::from_millis(50));
    if let Some(code) = seen.ended {
        broken.push(format!("the router ended with {code:?}"));
    }
    Ok((broken, rules.len() - left.map_or(0, |left| left.never_fired.len())))
}

/// The fewest rules that still break something, by leaving out one after the other.
fn shrink(scenario: &Scenario, start: &Start, mut rules: Vec<Rule>, seed: u64) -> io::Result<Vec<Rule>> {
    let mut nth = 0;
    while nth < rules.len() && rules.len() > 1 {
        let mut fewer = rules.clone();
        fewer.remove(nth);
        match play(scenario, start, &fewer, seed)?.0.is_empty() {
            true => nth += 1,
            false => rules = fewer,
        }
    }
    Ok(rules)
}

/// Searches for so long, from this seed on; `tell` hears of each plan.
pub fn search(
    binary: &Path,
    seed: u64,
    lasts: Duration,
    out: &Path,
    mut tell: impl FnMut(u64, &[String]),
) -> io::Result<Found> {
    let scenario = Scenario::default();
    let start = Start { log: "warn".into(), ..Start::new(binary) };
    let until = Instant::now() + lasts;
    let mut found = Found { plans: 0, acted: 0, broken: Vec::new() };
    let mut seed = seed;
    while Instant::now() < until {
        let mut drawn = Plan::drawn(seed, RULES, links(&scenario));
        drawn.rules.retain(is_fair);
        let (broken, acted) = play(&scenario, &start, &drawn.rules, seed)?;
        found.plans += 1;
        found.acted += acted;
        tell(seed, &broken);
        if !broken.is_empty() {
            drawn.rules = shrink(&scenario, &start, drawn.rules, seed)?;
            std::fs::create_dir_all(out)?;
            let path = out.join(format!("broken-{seed}.json"));
            // JSON is YAML: the tool reads it as it is.
            std::fs::write(&path, serde_json::to_string_pretty(&drawn).map_err(io::Error::other)?)?;
            found.broken.push((seed, broken, path));
        }
        seed = seed.wrapping_add(1);
    }
    Ok(found)
}
