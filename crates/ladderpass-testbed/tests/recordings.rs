//! What the fault tool records: the same again for the same seed, whatever its rules make of what is asked.

use ladderpass_fault_injection::{Decision, Rule, first_difference};
use ladderpass_testbed::prove::faults::record_decisions;

const SEED: u64 = 129_771;
const TRIES: usize = 20;

fn record(rule: &str) -> Vec<Decision> {
    record_decisions(SEED, vec![Rule::read(rule).expect("allowed")]).expect("it plays")
}

fn repeats_itself(rules: &[&str], wanted: usize) {
    let all = || {
        let rules = rules.iter().map(|rule| Rule::read(rule).expect("allowed")).collect();
        record_decisions(SEED, rules).expect("it plays")
    };
    let first = all();
    for nth in 0..TRIES {
        assert_eq!(first_difference(&first, &all()), None, "play {nth}");
    }
    assert_eq!(first.len(), wanted, "all of it was recorded");
}

/// Statements that nobody can read: a member that ends the connection over one takes answers along that were
/// under way.
#[test]
fn garbled_statements_take_no_answers_along() {
    repeats_itself(
        &[
            "{name: g, when: {from: client, message: Query, nth: 30}, do: {garble: {bytes: 2}}, times: 20}",
            "{name: s, when: {message: DataRow, nth: 10}, do: {slice: {gap_ms: 0.01}}, times: 50}",
        ],
        20 + 50,
    );
}

/// A statement that comes later than a client has patience for: what is asked behind it is recorded too.
#[test]
fn late_statements_are_recorded_to_the_end() {
    let whole =
        record("{name: d, when: {from: client, message: Query, nth: 30}, do: {delay: {ms: 300}}}").len();
    assert_eq!(whole, 1);
    repeats_itself(
        &[
            "{name: d, when: {from: client, message: Query, nth: 30}, do: {delay: {ms: 110}}, times: 2}",
            "{name: s, when: {message: CommandComplete, nth: 1}, do: {slice: {gap_ms: 0.01}}, times: 0}",
        ],
        2 + 60,
    );
}
