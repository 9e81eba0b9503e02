//! The text form of the gossip messages: decoded updates equal the encoded ones, and text that can't be decoded is
//! dropped.

use ladderpass_config::gossip::{
    EncodedUpdate, GossipMessage, MAX_UPDATES_PER_MESSAGE, OBSERVATIONS, UPDATE_LETTERS,
};
use ladderpass_routing::{MemberObservation, Span};

#[test]
fn a_decoded_update_equals_the_encoded_one_with_its_time_rounded_down() {
    for (id_hash, sent_ms, received_ms) in [(0, 0, 0), (1 << 29, 5, 9), (12_345, 9_000_000, 9_000_100)] {
        let at = Span::from_nanos(sent_ms * 1_000_000 + 999_999);
        for observation in OBSERVATIONS {
            let update = EncodedUpdate { id_hash, observation, at, latency_ratio: 2.0, in_flight: None };
            let text = GossipMessage { zone: 63, updates: vec![update] }.encode();
            assert_eq!(text.len(), 1 + UPDATE_LETTERS);
            let message = GossipMessage::decode(&text, Span::from_millis(received_ms + 1)).unwrap();
            let expected = EncodedUpdate { at: Span::from_millis(sent_ms), ..update };
            assert_eq!((message.zone, message.updates), (63, vec![expected]));
        }
    }
    let largest = |id_hash| EncodedUpdate {
        id_hash,
        observation: MemberObservation::Unreachable,
        at: Span::ZERO,
        latency_ratio: 1e9,
        in_flight: Some(1e9),
    };
    let updates = (0..MAX_UPDATES_PER_MESSAGE as u32).map(largest).collect();
    let full = GossipMessage { zone: 0, updates }.encode();
    assert!(full.len() <= 256);
}

#[test]
fn text_that_cannot_be_decoded_is_dropped() {
    let update = EncodedUpdate {
        id_hash: 7,
        observation: MemberObservation::Replica,
        at: Span::from_millis(3),
        latency_ratio: 0.0,
        in_flight: Some(3.0),
    };
    let good = GossipMessage { zone: 1, updates: vec![update] }.encode();
    for text in ["", "short", "\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}", "#########", "AAAA AAAA"] {
        let decode = |text: &str| GossipMessage::decode(text, Span::from_millis(9));
        let count = |text: &str| decode(text).map_or(0, |message| message.updates.len());
        assert_eq!(count(&format!("B{text}")), 0, "{text}");
        assert_eq!(count(&format!("{good}{text}")), 1, "{text}");
    }
    assert!(GossipMessage::decode("", Span::ZERO).is_none());
    assert!(GossipMessage::decode("\u{e9}", Span::ZERO).is_none());
}
