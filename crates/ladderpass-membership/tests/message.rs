//! The form of a datagram between routers.

use ladderpass_membership::{FIRST_BYTE, Incarnation, Kind, Message, State, StateUpdate};

fn message() -> Message {
    let word = |text: &str, state, accuser| StateUpdate {
        router: text.parse().expect("an address"),
        state,
        incarnation: Incarnation::of_start(1_800_000_000_123).next(),
        suspected_by: accuser,
    };
    let words = vec![word("[fd00::7]:99", State::Suspect, 700), word("10.1.2.3:65535", State::Left, 0)];
    let own = word("127.0.0.9:7400", State::Alive, 0);
    Message {
        kind: Kind::PingRequest,
        sequence: 77,
        digest: 0xdead_beef,
        own,
        updates: words,
        piggyback: Vec::new(),
    }
}

#[test]
fn it_comes_back_as_it_was_written_and_cut_or_changed_it_is_dropped_or_another_whole_one() {
    let bytes = message().write();
    assert_eq!(bytes.len(), message().length());
    assert_eq!(Message::read(&bytes), Some(message()));
    for length in 0..bytes.len() {
        let cut = Message::read(&bytes[..length]);
        assert!(cut.is_none_or(|cut| cut.updates.len() < message().updates.len()), "{length}");
    }
    assert_eq!(Message::read(&[&bytes[..], &[0]].concat()), None);
    let loaded = Message { piggyback: vec![7, 8, 9], ..message() };
    assert_eq!(loaded.write().len(), loaded.length());
    assert_eq!(Message::read(&loaded.write()), Some(loaded));
}

#[test]
fn an_earlier_program_takes_it_for_noise() {
    // Its words are letters, digits, - and _.
    assert!(!FIRST_BYTE.is_ascii_alphanumeric() && FIRST_BYTE != b'-' && FIRST_BYTE != b'_');
}

#[test]
fn a_later_life_counts_for_more_than_any_word_on_an_earlier_one() {
    let first = Incarnation::of_start(1000);
    let contradicted = (0..100).fold(first, |word, _| word.next());
    assert!(first < contradicted && contradicted < Incarnation::of_start(1001));
    assert!(contradicted.next_life() > contradicted && contradicted.next_life().started_ms() == 1001);
    assert!(Incarnation(u64::MAX).next() >= Incarnation(u64::MAX));
    assert!(Incarnation(u64::MAX).next_life() <= Incarnation(u64::MAX).next());
}
