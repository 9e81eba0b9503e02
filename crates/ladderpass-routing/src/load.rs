//! How busy a member is, as this router sees it.
//!
//! The load of a member depends on the attempts in flight, the answers and failures of the last seconds, and load
//! reports. Answer times are compared as latency ratios. A latency ratio is the time of an answer divided by the
//! typical answer time of its method, so 1 means as quick as without load. RPCs go to the least loaded eligible
//! replica. Silence and failures count as load, so that a member that fails fast or has stalled does not look idle.

use crate::sliding_window::{DEFAULT_BUCKETS, WindowTotals};
use crate::state::latency::MethodLatency;
use crate::state::member::{Member, OpenAttempt};
use crate::state::router_state::RouterState;
use crate::time::{Span, Time};
use crate::types::Method;

/// Width of a bucket in which the answers and failures of a member are counted.
pub const RECENT_BUCKET: Span = Span::from_millis(500);
/// Number of buckets of `RECENT_BUCKET` that cover the last second.
pub const LAST_SECOND: usize = 2;
/// Number of buckets of `RECENT_BUCKET` that cover the last two seconds.
pub const LAST_TWO_SECONDS: usize = 4;
/// Number of buckets in a whole window. They cover the last 4 s where a bucket is as wide as `RECENT_BUCKET`, the
/// last 20 s for the answers of a zone, and the last 40 s for the answers to a method.
pub const ALL_BUCKETS: usize = DEFAULT_BUCKETS;

/// Width of a bucket in which a method's answer times are counted.
const TYPICAL_LATENCY_BUCKET: Span = Span::from_millis(5000);
/// A bucket of a method's answer times needs this many answers before its mean may be used as the typical answer
/// time.
const TYPICAL_LATENCY_MIN_ANSWERS: f64 = 8.0;
/// The typical answer time is at most this share of the soft deadline, so that congestion which has lasted since the
/// router's start is not taken to be typical.
const MAX_TYPICAL_SHARE_OF_SOFT_DEADLINE: f64 = 0.2;
/// The typical answer time is at least this share of a tick (`Deployment::tick`), because the router does not
/// distinguish shorter times.
const MIN_TYPICAL_SHARE_OF_TICK: f64 = 0.2;

/// Answer times vary. Where an answer must arrive in time, the time left must be at least this multiple of the
/// typical answer time.
pub const LATENCY_MARGIN: f64 = 1.5;
/// A member counts as silent, and an answer as overdue, after this multiple of the typical answer time.
pub const SILENT_AFTER_TYPICAL_LATENCIES: f64 = 3.0;
/// In the load of a member, a failed attempt counts as this many attempts in flight.
const FAILURE_LOAD: f64 = 2.0;
/// An attempt counts as lost in transit if it takes this multiple of the typical answer time while later attempts are
/// answered.
const LOST_AFTER_TYPICAL_LATENCIES: f64 = 12.0;
/// A member's load report is used for this long after it was received.
const LOAD_REPORT_VALID_FOR: Span = Span::from_millis(2000);
/// The latency ratio of a kind of machine is estimated from its answers and a few assumed ones. The assumed
/// answers have this sum of latency ratios.
const KIND_PRIOR_RATIO_SUM: f64 = 4.0;
/// The number of answers that are assumed of each kind of machine. The mean latency ratio of the assumed answers
/// is 4/3.
const KIND_PRIOR_ANSWERS: f64 = 3.0;
/// A prior estimate of a latency ratio has the weight of this many measured answers.
const PRIOR_WEIGHT_ANSWERS: f64 = 3.0;

/// The router's own zone.
pub const OWN_ZONE: u32 = 0;
/// Width of a bucket in which the answer times of a zone's members are counted.
const ZONE_LATENCY_BUCKET: Span = Span::from_millis(2500);
/// The first of a member's consecutive failures counts for the member's zone as an answer with this latency ratio.
const ZONE_FAILURE_LATENCY_RATIO: f64 = 8.0;

