//! Search for faults that break an invariant.
//!
//! Plans of fault rules are drawn from a seed and played under load against a real router. A plan that breaks an invariant is
//! reduced by leaving out rules, as long as the remaining ones still break an invariant, and is written to a file.

use crate::load::{self, Phase};
use crate::router::Start;
use crate::run::{self, open_plan};
use ladderpass_emulator::Scenario;
use ladderpass_fault_injection::plan::LinkShape;
use ladderpass_fault_injection::{Action, Plan, Rule, Side};
use ladderpass_routing::Span;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Result of a search.
#[derive(Debug, Default)]
pub struct SearchSummary {
    /// Number of plans that were played.
    pub plans_played: u64,
    /// Sum over all played plans of the number of rules that acted at least once.
    pub rules_fired: usize,
    /// Plans that broke an invariant.
    pub failed_plans: Vec<FailedPlan>,
}

/// A plan that broke an invariant.
#[derive(Debug)]
pub struct FailedPlan {
    /// Seed that the plan was drawn from.
    pub seed: u64,
    /// Violations that the plan caused before it was reduced, one line each.
    pub violations: Vec<String>,
    /// File that holds the reduced plan.
    pub file: PathBuf,
}

const RULES_PER_PLAN: usize = 8;
/// How long after its RPC's deadline an answer may arrive without counting as a violation.
const ANSWER_GRACE: Span = Span::from_millis(50);

/// Result of playing a plan once.
struct PlanResult {
    violations: Vec<String>,
    rules_fired: usize,
}

fn links(scenario: &Scenario) -> Vec<LinkShape> {
    let unused = SocketAddr::from(([127, 0, 0, 1], 1));
    run::links(&vec![unused; scenario.member_count()], unused)
}

/// Returns whether a violation that a rule causes is a fault of the router. It is none if the rule garbles a value without
/// changing its length, or duplicates a query on its way to a member, since a router can detect neither.
fn is_attributable_to_router(rule: &Rule) -> bool {
    let duplicates_query = rule.action == Action::Duplicate && rule.when.from == Side::Client;
    !duplicates_query && rule.action.name() != "garble"
}

fn play(scenario: &Scenario, start: &Start, rules: &[Rule], seed: u64) -> io::Result<PlanResult> {
    let plan = load::Plan {
        connections: 300,
        pipeline: 1,
        deadline: Span::from_millis(1000),
        ..open_plan(seed, &[Phase { seconds: 1.0, rate_per_second: 400.0 }])
    };
    let (record, summary) =
        run::run_with_fault_rules(scenario, start, &plan, Some(rules.to_vec()), vec![], |_| {})?;
    let mut violations = record.violation_texts(ANSWER_GRACE);
    if let Some(code) = record.ended {
        violations.push(format!("the router ended with {code:?}"));
    }
    let never_fired = summary.map_or(0, |summary| summary.never_fired.len());
    Ok(PlanResult { violations, rules_fired: rules.len() - never_fired })
}

/// Tries to leave out each rule in turn, and leaves it out for good if the remaining rules still break an invariant. At least
/// one rule remains.
fn reduce(scenario: &Scenario, start: &Start, mut rules: Vec<Rule>, seed: u64) -> io::Result<Vec<Rule>> {
    let mut index = 0;
    while index < rules.len() && rules.len() > 1 {
        let mut fewer = rules.clone();
        fewer.remove(index);
        match play(scenario, start, &fewer, seed)?.violations.is_empty() {
            true => index += 1,
            false => rules = fewer,
        }
    }
    Ok(rules)
}

/// Writes a plan as `broken-SEED.json` to a folder, and returns the path of the file.
fn write_plan(folder: &Path, plan: &Plan, seed: u64) -> io::Result<PathBuf> {
    std::fs::create_dir_all(folder)?;
    let path = folder.join(format!("broken-{seed}.json"));
    // The fault tool reads YAML, of which JSON is a subset.
    std::fs::write(&path, serde_json::to_string_pretty(plan).map_err(io::Error::other)?)?;
    Ok(path)
}

/// Plays plans against the router `binary` until `duration` has passed. The first plan is drawn from `seed`, and each further
/// plan from a seed that is higher by 1. Reduced plans are written to the folder `out`. `on_plan` is called after each plan
/// with the plan's seed and violations.
///
/// # Errors
/// If a run can't be started, or a plan can't be written.
pub fn search(
    binary: &Path,
    seed: u64,
    duration: Duration,
    out: &Path,
    mut on_plan: impl FnMut(u64, &[String]),
) -> io::Result<SearchSummary> {
    let scenario = Scenario::default();
    let start = Start { log: "warn".into(), ..Start::new(binary) };
    let deadline = Instant::now() + duration;
    let mut summary = SearchSummary::default();
    let mut seed = seed;
    while Instant::now() < deadline {
        let mut plan = Plan::drawn(seed, RULES_PER_PLAN, links(&scenario));
        plan.rules.retain(is_attributable_to_router);
        let PlanResult { violations, rules_fired } = play(&scenario, &start, &plan.rules, seed)?;
        summary.plans_played += 1;
        summary.rules_fired += rules_fired;
        on_plan(seed, &violations);
        if !violations.is_empty() {
            plan.rules = reduce(&scenario, &start, plan.rules, seed)?;
            let file = write_plan(out, &plan, seed)?;
            summary.failed_plans.push(FailedPlan { seed, violations, file });
        }
        seed = seed.wrapping_add(1);
    }
    Ok(summary)
}
