//! Tests of drill files and log parsing: errors that name the key, links cut by a split, the distribution of connections
//! over routers, and views parsed from a log.

use ladderpass_testbed::drill::Drill;
use ladderpass_testbed::drill::play::parse_view;

#[test]
fn errors_of_a_drill_file_name_the_key_or_the_value() {
    for (text, wanted) in [
        ("routers: 1", "routers: 1; allowed are 2 to 40"),
        ("routers: x", "routers"),
        ("colour: red", "colour"),
        ("phases: []", "phases"),
        ("scenario: {cores: 0}", "scenario.cores"),
        ("deeds: [{at: 1}]", "deeds[0].at"),
        ("deeds: [{at: 1, kill: [r4]}]", "deeds[0].\"r4\"; allowed are r0 to r3"),
        ("deeds: [{at: 1, kill: [r0], term: [r1]}]", "one thing to do"),
        ("deeds: [{at: 1, kill: [r0], for: 2}]", "deeds[0].for"),
        ("deeds: [{at: 9, kill: [r0]}]", "deeds[0].at, for"),
        ("deeds: [{at: 1, split: [[r0], [mars]]}]", "mars"),
        ("deeds: [{at: 1, drain: 3}]", "member 3; there are 3"),
        ("faulty: {r9: resends}", "r9"),
        ("clocks: {r9: 100}", "r9"),
    ] {
        let error = Drill::read(text).expect_err(text).to_string();
        assert!(error.contains(wanted) && !error.contains('\n'), "{text}: {error}");
    }
}

#[test]
fn a_split_cuts_the_links_that_cross_it_and_uneven_weights_connections() {
    let drill = Drill::read("{routers: 3, uneven: 4}").expect("allowed");
    let sides = [vec!["r0".to_owned(), "member-0".into()], vec!["r1".into(), "discovery".into()]];
    assert_eq!(drill.split_links(&sides), ["r0>discovery", "r1>member-0"]);
    let weights = drill.weights();
    assert!((weights[0] / weights[2] - 4.0).abs() < 1e-9 && weights[0] > weights[1]);
}

#[test]
fn a_fleet_view_is_parsed_from_a_log_line() {
    let line = "2026-12-01T22:15:30.250000Z  INFO ladderpass::reducer: fleet: view 00ff0a1b of 7, this is 2; 127.0.0.1:7 died; 127.0.0.2:9 is back; 3 more";
    let view = parse_view(line).expect("a view");
    assert_eq!((view.digest, view.count, view.changes.len()), (0xff0a1b, 7, 2));
    assert_eq!(view.changes[1].text, "is back");
    assert_eq!(view.at.nanos() % 1_000_000_000, 250_000_000);
    assert_eq!(parse_view("2026-12-01T22:15:30Z INFO x: fleet: 7 alive"), None);
}
