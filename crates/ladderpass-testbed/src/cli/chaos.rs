//! `chaos`: searches for fault plans that break an invariant, and prints what it found.

use super::args::ChaosArgs;
use super::error::CliError;
use ladderpass_testbed::chaos;
use std::time::Duration;

const MAX_SECONDS: f64 = 86_400.0;

pub fn search_violations(args: &ChaosArgs) -> Result<(), CliError> {
    let duration = Duration::from_secs_f64((args.minutes * 60.0).clamp(0.0, MAX_SECONDS));
    let print_violations = |seed: u64, violations: &[String]| {
        if !violations.is_empty() {
            println!("seed {seed}: {}", violations.join("; "));
        }
    };
    let summary = chaos::search(&args.router, args.seed, duration, &args.out, print_violations)
        .map_err(CliError::failed)?;
    println!(
        "{} plans, {} rules acted, {} plans broke a rule",
        summary.plans_played,
        summary.rules_fired,
        summary.failed_plans.len()
    );
    for plan in &summary.failed_plans {
        println!("seed {}: {} in {}", plan.seed, plan.violations.join("; "), plan.file.display());
    }
    match (summary.plans_played, summary.failed_plans.is_empty()) {
        (0, _) => Err(CliError::NoPlanPlayed),
        (_, true) => Ok(()),
        (_, false) => Err(CliError::PlanViolations),
    }
}
