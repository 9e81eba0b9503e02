//! Proof of shared retry budgets. Retries stay a small fraction of first attempts while answers are lost and while members
//! reject attempts. Clients lose little utility by the budgets, and regain it after a member, a router and a part of the
//! network fail. The health checks of a member don't grow with the number of routers. The members count attempts, over all
//! routers.

mod drills;
mod health_checks;

use super::Table;
use super::checks::require_no_violations;
use super::parallel::play_in_parallel;
use super::scenarios::{METRICS_INTERVAL_S, SHARED_ADMISSION, SHARED_ADMISSION_AND_BUDGETS};
use crate::charts::{self, Line};
use crate::drill::play::{DrillRecord, Programs};
use crate::load::Slice;
use drills::{FAILURE_DRILL_END_S, LOSS_AT_S, LOSS_DRILL_END_S, MEMBER_DOWN, REJECTION_DRILL_END_S};
use drills::{answers_lost, answers_lost_with_fault, answers_of_one_lost, member_down, members_reject};
use health_checks::{HealthCheckRates, measure_health_checks};
use ladderpass_emulator::Scenario;
use std::io;
use std::ops::Range;
use std::path::Path;

/// The fault of routers that retry without a budget.
const SPENDS_WITHOUT_ASKING: &str = "spends-without-asking";
/// The fault of routers that never return unused budget.
const NEVER_GIVES_BACK: &str = "never-gives-back";

// Periods of the loads, in seconds.

/// The period in which the retry budget is already spent and answers are still lost.
const BUDGET_SPENT_S: Range<f64> = 4.0..6.0;
/// Time from which a load is measured. The start of a load is left out.
const MEASURED_FROM_S: f64 = 1.0;
const BEFORE_LOSS_S: Range<f64> = MEASURED_FROM_S..LOSS_AT_S;
const DURING_AND_AFTER_LOSS_S: Range<f64> = LOSS_AT_S..LOSS_DRILL_END_S;
const AFTER_LOSS_S: Range<f64> = LOSS_DRILL_END_S - 2.0..LOSS_DRILL_END_S;
const DURING_REJECTIONS_S: Range<f64> = MEASURED_FROM_S..REJECTION_DRILL_END_S;
const BEFORE_FAILURE_S: Range<f64> = MEASURED_FROM_S..MEMBER_DOWN.at_s;
/// The period that starts two seconds after the failed member is back.
const AFTER_FAILURE_S: Range<f64> = MEMBER_DOWN.at_s + MEMBER_DOWN.lasts_s + 2.0..FAILURE_DRILL_END_S;

const MAX_RETRY_RATIO: f64 = 0.05;
const MIN_UTILITY_AFTER_LOSS: f64 = 0.9;
const MIN_UTILITY_IF_ONE_LOSES: f64 = 0.97;
const MAX_RETRY_RATIO_UNDER_REJECTIONS: f64 = 0.25;
const MIN_UTILITY_UNDER_REJECTIONS: f64 = 0.95;
const MIN_UTILITY_AFTER_FAILURE: f64 = 0.95;

/// The records of a drill with retry budgets and without them.
struct ComparedRecords {
    with_budgets: DrillRecord,
    without_budgets: DrillRecord,
}

/// The records of all drills.
struct Measurements {
    answers_lost: ComparedRecords,
    spends_without_asking: DrillRecord,
    never_gives_back: DrillRecord,
    answers_of_one_lost: ComparedRecords,
    members_reject: ComparedRecords,
    member_down: ComparedRecords,
}

/// Runs the proof, prints its table, and writes charts to `out`. Returns whether it passes.
///
/// # Errors
/// Returns an error if a drill can't be played, or a chart can't be written.
pub fn prove(programs: Programs<'_>, seed: u64, out: &Path) -> io::Result<bool> {
    let mut table = Table::new("fleet-budgets");
    if !table.require_faulty_build(programs) {
        return Ok(table.print());
    }
    let measured = measure(programs, seed)?;
    require_few_retries_of_lost_answers(&mut table, &measured);
    require_utility_if_one_loses(&mut table, &measured.answers_of_one_lost);
    require_few_retries_of_rejections(&mut table, &measured.members_reject);
    require_recovery(&mut table, &measured.member_down);
    for (label, record) in [
        ("all answers lost", &measured.answers_lost.with_budgets),
        ("one loses answers", &measured.answers_of_one_lost.with_budgets),
        ("members refuse", &measured.members_reject.with_budgets),
        ("a member gone, a kill, a split", &measured.member_down.with_budgets),
    ] {
        require_no_violations(&mut table, label, record);
    }
    let health_checks: HealthCheckRates = measure_health_checks(programs, seed)?;
    health_checks.require_flat(&mut table);
    write_charts(&measured, out)?;
    Ok(table.print())
}

