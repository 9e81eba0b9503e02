//! The operator's file: its values, its defaults, and errors that name the line, the key and what is allowed.

use ladderpass_config::operator::{Log, Operator, read};
use ladderpass_overload::{Band, Settings};
use ladderpass_routing::Span;

#[test]
fn missing_keys_have_their_defaults_and_given_ones_are_read() {
    assert_eq!(read("# nothing\n").expect("an empty file is allowed"), Operator::default());
    assert_eq!(
        read("overload: {}").expect("an empty section is allowed").overload,
        Some(Settings::default())
    );
    assert_eq!(read("overload: {enabled: false}").expect("overload control may be disabled").overload, None);
    let text = "log: {format: json, figures: 1s}\noverload:\n  delay: {from: 2ms, full: 0.5s}\n  slow_reader_bytes: 64 KiB\n  fair: 8\n";
    let operator = read(text).expect("every value is allowed");
    let settings = operator.overload.expect("overload control is enabled");
    assert_eq!(operator.log, Log { json: true, metrics_interval: Span::from_millis(1000) });
    assert_eq!((settings.delay, settings.fair_share_multiple), (Band::new(0.002, 0.5), 8.0));
    assert_eq!(settings.slow_reader_bytes, 65536);
    let text = "peers: {me: 1, all: ['127.0.0.1:7400', '127.0.0.1:7401']}\nmembers: {zone: a, sizes: true}";
    let operator = read(text).expect("every value is allowed");
    let peers = operator.peers.expect("the file has peers");
    assert_eq!((peers.listen.port(), peers.address.port(), peers.listed.len()), (7401, 7401, 2));
    assert!(peers.legacy_form && peers.networks.is_empty());
    let text = "peers: {listen: '10.0.0.9:7400', address: '[fd00::9]:7400', listed: [], networks: ['fd00::/8', '10.0.0.0/9']}";
    let peers = read(text).expect("every value is allowed").peers.expect("the file has peers");
    assert_eq!(
        (peers.listen.port(), peers.address.is_ipv6(), peers.networks[1].prefix_bits),
        (7400, true, 9)
    );
    assert!(!peers.legacy_form);
    assert_eq!((operator.zone.as_deref(), operator.weights_are_concurrency), (Some("a"), true));
}

#[test]
fn an_error_is_one_line_that_names_the_line_the_key_and_what_is_allowed() {
    for (text, expected) in [
        ("overlaod: {}", ["line 1", "overlaod", "overload"]),
        ("overload:\n  dealy: {from: 1ms}", ["line 2", "dealy", "delay"]),
        ("overload:\n  delay:\n    from: 5", ["line 3", "overload.delay.from", "ms"]),
        ("overload:\n  delay:\n    from: 5 MB", ["line 3", "overload.delay.from", "ms"]),
        ("overload:\n  delay:\n    from: 50ms", ["line 3", "overload.delay", "below full"]),
        ("overload:\n  memory:\n    full: 1.5", ["line 3", "overload.memory.full", "up to 1"]),
        ("overload:\n  memory:\n    full: lots", ["line 3", "full", "f"]),
        ("overload:\n  look: 1ms", ["line 2", "overload.look", "5ms"]),
        ("overload:\n  fair: 0", ["line 2", "overload.fair", "1 to 1000"]),
        ("overload:\n  slow_reader_bytes: 12", ["line 2", "slow_reader_bytes", "unit"]),
        ("log:\n  format: xml", ["line 2", "log.format", "json"]),
        ("log: [", ["line", "", ""]),
        ("peers:\n  me: 2\n  all: [127.0.0.1:1, 127.0.0.1:2]", ["line 2", "peers.me", "0 to 1"]),
        ("peers:\n  me: 0\n  all: [127.0.0.1:1]", ["line 2", "peers.all", "2 to 1000"]),
        ("peers:\n  me: 0\n  all: [127.0.0.1:1, here]", ["line 3", "peers.all", "address:port"]),
        ("peers:\n  me: 0\n  all: [127.0.0.1:1, 127.0.0.1:1]", ["line 3", "peers.all", "once"]),
        ("peers: {me: 0}", ["line 1", "peers", "listen"]),
        ("peers: {listed: ['127.0.0.1:1']}", ["line 1", "peers.listen", "missing"]),
        (
            "peers:\n  listen: 0.0.0.0:7400\n  listed: [10.0.0.1:1]",
            ["line 2", "peers.listen", "address:port"],
        ),
        ("peers:\n  listen: 10.0.0.1:7400", ["line 2", "peers.listed", "at least one"]),
        ("peers:\n  listen: 10.0.0.1:7400\n  networks: [10.0.0.0/33]", ["line 3", "peers.networks", "bits"]),
        ("peers:\n  listen: 10.0.0.1:7400\n  colour: red", ["line", "colour", "listen"]),
        ("fleet:\n  sheds: true", ["line 2", "fleet.sheds", "peers"]),
        ("fleet:\n  sheds: false\n  budgets: true", ["line 3", "fleet.budgets", "fleet.sheds"]),
        ("fleet:\n  sheds: 3", ["line 2", "sheds", "bool"]),
        ("members:\n  zone: ''", ["line 2", "members.zone", "name of a zone"]),
        ("members:\n  sizes: big", ["line 2", "sizes", "bool"]),
    ] {
        let error = read(text).expect_err(text).to_string();
        assert!(expected.iter().all(|part| error.contains(part)), "{text:?}: {error}");
        assert!(!error.contains('\n'), "{error}");
    }
}

