//! The engine: the effect of each action on a stream of messages, the triggers of rules, and runs that can be repeated.

use ladderpass_fault_injection::engine::{AcceptedConnection, RuleState};
use ladderpass_fault_injection::record::to_json_lines;
use ladderpass_fault_injection::{Engine, Operation, Plan, ScheduledOperation, Side, first_difference};
use ladderpass_routing::{Span, Time};
use quickcheck::quickcheck;

fn at(ms: i64) -> Time {
    Time::from_nanos(1_000_000_000_000) + Span::from_millis(ms)
}

fn frame(kind: u8, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// Returns a response that consists of RowDescription, DataRow, CommandComplete and ReadyForQuery.
fn response(value: &[u8]) -> Vec<u8> {
    [frame(b'T', b"cols"), frame(b'D', value), frame(b'C', b"INSERT 0 1\0"), frame(b'Z', b"I")].concat()
}

fn engine(rules: &str) -> Engine {
    let links = "links:\n  - {name: a, listen: '127.0.0.1:0', to: '127.0.0.1:5432'}\n";
    Engine::new(
        at(0),
        Plan::read(&format!("{links}rules:\n{rules}")).unwrap_or_else(|error| panic!("{error}")),
    )
}

/// Passes `bytes` through an engine with these rules, in slices of `slice` bytes from the server on the first
/// connection. Returns the bytes that the engine sends to the client, all its operations other than those
/// sends, and its record.
fn play_response(rules: &str, bytes: &[u8], slice: usize) -> (Vec<u8>, Vec<Operation>, String) {
    let mut engine = engine(rules);
    let conn = engine.on_accepted(at(0), 0).connection;
    let operations: Vec<ScheduledOperation> =
        bytes.chunks(slice).flat_map(|part| engine.on_bytes(at(1), conn, Side::Server, part)).collect();
    let (mut out, mut other) = (Vec::new(), Vec::new());
    for scheduled in operations {
        match scheduled.operation {
            Operation::Send(Side::Client, bytes) => out.extend(bytes),
            operation => other.push(operation),
        }
    }
    (out, other, to_json_lines(engine.record()))
}

#[test]
fn each_action_changes_the_stream_as_documented() {
    let two = [response(b"one"), response(b"two")].concat();
    let play = |rule: &str| play_response(&format!("  - {rule}\n"), &two, 7);
    let row = |value: &[u8]| frame(b'D', value);
    assert_eq!(
        play("{name: r, when: {message: DataRow, nth: 9}, do: drop}").0,
        two,
        "the rule matches nothing"
    );
    let (out, ..) = play("{name: r, when: {message: DataRow, holds: two}, do: drop}");
    assert_eq!(out.len(), two.len() - row(b"two").len());
    let (out, ..) = play("{name: r, when: {message: CommandComplete}, do: swallow}");
    assert_eq!(out, [frame(b'T', b"cols"), row(b"one"), response(b"two")].concat());
    let (out, ..) = play("{name: r, when: {message: ReadyForQuery}, do: silence}");
    assert_eq!(out, two[..response(b"one").len() - 6]);
    let (out, ..) = play("{name: r, when: {message: DataRow}, do: duplicate}");
    assert_eq!(out.len(), two.len() + row(b"one").len());
    let (out, ..) = play("{name: r, when: {message: RowDescription}, do: repeat}");
    assert_eq!(out, [response(b"one"), two.clone()].concat());
    let (out, ..) = play("{name: r, when: {message: RowDescription}, do: reorder}");
    assert_eq!(out, [response(b"two"), response(b"one")].concat());
    let (out, ..) = play("{name: r, when: {message: ReadyForQuery}, do: {noise: {bytes: 5}}}");
    assert_eq!(out.len(), two.len() + 5);
    let (out, ..) = play("{name: r, when: {message: DataRow}, do: {garble: {bytes: 1}}}");
    let changed_bytes = out.iter().zip(&two).filter(|(one, two)| one != two).count();
    assert_eq!((out.len(), changed_bytes), (two.len(), 1));
    assert_eq!(out[..14], two[..14], "the header is unchanged");
    let (out, ..) = play("{name: r, when: {message: DataRow}, do: {set: {at: 6, to: 33}}}");
    assert_eq!((out[15], out.len()), (33, two.len()), "only the seventh byte of the message is set");
    let (out, ..) = play("{name: r, when: {message: DataRow}, do: flip_length}");
    let changed: Vec<usize> = (0..out.len()).filter(|&nth| out[nth] != two[nth]).collect();
    assert!(changed.len() == 1 && (10..14).contains(&changed[0]), "{changed:?}");
    let (out, other, _) = play("{name: r, when: {message: DataRow}, do: {truncate: {keep: 2}}}");
    assert_eq!((out.len(), &other[..]), (11, &[Operation::Close][..]));
    let (out, other, _) =
        play("{name: r, when: {message: CommandComplete}, do: {half_close: {side: server}}}");
    assert_eq!((out.len(), &other[..]), (two.len(), &[Operation::EndDirection(Side::Client)][..]));
    for (action, operation) in [("close", Operation::Close), ("reset", Operation::Reset)] {
        let (out, other, _) = play(&format!("{{name: r, when: {{message: CommandComplete}}, do: {action}}}"));
        assert_eq!((out, other), ([frame(b'T', b"cols"), row(b"one")].concat(), vec![operation]));
    }
    // A trigger by an exact byte selects the message that contains the byte.
    let (out, ..) = play("{name: r, when: {byte: 12}, do: drop}");
    assert_eq!(out, [&two[..9], &two[17..]].concat());
}

#[test]
fn delays_rates_and_slices_keep_the_order_and_held_bytes_pass_when_the_rule_is_lifted() {
    let mut engine = engine(
        "  - {name: r, when: {message: DataRow}, do: {delay: {ms: 20}}}\n  - {name: s, when: {message: CommandComplete}, do: {slice: {gap_ms: 1}}}\n",
    );
    let conn = engine.on_accepted(at(0), 0).connection;
    let operations = engine.on_bytes(at(0), conn, Side::Server, &response(b"one"));
    let times: Vec<i64> =
        operations.iter().map(|scheduled| (scheduled.at - at(0)).nanos() / 1_000_000).collect();
    assert_eq!((times[0], times[1], times[2], times.last()), (0, 20, 20, Some(&36)), "{times:?}");
    assert!(times.is_sorted() && operations.len() == 3 + 16);
    let mut engine = self::engine("  - {name: r, when: {message: DataRow}, do: hold}\n");
    let conn = engine.on_accepted(at(0), 0).connection;
    assert_eq!(
        engine.on_bytes(at(0), conn, Side::Server, &response(b"one")).len(),
        1,
        "the message before the held one passes"
    );
    assert!(engine.lift_rule(at(5), "q").is_err());
    let operations = engine.lift_rule(at(5), "r").expect("the rule is active");
    assert!(
        matches!(&operations[..], [ScheduledOperation { operation: Operation::Send(Side::Client, bytes), .. }]
            if bytes.len() == response(b"one").len() - 9)
    );
    // The rule holds back all bytes without end. The loop ends only because the engine stops reading from the sender at
    // the limit of held bytes.
    let mut engine = self::engine("  - {name: r, do: hold}\n");
    let conn = engine.on_accepted(at(0), 0).connection;
    while engine.may_read(conn, Side::Server, 0) {
        engine.on_bytes(at(0), conn, Side::Server, &frame(b'D', &[0; 60_000]));
    }
    let rate = "  - {name: r, do: {rate: {bytes_per_s: 1000}}}\n";
    let mut engine = self::engine(rate);
    let conn = engine.on_accepted(at(0), 0).connection;
    let operations = engine.on_bytes(at(0), conn, Side::Server, &frame(b'D', &[0; 495]));
    assert_eq!(operations[0].at, at(500));
}

#[test]
fn rules_are_triggered_by_connection_by_another_rule_and_at_the_opening() {
    let rules = "  - {name: first, when: {connection: 2, message: Query, from: client}, do: drop}\n  \
                 - {name: then, when: {seen: first, message: DataRow}, do: drop}\n  \
                 - {name: refused, when: {opens: true, connection: 3}, do: refuse}\n  \
                 - {name: never, when: {connection: 9}, do: drop}\n";
    let mut engine = engine(rules);
    let startup = [&8u32.to_be_bytes()[..], &[0, 3, 0, 0]].concat();
    let query = [startup, frame(b'Q', b"x\0")].concat();
    let AcceptedConnection { connection: one, forwarded, .. } = engine.on_accepted(at(0), 0);
    assert!(forwarded);
    assert_eq!(engine.on_bytes(at(0), one, Side::Client, &query).len(), 2);
    assert_eq!(
        engine.on_bytes(at(0), one, Side::Server, &response(b"v")).len(),
        4,
        "the rule named by `seen` has not acted yet"
    );
    let two = engine.on_accepted(at(0), 0).connection;
    assert_eq!(engine.on_bytes(at(0), two, Side::Client, &query).len(), 1);
    assert_eq!(
        engine.on_bytes(at(0), one, Side::Server, &response(b"v")).len(),
        3,
        "the rule named by `seen` has acted on another connection"
    );
    let AcceptedConnection { forwarded, operations, .. } = engine.on_accepted(at(0), 0);
    assert!(!forwarded && operations[0].operation == Operation::Reset);
    assert_eq!(engine.never_fired(), ["never"]);
    assert_eq!(engine.rule_states()[0], RuleState { name: "first", hits: 1, live: false });
    assert!(
        engine
            .add_rule(
                ladderpass_fault_injection::Rule::read("{name: never, do: drop}")
                    .expect("the rule can be read")
            )
            .is_err()
    );
}

quickcheck! {
    /// The same plan with the same traffic gives the same record and the same operations for any slicing of the bytes.
    fn the_same_plan_and_traffic_give_the_same_record_and_operations(seed: u64, values: Vec<Vec<u8>>, slice: usize) -> bool {
        let links = Plan::read("links: [{name: a, listen: '127.0.0.1:0', to: '127.0.0.1:5432'}]").expect("the plan is valid").links;
        let bytes: Vec<u8> = values.iter().flat_map(|value| response(value)).collect();
        let run = |slice: usize| {
            let mut engine = Engine::new(at(0), Plan::drawn(seed, 12, links.clone()));
            let conn = engine.on_accepted(at(0), 0).connection;
            let parts = bytes.chunks(slice);
            let operations: Vec<ScheduledOperation> =
                parts.flat_map(|part| engine.on_bytes(at(1), conn, Side::Server, part)).collect();
            (operations, engine.record().to_vec())
        };
        let (whole, sliced) = (run(bytes.len().max(1)), run(slice % 50 + 1));
        assert_eq!(first_difference(&whole.1, &sliced.1), None);
        whole.0 == sliced.0
    }

    /// Without rules all bytes reach the other side unchanged.
    fn without_rules_all_bytes_pass_unchanged(bytes: Vec<u8>, slice: usize) -> bool {
        let mut engine = engine(" []\n");
        let conn = engine.on_accepted(at(0), 0).connection;
        let parts = bytes.chunks(slice % 20 + 1);
        let mut operations: Vec<ScheduledOperation> =
            parts.flat_map(|part| engine.on_bytes(at(1), conn, Side::Server, part)).collect();
        operations.extend(engine.on_end(at(2), conn, Side::Server));
        let mut out = Vec::new();
        for scheduled in operations {
            if let Operation::Send(Side::Client, bytes) = scheduled.operation {
                out.extend(bytes);
            }
        }
        out == bytes
    }
}