/// Plays all drills. Drills that are compared with each other are played in parallel.
fn measure(programs: Programs<'_>, seed: u64) -> io::Result<Measurements> {
    let (with_budgets, without_budgets) = (SHARED_ADMISSION_AND_BUDGETS, SHARED_ADMISSION);
    let (lost, lost_without) = (answers_lost(with_budgets), answers_lost(without_budgets));
    let spends_drill = answers_lost_with_fault(with_budgets, SPENDS_WITHOUT_ASKING);
    let never_gives_back_drill = answers_lost_with_fault(with_budgets, NEVER_GIVES_BACK);
    let [lost, lost_without, spends_without_asking, never_gives_back] =
        play_in_parallel([&lost, &lost_without, &spends_drill, &never_gives_back_drill], programs, seed)?;
    let (one, one_without) = (answers_of_one_lost(with_budgets), answers_of_one_lost(without_budgets));
    let (rejected, rejected_without) = (members_reject(with_budgets), members_reject(without_budgets));
    let [one, one_without, rejected, rejected_without] =
        play_in_parallel([&one, &one_without, &rejected, &rejected_without], programs, seed)?;
    let [down, down_without] =
        play_in_parallel([&member_down(with_budgets), &member_down(without_budgets)], programs, seed)?;
    Ok(Measurements {
        answers_lost: ComparedRecords { with_budgets: lost, without_budgets: lost_without },
        spends_without_asking,
        never_gives_back,
        answers_of_one_lost: ComparedRecords { with_budgets: one, without_budgets: one_without },
        members_reject: ComparedRecords { with_budgets: rejected, without_budgets: rejected_without },
        member_down: ComparedRecords { with_budgets: down, without_budgets: down_without },
    })
}

/// Requires few retries while all answers are lost, more retries with faulty routers, and that the utility recovers once
/// answers arrive again.
fn require_few_retries_of_lost_answers(table: &mut Table, measured: &Measurements) {
    let ComparedRecords { with_budgets, without_budgets } = &measured.answers_lost;
    let ratio = retry_ratio(with_budgets, BUDGET_SPENT_S);
    table.require(
        "all answers lost: further call-outs, of first ones",
        "at most 0.05",
        format!("{ratio:.3}; without budgets {:.3}", retry_ratio(without_budgets, BUDGET_SPENT_S)),
        ratio <= MAX_RETRY_RATIO,
    );
    for (switch, record) in [
        (SPENDS_WITHOUT_ASKING, &measured.spends_without_asking),
        (NEVER_GIVES_BACK, &measured.never_gives_back),
    ] {
        let ratio = retry_ratio(record, BUDGET_SPENT_S);
        table.require(format!("  {switch}"), "told apart", format!("{ratio:.3}"), ratio > MAX_RETRY_RATIO);
    }
    let utility = served_utility(with_budgets, AFTER_LOSS_S) / served_utility(with_budgets, BEFORE_LOSS_S);
    let holds = utility >= MIN_UTILITY_AFTER_LOSS;
    table.require("  utility once that is over", "at least 0.9", format!("{utility:.3}"), holds);
}

/// Requires that budgets don't prevent the retries that help if one of three members loses its answers.
fn require_utility_if_one_loses(table: &mut Table, records: &ComparedRecords) {
    let ComparedRecords { with_budgets, without_budgets } = records;
    let window = DURING_AND_AFTER_LOSS_S;
    let utility =
        served_utility(with_budgets, window.clone()) / served_utility(without_budgets, window.clone());
    let ratio = retry_ratio(with_budgets, window.clone());
    let ratio_without = retry_ratio(without_budgets, window);
    table.require(
        "one of three loses answers: utility, of without",
        "at least 0.97",
        format!("{utility:.3}; further ones {ratio:.3} for {ratio_without:.3}"),
        utility >= MIN_UTILITY_IF_ONE_LOSES,
    );
}

