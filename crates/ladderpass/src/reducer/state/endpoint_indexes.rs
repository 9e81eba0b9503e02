//! Indexes of the groups, machine kinds and zones that endpoint lists name.

use ladderpass_config::names::{NameIndex, group_index};
use ladderpass_config::operator::Operator;
use std::collections::HashMap;

/// Indexes of the groups, machine kinds and zones that endpoint lists name.
pub(in crate::reducer) struct EndpointIndexes {
    /// Index of each group. The map's key is the bit pattern of the group's number in the endpoint list.
    groups: HashMap<u64, u32>,
    machine_kinds: NameIndex,
    /// Index of each zone by the zone's name. This router's own zone has the index 0.
    zones: NameIndex,
    uses_zones: bool,
    /// Whether the weight of a member in the endpoint list is the number of RPCs that the member works on at once.
    weights_are_concurrency: bool,
}

impl EndpointIndexes {
    pub(in crate::reducer) fn new(operator: &Operator) -> EndpointIndexes {
        let mut zones = NameIndex::default();
        zones.intern(operator.zone.as_deref().unwrap_or_default());
        EndpointIndexes {
            groups: HashMap::new(),
            machine_kinds: NameIndex::default(),
            zones,
            uses_zones: operator.zone.is_some(),
            weights_are_concurrency: operator.weights_are_concurrency,
        }
    }

    /// Returns the index of the group with this number, or `None` if no endpoint list has named the group.
    pub(in crate::reducer) fn group(&self, number: f64) -> Option<u32> {
        self.groups.get(&number.to_bits()).copied()
    }

    /// Returns the index of a group, and assigns one if the group is new.
    pub(in crate::reducer) fn intern_group(&mut self, number: f64) -> u32 {
        group_index(&mut self.groups, number)
    }

    pub(in crate::reducer) fn intern_machine_kind(&mut self, name: &str) -> u32 {
        self.machine_kinds.intern(name)
    }

    /// Returns the index of a zone. If this router has no zone of its own, all zones have the index 0.
    pub(in crate::reducer) fn intern_zone(&mut self, name: &str) -> u32 {
        if self.uses_zones { self.zones.intern(name) } else { 0 }
    }

    /// Returns the number of RPCs that a member with this weight in the endpoint list works on at once, or `None` if
    /// weights in the endpoint list do not state how many RPCs a member works on at once.
    pub(in crate::reducer) fn concurrency(&self, weight: Option<f64>) -> Option<f64> {
        weight.filter(|&weight| self.weights_are_concurrency && weight > 0.0)
    }

    /// Returns the indexes of all groups. The key is the bit pattern of a group's number in the endpoint list, and the
    /// value is the group's index.
    pub(in crate::reducer) fn groups(&self) -> &HashMap<u64, u32> {
        &self.groups
    }
}
