//! Plans: an error names the key, and the same seed draws the same rules.

use ladderpass_fault_injection::Plan;

const LINK: &str = "links: [{name: a, listen: '127.0.0.1:0', to: '127.0.0.1:5432'}]\n";

#[test]
fn an_invalid_plan_is_reported_in_one_line_with_the_key() {
    for (text, expected) in [
        ("links: [{name: a, listen: '127.0.0.1:0', to: '10.0.0.1:5432'}]", "links[0].to"),
        ("links: [{name: a, listen: here, to: '127.0.0.1:5432'}]", "listen"),
        ("rules: [{name: a, do: explode}]", "explode"),
        ("rules: [{name: a, do: {delay: {ms: -1}}}]", "do.delay.ms"),
        ("rules: [{name: a, when: {message: Row}, do: drop}]", "when.message"),
        ("rules: [{name: a, when: {seen: b}, do: drop}]", "when.seen"),
        ("rules: [{name: a, when: {nth: 0}, do: drop}]", "counted from 1"),
        ("rules: [{name: a, do: refuse}]", "when.opens"),
        ("rules: [{name: a, when: {opens: true, byte: 3}, do: refuse}]", "no messages"),
        ("rules: [{name: a, link: z, do: drop}]", "link"),
        ("rules: [{name: a, do: drop}, {name: a, do: drop}]", "twice"),
        ("colour: red", "colour"),
    ] {
        let error = Plan::read(text).expect_err(text).to_string();
        assert!(error.contains(expected) && !error.contains('\n'), "{text}: {error}");
    }
}

#[test]
fn a_valid_plan_is_read_and_the_same_seed_draws_the_same_rules() {
    let rules = "rules:\n  - {name: lost, link: a, when: {message: CommandComplete, holds: INSERT, nth: 3}, do: swallow}\n  \
                 - {name: slow, when: {from: client, seen: lost}, do: {delay: {ms: 20, spread: exponential}}, times: 0}\n";
    let plan = Plan::read(&format!("{LINK}{rules}")).expect("the plan is valid");
    assert_eq!((plan.rules.len(), plan.rules[1].times), (2, 0));
    let (one, two) = (Plan::drawn(5, 20, plan.links.clone()), Plan::drawn(5, 20, plan.links.clone()));
    assert_eq!(one, two);
    assert_ne!(one.rules, Plan::drawn(6, 20, plan.links).rules);
    assert_eq!(one.check(), Ok(()));
}
