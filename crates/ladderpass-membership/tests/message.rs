//! Encoding and decoding of a datagram between routers.

use ladderpass_membership::{FIRST_BYTE, Incarnation, Kind, Message, State, StateUpdate};

fn message() -> Message {
    let update = |text: &str, state, suspected_by| StateUpdate {
        router: text.parse().expect("valid address"),
        state,
        incarnation: Incarnation::of_start(1_800_000_000_123).next(),
        suspected_by,
    };
    let updates = vec![update("[fd00::7]:99", State::Suspect, 700), update("10.1.2.3:65535", State::Left, 0)];
    let sender_state = update("127.0.0.9:7400", State::Alive, 0);
    Message {
        kind: Kind::PingRequest,
        sequence: 77,
        digest: 0xdead_beef,
        sender_state,
        updates,
        piggyback: Vec::new(),
    }
}

#[test]
fn a_datagram_decodes_to_the_encoded_message_and_a_truncated_one_is_dropped_or_has_fewer_updates() {
    let original = message();
    let bytes = original.encode();
    assert_eq!(bytes.len(), message().encoded_bytes());
    assert_eq!(Message::decode(&bytes), Some(message()));
    for length in 0..bytes.len() {
        let truncated = Message::decode(&bytes[..length]);
        assert!(
            truncated.is_none_or(|message| message.updates.len() < original.updates.len()),
            "truncated to {length} bytes"
        );
    }
    assert_eq!(Message::decode(&[&bytes[..], &[0]].concat()), None);
    let with_piggyback = Message { piggyback: vec![7, 8, 9], ..message() };
    assert_eq!(with_piggyback.encode().len(), with_piggyback.encoded_bytes());
    assert_eq!(Message::decode(&with_piggyback.encode()), Some(with_piggyback));
}

#[test]
fn no_legacy_gossip_starts_with_the_first_byte() {
    // Legacy gossip consists only of letters, digits, `-` and `_`.
    assert!(!FIRST_BYTE.is_ascii_alphanumeric() && FIRST_BYTE != b'-' && FIRST_BYTE != b'_');
}

#[test]
fn a_later_start_has_a_higher_incarnation_than_every_refutation_of_an_earlier_start() {
    let first = Incarnation::of_start(1000);
    let refuted = (0..100).fold(first, |incarnation, _| incarnation.next());
    assert!(first < refuted && refuted < Incarnation::of_start(1001));
    assert!(refuted.next_start() > refuted && refuted.next_start().started_ms() == 1001);
    assert!(Incarnation(u64::MAX).next() >= Incarnation(u64::MAX));
    assert!(Incarnation(u64::MAX).next_start() <= Incarnation(u64::MAX).next());
}