/// Returns the line numbers that the errors of a file name, in ascending order.
fn lines_with_errors(text: &str) -> Vec<usize> {
    let printed = read(text).expect_err(text).to_string();
    let parse_line =
        |error: &str| error.strip_prefix("line ").and_then(|rest| rest.split_once(':')?.0.parse().ok());
    let line = |error: &str| parse_line(error).unwrap_or_else(|| panic!("{printed}"));
    let mut lines: Vec<usize> = printed.lines().map(line).collect();
    lines.sort_unstable();
    lines
}

#[test]
fn all_errors_are_reported_except_those_that_only_follow_from_another() {
    for (text, expected) in [
        ("log:\n  format: xml\n  figures: 1\noverload:\n  fair: 0\n  look: 1ms", &[2, 3, 5, 6][..]),
        // Keys that can't be read are reported in each section of the operator's file, and everything below such a key
        // is skipped.
        ("overlaod:\n  fair: 0\nlog:\n  colour: red\n  format: xml", &[1, 4, 5]),
        ("overload:\n  memory:\n    full: lots\n    from: 7\n  fair: 0", &[3, 4, 5]),
        ("a: 1\nb:\n- 2\n- 3\nc: 4\nlog: {format: xml}", &[1, 2, 5, 6]),
        ("members:\n  sizes: big\n  zone: ''", &[2, 3]),
        // A key whose value is wrong is not reported as a missing key as well, and no errors are reported for keys that
        // depend on such a key.
        ("peers:\n  listen: [1]\n  listed: [127.0.0.1:1, there]", &[2, 3]),
        ("peers:\n  listen: here\n  listed: [127.0.0.1:1]\nfleet:\n  sheds: true", &[2]),
        ("peers:\n  colour: red\nfleet:\n  sheds: 3\n  budgets: true", &[2, 4]),
        ("overload:\n  delay:\n    from: 5\n    full: 2ms", &[3]),
        ("overload:\n  delay:\n    from: {}\n    full: 2ms", &[3]),
        ("peers:\n  me: 0\n  all: [here, there]", &[3, 3]),
        ("peers:\n  me: one\n  all: [127.0.0.1:1, 127.0.0.1:2]", &[2]),
    ] {
        assert_eq!(lines_with_errors(text), expected, "{text:?}: {:?}", read(text));
    }
    // Only one error is reported for a text that is not YAML.
    let printed = read("overload:\n  fair: 0\nlog: [").expect_err("the text is not YAML").to_string();
    assert_eq!(printed.lines().count(), 1);
}

#[test]
fn a_file_that_is_wrong_throughout_prints_at_most_a_hundred_lines() {
    let text: String = (0..1000).map(|n| format!("wrong_{n}: 1\n")).collect();
    let count = read(&text).expect_err("every line is wrong").to_string().lines().count();
    assert!((10..=100).contains(&count), "{count}");
    let listed: Vec<String> = (0..1000).map(|n| format!("'there {n}'")).collect();
    let text = format!("peers: {{listen: '127.0.0.1:1', listed: [{}]}}", listed.join(", "));
    assert_eq!(read(&text).expect_err("every address is wrong").to_string().lines().count(), 100);
}
