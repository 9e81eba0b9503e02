//! The text form of the gossip messages in which routers exchange what they have observed of the members.
//!
//! A message consists of letters of an alphabet of 64. The first letter is a hash of the sender's zone. Ten letters for
//! each update follow: five for the member's id hash, four for the kind of the observation and the time of the
//! observation, and one for a latency ratio or a number of RPCs. A router drops what it can't decode, so that routers
//! of another version do no harm.

use crate::names::{IdHashes, NameIndex, id_hash};
use ladderpass_routing::{MemberId, MemberObservation, MemberUpdate, Span, Time};

/// The maximum number of updates in one gossip message. With more updates, the text of a message would exceed 256
/// bytes, which is not allowed.
pub const MAX_UPDATES_PER_MESSAGE: usize = 25;
/// The number of letters that one update has in a gossip message.
#[doc(hidden)]
pub const UPDATE_LETTERS: usize = 10;
/// The kinds of observations. The index of a kind is its code in gossip messages.
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
/// How many of the low bits of a time in milliseconds are sent in an update. These bits wrap around after about 70
/// minutes.
const TIME_BITS: u32 = 22;
const NANOS_PER_MS: i64 = 1_000_000;

/// The value of the last letter of an update that has neither a latency ratio nor a number of RPCs.
const NO_VALUE: u64 = 0;
const LATENCY_RATIO_SCALE: LogScale = LogScale { first_code: 1, smallest: 0.5 };
/// The scale for the number of RPCs in flight at a member. The scale encodes the number plus one, because zero has no
/// logarithm.
const IN_FLIGHT_SCALE: LogScale = LogScale { first_code: 32, smallest: 1.0 };

/// A logarithmic scale for the last letter of an update. A letter has 64 values, and each of the two scales uses up to
/// half of them.
struct LogScale {
    first_code: u64,
    /// The value that the first code of the scale stands for.
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
    /// The time from which all routers count the times in gossip messages.
    origin: Time,
    /// A hash of this router's zone that fits in one letter.
    zone: u32,
    /// The indices of the members that this router knows, by the members' id hashes.
    pub id_hashes: IdHashes,
}

impl GossipCodec {
    /// Creates a codec without any members. All routers must count their times from the same `origin`.
    pub fn new(origin: Time, zone: &str) -> GossipCodec {
        GossipCodec { origin, zone: id_hash(zone) & LETTER_MASK, id_hashes: IdHashes::default() }
    }

    /// Encodes the updates as messages. Omits updates of members that are not in `id_hashes`, and of members whose id
    /// hash is also that of another member.
    pub fn encode(&self, updates: &[MemberUpdate], names: &NameIndex) -> Vec<String> {
        let encode_message = |updates: &[MemberUpdate]| {
            let encoded = updates.iter().filter_map(|update| self.encode_update(update, names));
            GossipMessage { zone: self.zone, updates: encoded.collect() }.encode()
        };
        updates.chunks(MAX_UPDATES_PER_MESSAGE).map(encode_message).collect()
    }

    /// Decodes the updates of a message that was received at `now`. Drops updates that can't be decoded, and updates
    /// whose id hash stands for no member that this router knows, or for several members.
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

/// An update about a member, in the form in which a gossip message carries it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EncodedUpdate {
    /// The hash of the id of the member that the update is about.
    pub id_hash: u32,
    /// The kind of the sender's observation of the member.
    pub observation: MemberObservation,
    /// The time of the observation ([`MemberUpdate::at`]), counted from the origin that all routers share.
    pub at: Span,
    /// The member's latency as a multiple of the typical latency, or zero if the latency is unknown.
    pub latency_ratio: f64,
    /// The number of RPCs in flight at the member, if this number is known. An encoded update with this number has no
    /// latency ratio.
    pub in_flight: Option<f64>,
}

/// A gossip message.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipMessage {
    /// A hash of the sender's zone that fits in one letter.
    pub zone: u32,
    /// The updates that the message carries, at most [`MAX_UPDATES_PER_MESSAGE`] of them.
    pub updates: Vec<EncodedUpdate>,
}

impl GossipMessage {
    /// Encodes the message as text.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        push_number(&mut text, u64::from(self.zone), 1);
        for update in &self.updates {
            push_update(&mut text, update);
        }
        text
    }

    /// Decodes the text of a message that was received at `now`. `now` and the times of the updates are counted from
    /// the origin that all routers share, and the times of the updates are taken to be no later than `now`. Omits
    /// updates that can't be decoded. Returns `None` if the sender's zone can't be decoded.
    pub fn decode(text: &str, now: Span) -> Option<GossipMessage> {
        let (zone, updates) = text.as_bytes().split_at_checked(1)?;
        let updates = updates.chunks_exact(UPDATE_LETTERS).filter_map(|letters| parse_update(letters, now));
        Some(GossipMessage { zone: parse_number(zone)? as u32, updates: updates.collect() })
    }
}

fn push_update(text: &mut String, update: &EncodedUpdate) {
    let observation = OBSERVATIONS.iter().position(|&known| known == update.observation);
    let observation = observation.unwrap_or_default() as u64;
    // The time of the observation is rounded down to milliseconds, because an observation must not become newer in
    // transit.
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

/// Appends the lowest bits of a number to `text` as `letters` letters, the most significant letter first.
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
