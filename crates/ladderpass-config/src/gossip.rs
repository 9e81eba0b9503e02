//! Text form of the gossip messages between routers: what each has observed of the members.
//!
//! A message is one letter for the sender's zone, then ten letters an update, of an alphabet of 64: five for the
//! member's id hash, four for the time of the observation and its kind, one for a latency ratio or an RPC count.
//! A reader drops what it can't read, so that routers of another version do no harm.

use crate::names::{IdHashes, NameIndex, id_hash};
use ladderpass_routing::{MemberId, MemberObservation, MemberUpdate, Span, Time};

/// Most updates in one message of 256 bytes.
pub const MAX_UPDATES_PER_MESSAGE: usize = 25;
/// Letters of one update.
#[doc(hidden)]
pub const UPDATE_LETTERS: usize = 10;
/// Observations by their code on the wire.
#[doc(hidden)]
pub const OBSERVATIONS: [MemberObservation; 3] =
    [MemberObservation::Replica, MemberObservation::Primary, MemberObservation::Unreachable];

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
const BITS_PER_LETTER: usize = 6;
const LETTER_MASK: u32 = (1 << BITS_PER_LETTER) - 1;
const ID_HASH_LETTERS: usize = 5;
const TIME_AND_OBSERVATION_LETTERS: usize = 4;
const OBSERVATION_BITS: u32 = 2;
const OBSERVATION_MASK: u64 = (1 << OBSERVATION_BITS) - 1;
/// Times are sent as so many low bits of their milliseconds, which wrap around after more than an hour.
const TIME_BITS: u32 = 22;
const NANOS_PER_MS: i64 = 1_000_000;

/// The last letter of an update that has neither a latency ratio nor an RPC count.
const NO_VALUE: u64 = 0;
const LATENCY_RATIO_SCALE: LogScale = LogScale { first_code: 1, smallest: 0.5 };
/// For the count plus one, so that zero has a logarithm.
const IN_FLIGHT_SCALE: LogScale = LogScale { first_code: 32, smallest: 1.0 };

/// Values on a logarithmic scale, as codes that fit in one half of the values of a letter.
struct LogScale {
    first_code: u64,
    /// The value of the first code.
    smallest: f64,
}

impl LogScale {
    const STEPS_PER_DOUBLING: f64 = 4.0;
    const LAST_STEP: f64 = 30.0;

    fn encode(&self, value: f64) -> u64 {
        let step = ((value / self.smallest).log2() * LogScale::STEPS_PER_DOUBLING).round();
        self.first_code + step.clamp(0.0, LogScale::LAST_STEP) as u64
    }

    fn decode(&self, code: u64) -> f64 {
        self.smallest * ((code - self.first_code) as f64 / LogScale::STEPS_PER_DOUBLING).exp2()
    }
}

/// Translates between a router's member updates and gossip messages.
pub struct GossipCodec {
    /// Where the times on the wire are counted from.
    origin: Time,
    /// Zone of this router, as the number that one letter holds.
    zone: u32,
    /// The members that this router knows, by the hashes of their ids.
    pub id_hashes: IdHashes,
}

impl GossipCodec {
    /// A codec that knows no member yet. All routers must count their times from the same `origin`.
    pub fn new(origin: Time, zone: &str) -> GossipCodec {
        GossipCodec { origin, zone: id_hash(zone) & LETTER_MASK, id_hashes: IdHashes::default() }
    }

    /// The messages that carry these updates. Members that share an id hash are left out.
    pub fn encode(&self, updates: &[MemberUpdate], names: &NameIndex) -> Vec<String> {
        let encode_message = |updates: &[MemberUpdate]| {
            let encoded = updates.iter().filter_map(|update| self.encode_update(update, names));
            GossipMessage { zone: self.zone, updates: encoded.collect() }.encode()
        };
        updates.chunks(MAX_UPDATES_PER_MESSAGE).map(encode_message).collect()
    }

    /// The updates of a message that was received at `now`. What can't be read, or is of an unknown member, is dropped.
    pub fn decode(&self, text: &str, now: Time) -> Vec<MemberUpdate> {
        let Some(message) = GossipMessage::decode(text, now - self.origin) else { return Vec::new() };
        let updates = message.updates.iter();
        updates.filter_map(|update| self.decode_update(update, message.zone)).collect()
    }

    fn encode_update(&self, update: &MemberUpdate, names: &NameIndex) -> Option<EncodedUpdate> {
        let id_hash = id_hash(names.name(update.member.0));
        self.id_hashes.get(id_hash)?;
        Some(EncodedUpdate {
            id_hash,
            observation: update.observation,
            at: update.at - self.origin,
            latency_ratio: update.latency_ratio,
            in_flight: update.in_flight,
        })
    }

