//! Requirements that several proofs share.

use super::Table;
use crate::drill::play::DrillRecord;

/// Rates count as flat if the highest rate is at most this many times the lowest one.
const MAX_FLAT_RATIO: f64 = 1.2;
/// How many characters of the first violation the table shows.
const MAX_VIOLATION_CHARS: usize = 120;

/// Requires that the history of a drill has no violation and that no router ended by itself or panicked.
pub fn require_no_violations(table: &mut Table, label: &str, record: &DrillRecord) {
    let violations = record.violations.iter().map(ToString::to_string);
    let findings: Vec<String> = violations.chain(record.router_failures.iter().cloned()).collect();
    let total = record.outcome.total();
    let unanswered = total.late + total.unanswered;
    let lost = record.outcome.journal.iter().filter(|entry| entry.lost.is_some()).count();
    let measured = match findings.first() {
        None => format!("none in {} RPCs; {unanswered} unanswered, {lost} with a killed router", total.due),
        Some(first) => {
            let shown: String = first.chars().take(MAX_VIOLATION_CHARS).collect();
            format!("{}: {shown}", findings.len())
        }
    };
    table.require(format!("{label}: rules broken"), "none", measured, findings.is_empty());
}

/// Returns whether the highest rate is at most a fifth above the lowest one.
pub fn is_flat(rates: &[f64]) -> bool {
    highest(rates) <= MAX_FLAT_RATIO * lowest(rates)
}

/// Returns the lowest of some rates, or `f64::MAX` if there is none.
pub fn lowest(rates: &[f64]) -> f64 {
    rates.iter().copied().fold(f64::MAX, f64::min)
}

/// Returns the highest of some rates, or 0 if there is none.
pub fn highest(rates: &[f64]) -> f64 {
    rates.iter().copied().fold(0.0, f64::max)
}
