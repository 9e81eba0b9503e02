//! Indexes of what endpoint lists name besides members: groups, machine kinds and zones.

use ladderpass_config::names::{NameIndex, group_index};
use ladderpass_config::operator::Operator;
use std::collections::HashMap;

/// Indexes of what endpoint lists name besides members.
pub(in crate::reducer) struct EndpointIndexes {
    /// By the bits of a group's number.
    groups: HashMap<u64, u32>,
    machine_kinds: NameIndex,
    /// This router's own zone has the index zero.
    zones: NameIndex,
    uses_zones: bool,
    /// Weights in the list are the members' concurrency.
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

    /// The index of a group by its number, if a list has named it.
    pub(in crate::reducer) fn group(&self, number: f64) -> Option<u32> {
        self.groups.get(&number.to_bits()).copied()
    }

    /// The index of a group, which gets one if it is new.
    pub(in crate::reducer) fn intern_group(&mut self, number: f64) -> u32 {
        group_index(&mut self.groups, number)
    }

    pub(in crate::reducer) fn intern_machine_kind(&mut self, name: &str) -> u32 {
        self.machine_kinds.intern(name)
    }

    /// Without a zone of this router's own all are the same zone.
    pub(in crate::reducer) fn intern_zone(&mut self, name: &str) -> u32 {
        if self.uses_zones { self.zones.intern(name) } else { 0 }
    }

    /// The concurrency that a weight in the list stands for, where it stands for one.
    pub(in crate::reducer) fn concurrency(&self, weight: Option<f64>) -> Option<f64> {
        weight.filter(|&weight| self.weights_are_concurrency && weight > 0.0)
    }

    /// All groups, by the bits of their numbers.
    pub(in crate::reducer) fn groups(&self) -> &HashMap<u64, u32> {
        &self.groups
    }
}
