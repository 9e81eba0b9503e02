//! Search for faults that break an invariant: plans of fault rules are drawn from a seed and played under load against a real
//! router. A plan that breaks an invariant is reduced to the fewest rules that still do, and written to a file.

use crate::load;
use crate::router::Start;
use crate::run::{self, open};
use ladderpass_emulator::Scenario;
use ladderpass_fault_injection::plan::LinkShape;
use ladderpass_fault_injection::{Action, Plan, Rule, Side};
use ladderpass_routing::Span;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The result of a search.
pub struct Found {
    /// Plans that were played.
    pub plans: u64,
    /// Rules of these plans that acted at least once.
    pub acted: usize,
    /// Plans that broke an invariant: seed, violations, and the file of the reduced plan.
    pub broken: Vec<(u64, Vec<String>, PathBuf)>,
}

const RULES_PER_PLAN: usize = 8;
/// How long after its deadline an answer may come.
const ANSWER_GRACE: Span = Span::from_millis(50);

/// What a plan came to.
struct PlanResult {
    broken: Vec<String>,
    rules_acted: usize,
}

fn links(scenario: &Scenario) -> Vec<LinkShape> {
    let unused = SocketAddr::from(([127, 0, 0, 1], 1));
    run::links(&vec![unused; scenario.member_count()], unused)
}

/// Can a router be held responsible for the effects of a rule? Not for a value that is garbled within its length, nor for a
/// query that is duplicated on its way to a member.
fn is_fair(rule: &Rule) -> bool {
    let duplicates_query = rule.action == Action::Duplicate && rule.when.from == Side::Client;
    !duplicates_query && rule.action.name() != "garble"
}

fn play(scenario: &Scenario, start: &Start, rules: &[Rule], seed: u64) -> io::Result<PlanResult> {
    let plan = load::Plan {
        connections: 300,
        pipeline: 1,
        deadline: Span::from_millis(1000),
        ..open(seed, &[(1.0, 400.0)])
    };
    let (seen, left) = run::run_through(scenario, start, &plan, Some(rules.to_vec()), vec![], |_| {})?;
    let mut broken = seen.broken(ANSWER_GRACE);
    if let Some(code) = seen.ended {
        broken.push(format!("the router ended with {code:?}"));
    }
    let never_acted = left.map_or(0, |left| left.never_fired.len());
    Ok(PlanResult { broken, rules_acted: rules.len() - never_acted })
}

/// Leaves out one rule after the other, as long as the rest still breaks an invariant.
fn reduce(scenario: &Scenario, start: &Start, mut rules: Vec<Rule>, seed: u64) -> io::Result<Vec<Rule>> {
    let mut index = 0;
    while index < rules.len() && rules.len() > 1 {
        let mut fewer = rules.clone();
        fewer.remove(index);
        match play(scenario, start, &fewer, seed)?.broken.is_empty() {
            true => index += 1,
            false => rules = fewer,
        }
    }
    Ok(rules)
}

/// Plays plans for a time, from a seed on. `on_plan` gets the seed and the violations of each.
///
/// # Errors
/// If a run can't be started, or a plan can't be written.
pub fn search(
    binary: &Path,
    seed: u64,
    lasts: Duration,
    out: &Path,
    mut on_plan: impl FnMut(u64, &[String]),
) -> io::Result<Found> {
    let scenario = Scenario::default();
    let start = Start { log: "warn".into(), ..Start::new(binary) };
    let until = Instant::now() + lasts;
    let mut found = Found { plans: 0, acted: 0, broken: Vec::new() };
    let mut seed = seed;
    while Instant::now() < until {
        let mut drawn = Plan::drawn(seed, RULES_PER_PLAN, links(&scenario));
        drawn.rules.retain(is_fair);
        let result = play(&scenario, &start, &drawn.rules, seed)?;
        found.plans += 1;
        found.acted += result.rules_acted;
        on_plan(seed, &result.broken);
        if !result.broken.is_empty() {
            drawn.rules = reduce(&scenario, &start, drawn.rules, seed)?;
            std::fs::create_dir_all(out)?;
            let path = out.join(format!("broken-{seed}.json"));
            // JSON is YAML, which the fault tool reads.
            std::fs::write(&path, serde_json::to_string_pretty(&drawn).map_err(io::Error::other)?)?;
            found.broken.push((seed, result.broken, path));
        }
        seed = seed.wrapping_add(1);
    }
    Ok(found)
}
