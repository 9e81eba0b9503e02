//! `load` and `cost`: put a load on one router.

use super::args::{CostArgs, LoadArgs};
use super::error::CliError;
use super::testbed::{read_scenario, router_start};
use indicatif::{ProgressBar, ProgressStyle};
use ladderpass_emulator::Scenario;
use ladderpass_routing::Span;
use ladderpass_testbed::load::Phase;
use ladderpass_testbed::router::Start;
use ladderpass_testbed::run::RunRecord;
use ladderpass_testbed::{load, results, run};
use serde_json::json;
use std::io;
use std::path::Path;

const MAX_PHASE_SECONDS: f64 = 86_400.0;
const MAX_RPCS_PER_SECOND: f64 = 5e6;
/// How long after its RPC's deadline an answer may arrive without counting as a violation.
const ANSWER_GRACE: Span = Span::from_millis(50);
const PROGRESS_STEPS_PER_SECOND: f64 = 10.0;
/// The core that `cost` pins each router to.
const COST_ROUTER_CORE: usize = 0;

pub fn run_load(args: &LoadArgs) -> Result<(), CliError> {
    let scenario = read_scenario(&args.testbed)?;
    let phases = args.phases.split(',').map(parse_phase).collect::<Result<Vec<_>, _>>()?;
    let plan = load::Plan {
        connections: args.connections,
        pipeline: args.pipeline.max(1),
        deadline: Span::from_millis(args.deadline_ms),
        max_retries: args.repeats,
        slow_readers: args.slow_readers,
        floods: args.floods,
        ..run::open_plan(args.testbed.seed, &phases)
    };
    let total_s: f64 = phases.iter().map(|phase| phase.seconds).sum();
    let progress = progress_bar(total_s)?;
    let start = router_start(&args.testbed)?;
    let on_progress = |secs: f64| progress.set_position((secs * PROGRESS_STEPS_PER_SECOND) as u64);
    let result = run::run_with_progress(&scenario, &start, &plan, vec![], on_progress);
    progress.finish_and_clear();
    let record = result.map_err(CliError::failed)?;
    println!("{}", results::table(&scenario, &record));
    let violations = record.violation_texts(ANSWER_GRACE);
    if let Some(path) = &args.out {
        write_results(path, args, &start, &scenario, &record).map_err(|error| CliError::file(path, error))?;
    }
    match violations.is_empty() {
        true => Ok(()),
        false => Err(CliError::LoadViolations(violations.join("; "))),
    }
}

/// Parses a phase of the form `SECONDSxRATE`.
fn parse_phase(text: &str) -> Result<Phase, CliError> {
    let parse = || {
        let (secs, rate) = text.split_once('x')?;
        let phase = Phase { seconds: secs.parse().ok()?, rate_per_second: rate.parse().ok()? };
        let is_allowed = (0.0..=MAX_PHASE_SECONDS).contains(&phase.seconds)
            && (0.0..=MAX_RPCS_PER_SECOND).contains(&phase.rate_per_second);
        is_allowed.then_some(phase)
    };
    parse().ok_or_else(|| CliError::Phase(text.to_owned()))
}

fn progress_bar(total_s: f64) -> Result<ProgressBar, CliError> {
    let bar = ProgressBar::new((total_s * PROGRESS_STEPS_PER_SECOND) as u64);
    let style = ProgressStyle::with_template("{elapsed_precise} [{bar:40}] {percent}%");
    bar.set_style(style.map_err(CliError::failed)?);
    Ok(bar)
}

fn write_results(
    path: &Path,
    args: &LoadArgs,
    start: &Start,
    scenario: &Scenario,
    record: &RunRecord,
) -> io::Result<()> {
    let options = json!({
        "phases": args.phases,
        "seed": args.testbed.seed,
        "connections": args.connections,
        "pipeline": args.pipeline,
        "operator": start.operator,
    });
    results::write(path, &options, scenario, record)
}

pub fn measure_cost(args: &CostArgs) -> Result<(), CliError> {
    let operator = args.operator.as_ref().map(std::fs::read_to_string).transpose();
    let operator = operator.map_err(CliError::failed)?;
    for binary in &args.binaries {
        measure_cost_of(binary, args, operator.clone()).map_err(CliError::failed)?;
    }
    Ok(())
}

fn measure_cost_of(binary: &Path, args: &CostArgs, operator: Option<String>) -> io::Result<()> {
    let start = Start { cpu: Some(COST_ROUTER_CORE), operator, ..Start::new(binary) };
    let plan = load::Plan {
        arrivals: load::Arrivals::Closed(Span::from_secs_f64(args.seconds)),
        connections: args.clients,
        pipeline: args.pipeline,
        ..load::Plan::default()
    };
    let record = run::run(&Scenario::default(), &start, &plan, vec![])?;
    let total = record.outcome.total();
    println!(
        "{}: {:.0} RPCs/s, {:.1} us of CPU an RPC, pushed back {:.1}%, unanswered {}, faults {:?}",
        binary.display(),
        total.due as f64 / args.seconds,
        record.cpu_seconds * 1e6 / total.due.max(1) as f64,
        100.0 * total.rejected as f64 / total.due.max(1) as f64,
        total.unanswered,
        record.outcome.faults,
    );
    Ok(())
}
