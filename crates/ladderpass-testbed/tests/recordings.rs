//! Recordings of the fault tool are the same for the same seed, also if its rules garble or delay statements.

use ladderpass_fault_injection::{Decision, Rule, first_difference};
use ladderpass_testbed::prove::faults::record_decisions;

const SEED: u64 = 129_771;
const REPETITIONS: usize = 20;

fn record(rule: &str) -> Vec<Decision> {
    record_decisions(SEED, vec![Rule::read(rule).expect("allowed")]).expect("it plays")
}

/// Requires that repeated recordings with these rules are the same and have `decisions` decisions.
fn require_repeatable(rules: &[&str], decisions: usize) {
    let record_all = || {
        let rules = rules.iter().map(|rule| Rule::read(rule).expect("allowed")).collect();
        record_decisions(SEED, rules).expect("it plays")
    };
    let first = record_all();
    for nth in 0..REPETITIONS {
        assert_eq!(first_difference(&first, &record_all()), None, "repetition {nth} differs");
    }
    assert_eq!(first.len(), decisions, "all decisions are recorded");
}

/// Guards against answers that are lost with the connection. If the member closed the connection at a garbled statement, a
/// different number of answers would still be on their way each time, and recordings would differ.
#[test]
fn a_recording_with_garbled_statements_is_repeatable() {
    require_repeatable(
        &[
            "{name: g, when: {from: client, message: Query, nth: 30}, do: {garble: {bytes: 2}}, times: 20}",
            "{name: s, when: {message: DataRow, nth: 10}, do: {slice: {gap_ms: 0.01}}, times: 50}",
        ],
        20 + 50,
    );
}

/// Guards against a recording that ends after a fixed time, which misses the statements that follow a delayed one.
#[test]
fn a_recording_with_delayed_statements_is_repeatable_and_complete() {
    let decisions =
        record("{name: d, when: {from: client, message: Query, nth: 30}, do: {delay: {ms: 300}}}").len();
    assert_eq!(decisions, 1);
    require_repeatable(
        &[
            "{name: d, when: {from: client, message: Query, nth: 30}, do: {delay: {ms: 110}}, times: 2}",
            "{name: s, when: {message: CommandComplete, nth: 1}, do: {slice: {gap_ms: 0.01}}, times: 0}",
        ],
        2 + 60,
    );
}