    fn decode_update(&self, update: &EncodedUpdate, zone: u32) -> Option<MemberUpdate> {
        Some(MemberUpdate {
            member: MemberId(self.id_hashes.get(update.id_hash)?),
            observation: update.observation,
            at: self.origin + update.at,
            same_zone: zone == self.zone,
            latency_ratio: update.latency_ratio,
            in_flight: update.in_flight,
        })
    }
}

/// One update as a message carries it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EncodedUpdate {
    /// Hash of the member's id.
    pub id_hash: u32,
    /// What was observed.
    pub observation: MemberObservation,
    /// When it was observed, from the common origin.
    pub at: Span,
    /// Latency of the member as a multiple of the typical one; zero where none is known.
    pub latency_ratio: f64,
    /// RPCs in flight at the member, where they are known; such an update carries no latency ratio.
    pub in_flight: Option<f64>,
}

/// One message.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipMessage {
    /// Zone of the sender, as the number that one letter holds.
    pub zone: u32,
    /// Its updates, at most [`MAX_UPDATES_PER_MESSAGE`].
    pub updates: Vec<EncodedUpdate>,
}

impl GossipMessage {
    /// The text of the message.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        push_number(&mut text, u64::from(self.zone), 1);
        for update in &self.updates {
            push_update(&mut text, update);
        }
        text
    }

    /// The message of a text that was received at `now`, from the common origin: no update is later. Updates that can't
    /// be read are left out; none where there is no zone.
    pub fn decode(text: &str, now: Span) -> Option<GossipMessage> {
        let (zone, updates) = text.as_bytes().split_at_checked(1)?;
        let updates = updates.chunks_exact(UPDATE_LETTERS).filter_map(|letters| parse_update(letters, now));
        Some(GossipMessage { zone: parse_number(zone)? as u32, updates: updates.collect() })
    }
}

fn push_update(text: &mut String, update: &EncodedUpdate) {
    let observation = OBSERVATIONS.iter().position(|&known| known == update.observation);
    let observation = observation.unwrap_or_default() as u64;
    // Rounded down: an observation must not become newer on the way.
    let at_ms = update.at.nanos().div_euclid(NANOS_PER_MS).rem_euclid(1 << TIME_BITS) as u64;
    let value = match update.in_flight {
        Some(in_flight) => IN_FLIGHT_SCALE.encode(in_flight + IN_FLIGHT_SCALE.smallest),
        None if update.latency_ratio > 0.0 => LATENCY_RATIO_SCALE.encode(update.latency_ratio),
        None => NO_VALUE,
    };
    push_number(text, u64::from(update.id_hash), ID_HASH_LETTERS);
    push_number(text, at_ms << OBSERVATION_BITS | observation, TIME_AND_OBSERVATION_LETTERS);
    push_number(text, value, 1);
}

fn parse_update(letters: &[u8], now: Span) -> Option<EncodedUpdate> {
    let (id_hash, rest) = letters.split_at_checked(ID_HASH_LETTERS)?;
    let (time_and_observation, value) = rest.split_at_checked(TIME_AND_OBSERVATION_LETTERS)?;
    let id_hash = parse_number(id_hash)?;
    let time_and_observation = parse_number(time_and_observation)?;
    let value = parse_number(value)?;
    let now_ms = now.nanos().div_euclid(NANOS_PER_MS);
    let at_ms = (time_and_observation >> OBSERVATION_BITS) as i64;
    let age_ms = (now_ms - at_ms).rem_euclid(1 << TIME_BITS);
    let has_latency_ratio = (LATENCY_RATIO_SCALE.first_code..IN_FLIGHT_SCALE.first_code).contains(&value);
    let has_in_flight = value >= IN_FLIGHT_SCALE.first_code;
    Some(EncodedUpdate {
        id_hash: id_hash as u32,
        observation: *OBSERVATIONS.get((time_and_observation & OBSERVATION_MASK) as usize)?,
        at: Span::from_millis(now_ms - age_ms),
        latency_ratio: if has_latency_ratio { LATENCY_RATIO_SCALE.decode(value) } else { 0.0 },
        in_flight: has_in_flight.then(|| IN_FLIGHT_SCALE.decode(value) - IN_FLIGHT_SCALE.smallest),
    })
}

/// Appends the low bits of a number, the highest letter first.
fn push_number(text: &mut String, number: u64, letters: usize) {
    for nth in (0..letters).rev() {
        let value = (number >> (BITS_PER_LETTER * nth)) & u64::from(LETTER_MASK);
        text.push(char::from(ALPHABET[value as usize]));
    }
}

fn parse_number(letters: &[u8]) -> Option<u64> {
    letters.iter().try_fold(0, |number, letter| {
        let value = ALPHABET.iter().position(|known| known == letter)?;
        Some(number << BITS_PER_LETTER | value as u64)
    })
}
