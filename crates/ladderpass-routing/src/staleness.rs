//! What a read must see, and which members are known to have it.
//!
//! A position is the point in time up to which a member has applied the group's log. A read requires a position by
//! its method's consistency; a replica may serve it once it has proven that position, and the primary always may.

use crate::state::member::Member;
use crate::state::router_state::RouterState;
use crate::time::{Span, Time};
use crate::types::{Consistency, RpcId};

/// A write without an answer for this long may have committed: its session's reads must see it.
const ASSUME_COMMITTED_AFTER: Span = Span::from_millis(100);
/// The lag at which a member no longer serves reads that have no bound; also the bound where no method has one.
pub const UNBOUNDED_READ_MAX_LAG: Span = Span::from_millis(30_000);
/// Positions are refreshed and passed on once they are older than this share of the least bound.
const REFRESH_SHARE_OF_BOUND: f64 = 0.4;
/// A replica that was too far behind may have caught up after this share of the excess, and this time at the least.
const CATCH_UP_SHARE_OF_EXCESS: f64 = 0.5;
const MIN_CATCH_UP: Span = Span::from_millis(250);
/// Replication is stopped when a position has not advanced for this long.
const REPLICATION_STOPPED_AFTER: Span = Span::from_millis(500);
/// A replica's concurrency limit is scaled by `HEADROOM_WITHOUT_LAG` less its lag as a share of the bound, and by
/// `MIN_HEADROOM` at the least.
const HEADROOM_WITHOUT_LAG: f64 = 0.9;
const MIN_HEADROOM: f64 = 0.1;

/// The position that a replica must have proven to serve this RPC now.
pub fn required_position(state: &RouterState, now: Time, rpc: RpcId) -> Time {
    match state.method_of(rpc).definition.consistency {
        // The bound counts from the last byte sent, which may be a tick later.
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

/// Is this replica known to be new enough for a read? Reads without a bound take any but one that is far behind.
pub fn is_fresh_enough(member: &Member, consistency: Consistency, required: Time) -> bool {
    match consistency {
        Consistency::Any => member.lag.is_none_or(|lag| lag < UNBOUNDED_READ_MAX_LAG),
        _ => member.position >= required,
    }
}

/// May a replica that was too far behind, or has an old report, have the required position by now?
pub fn may_have_caught_up(now: Time, member: &Member, required: Time) -> bool {
    let excess = member.reported_at - member.position - (now - required);
    excess <= Span::ZERO || now - member.reported_at >= MIN_CATCH_UP.max(excess * CATCH_UP_SHARE_OF_EXCESS)
}

/// The share of a replica's concurrency limit that reads may use, 1 where replication has stopped: less as its lag nears the bound, so that
/// it can catch up.
pub fn headroom(state: &RouterState, now: Time, member: &Member, required: Time) -> f64 {
    // Reads without a bound slow replication just as much. Where it has stopped, less load does not help.
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
    (HEADROOM_WITHOUT_LAG - lag_share).clamp(MIN_HEADROOM, 1.0)
}

/// How old a position may get before it is refreshed, or passed on to other routers.
pub fn position_refresh_interval(state: &RouterState) -> Span {
    state.min_staleness_bound * REFRESH_SHARE_OF_BOUND
}
