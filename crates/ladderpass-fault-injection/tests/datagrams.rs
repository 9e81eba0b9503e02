//! The datagram engine: the datagrams that a drop rule selects, random draws that can be repeated, and errors that name
//! the key.

use ladderpass_fault_injection::datagrams::DatagramEngine;
use ladderpass_fault_injection::{DatagramPlan, TrafficCounts};
use ladderpass_routing::Span;

fn engine(rules: &str) -> DatagramEngine {
    let ends: Vec<String> = (0..4)
        .map(|n| format!("{{name: r{n}, address: '127.0.0.1:{}', to: '127.0.0.2:{}'}}", 100 + n, 100 + n))
        .collect();
    let text = format!("{{seed: 7, ends: [{}], rules: {rules}}}", ends.join(", "));
    DatagramEngine::new(DatagramPlan::read(&text).expect("the plan is valid"))
}

fn at(ms: i64) -> Span {
    Span::from_millis(ms)
}

fn passes(engine: &mut DatagramEngine, ms: i64, from: usize, to: usize) -> bool {
    !engine.on_datagram(at(ms), from, to, 10).is_empty()
}

#[test]
fn a_drop_rule_selects_one_direction_or_both_or_the_sides_of_a_split_and_can_be_lifted() {
    let mut one = engine("[{name: a, from: [r0], to: [r1, r2], after_ms: 100, for_ms: 100, do: drop}]");
    assert!(passes(&mut one, 50, 0, 1) && passes(&mut one, 200, 0, 1));
    assert!(!passes(&mut one, 150, 0, 1) && !passes(&mut one, 150, 0, 2));
    assert!(passes(&mut one, 150, 1, 0) && passes(&mut one, 150, 0, 3));
    let mut both = engine("[{name: a, from: [r0], to: [r1], both: true, do: drop}]");
    assert!(!passes(&mut both, 0, 0, 1) && !passes(&mut both, 0, 1, 0) && passes(&mut both, 0, 1, 2));
    let mut split = engine("[{name: a, split: [[r0, r1], [r2]], do: drop}]");
    let passed: Vec<bool> =
        [(0, 1), (0, 2), (2, 1), (3, 0)].map(|(from, to)| passes(&mut split, 0, from, to)).to_vec();
    assert_eq!(passed, [true, false, false, false]);
    assert_eq!(split.hits().next(), Some(("a", 3)));
    assert!(split.lift_rule("a") && !split.lift_rule("a") && passes(&mut split, 0, 0, 2));
}

#[test]
fn random_draws_depend_on_the_seed_and_not_on_other_datagrams() {
    let rules = "[{name: a, part: 0.3, do: drop}, {name: b, part: 0.5, do: {duplicate: {ms: 5}}}, {name: c, do: {reorder: {ms: 20}}}]";
    let (mut one, mut two) = (engine(rules), engine(rules));
    let alone: Vec<_> = (0..300).map(|n| one.on_datagram(at(n), 0, 1, 10)).collect();
    let with_others: Vec<_> = (0..300)
        .map(|n| {
            two.on_datagram(at(n), 2, 3, 10);
            two.on_datagram(at(n), 0, 1, 10)
        })
        .collect();
    assert_eq!(alone, with_others);
    let lost = alone.iter().filter(|copies| copies.is_empty()).count();
    let duplicated = alone.iter().filter(|copies| copies.len() == 2).count();
    assert!(
        (60..120).contains(&lost) && (70..140).contains(&duplicated),
        "{lost} lost, {duplicated} duplicated"
    );
    assert!(alone.iter().flatten().all(|delay| *delay < at(25)));
    assert_eq!(one.traffic()[0], TrafficCounts { datagrams: 300, bytes: 3000 });
}

#[test]
fn an_invalid_datagram_plan_is_reported_in_one_line_with_the_key() {
    let ends = "ends: [{name: a, address: '127.0.0.1:1', to: '127.0.0.1:2'}]";
    for (text, expected) in [
        ("ends: [{name: a, address: '10.0.0.1:1', to: '127.0.0.1:2'}]".to_owned(), "ends[0].address"),
        (format!("{ends}\nrules: [{{name: r, from: [b], do: drop}}]"), "allowed are a"),
        (format!("{ends}\nrules: [{{name: r, part: 2, do: drop}}]"), "rules[0].part"),
        (format!("{ends}\nrules: [{{name: r, do: {{delay: {{ms: -1}}}}}}]"), "do.ms"),
        (format!("{ends}\nrules: [{{name: r, do: vanish}}]"), "rules[0].do"),
    ] {
        let error = DatagramPlan::read(&text).expect_err(&text).to_string();
        assert!(error.contains(expected) && !error.contains('\n'), "{text}: {error}");
    }
}
