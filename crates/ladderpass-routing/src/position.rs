//! Positions that a member has proven. A member proves its position by a health check, by an answer, or to another
//! router that has published the position.

use crate::health_check_schedule;
use crate::state::member::Member;
use crate::state::router_state::RouterState;
use crate::time::{Span, Time};

/// The position in an answer is current, apart from the precision in which it is reported.
const MAX_AGE_IN_ANSWER: Span = Span::from_millis(50);
/// A load report, and so the position in it, may be this old when the member sends it.
const MAX_AGE_IN_LOAD_REPORT: Span = Span::from_millis(1000);
/// A recorded position was corrupt if this many reports in a row contradict it. If only one does, that one is corrupt.
const CONTRADICTIONS_TO_REFUTE: u32 = 2;

/// How a position has reached this router.
#[derive(Clone, Copy, Debug)]
pub enum Source {
    /// In the answer to an attempt that was sent at `sent_at`.
    Answer { sent_at: Time },
    /// In the load report that answers a health check that was sent at `sent_at`.
    LoadReport { sent_at: Time },
    /// In an update from another router.
    Gossip,
}

/// Records a position that a member has reported. A position that a member has reached stays proven, however late its
/// report arrives. The recorded position decreases only if several reports show that it was never reached.
pub fn record_position(state: &mut RouterState, now: Time, index: usize, position: Time, source: Source) {
    let check_interval = health_check_schedule::check_interval(state, now, index);
    let member_time = state.latest_time_of_members_clock(now);
    let member = state.topology.member_mut(index);
    if position >= member.position {
        member.position_contradictions = 0;
    } else if contradicts_recorded(member, position, source) {
        member.position_contradictions += 1;
    }
    let is_refuted = member.position_contradictions >= CONTRADICTIONS_TO_REFUTE;
    if position > member.position || is_refuted {
        member.position = position;
        member.position_advanced_at = now;
        member.position_contradictions = 0;
    }
    member.reported_at = now;
    // The report takes the place of a health check.
    member.next_health_check_at = member.next_health_check_at.max(now + check_interval);
    member.lag = member.lag.map(|lag| lag.min(member_time - member.position));
}

/// Returns whether the recorded position and this one can't both be correct. Positions never go back, so the answer to
/// a later query can't contain an earlier position.
fn contradicts_recorded(member: &Member, position: Time, source: Source) -> bool {
    let (sent_at, max_age) = match source {
        Source::Answer { sent_at } => (sent_at, MAX_AGE_IN_ANSWER),
        Source::LoadReport { sent_at } => (sent_at, MAX_AGE_IN_LOAD_REPORT),
        Source::Gossip => return false,
    };
    sent_at >= member.position_advanced_at && position + max_age < member.position
}
