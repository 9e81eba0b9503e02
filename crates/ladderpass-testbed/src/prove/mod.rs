//! Proofs of finished subsystems: each prints one table, and falls short or holds as a whole.
//!
//! It owns what a proof asks. It must never loosen a figure to a seed, nor hold one that the run can measure.

pub mod capacity;
pub mod faults;
pub mod fleet_budgets;
pub mod fleet_overload;
pub mod fleet_ramp;
pub mod membership;
pub mod overload;
mod parallel;
mod table;

pub use table::Table;

use crate::drill::Drill;
use crate::drill::play::DrillRecord;
use ladderpass_emulator::Scenario;
use parallel::{join as lane, play_in_parallel as plays};

fn named(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// That no rule was broken, by the clients' journal and the members' truth.
fn kept(table: &mut Table, what: &str, played: &DrillRecord) {
    let told: Vec<String> =
        played.violations.iter().map(ToString::to_string).chain(played.fallen.iter().cloned()).collect();
    let total = played.outcome.total();
    let silent = total.late + total.unanswered;
    let lost = played.outcome.journal.iter().filter(|entry| entry.lost.is_some()).count();
    let text = match told.first() {
        None => format!("none in {} RPCs; {silent} unanswered, {lost} with a killed router", total.due),
        Some(first) => format!("{}: {}", told.len(), first.chars().take(120).collect::<String>()),
    };
    table.require(format!("{what}: rules broken"), "none", text, told.is_empty());
}

/// Three members that work on two RPCs at a time, 20 ms each on average: 300 a second fit. With the shares of reads and writes.
fn hard_pressed(shares: [f64; 2]) -> Scenario {
    let mut scenario = Scenario { cores: 2, ..Scenario::default() };
    for (method, share) in scenario.methods.iter_mut().zip(shares) {
        (method.work_ms, method.share, method.value_bytes) = (20.0, share, 16);
    }
    scenario
}

/// Datagrams and bytes that a router of a drill sent a second, on average.
fn datagrams_of(drill: &Drill, played: &DrillRecord) -> (f64, f64) {
    let per = |of: fn(&ladderpass_fault_injection::TrafficCounts) -> u64| {
        let sum: u64 = played.sent.iter().map(|(from, to)| of(to) - of(from)).sum();
        sum as f64 / drill.routers as f64 / drill.secs()
    };
    (per(|sent| sent.datagrams), per(|sent| sent.bytes))
}
