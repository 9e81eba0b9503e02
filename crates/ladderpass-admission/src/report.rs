//! The encoding of a router's report of one group. An encoded report takes some forty bytes, and the amounts in it are
//! on a logarithmic scale (within 4%).
//!
//! A report that can't be decoded is dropped, with everything that follows the report in the bundle.

use ladderpass_retry_budget::RetryRates;
use ladderpass_routing::Span;

/// The first byte of a bundle of reports. A bundle of another version is dropped, so that routers of two versions can
/// run side by side.
pub const REPORT_VERSION: u8 = 2;

/// An encoded amount is either 0 or `MIN_AMOUNT` times a power of `AMOUNT_STEP`.
const MIN_AMOUNT: f64 = 0.01;
const AMOUNT_STEP: f64 = 1.065;
const AGE_STEP: Span = Span::from_millis(50);
/// The most priorities and the most members in a report. The two counts share a byte.
const MAX_PRIORITIES: usize = 6;
pub(crate) const MAX_MEMBERS: usize = 8;

/// The length in bytes of the head of an encoded report, which consists of router, sequence, age, group and the byte
/// with the counts of priorities and members.
const HEAD_BYTES: usize = 4 + 2 + 1 + 4 + 1;
const PRIORITY_BYTES: usize = 1 + 1;
/// Number of encoded rates: those of served, unplaced and admitted RPCs and the four retry rates.
const RATES_BYTES: usize = 3 + 4;
const MEMBER_BYTES: usize = 2 + 3;

/// A router's report of the RPCs that it was offered for a group over the last second, and of their outcomes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GroupReport {
    /// The id of the router.
    pub router: u32,
    /// The sequence number of the report. It increases with each step of the router, modulo 2^16.
    pub sequence: u16,
    /// The age of the report when it is sent.
    pub age: Span,
    /// The id of the group.
    pub group: u32,
    /// The rates of RPCs that the router was offered, by priority, the highest priority first.
    pub offered: Vec<OfferedRate>,
    /// RPCs of the group that were served, per second.
    pub served: f64,
    /// RPCs of the group that were admitted and for which no member had capacity (unplaced RPCs), per second.
    pub unplaced: f64,
    /// The router's estimate of how many RPCs a second all routers together can admit to the group.
    pub admitted: f64,
    /// The router's rates of first attempts and retries for the group.
    pub retry_rates: RetryRates,
    /// The router's observations of the group's members, at most `MAX_MEMBERS` of them.
    pub members: Vec<MemberReport>,
}

/// The rate of RPCs of one priority that a router was offered.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OfferedRate {
    /// The priority of the RPCs.
    pub priority: u8,
    /// RPCs of the priority that the router was offered, per second.
    pub per_second: f64,
}

/// One router's observations of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemberReport {
    /// The low 16 bits of the member's id hash.
    pub id_hash: u16,
    /// Moving average of the RPCs in flight from the router to the member.
    pub in_flight: f64,
    /// The member's latency as a multiple of the typical latency.
    pub latency_ratio: f64,
    /// The router's estimate of how many RPCs all routers together can have in flight at the member.
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

/// Appends a report to a bundle, unless the bundle would then be longer than `max_bytes`. Returns true if the report
/// was appended.
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

/// Decodes the reports of a bundle, up to the first malformed one.
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
