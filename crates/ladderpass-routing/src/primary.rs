//! The choice of a group's primary among the group's members.
//!
//! What a member shows of its own role takes precedence over the endpoint list, which may be seconds late. Of several
//! members that have shown themselves to be primary, the member that did so last is chosen. A member that has shown
//! itself to be a replica since is not chosen. All times are those of the members' clock.

use crate::state::member::Member;
use crate::state::router_state::RouterState;
use crate::time::Time;
use crate::types::{EndpointState, Role};

/// Records that a member has shown this role, as of the time `at`.
pub fn record_role(state: &mut RouterState, index: usize, role: Role, at: Time) {
    let member = state.topology.member_mut(index);
    match role {
        Role::Primary => member.primary_seen_at = member.primary_seen_at.max(at),
        Role::Replica => {
            member.replica_seen_at = member.replica_seen_at.max(at);
            member.listed_as_primary = false;
        }
    }
    let group = member.group;
    update_primary(state, group);
}

/// Determines the primary of a group from the present evidence, and logs a change.
pub fn update_primary(state: &mut RouterState, group: usize) {
    let topology = &state.topology;
    let candidates =
        topology.groups[group].members.iter().filter(|&&index| may_be_primary(topology.member(index)));
    let primary = candidates.max_by_key(|&&index| topology.member(index).primary_seen_at).copied();
    if primary != topology.groups[group].primary {
        state.topology.groups[group].primary = primary;
        let name = primary.map_or("unknown".to_owned(), |index| format!("#{index}"));
        state.output.log_messages.push(format!("group {group}: primary is {name}"));
    }
}

fn may_be_primary(member: &Member) -> bool {
    member.endpoint_state == EndpointState::Active
        && (member.primary_seen_at > member.replica_seen_at || member.listed_as_primary)
}
