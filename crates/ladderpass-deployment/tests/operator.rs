//! The operator's file: its defaults, and faults that name line, key and what is allowed.

use ladderpass_core::Span;
use ladderpass_deployment::operator::{Log, Operator, read};
use ladderpass_overload::{Band, Settings};

#[test]
fn what_is_not_said_has_its_default() {
    assert_eq!(read("# nothing\n").expect("empty"), Operator::default());
    assert_eq!(read("overload: {}").expect("on").overload, Some(Settings::default()));
    assert_eq!(read("overload: {enabled: false}").expect("off").overload, None);
    let text = "log: {format: json, figures: 1s}\noverload:\n  delay: {from: 2ms, full: 0.5s}\n  slow_reader_bytes: 64 KiB\n  fair: 8\n";
    let operator = read(text).expect("all of it is allowed");
    let settings = operator.overload.expect("on");
    assert_eq!(operator.log, Log { json: true, figures: Span::from_millis(1000) });
    assert_eq!((settings.delay, settings.fair), (Band::new(0.002, 0.5), 8.0));
    assert_eq!(settings.slow_reader_bytes, 65536);
    let text = "peers: {me: 1, all: ['127.0.0.1:7400', '127.0.0.1:7401']}\nmembers: {zone: a, sizes: true}";
    let operator = read(text).expect("all of it is allowed");
    let peers = operator.peers.expect("it is there");
    assert_eq!((peers.listen.port(), peers.address.port(), peers.listed.len()), (7401, 7401, 2));
    assert!(peers.earlier && peers.networks.is_empty());
    let text = "peers: {listen: '10.0.0.9:7400', address: '[fd00::9]:7400', listed: [], networks: ['fd00::/8', '10.0.0.0/9']}";
    let peers = read(text).expect("all of it is allowed").peers.expect("it is there");
    assert_eq!((peers.listen.port(), peers.address.is_ipv6(), peers.networks[1].1), (7400, true, 9));
    assert!(!peers.earlier);
    assert_eq!((operator.zone.as_deref(), operator.sizes), (Some("a"), true));
}

#[test]
fn a_fault_is_one_line_with_line_key_and_what_is_allowed() {
    for (text, wanted) in [
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
        let fault = read(text).expect_err(text);
        assert!(wanted.iter().all(|part| fault.contains(part)), "{text:?}: {fault}");
        assert!(!fault.contains('\n'), "{fault}");
    }
}
