//! Drills: what is refused names its key, how clients are dealt out, and what a log tells.

use ladderpass_testbed::drill::Drill;
use ladderpass_testbed::drill::play::viewed;

#[test]
fn faults_name_the_key() {
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
        let fault = Drill::read(text).expect_err(text);
        assert!(fault.contains(wanted) && !fault.contains('\n'), "{text}: {fault}");
    }
}

#[test]
fn a_split_cuts_what_crosses_it_and_clients_are_dealt_unevenly() {
    let drill = Drill::read("{routers: 3, uneven: 4}").expect("allowed");
    let sides = [vec!["r0".to_owned(), "member-0".into()], vec!["r1".into(), "discovery".into()]];
    assert_eq!(drill.split_links(&sides), ["r0>discovery", "r1>member-0"]);
    let weights = drill.weights();
    assert!((weights[0] / weights[2] - 4.0).abs() < 1e-9 && weights[0] > weights[1]);
}

#[test]
fn a_view_is_read_from_the_log() {
    let line = "2026-12-01T22:15:30.250000Z  INFO ladderpass::reducer: fleet: view 00ff0a1b of 7, this is 2; 127.0.0.1:7 died; 127.0.0.2:9 is back; 3 more";
    let view = viewed(line).expect("a view");
    assert_eq!((view.digest, view.count, view.names.len()), (0xff0a1b, 7, 2));
    assert_eq!(view.names[1].1, "is back");
    assert_eq!(view.at.nanos() % 1_000_000_000, 250_000_000);
    assert_eq!(viewed("2026-12-01T22:15:30Z INFO x: fleet: 7 alive"), None);
}
