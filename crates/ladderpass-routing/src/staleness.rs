//! Which position a read requires, and which members are known to have reached it.
//!
//! A position is the point in time up to which a member has applied the group's log. The consistency of a read's
//! method determines which position the read requires. A replica may serve the read once it has proven that
//! position, and the primary may always serve it.

use crate::state::member::Member;
use crate::state::router_state::RouterState;
use crate::time::{Span, Time};
use crate::types::{Consistency, RpcId};

/// A write that has no answer this long after its send may have committed, so the reads of its session must see
/// it.
const ASSUME_COMMITTED_AFTER: Span = Span::from_millis(100);
/// A replica with this lag or more no longer serves reads without a staleness bound. The value is also used as the
/// smallest staleness bound of a deployment in which no method has a bound.
pub const UNBOUNDED_READ_MAX_LAG: Span = Span::from_millis(30_000);
/// Positions are refreshed and published once they are older than this share of the smallest staleness bound.
const REFRESH_SHARE_OF_BOUND: f64 = 0.4;
/// A replica that was too far behind may have caught up after this share of the time by which its position was too
/// old, but not before `MIN_CATCH_UP`.
const CATCH_UP_SHARE_OF_EXCESS: f64 = 0.5;
const MIN_CATCH_UP: Span = Span::from_millis(250);
/// Replication counts as stopped when a position has not advanced for this long.
const REPLICATION_STOPPED_AFTER: Span = Span::from_millis(500);
/// Reads may use this share of the concurrency limit of a replica without lag. The replica's lag, as a share of the
/// staleness bound, is subtracted from this share.
const LIMIT_SHARE_WITHOUT_LAG: f64 = 0.9;
/// Reads may use at least this share of a replica's concurrency limit.
const MIN_LIMIT_SHARE: f64 = 0.1;

/// The position that a replica must have proven to serve this RPC now.
pub fn required_position(state: &RouterState, now: Time, rpc: RpcId) -> Time {
    match state.method_of(rpc).definition.consistency {
        // The bound applies when the last byte of the query is sent, which may be a tick later.
        Consistency::BoundedStaleness(bound) => {
            state.latest_time_of_members_clock(now) + state.deployment.tick - bound
        }
        Consistency::Session => {
            let rpc = &state.rpcs[rpc];
            let sent_by = now - ASSUME_COMMITTED_AFTER;
            let commit_by = state.latest_time_of_members_clock(sent_by);
            let written = state.session_writes.required_position(rpc.arrival.session, sent_by, commit_by);
            rpc.session_write.max(written)
        }
        _ => Time::NEVER,
    }
}

/// Is this replica known to be fresh enough for a read? Reads of any data accept every replica that is not known to
/// lag by `UNBOUNDED_READ_MAX_LAG` or more.
pub fn is_fresh_enough(member: &Member, consistency: Consistency, required: Time) -> bool {
    match consistency {
        Consistency::Any => member.lag.is_none_or(|lag| lag < UNBOUNDED_READ_MAX_LAG),
        _ => member.position >= required,
    }
}

/// May a replica have reached the required position by now, if it was too far behind or its last report is old?
pub fn may_have_caught_up(now: Time, member: &Member, required: Time) -> bool {
    let excess = member.reported_at - member.position - (now - required);
    excess <= Span::ZERO || now - member.reported_at >= MIN_CATCH_UP.max(excess * CATCH_UP_SHARE_OF_EXCESS)
}

/// The share of a replica's concurrency limit that reads may use. The share decreases as the replica's lag
/// approaches the staleness bound, so that the replica can catch up. For reads without a bound, the share is 1
/// where replication has stopped.
pub fn limit_share_by_lag(state: &RouterState, now: Time, member: &Member, required: Time) -> f64 {
    // Reads without a bound slow replication as much as reads with a bound do, so the smallest bound of any
    // method is used for them. Where replication has stopped, less load does not help the replica to catch up.
    let unbounded = required == Time::NEVER;
    if unbounded && now - member.position_advanced_at > REPLICATION_STOPPED_AFTER {
        return 1.0;
    }
    let bound = if unbounded {
        state.min_staleness_bound
    } else {
        state.latest_time_of_members_clock(now) - required
    };
    let lag_share = member.lag.map_or(0.0, |lag| lag.secs() / bound.secs().max(1e-6));
    (LIMIT_SHARE_WITHOUT_LAG - lag_share).clamp(MIN_LIMIT_SHARE, 1.0)
}

/// The age at which the last known position of a member is refreshed, or published to other routers.
pub fn position_refresh_interval(state: &RouterState) -> Span {
    state.min_staleness_bound * REFRESH_SHARE_OF_BOUND
}
