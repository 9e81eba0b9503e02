//! The form of what routers tell each other of members.

use ladderpass_config::gossip::{MAX_UPDATES_PER_MESSAGE, OBSERVATIONS, UPDATE_LETTERS, read, write};
use ladderpass_routing::{MemberObservation, Span};

#[test]
fn a_word_comes_back_as_it_was_told_or_a_little_older() {
    for (mark, told_ms, now_ms) in [(0, 0, 0), (1 << 29, 5, 9), (12_345, 9_000_000, 9_000_100)] {
        let at = Span::from_nanos(told_ms * 1_000_000 + 999_999);
        for word in OBSERVATIONS {
            let text = write(63, [(mark, word, at, 2.0, None)].into_iter());
            assert_eq!(text.len(), 1 + UPDATE_LETTERS);
            let (zone, words) = read(&text, Span::from_millis(now_ms + 1)).unwrap();
            assert_eq!(
                (zone, words.collect()),
                (63, vec![(mark, word, Span::from_millis(told_ms), 2.0, None)])
            );
        }
    }
    let full = write(
        0,
        (0..MAX_UPDATES_PER_MESSAGE as u32)
            .map(|mark| (mark, MemberObservation::Unreachable, Span::ZERO, 1e9, Some(1e9))),
    );
    assert!(full.len() <= 256);
}

#[test]
fn what_cannot_be_read_is_dropped() {
    let good = write(1, [(7, MemberObservation::Replica, Span::from_millis(3), 0.0, Some(3.0))].into_iter());
    for text in ["", "short", "\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}", "#########", "AAAA AAAA"] {
        let count = |text: &str| read(text, Span::from_millis(9)).map_or(0, |(_, words)| words.count());
        assert_eq!(count(&format!("B{text}")), 0, "{text}");
        assert_eq!(count(&format!("{good}{text}")), 1, "{text}");
    }
    assert!(read("", Span::ZERO).is_none() && read("\u{e9}", Span::ZERO).is_none());
}
