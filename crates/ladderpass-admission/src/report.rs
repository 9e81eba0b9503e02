//! The form of what a router tells of one group: some forty bytes, amounts by their logarithm (within 4%).
//!
//! It owns the form alone. What can't be read is dropped from there on. It must never weigh a word.

use ladderpass_routing::Span;

/// What one router asked of a group, and met there, over the last second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupReport {
    /// The router, by a number that all know it by.
    pub router: u32,
    /// Higher is newer, around the clock.
    pub sequence: u16,
    /// How old it is when it is told.
    pub age: Span,
    pub group: u32,
    /// RPCs a second that came, by rank, the highest first.
    pub offered: Vec<(u8, f64)>,
    /// RPCs a second that were served, and that were let in and could be sent nowhere.
    pub served: f64,
    pub unplaced: f64,
    /// What it believes that the group can be given, RPCs a second.
    pub admitted: f64,
    /// Call-outs a second: first ones; further ones that were wanted, paid for, and answered well.
    pub retry_rates: [f64; 4],
    pub members: Vec<MemberReport>,
}

/// What it met at one member.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemberReport {
    pub id_hash: u16,
    /// In flight on average; answer time over the usual one; what it believes that all may have in flight there.
    pub in_flight: f64,
    pub latency_ratio: f64,
    pub capacity: f64,
}

const LEAST: f64 = 0.01;
const STEP: f64 = 1.065;
const AGE_STEP: Span = Span::from_millis(50);
const RANKS: usize = 6;
const MEMBERS: usize = 8;

fn pack(value: f64) -> u8 {
    if value < LEAST {
        return 0;
    }
    (1.0 + ((value / LEAST).ln() / STEP.ln()).round()).clamp(1.0, 255.0) as u8
}

fn unpack(byte: u8) -> f64 {
    if byte == 0 { 0.0 } else { LEAST * STEP.powi(i32::from(byte) - 1) }
}

/// What a bundle of words begins with: one of another form is not read, so that routers of two versions may stand side by side.
pub const REPORT_VERSION: u8 = 2;

/// Appends it, where it has room.
pub fn write(word: &GroupReport, bytes: &mut Vec<u8>, most: usize) -> bool {
    let (ranks, members) = (word.offered.len().min(RANKS), word.members.len().min(MEMBERS));
    if bytes.len() + 4 + 2 + 1 + 4 + 1 + 2 * ranks + 7 + 5 * members > most {
        return false;
    }
    bytes.extend(word.router.to_be_bytes());
    bytes.extend(word.sequence.to_be_bytes());
    bytes.push((word.age.nanos() / AGE_STEP.nanos()).clamp(0, 255) as u8);
    bytes.extend(word.group.to_be_bytes());
    bytes.push((ranks << 4 | members) as u8);
    for (rank, rate) in &word.offered[..ranks] {
        bytes.extend([*rank, pack(*rate)]);
    }
    bytes.extend([pack(word.served), pack(word.unplaced), pack(word.admitted)]);
    bytes.extend(word.retry_rates.map(pack));
    for told in &word.members[..members] {
        bytes.extend(told.id_hash.to_be_bytes());
        bytes.extend([pack(told.in_flight), pack(told.latency_ratio), pack(told.capacity)]);
    }
    true
}

fn take<const N: usize>(rest: &mut &[u8]) -> Option<[u8; N]> {
    let (head, tail) = rest.split_first_chunk::<N>()?;
    *rest = tail;
    Some(*head)
}

fn one(rest: &mut &[u8]) -> Option<GroupReport> {
    let who = u32::from_be_bytes(take(rest)?);
    let number = u16::from_be_bytes(take(rest)?);
    let [age] = take(rest)?;
    let group = u32::from_be_bytes(take(rest)?);
    let [counts] = take(rest)?;
    let mut asked = Vec::new();
    for _ in 0..counts >> 4 {
        let [rank, rate] = take(rest)?;
        asked.push((rank, unpack(rate)));
    }
    let [served, unsent, admits] = take(rest)?;
    let again = take(rest)?.map(unpack);
    let mut members = Vec::new();
    for _ in 0..counts & 15 {
        let mark = u16::from_be_bytes(take(rest)?);
        let [in_flight, stretch, room] = take(rest)?;
        let (in_flight, stretch, room) = (unpack(in_flight), unpack(stretch), unpack(room));
        members.push(MemberReport { id_hash: mark, in_flight, latency_ratio: stretch, capacity: room });
    }
    let age = AGE_STEP * f64::from(age);
    let (served, unsent, admits) = (unpack(served), unpack(unsent), unpack(admits));
    Some(GroupReport {
        router: who,
        sequence: number,
        age,
        group,
        offered: asked,
        served,
        unplaced: unsent,
        admitted: admits,
        retry_rates: again,
        members,
    })
}

pub fn read(bytes: &[u8]) -> Vec<GroupReport> {
    let Some((&REPORT_VERSION, mut rest)) = bytes.split_first() else { return Vec::new() };
    std::iter::from_fn(|| one(&mut rest)).collect()
}