/// A member is congested above this latency ratio.
const CONGESTED_LATENCY_RATIO: f64 = 2.0;
/// A congested member has recovered after an answer with this latency ratio or a lower one.
const RECOVERED_LATENCY_RATIO: f64 = 1.2;

/// The latency state of a method before any answer is measured, with an assumed typical answer time.
pub fn initial_method_latency(method: &Method) -> MethodLatency {
    let typical = method.soft_deadline * MAX_TYPICAL_SHARE_OF_SOFT_DEADLINE;
    MethodLatency::new(method, typical, TYPICAL_LATENCY_BUCKET)
}

/// The load of a member, in attempts: the number of attempts in flight, plus a number of attempts as which
/// recent failures and silence are counted.
pub fn member_load(state: &RouterState, now: Time, member: &Member) -> f64 {
    let silent_for = if member.open_attempts.is_empty() { Span::ZERO } else { now - member.silent_since };
    let silent_latencies = silent_for.secs() / min_typical_latency(state).secs().max(1e-4);
    let silence_load = (silent_latencies - SILENT_AFTER_TYPICAL_LATENCIES).max(0.0).floor();
    let failures = member.recent_failures.totals(now, LAST_TWO_SECONDS).count;
    attempts_in_flight(state, now, member) + failures * FAILURE_LOAD + silence_load
}

/// The number of this router's attempts in flight at a member, without those that were lost in transit.
pub fn attempts_in_flight(state: &RouterState, now: Time, member: &Member) -> f64 {
    // No attempt younger than `min_age` counts as lost, whatever the typical answer time of its method is, so
    // younger attempts are not examined.
    let min_age = min_typical_latency(state) * LOST_AFTER_TYPICAL_LATENCIES;
    let may_be_lost = member.open_attempts.iter().take_while(|attempt| {
        now - attempt.sent_at > min_age && attempt.sent_at < member.latest_answered_attempt
    });
    let lost = may_be_lost.filter(|attempt| is_lost(state, now, member, **attempt)).count();
    (member.open_attempts.len() - lost) as f64
}

/// Was this attempt lost in transit? An attempt counts as lost if its answer is long overdue although a later
/// attempt was answered. A lost attempt is no sign of congestion.
pub fn is_lost(state: &RouterState, now: Time, member: &Member, attempt: OpenAttempt) -> bool {
    let typical = state.methods[attempt.method as usize].typical;
    attempt.sent_at < member.latest_answered_attempt
        && now - attempt.sent_at > typical * LOST_AFTER_TYPICAL_LATENCIES
}

/// The latency ratio of a member over the given number of buckets of `RECENT_BUCKET`. The fewer answers the member
/// has given, the more the answers of all members with its kind of machine count.
pub fn latency_ratio(state: &RouterState, now: Time, member: &Member, buckets: usize) -> f64 {
    let WindowTotals { count, sum } = member.latency_ratios.totals(now, buckets);
    let kind_totals = state
        .topology
        .machine_kind_latency(member.machine_kind)
        .map_or(WindowTotals::default(), |window| window.totals(now, buckets));
    let kind_ratio = (kind_totals.sum + KIND_PRIOR_RATIO_SUM) / (kind_totals.count + KIND_PRIOR_ANSWERS);
    let prior = kind_ratio * reported_overload(now, member);
    (sum + PRIOR_WEIGHT_ANSWERS * prior) / (count + PRIOR_WEIGHT_ANSWERS)
}

/// The latency ratio to expect of a member's next answer: the latency ratio of the member's recent answers, or
/// that of the link to the member's zone if it is higher.
pub fn expected_latency_ratio(state: &RouterState, now: Time, member: &Member) -> f64 {
    // An idle member gives no new answers that could show its recovery, so its old answers count for a shorter
    // time than those of a busy member.
    let buckets = if member.open_attempts.is_empty() { LAST_SECOND } else { LAST_TWO_SECONDS };
    let WindowTotals { count, sum } = member.latency_ratios.totals(now, buckets);
    let own_ratio =
        (sum + PRIOR_WEIGHT_ANSWERS * reported_overload(now, member)) / (count + PRIOR_WEIGHT_ANSWERS);
    own_ratio.max(zone_latency_ratio(state, now, member.zone))
}