/// Requires few retries, and almost the same utility, while members reject attempts.
fn require_few_retries_of_rejections(table: &mut Table, records: &ComparedRecords) {
    let ComparedRecords { with_budgets, without_budgets } = records;
    let window = DURING_REJECTIONS_S;
    let ratio = retry_ratio(with_budgets, window.clone());
    let ratio_without = retry_ratio(without_budgets, window.clone());
    let utility = served_utility(with_budgets, window.clone()) / served_utility(without_budgets, window);
    table.require(
        "members refuse, 2.5 times what fits: further ones",
        "at most 0.25",
        format!("{ratio:.3}, without {ratio_without:.3}; utility {utility:.3} of without"),
        ratio <= MAX_RETRY_RATIO_UNDER_REJECTIONS && utility >= MIN_UTILITY_UNDER_REJECTIONS,
    );
}

/// Requires that retries don't keep the members overloaded once the failed member is back.
fn require_recovery(table: &mut Table, records: &ComparedRecords) {
    let recovered = |record: &DrillRecord| {
        served_utility(record, AFTER_FAILURE_S) / served_utility(record, BEFORE_FAILURE_S)
    };
    let (budgets, without) = (recovered(&records.with_budgets), recovered(&records.without_budgets));
    table.require(
        "a member gone 3 s, clients repeat: utility 2 s after",
        "at least 0.95",
        format!("{budgets:.3}, without {without:.3}"),
        budgets >= MIN_UTILITY_AFTER_FAILURE,
    );
}

/// Returns the retries that arrived at members as a fraction of the first attempts that arrived.
fn retry_ratio(record: &DrillRecord, window: Range<f64>) -> f64 {
    let attempts = record.attempts(window.start, window.end);
    attempts.retries as f64 / attempts.first.max(1) as f64
}

/// Returns the utility of the answers as a fraction of the utility of the RPCs that were due. The fraction does not depend
/// on how many RPCs of each method the random arrivals make due.
fn served_utility(record: &DrillRecord, window: Range<f64>) -> f64 {
    let methods = Scenario::default().methods;
    let due_utility = |slice: &Slice| -> f64 {
        let counts = slice.counts.iter().zip(&methods);
        counts.map(|(counts, method)| counts.due as f64 * method.utility).sum()
    };
    let due: f64 = record.outcome.within(window.start, window.end).map(due_utility).sum();
    let served = record.outcome.utility_rate(window.start, window.end) * (window.end - window.start);
    served / due.max(1e-9)
}

fn write_charts(measured: &Measurements, out: &Path) -> io::Result<()> {
    std::fs::create_dir_all(out)?;
    let retries: Vec<Line<'_>> = vec![
        Line::new("from the budget", retry_ratios(&measured.answers_lost.with_budgets)),
        Line::new("without", retry_ratios(&measured.answers_lost.without_budgets)),
        Line::new("spends without asking", retry_ratios(&measured.spends_without_asking)),
    ];
    let title = "Further call-outs, of first ones";
    charts::lines(&out.join("further.svg"), title, ("seconds", "part"), &retries, false)?;
    let utility: Vec<Line<'_>> = vec![
        Line::new("with budgets", measured.member_down.with_budgets.utility()),
        Line::new("without", measured.member_down.without_budgets.utility()),
    ];
    let title = "Utility: a member gone from 3 to 6 s";
    charts::lines(&out.join("trigger.svg"), title, ("seconds", "a second"), &utility, false)
}

/// Returns the retry ratio of each metrics interval of the drills in which answers are lost, by the interval's start in
/// seconds of the load.
fn retry_ratios(record: &DrillRecord) -> Vec<(f64, f64)> {
    let intervals = (LOSS_DRILL_END_S / METRICS_INTERVAL_S) as usize;
    let point = |index: usize| {
        let from_s = index as f64 * METRICS_INTERVAL_S;
        (from_s, retry_ratio(record, from_s..(index + 1) as f64 * METRICS_INTERVAL_S))
    };
    (0..intervals).map(point).collect()
}
