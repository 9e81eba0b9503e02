//! The text of a message between instances: a letter for the teller's zone, then ten for each word, of 64 kinds.
//!
//! It owns the form alone. It must never decide what is told, nor what a word is worth. A reader drops what it can't
//! read, so that instances of another version do no harm.

use crate::names::{IdHashes, NameIndex, id_hash};
use ladderpass_routing::{MemberId, MemberObservation, MemberUpdate, Span, Time};

/// Most words in one message of 256 bytes.
pub const MAX_UPDATES_PER_MESSAGE: usize = 25;
const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
const MARK_LETTERS: usize = 5;
#[doc(hidden)]
pub const UPDATE_LETTERS: usize = 10;
/// The last letter: zero for nothing, the lower half for a stretch, the upper one for what it holds, in steps of
/// a quarter of a doubling.
const STEPS: f64 = 4.0;
const STRETCH: (u64, f64) = (1, 0.5);
const HOLDS: (u64, f64) = (32, 1.0);
const HALF: f64 = 30.0;
/// Times go in milliseconds, of which these bits are told: they come round after more than an hour.
const TIME_BITS: u32 = 22;

/// What a front needs for messages: where times count from, the letter of its zone, and members by their marks.
pub struct GossipCodec {
    zero: Time,
    zone: u32,
    pub id_hashes: IdHashes,
}

impl GossipCodec {
    pub fn new(zero: Time, zone: &str) -> GossipCodec {
        GossipCodec { zero, zone: id_hash(zone) & 63, id_hashes: IdHashes::default() }
    }

    /// The messages that tell these news, of members by these names.
    pub fn encode(&self, news: &[MemberUpdate], names: &NameIndex) -> Vec<String> {
        let told = |news: &MemberUpdate| {
            let mark = id_hash(names.name(news.member.0));
            self.id_hashes
                .get(mark)
                .map(|_| (mark, news.observation, news.at - self.zero, news.latency_ratio, news.in_flight))
        };
        news.chunks(MAX_UPDATES_PER_MESSAGE)
            .map(|news| write(self.zone, news.iter().filter_map(told)))
            .collect()
    }

    /// What a message tells. What can't be read, or names no known member, is dropped.
    pub fn decode(&self, text: &str, now: Time) -> Vec<MemberUpdate> {
        let Some((zone, words)) = read(text, now - self.zero) else { return Vec::new() };
        let news = |(mark, word, at, stretch, holds)| {
            let member = MemberId(self.id_hashes.get(mark)?);
            Some(MemberUpdate {
                member,
                observation: word,
                at: self.zero + at,
                same_zone: zone == self.zone,
                latency_ratio: stretch,
                in_flight: holds,
            })
        };
        words.filter_map(news).collect()
    }
}

/// A node's mark, what is said of it, a time from the common zero, its stretch, or what it holds.
pub type EncodedUpdate = (u32, MemberObservation, Span, f64, Option<f64>);
#[doc(hidden)]
pub const OBSERVATIONS: [MemberObservation; 3] =
    [MemberObservation::Replica, MemberObservation::Primary, MemberObservation::Unreachable];

fn put(text: &mut String, number: u64, letters: usize) {
    for nth in (0..letters).rev() {
        text.push(char::from(LETTERS[(number >> (6 * nth) & 63) as usize]));
    }
}

fn take(letters: &[u8]) -> Option<u64> {
    letters.iter().try_fold(0, |number, letter| {
        let value = LETTERS.iter().position(|known| known == letter)?;
        Some(number << 6 | value as u64)
    })
}

pub fn write(zone: u32, words: impl Iterator<Item = EncodedUpdate>) -> String {
    let mut text = String::new();
    put(&mut text, u64::from(zone), 1);
    for (mark, word, at, stretch, holds) in words {
        let word = OBSERVATIONS.iter().position(|&known| known == word).unwrap_or_default() as u64;
        // Rounded down: a position must not grow on the way.
        let at = at.nanos().div_euclid(1_000_000).rem_euclid(1 << TIME_BITS) as u64;
        put(&mut text, u64::from(mark), MARK_LETTERS);
        put(&mut text, at << 2 | word, UPDATE_LETTERS - MARK_LETTERS - 1);
        let steps = |(first, from): (u64, f64), value: f64| {
            first + ((value / from).log2() * STEPS).round().clamp(0.0, HALF) as u64
        };
        let last = match holds {
            Some(holds) => steps(HOLDS, holds + HOLDS.1),
            None if stretch > 0.0 => steps(STRETCH, stretch),
            None => 0,
        };
        put(&mut text, last, 1);
    }
    text
}

/// The zone of a message that came at `now`, and its words, none of which can be later.
pub fn read(text: &str, now: Span) -> Option<(u32, impl Iterator<Item = EncodedUpdate>)> {
    let now = now.nanos().div_euclid(1_000_000);
    let (zone, words) = text.as_bytes().split_at_checked(1)?;
    let words = words.chunks_exact(UPDATE_LETTERS).filter_map(move |word| {
        let (word, last) = word.split_at_checked(UPDATE_LETTERS - 1)?;
        let (mark, rest) = word.split_at_checked(MARK_LETTERS)?;
        let (mark, rest, steps) = (take(mark)?, take(rest)?, take(last)?);
        let value = |(first, from): (u64, f64)| from * ((steps - first) as f64 / STEPS).exp2();
        let stretch = if (STRETCH.0..HOLDS.0).contains(&steps) { value(STRETCH) } else { 0.0 };
        let holds = (steps >= HOLDS.0).then(|| value(HOLDS) - HOLDS.1);
        let age = (now - (rest >> 2) as i64).rem_euclid(1 << TIME_BITS);
        let word = *OBSERVATIONS.get((rest & 3) as usize)?;
        Some((mark as u32, word, Span::from_millis(now - age), stretch, holds))
    });
    Some((take(zone)? as u32, words))
}
