//! The groups and members that the endpoint list has named, and what is measured across several members. This module
//! makes no decisions.

use super::member::Member;
use crate::sliding_window::SlidingWindow;
use crate::time::{Span, Time};
use crate::types::{EndpointState, MemberId, RpcId};
use std::cell::Cell;

/// A primary and its replicas.
#[derive(Default)]
pub struct Group {
    /// The indexes of the group's members.
    pub members: Vec<usize>,
    pub primary: Option<usize>,
    /// The largest number of members in the state `Active` that the group has had at once.
    pub max_members: usize,
    /// Whether a member of the group has answered this router or another one.
    pub has_answered: bool,
    /// The RPCs of the group that could not be sent to any member yet, or that wait for a member's report.
    pub pending: Vec<RpcId>,
    /// The time at which the group's pending RPCs were last examined.
    pub pending_examined_at: Time,
}

/// All members and groups that the endpoint list has named, by index.
#[derive(Default)]
pub struct Topology {
    pub members: Vec<Option<Member>>,
    pub groups: Vec<Group>,
    /// For each kind of machine, the recent answer times of its members divided by the typical answer times.
    machine_kind_latency: Vec<SlidingWindow>,
    /// For each zone, the answer times of its members divided by the typical answer times. The windows cover
    /// more time than those of `machine_kind_latency`, and include failures of the zone's members.
    zone_latency: Vec<SlidingWindow>,
    /// For each group, its accepted RPCs. The count of the window is the number of all of them, and the sum is the
    /// number of those that only the primary may serve.
    accepted: Vec<SlidingWindow>,
    /// The number of listed members, or `None` where the endpoint list has changed since the members were counted.
    listed_count: Cell<Option<usize>>,
}

/// Returns the window at this index. If it does not exist, the window and all missing windows before it are
/// created.
fn window_at(windows: &mut Vec<SlidingWindow>, index: u32, bucket: Span) -> &mut SlidingWindow {
    let index = index as usize;
    windows.resize_with(windows.len().max(index + 1), || SlidingWindow::new(bucket));
    &mut windows[index]
}

impl Topology {
    pub fn zone_latency(&self, zone: u32) -> Option<&SlidingWindow> {
        self.zone_latency.get(zone as usize)
    }

    pub fn zone_latency_mut(&mut self, zone: u32, bucket: Span) -> &mut SlidingWindow {
        window_at(&mut self.zone_latency, zone, bucket)
    }

    pub fn machine_kind_latency(&self, kind: u32) -> Option<&SlidingWindow> {
        self.machine_kind_latency.get(kind as usize)
    }

    pub fn machine_kind_latency_mut(&mut self, kind: u32, bucket: Span) -> &mut SlidingWindow {
        window_at(&mut self.machine_kind_latency, kind, bucket)
    }

    pub fn accepted_mut(&mut self, group: u32, bucket: Span) -> &mut SlidingWindow {
        self.group_mut(group);
        window_at(&mut self.accepted, group, bucket)
    }

    /// Returns the group of this index. If the endpoint list has not named the group yet, the group is created.
    pub fn group_mut(&mut self, group: u32) -> &mut Group {
        let group = group as usize;
        self.groups.resize_with(self.groups.len().max(group + 1), Group::default);
        &mut self.groups[group]
    }

    pub fn contains(&self, id: MemberId) -> bool {
        self.members.get(id.0 as usize).is_some_and(Option::is_some)
    }

    pub fn member(&self, index: usize) -> &Member {
        self.members[index].as_ref().expect("members of groups are known")
    }

    pub fn member_mut(&mut self, index: usize) -> &mut Member {
        self.members[index].as_mut().expect("members of groups are known")
    }

    /// Returns the group to which a member belongs.
    pub fn group_of(&self, index: usize) -> &Group {
        &self.groups[self.member(index).group]
    }

    pub fn insert(&mut self, member: Member) {
        let index = member.id.0 as usize;
        self.group_mut(member.group as u32).members.push(index);
        self.members.resize_with(self.members.len().max(index + 1), || None);
        self.members[index] = Some(member);
        self.listed_count.take();
    }

    /// Drops the members that were removed from the list before this time and have nothing in flight, and returns their
    /// ids. Otherwise memory use and the time of loops over all members would grow without end where members are
    /// replaced all the time.
    pub fn remove_retired(&mut self, before: Time) -> Vec<MemberId> {
        self.listed_count.take();
        let is_retired = |member: &&Member| {
            let idle = member.open_attempts.is_empty() && member.health_check_sent_at.is_none();
            member.endpoint_state == EndpointState::Removed && member.endpoint_state_since < before && idle
        };
        let retired: Vec<MemberId> =
            self.members.iter().flatten().filter(is_retired).map(|member| member.id).collect();
        for id in &retired {
            let group = self.members[id.0 as usize].take().map_or(0, |member| member.group);
            self.groups[group].members.retain(|&index| index != id.0 as usize);
        }
        retired
    }

    /// Raises the group's `max_members` to its present number of active members, if there are more of them than
    /// before.
    pub fn update_max_members(&mut self, group: usize) {
        let members = self.groups[group].members.iter();
        let active =
            members.filter(|&&index| self.member(index).endpoint_state == EndpointState::Active).count();
        self.groups[group].max_members = self.groups[group].max_members.max(active);
    }

    /// Returns the number of listed members. The members are counted once for each change of the list, because loops
    /// over all members use the number in every step. Every update of the list ends with `remove_retired`, which
    /// discards the count. During an update, the count from before the update may be returned.
    pub fn listed_count(&self) -> usize {
        if let Some(count) = self.listed_count.get() {
            return count;
        }
        let members = self.members.iter().flatten();
        let count = members.filter(|member| member.endpoint_state != EndpointState::Removed).count();
        self.listed_count.set(Some(count));
        count
    }
}
