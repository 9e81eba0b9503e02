//! The encoding of what a router reports of one group: some forty bytes, with amounts on a logarithmic scale (within
//! 4%).
//!
//! What can't be decoded is dropped, with all that follows it.

use ladderpass_retry_budget::RetryRates;
use ladderpass_routing::Span;

/// The first byte of a bundle of reports. One of another version is dropped, so that routers of two versions can run
/// side by side.
pub const REPORT_VERSION: u8 = 2;

/// Amounts: 0, or a power of the step times the least amount.
const MIN_AMOUNT: f64 = 0.01;
const AMOUNT_STEP: f64 = 1.065;
const AGE_STEP: Span = Span::from_millis(50);
/// The most priorities and members in a report: their counts share a byte.
const MAX_PRIORITIES: usize = 6;
pub(crate) const MAX_MEMBERS: usize = 8;

/// Router, sequence, age, group and the byte with the counts.
const HEAD_BYTES: usize = 4 + 2 + 1 + 4 + 1;
const PRIORITY_BYTES: usize = 1 + 1;
/// Served, unplaced, admitted and the four retry rates.
const RATES_BYTES: usize = 3 + 4;
const MEMBER_BYTES: usize = 2 + 3;

/// What one router was offered for a group over the last second, and what became of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupReport {
    /// The id of the router.
    pub router: u32,
    /// Of two reports of a router the later one has the higher number, modulo 2^16.
    pub sequence: u16,
    /// How old the report is when it is sent.
    pub age: Span,
    /// The id of the group.
    pub group: u32,
    /// What it was offered, the highest priority first.
    pub offered: Vec<OfferedRate>,
    /// RPCs a second that were served.
    pub served: f64,
    /// RPCs a second that were admitted and that no member had capacity for.
    pub unplaced: f64,
    /// The router's estimate of how many RPCs a second all routers can admit.
    pub admitted: f64,
    /// Its first attempts and retries.
    pub retry_rates: RetryRates,
    /// What the router observed at members.
    pub members: Vec<MemberReport>,
}

/// How much of one priority a router was offered.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OfferedRate {
    /// The priority.
    pub priority: u8,
    /// RPCs a second.
    pub per_second: f64,
}

/// What one router observed at a member.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemberReport {
    /// The id of the member.
    pub id_hash: u16,
    /// RPCs of this router in flight there, on average.
    pub in_flight: f64,
    /// Latency, as a multiple of the typical one.
    pub latency_ratio: f64,
    /// The router's estimate of how many RPCs all routers can have in flight there.
    pub capacity: f64,
}

fn encode_amount(amount: f64) -> u8 {
    if amount < MIN_AMOUNT {
        return 0;
    }
    (1.0 + ((amount / MIN_AMOUNT).ln() / AMOUNT_STEP.ln()).round()).clamp(1.0, 255.0) as u8
}

fn decode_amount(byte: u8) -> f64 {
    if byte == 0 { 0.0 } else { MIN_AMOUNT * AMOUNT_STEP.powi(i32::from(byte) - 1) }
}

/// Appends a report to a bundle, unless the bundle would exceed `max_bytes`. True where it was appended.
pub fn append_report(report: &GroupReport, bytes: &mut Vec<u8>, max_bytes: usize) -> bool {
    let priorities = report.offered.len().min(MAX_PRIORITIES);
    let members = report.members.len().min(MAX_MEMBERS);
    let length = HEAD_BYTES + PRIORITY_BYTES * priorities + RATES_BYTES + MEMBER_BYTES * members;
    if bytes.len() + length > max_bytes {
        return false;
    }
    bytes.extend(report.router.to_be_bytes());
    bytes.extend(report.sequence.to_be_bytes());
    bytes.push((report.age.nanos() / AGE_STEP.nanos()).clamp(0, 255) as u8);
    bytes.extend(report.group.to_be_bytes());
    bytes.push((priorities << 4 | members) as u8);
    for offered in &report.offered[..priorities] {
        bytes.extend([offered.priority, encode_amount(offered.per_second)]);
    }
    bytes.extend([report.served, report.unplaced, report.admitted].map(encode_amount));
    bytes.extend(report.retry_rates.to_array().map(encode_amount));
    for member in &report.members[..members] {
        bytes.extend(member.id_hash.to_be_bytes());
        bytes.extend([member.in_flight, member.latency_ratio, member.capacity].map(encode_amount));
    }
    true
}

/// Decodes a bundle, up to the first report that is malformed.
pub fn decode_reports(bytes: &[u8]) -> Vec<GroupReport> {
    let Some((&REPORT_VERSION, mut rest)) = bytes.split_first() else { return Vec::new() };
    std::iter::from_fn(|| decode_report(&mut rest)).collect()
}

fn decode_report(rest: &mut &[u8]) -> Option<GroupReport> {
    let router = u32::from_be_bytes(take_bytes(rest)?);
    let sequence = u16::from_be_bytes(take_bytes(rest)?);
    let [age] = take_bytes(rest)?;
    let group = u32::from_be_bytes(take_bytes(rest)?);
    let [counts] = take_bytes(rest)?;
    let mut offered = Vec::new();
    for _ in 0..counts >> 4 {
        let [priority, rate] = take_bytes(rest)?;
        offered.push(OfferedRate { priority, per_second: decode_amount(rate) });
    }
    let [served, unplaced, admitted] = take_bytes(rest)?.map(decode_amount);
    let retry_rates = RetryRates::from_array(take_bytes(rest)?.map(decode_amount));
    let mut members = Vec::new();
    for _ in 0..counts & 15 {
        members.push(decode_member(rest)?);
    }
    Some(GroupReport {
        router,
        sequence,
        age: AGE_STEP * f64::from(age),
        group,
        offered,
        served,
        unplaced,
        admitted,
        retry_rates,
        members,
    })
}

fn decode_member(rest: &mut &[u8]) -> Option<MemberReport> {
    let id_hash = u16::from_be_bytes(take_bytes(rest)?);
    let [in_flight, latency_ratio, capacity] = take_bytes(rest)?.map(decode_amount);
    Some(MemberReport { id_hash, in_flight, latency_ratio, capacity })
}

fn take_bytes<const N: usize>(rest: &mut &[u8]) -> Option<[u8; N]> {
    let (head, tail) = rest.split_first_chunk::<N>()?;
    *rest = tail;
    Some(*head)
}
