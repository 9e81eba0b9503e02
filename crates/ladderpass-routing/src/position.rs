//! Positions that a member has proven. A member proves its position by a health check, by an answer, or to another
//! router that has published the position.

use crate::health_check_schedule;
use crate::state::router_state::RouterState;
use crate::time::Time;

/// Records a position that a member has reported. The recorded position never decreases. A position that a member
/// has reached stays proven, however late its report arrives.
pub fn record_position(state: &mut RouterState, now: Time, index: usize, position: Time) {
    let check_interval = health_check_schedule::check_interval(state, now, index);
    let member_time = state.latest_time_of_members_clock(now);
    let member = state.topology.member_mut(index);
    if position > member.position {
        member.position = position;
        member.position_advanced_at = now;
    }
    member.reported_at = now;
    // The report takes the place of a health check.
    member.next_health_check_at = member.next_health_check_at.max(now + check_interval);
    member.lag = member.lag.map(|lag| lag.min(member_time - member.position));
}
