//! Proof of slow start across routers that do not communicate. The attempts of 8, 24 and 30 routers together never overload
//! a cold member, under bursts and while a third of the routers restarts. The members count attempts, over each window of
//! the settings' overload time. The earlier program and a build without a warm-up must overload cold members, so that the
//! proof distinguishes them from the current program.

mod drills;
mod windows;

use super::Table;
use super::checks::require_no_violations;
use super::parallel::play_in_parallel;
use crate::drill::Drill;
use crate::drill::play::{DrillRecord, Programs};
use crate::history_checker::check_slow_start_at_members;
use drills::{LabelledDrill, WindowCapacity};
use drills::{burst_drills, early_burst_drill, early_burst_of_earlier_program, early_burst_without_warm_up};
use std::fmt;
use std::io;
use std::path::Path;
use windows::write_window_chart;

/// The rule that each RPC is answered.
const ANSWER_RULE: u8 = 1;

/// A drill with its record.
struct PlayedDrill {
    label: &'static str,
    drill: Drill,
    record: DrillRecord,
}

impl PlayedDrill {
    fn new(LabelledDrill { label, drill }: LabelledDrill, record: DrillRecord) -> PlayedDrill {
        PlayedDrill { label, drill, record }
    }
}

/// The records of all drills.
struct Measurements {
    /// The drills with the current program. The last drill is the hardest, with a burst while the members are coldest.
    current: Vec<PlayedDrill>,
    /// The last drill of `current`, played with a build without a warm-up.
    without_warm_up: DrillRecord,
    /// The last drill of `current`, played with the earlier program, if one is given.
    earlier: Option<DrillRecord>,
}

/// How attempts at cold members compare with their capacity.
struct ColdMemberLoad {
    violations: Vec<String>,
    /// How far the attempts in a member's worst window exceeded the capacity of the window, in square roots of that
    /// capacity.
    excess_roots: f64,
}

impl ColdMemberLoad {
    fn from_record(record: &DrillRecord) -> ColdMemberLoad {
        let check = check_slow_start_at_members(&record.cold_starts, &record.execution_log);
        ColdMemberLoad {
            violations: check.violations.into_iter().map(|violation| violation.text).collect(),
            excess_roots: check.max_excess,
        }
    }

    fn is_allowed(&self) -> bool {
        self.violations.is_empty() && self.excess_roots.is_finite()
    }
}

impl fmt::Display for ColdMemberLoad {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{} broken, {:.2} roots", self.violations.len(), self.excess_roots)?;
        match self.violations.first() {
            Some(first) => write!(out, "; {first}"),
            None => Ok(()),
        }
    }
}

/// Runs the proof, prints its table, and writes a chart to `out`. Returns whether it passes.
///
/// # Errors
/// Returns an error if a drill can't be played, or the chart can't be written.
pub fn prove(programs: Programs<'_>, seed: u64, out: &Path) -> io::Result<bool> {
    let mut table = Table::new("fleet-ramp");
    if !table.require_faulty_build(programs) {
        return Ok(table.print());
    }
    let measured = measure(programs, seed)?;
    require_cold_members_served(&mut table, &measured);
    for played in &measured.current {
        if played.drill.events.is_empty() {
            require_no_violations(&mut table, played.label, &played.record);
        } else {
            require_no_violations_but_lost_answers(&mut table, played);
        }
    }
    let earlier = measured.earlier.as_ref();
    if let Some(hardest) = measured.current.last() {
        let earlier_fraction =
            earlier.map_or(String::new(), |record| format!(", before {}", served_fraction(record)));
        let served = format!("{}{earlier_fraction}", served_fraction(&hardest.record));
        table.report("served of what was asked, two of three cold", served);
        write_window_chart(out, &hardest.record, earlier, &measured.without_warm_up)?;
    }
    Ok(table.print())
}

fn measure(programs: Programs<'_>, seed: u64) -> io::Result<Measurements> {
    let bursts = burst_drills();
    let records = play_in_parallel(bursts.each_ref().map(|burst| &burst.drill), programs, seed)?;
    let hardest = early_burst_drill();
    let without_warm_up = early_burst_without_warm_up();
    let (hardest_record, without_warm_up, earlier) = if programs.earlier.is_some() {
        let earlier = early_burst_of_earlier_program();
        let [hardest, without_warm_up, earlier] =
            play_in_parallel([&hardest.drill, &without_warm_up, &earlier], programs, seed)?;
        (hardest, without_warm_up, Some(earlier))
    } else {
        let [hardest, without_warm_up] =
            play_in_parallel([&hardest.drill, &without_warm_up], programs, seed)?;
        (hardest, without_warm_up, None)
    };
    let mut current: Vec<PlayedDrill> =
        bursts.into_iter().zip(records).map(|(burst, record)| PlayedDrill::new(burst, record)).collect();
    current.push(PlayedDrill::new(hardest, hardest_record));
    Ok(Measurements { current, without_warm_up, earlier })
}

/// Requires that cold members are never overloaded, and that the hardest drill overloads them with routers that ignore the
/// warm-up and with the earlier program, if that is given.
fn require_cold_members_served(table: &mut Table, measured: &Measurements) {
    for PlayedDrill { label, drill, record } in &measured.current {
        let WindowCapacity { cold, warm } = WindowCapacity::of(drill);
        let load = ColdMemberLoad::from_record(record);
        let label = format!("{label}: N {cold:.0} to {warm:.0}");
        table.require(label, "2 roots beyond N + 2", load.to_string(), load.is_allowed());
    }
    let load = ColdMemberLoad::from_record(&measured.without_warm_up);
    table.require("  the last with ignores-warm-up", "told apart", load.to_string(), !load.is_allowed());
    let label = "  the last with the program before";
    match &measured.earlier {
        Some(earlier) => {
            let load = ColdMemberLoad::from_record(earlier);
            table.require(label, "told apart", load.to_string(), !load.is_allowed());
        }
        None => table.report(label, "not built: make earlier NAME=fleet-ramp"),
    }
}

/// Requires that only the rule on answers is broken in a drill that kills routers. The RPCs in flight of a killed router are
/// lost, and idle clients may send RPCs while their connection is being closed.
fn require_no_violations_but_lost_answers(table: &mut Table, played: &PlayedDrill) {
    let record = &played.record;
    let unanswered = record.violations.iter().filter(|violation| violation.rule == ANSWER_RULE).count();
    let other = record.violations.iter().find(|violation| violation.rule != ANSWER_RULE);
    let first = other.map(ToString::to_string).or_else(|| record.router_failures.first().cloned());
    let measured = format!("{}; {unanswered} unanswered", first.as_deref().unwrap_or("none"));
    table.require(format!("{}: rules 2 to 5 broken", played.label), "none", measured, first.is_none());
}

/// Returns the fraction of the RPCs that were answered ok, as text.
fn served_fraction(record: &DrillRecord) -> String {
    let total = record.outcome.total();
    format!("{:.4}", total.ok as f64 / total.due.max(1) as f64)
}