/// The latency ratio of another zone divided by that of the router's own zone. It is above 1 where the link is slow
/// or loses messages.
pub fn zone_latency_ratio(state: &RouterState, now: Time, zone: u32) -> f64 {
    if zone == OWN_ZONE {
        return 1.0;
    }
    mean_latency_ratio_of_zone(state, now, zone) / mean_latency_ratio_of_zone(state, now, OWN_ZONE).max(1.0)
}

/// The mean latency ratio of a zone's members, or 1 without answers.
fn mean_latency_ratio_of_zone(state: &RouterState, now: Time, zone: u32) -> f64 {
    let window = state.topology.zone_latency(zone);
    let totals = window.map_or(WindowTotals::default(), |window| window.totals(now, ALL_BUCKETS));
    (totals.sum + PRIOR_WEIGHT_ANSWERS) / (totals.count + PRIOR_WEIGHT_ANSWERS)
}

/// The RPCs in flight at a member divided by the number that it can process at once, by a recent load report. The
/// result is at least 1, and is 1 without a recent report.
fn reported_overload(now: Time, member: &Member) -> f64 {
    if now - member.reported_at < LOAD_REPORT_VALID_FOR {
        member.reported_utilization().unwrap_or(1.0).max(1.0)
    } else {
        1.0
    }
}

/// The shortest typical answer time of any method.
pub fn min_typical_latency(state: &RouterState) -> Span {
    state.methods.iter().map(|method| method.typical).min().unwrap_or(Span::ZERO)
}

/// Records the first of a member's consecutive failures against its zone.
pub fn record_zone_failure(state: &mut RouterState, now: Time, zone: u32) {
    state.topology.zone_latency_mut(zone, ZONE_LATENCY_BUCKET).record(now, ZONE_FAILURE_LATENCY_RATIO);
}

/// Records the time that an attempt took until its answer, and returns the latency ratio of that answer.
pub fn record_answer(
    state: &mut RouterState,
    now: Time,
    index: usize,
    attempt: OpenAttempt,
    latency: Span,
) -> f64 {
    let typical_secs = update_typical_latency(state, now, attempt.method, latency);
    let ratio = latency.secs() / typical_secs.max(1e-6);
    // One quick answer shows that congestion is over, although the window would still count the slow answers.
    let has_recovered = ratio <= RECOVERED_LATENCY_RATIO
        && latency_ratio(state, now, state.topology.member(index), LAST_TWO_SECONDS)
            > CONGESTED_LATENCY_RATIO;
    let member = state.topology.member_mut(index);
    if has_recovered {
        member.latency_ratios.clear();
    }
    member.latency_ratios.record(now, ratio);
    let (kind, zone, limit_reduced_at) = (member.machine_kind, member.zone, member.limit_reduced_at);
    state.topology.zone_latency_mut(zone, ZONE_LATENCY_BUCKET).record(now, ratio);
    if attempt.sent_at >= limit_reduced_at {
        state.topology.machine_kind_latency_mut(kind, RECENT_BUCKET).record(now, ratio);
    }
    ratio
}

/// Records the time of an answer to an RPC of a method. Returns the method's typical answer time in seconds,
/// without the rounding to nanoseconds.
fn update_typical_latency(state: &mut RouterState, now: Time, method: u32, latency: Span) -> f64 {
    let min = state.deployment.tick.secs() * MIN_TYPICAL_SHARE_OF_TICK;
    let method = &mut state.methods[method as usize];
    method.answers.record(now, latency.secs());
    let WindowTotals { count, sum } = method.answers.totals(now, ALL_BUCKETS);
    let fastest_mean =
        method.answers.min_bucket_mean(now, TYPICAL_LATENCY_MIN_ANSWERS).unwrap_or(sum / count);
    let max = method.definition.soft_deadline.secs() * MAX_TYPICAL_SHARE_OF_SOFT_DEADLINE;
    let typical = fastest_mean.min(max).max(min);
    method.typical = Span::from_secs_f64(typical);
    typical
}
